//! Limits how often requests are retried at a further endpoint, over the entire fleet.
//!
//! No state outlives a process, so an entry that starts doesn't know which retries its predecessor sent in the window;
//! it may have used its whole part. Until the window has passed, the successor uses only what these parts leave:
//!
//! | part of the budget | predecessor | successors |
//! |---|---|---|
//! | share of the requests that each has counted | 0.8 | 0.2 |
//! | allowance, divided among the entries | 0.7 | 0.05 at each start, and 0.15 over the window |
//!
//! The retries of the predecessor are covered by requests of the window before its end, and those of all successors by
//! later requests. The parts of the allowance add up to 1 if each entry starts at most three times in a window.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::clock::Moment;
use crate::names::ServiceName;

/// Share of the retries for its requests that an entry uses. The rest is a margin for requests that are counted in one
/// window and arrive at an endpoint in the next, and for entries that start.
const USABLE_SHARE: f64 = 0.8;

/// Share of its part of the allowance that an entry uses once it has run for the window.
const ESTABLISHED_ALLOWANCE: f64 = 0.7;

/// Share of its part of the allowance that an entry may use at once when it starts, so that the smallest fleets retry
/// their first requests.
const START_ALLOWANCE: f64 = 0.05;

/// Share of its part of the allowance that an entry that starts may use further, in proportion to the time that it has
/// run. The times that all successors of an entry run in a window are no longer than the window together.
const ACCRUED_ALLOWANCE: f64 = 0.15;

/// Bounds on retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBounds {
    /// Retries as a share of requests.
    pub share: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Retries in each window beyond the share, over the entire fleet.
    pub allowance: f64,
}

/// Requests and retries of each service in the last window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBounds,
    started_at: Moment,
    services: HashMap<ServiceName, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

fn remove_expired(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}

/// Retries that an entry may send in a window in which it has counted some requests.
///
/// `divisor` is the number of entries that share the allowance, or `None` while this entry has no part of it. The load
/// that this addresses is overload with failing endpoints while entries are killed together and in quick succession.
fn usable_retries(
    bounds: RetryBounds,
    requests: usize,
    divisor: Option<usize>,
    running_for: Duration,
) -> f64 {
    let share = bounds.share * requests as f64;
    let allowance = divisor.map_or(0.0, |entries| bounds.allowance / entries.max(1) as f64);
    if running_for > bounds.window {
        USABLE_SHARE * share + ESTABLISHED_ALLOWANCE * allowance
    } else {
        let accrued = ACCRUED_ALLOWANCE * running_for.as_secs_f64() / bounds.window.as_secs_f64();
        (1.0 - USABLE_SHARE) * share + (START_ALLOWANCE + accrued) * allowance
    }
}

impl RetryBudget {
    /// Creates the budget of an entry that starts at a given moment.
    #[must_use]
    pub(crate) fn new(bounds: RetryBounds, started_at: Moment) -> Self {
        Self {
            bounds,
            started_at,
            services: HashMap::new(),
        }
    }

    /// Replaces the bounds.
    pub(crate) fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub(crate) fn count_request(&mut self, service: &ServiceName, now: Moment) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        remove_expired(&mut counts.requests, now, self.bounds.window);
    }

    /// Takes one retry if any is left of this entry's part of the fleet's budget: the bounds' share of the requests
    /// that this entry has counted, and an equal part of the allowance among `divisor` entries.
    pub(crate) fn take(
        &mut self,
        service: &ServiceName,
        divisor: Option<usize>,
        now: Moment,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.requests, now, self.bounds.window);
        remove_expired(&mut counts.retries, now, self.bounds.window);
        let requests = counts.requests.len();
        let running_for = now.since(self.started_at);
        let usable = usable_retries(self.bounds, requests, divisor, running_for);
        let is_left = counts.retries.len() as f64 + 1.0 <= usable;
        if is_left {
            counts.retries.push_back(now);
        }
        is_left
    }

    /// Gives back the last retry taken, which reached no endpoint.
    pub(crate) fn give_back(&mut self, service: &ServiceName) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.retries.pop_back();
        }
    }
}
