//! How often requests may be sent to a further endpoint, over the whole fleet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use camphorwall::ServiceId;

use crate::clock::Moment;

/// Part of the allowance that is used: requests counted here may arrive at an endpoint in the next window.
const SAFE_PART: f64 = 0.8;

/// Bounds of repeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBounds {
    /// Repeats as a share of requests.
    pub share: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Repeats in each window beyond the share, over the whole fleet.
    pub allowance: f64,
}

/// Requests and repeats of each service in the last window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBounds,
    services: HashMap<ServiceId, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

fn forget(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Makes a budget from which nothing was taken.
    #[must_use]
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
        }
    }

    /// Takes changed bounds over.
    pub(crate) fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub(crate) fn count_request(&mut self, service: &ServiceId, now: Moment) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        forget(&mut counts.requests, now, self.bounds.window);
    }

    /// Takes one repeat, if this entry's part of the fleet's budget has one left. The share follows from own requests;
    /// the allowance is divided between the entries.
    pub(crate) fn take(&mut self, service: &ServiceId, entries: usize, now: Moment) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        forget(&mut counts.requests, now, self.bounds.window);
        forget(&mut counts.repeats, now, self.bounds.window);
        let allowance = self.bounds.allowance / entries.max(1) as f64;
        let earned = self.bounds.share * counts.requests.len() as f64;
        let is_left = (counts.repeats.len() as f64) + 1.0 <= SAFE_PART * (earned + allowance);
        if is_left {
            counts.repeats.push_back(now);
        }
        is_left
    }
}
