//! Wakes one task when something has changed.

use std::{cell::Cell, future::poll_fn, task::Poll};

use futures_util::task::AtomicWaker;

/// A change that one task waits for. Several changes before it looks count as one.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    is_changed: Cell<bool>,
    waker: AtomicWaker,
}

impl Notify {
    /// Tells of a change.
    pub(crate) fn notify(&self) {
        self.is_changed.set(true);
        self.waker.wake();
    }

    /// Waits for the next change, if none has come since the last wait.
    pub(crate) async fn notified(&self) {
        poll_fn(|context| {
            self.waker.register(context.waker());
            if self.is_changed.take() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}
