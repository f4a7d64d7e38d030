//! Polls the engine's cache events to follow its prefix cache.

use std::{cell::RefCell, rc::Rc, time::Duration};

use camphorwall::Stop;
use futures_util::{FutureExt as _, future::select};

use super::{
    cache_view::CacheView,
    engine::{EngineClient, EngineError},
};
use crate::routing::pieces;

/// How often the engine is polled for events.
const EVENT_POLL_PERIOD: Duration = Duration::from_millis(100);

/// How long to wait after a failed poll; some engines publish no events.
const FAILED_POLL_PERIOD: Duration = Duration::from_secs(10);

/// This daemon's view of the engine's prefix cache; clones share it.
#[derive(Clone, Default)]
pub(super) struct EngineCache(Rc<RefCell<CacheView>>);

impl EngineCache {
    /// Number of leading pieces of a prompt that the engine has cached; `None` when unknown.
    pub(super) fn cached(&self, pieces: &[u64]) -> Option<usize> {
        self.0.borrow().cached(pieces)
    }

    /// Records the engine's names for the pieces of a prompt after its prefill.
    pub(super) fn note_names(&self, prompt: &str, names: Vec<String>) {
        if !names.is_empty() {
            self.0.borrow_mut().note_names(&pieces(prompt), names);
        }
    }

    /// Follows the engine's events until the stop is triggered.
    pub(super) async fn follow(&self, engine: &EngineClient, stop: &Stop) {
        while !stop.is_called() {
            let period = match self.read(engine).await {
                Ok(()) => EVENT_POLL_PERIOD,
                Err(error) => {
                    tracing::debug!(event = "cache_events_unread", %error);
                    FAILED_POLL_PERIOD
                }
            };
            let pause = compio::time::sleep(period).boxed_local();
            select(pause, stop.called().boxed_local()).await;
        }
    }

    async fn read(&self, engine: &EngineClient) -> Result<(), EngineError> {
        let events_after = self.0.borrow().events_after();
        if let Some(after) = events_after {
            let events = engine.cache_events(after).await?;
            self.0.borrow_mut().apply_events(events);
        } else {
            let snapshot = engine.cache_snapshot().await?;
            self.0.borrow_mut().apply_snapshot(snapshot);
        }
        Ok(())
    }
}
