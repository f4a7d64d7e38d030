//! Checks whether the engine answers and which requests it holds, and cancels those that this daemon doesn't know, such
//! as the work of a daemon process that ran before.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{RequestId, Stop};
use futures_util::{FutureExt as _, future::select};

use super::{
    engine::{EngineClient, EngineError},
    health::EngineHealth,
    work::Worker,
};

/// How often an engine that answers is checked.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How often an engine that does not answer is checked.
pub(super) const RECOVERY_PERIOD: Duration = Duration::from_millis(100);

/// Periodic check of one engine.
pub(super) struct EngineMonitor {
    health: Rc<EngineHealth>,
    has_checked: Cell<bool>,
    /// Requests that the last check found and this daemon does not know.
    unknown_before: RefCell<BTreeSet<String>>,
}

impl EngineMonitor {
    pub(super) fn new(health: Rc<EngineHealth>) -> Self {
        Self {
            health,
            has_checked: Cell::new(false),
            unknown_before: RefCell::default(),
        }
    }

    /// Requests to cancel. After the first check, a request must be found by two checks in a row, because its work may
    /// just have ended.
    pub(super) fn find_orphans(
        &self,
        held: impl IntoIterator<Item = String>,
        is_known: impl Fn(RequestId) -> bool,
    ) -> Vec<String> {
        let is_unknown = |text: &String| {
            text.parse()
                .map_or(true, |request_id| !is_known(request_id))
        };
        let unknown: BTreeSet<String> = held.into_iter().filter(is_unknown).collect();
        let unknown_before = self.unknown_before.replace(unknown.clone());
        let is_orphan = |text: &String| !self.has_checked.get() || unknown_before.contains(text);
        unknown.into_iter().filter(is_orphan).collect()
    }

    /// Checks the engine until the stop is triggered, more often while it does not answer. `on_recovery` is awaited
    /// each time the engine answers again, before it is given work.
    pub(super) async fn run(
        &self,
        worker: &Worker,
        is_known: impl Fn(RequestId) -> bool,
        on_recovery: impl AsyncFn(),
        stop: &Stop,
    ) {
        let mut engine = worker.engine.clone();
        let mut next_check_at = Instant::now();
        while !stop.is_called() {
            let now = Instant::now();
            let is_check_due = now >= next_check_at;
            if is_check_due {
                next_check_at = now + CHECK_PERIOD;
            }
            if is_check_due || !self.health.is_answering() {
                match self.check(worker, &mut engine, &is_known).await {
                    Ok(()) if self.health.is_answering() => {}
                    Ok(()) => {
                        on_recovery().await;
                        self.health.note_answer();
                    }
                    Err(error) if is_check_due => tracing::warn!(event = "sweep_failed", %error),
                    Err(_) => {}
                }
            }
            let pause = compio::time::sleep(RECOVERY_PERIOD).boxed_local();
            select(pause, stop.called().boxed_local()).await;
        }
    }

    async fn check(
        &self,
        worker: &Worker,
        engine: &mut EngineClient,
        is_known: impl Fn(RequestId) -> bool,
    ) -> Result<(), EngineError> {
        let mut held = engine.held_requests().await;
        if held.is_err() {
            // A pooled connection may be dead while new ones work.
            *engine = engine.reconnected();
            held = engine.held_requests().await;
        }
        let held = held.inspect_err(|_| self.health.note_silence())?;
        for orphan in self.find_orphans(held, is_known) {
            tracing::warn!(event = "orphan_cancelled", request_id = orphan);
            worker.free(&orphan).await;
        }
        self.has_checked.set(true);
        Ok(())
    }
}

#[cfg(test)]
#[path = "engine_monitor_tests.rs"]
mod tests;
