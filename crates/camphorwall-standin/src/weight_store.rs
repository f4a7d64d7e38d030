//! Stand-in for the platform's weight store: serves weights at a limited rate and counts the calls above it.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::json_response;
use serde_json::json;

use crate::RunningServer;

/// Rate limit of a weight store, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct StoreRate {
    /// Capacity of the bucket: loads that are allowed at once after a pause.
    pub burst: u32,
    /// Time in which the bucket gains one load.
    pub refill_ms: u64,
}

struct State {
    rate: StoreRate,
    /// When the bucket is full again; `None` before the first allowed call.
    full_at: Cell<Option<Instant>>,
    calls: RefCell<Vec<Instant>>,
    over_rate: Cell<u64>,
}

/// Stand-in for a weight store; clones share their state.
#[derive(Clone)]
pub struct WeightStore(Rc<State>);

impl WeightStore {
    /// Creates a store with a full bucket.
    #[must_use]
    pub fn new(rate: StoreRate) -> Self {
        Self(Rc::new(State {
            rate,
            full_at: Cell::default(),
            calls: RefCell::default(),
            over_rate: Cell::default(),
        }))
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.0.calls.borrow().len()
    }

    /// Number of calls so far that were refused because they exceeded the rate.
    #[must_use]
    pub fn over_rate(&self) -> u64 {
        self.0.over_rate.get()
    }

    /// Counts a call; returns whether it is within the rate.
    fn count_call(&self, now: Instant) -> bool {
        let state = &self.0;
        state.calls.borrow_mut().push(now);
        let refill = Duration::from_millis(state.rate.refill_ms);
        let full_at = state.full_at.get().map_or(now, |at| at.max(now)) + refill;
        let is_within_rate = full_at <= now + refill * state.rate.burst;
        if is_within_rate {
            state.full_at.set(Some(full_at));
        } else {
            state.over_rate.set(state.over_rate.get() + 1);
        }
        is_within_rate
    }

    /// Serves the store at an address.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let store = self.clone();
        RunningServer::start(address, move |_| {
            let is_within_rate = store.count_call(Instant::now());
            async move {
                if is_within_rate {
                    json_response(200, &json!({"weights": "loaded"}))
                } else {
                    json_response(429, &json!({"error": "over the rate"}))
                }
            }
        })
        .await
    }
}
