//! Limits how often requests are retried at a further endpoint, over the entire fleet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::clock::Moment;
use crate::names::ServiceName;

/// Share of the budget that is used. The rest is a margin for requests that are counted in one window and arrive at an
/// endpoint in the next.
const USABLE_SHARE: f64 = 0.8;

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

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
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
    /// that this entry has counted, and an equal part of the allowance.
    pub(crate) fn take(&mut self, service: &ServiceName, entries: usize, now: Moment) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.requests, now, self.bounds.window);
        remove_expired(&mut counts.retries, now, self.bounds.window);
        let allowance = self.bounds.allowance / entries.max(1) as f64;
        let share = self.bounds.share * counts.requests.len() as f64;
        let is_left = (counts.retries.len() as f64) + 1.0 <= USABLE_SHARE * (share + allowance);
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
