//! How often requests may be sent to a further endpoint, over the whole fleet.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use camphorwall::ServiceId;
use serde::{Deserialize, Serialize};

use crate::clock::Moment;

/// Part of an entry's even share of the budget that it may use without hearing of the others.
const OWN_PART: f64 = 0.35;

/// Part of the fleet's budget that is shared by demand. What an entry keeps for itself beyond it stays within the bound.
const SHARED_PART: f64 = 0.8;

/// Time in which other entries may not have heard of own repeats.
const UNHEARD: Duration = Duration::from_millis(300);

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

/// What an entry tells its peers of one service: counts of the last window.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ToldRepeats {
    service: ServiceId,
    requests: u32,
    repeats: u32,
}

/// Entries of the fleet, as far as they are known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    /// Entries that are known, this one included.
    pub(crate) entries: usize,
    /// Whether all of them were heard lately.
    pub(crate) are_all_heard: bool,
}

/// Requests and repeats of each service in the last window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBounds,
    services: HashMap<ServiceId, Counts>,
    /// What peers told last, by incarnation.
    told: HashMap<u64, Vec<ToldRepeats>>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Counts {
    fn forget(&mut self, now: Moment, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}

impl RetryBudget {
    /// Makes a budget from which nothing was taken.
    #[must_use]
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
            told: HashMap::new(),
        }
    }

    /// Takes changed bounds over.
    pub(crate) fn rebind(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a caller's request.
    pub(crate) fn earn(&mut self, service: &ServiceId, now: Moment) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requests.push_back(now);
        counts.forget(now, self.bounds.window);
    }

    /// Takes one repeat, if the fleet's budget has one left for this entry.
    ///
    /// The load that this answers: failures that meet a few entries only. A part of the budget is each entry's own; the rest
    /// goes to whoever needs it, while all entries hear each other. What is left is divided between the entries for the
    /// time in which they don't know of each other's repeats.
    pub(crate) fn take(&mut self, service: &ServiceId, fleet: Fleet, now: Moment) -> bool {
        let told = self.told.values().flatten();
        let told = told.filter(|told| told.service == *service);
        let (peer_requests, peer_repeats) = told.fold((0, 0), |(requests, repeats), told| {
            (requests + told.requests, repeats + told.repeats)
        });
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, self.bounds.window);
        let (requests, repeats) = (counts.requests.len() as f64, counts.repeats.len() as f64);
        let entries = fleet.entries.max(1) as f64;
        let own_budget = self.bounds.share * requests + self.bounds.allowance / entries;
        let fleet_requests = requests + f64::from(peer_requests);
        let fleet_budget = self.bounds.share * fleet_requests + self.bounds.allowance;
        let left = SHARED_PART * fleet_budget - repeats - f64::from(peer_repeats);
        let unheard = counts.repeats.iter().rev();
        let unheard = unheard.take_while(|at| now.since(**at) < UNHEARD).count() as f64;
        let is_own = repeats + 1.0 <= OWN_PART * own_budget;
        let is_shared = fleet.are_all_heard && unheard + 1.0 <= left / entries;
        let is_left = is_own || is_shared;
        if is_left {
            counts.repeats.push_back(now);
        }
        is_left
    }

    /// Own counts, for peers.
    pub(crate) fn told(&mut self, now: Moment) -> Vec<ToldRepeats> {
        let window = self.bounds.window;
        let count = |times: &VecDeque<Moment>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        let told = |(service, counts): (&ServiceId, &mut Counts)| {
            counts.forget(now, window);
            ToldRepeats {
                service: service.clone(),
                requests: count(&counts.requests),
                repeats: count(&counts.repeats),
            }
        };
        self.services.iter_mut().map(told).collect()
    }

    /// Takes over what a peer has counted.
    pub(crate) fn note_peer(&mut self, incarnation: u64, told: Vec<ToldRepeats>) {
        self.told.insert(incarnation, told);
    }

    /// Forgets a peer that has ended.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.told.remove(&incarnation);
    }
}
