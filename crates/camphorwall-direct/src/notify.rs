//! Wakes one task when something has changed.

use std::{cell::Cell, future::poll_fn, task::Poll};

use futures_util::task::AtomicWaker;

/// A notification that one task waits for. Several notifications before the task waits count as one.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    is_notified: Cell<bool>,
    waker: AtomicWaker,
}

impl Notify {
    /// Wakes the waiting task, or makes its next wait return at once.
    pub(crate) fn notify(&self) {
        self.is_notified.set(true);
        self.waker.wake();
    }

    /// Waits for a notification; returns at once if one has come since the last wait.
    pub(crate) async fn notified(&self) {
        poll_fn(|context| {
            self.waker.register(context.waker());
            if self.is_notified.take() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}
