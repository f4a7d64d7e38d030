//! Groups of background tasks that their owner can join or abort.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
};

use compio::runtime::JoinHandle;
use futures_util::{FutureExt as _, StreamExt as _, stream::FuturesUnordered};

/// Background tasks of one owner; clones share the group.
#[derive(Clone, Default)]
pub struct TaskGroup(Rc<State>);

#[derive(Default)]
struct State {
    tasks: RefCell<FuturesUnordered<JoinHandle<()>>>,
    is_aborted: Cell<bool>,
}

impl TaskGroup {
    /// Starts a task in the group, unless the group was aborted.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if self.0.is_aborted.get() {
            return;
        }
        let mut tasks = self.0.tasks.borrow_mut();
        // Drops ended tasks, so that the group contains little more than the running ones.
        while let Some(Some(_)) = tasks.next().now_or_never() {}
        tasks.push(compio::runtime::spawn(task));
    }

    /// Waits until all tasks have ended, including those started meanwhile.
    pub async fn join(&self) {
        loop {
            let mut tasks = self.0.tasks.take();
            if tasks.is_empty() {
                return;
            }
            while tasks.next().await.is_some() {}
        }
    }

    /// Drops all tasks at their current await points and starts no more.
    pub fn abort(&self) {
        self.0.is_aborted.set(true);
        drop(self.0.tasks.take());
    }
}
