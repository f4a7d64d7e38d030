//! Applies the limit of requests to cold endpoints: at the choice of an endpoint and right before a request is sent.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use camphorwall::RequestEnd;

use crate::{
    clock::Moment,
    configuration::{Endpoint, Stage},
    dialect::AnswerFacts,
    endpoints::{
        cold::{ColdSplit, MemberId, PERMIT_PERIOD, ReportedSplit},
        cold_times::{Change, ColdTimes, ReportedColdTime},
    },
    entry::Entry,
    names::{EndpointName, ServiceName},
    request::Admitted,
    serve::{outcome::Progress, refusal::Refusal},
};

/// How often endpoints that have become cold or warm are logged.
const LOG_PERIOD: Duration = Duration::from_millis(250);

/// What an entry knows of cold endpoints.
#[derive(Debug)]
pub(crate) struct ColdState {
    pub(crate) times: ColdTimes,
    pub(crate) split: ColdSplit,
    /// Number of registered endpoints that are cold.
    cold_endpoints: usize,
    logged_at: Moment,
}

impl ColdState {
    pub(crate) fn new(own: MemberId, incarnation: u64) -> Self {
        let now = Moment::now();
        Self {
            times: ColdTimes::default(),
            split: ColdSplit::new(own, incarnation, now),
            cold_endpoints: 0,
            logged_at: now,
        }
    }

    /// Adds members of the settings, which may be stale.
    pub(crate) fn add_seeds(&mut self, seeds: Vec<MemberId>) {
        let now = Moment::now();
        for seed in seeds {
            self.split.add_seed(seed, now);
        }
    }
}

/// Limit of a service's cold endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdLimit {
    /// Time for which an endpoint is cold after its start.
    after_start: Duration,
    /// Requests in any one second from the entire fleet.
    total: u32,
}

/// Whether an endpoint may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Warmth {
    Warm,
    /// It is cold, and this entry has a permit left.
    Cold,
    /// It is cold, and this entry has no permit left.
    Denied,
}

impl ColdState {
    /// Whether an endpoint may be chosen for a request, besides those for which it has been chosen already.
    pub(crate) fn warmth(
        &mut self,
        endpoint: &Endpoint,
        limit: Option<ColdLimit>,
        now: Moment,
    ) -> Warmth {
        let unsent = if limit.is_some() {
            self.times.unsent(endpoint.incarnation(), now)
        } else {
            0
        };
        self.warmth_beside(unsent, endpoint, limit, now)
    }

    /// Whether an endpoint may get a request besides a number of others that are still to be sent.
    fn warmth_beside(
        &mut self,
        unsent: usize,
        endpoint: &Endpoint,
        limit: Option<ColdLimit>,
        now: Moment,
    ) -> Warmth {
        let Some(limit) = limit else {
            return Warmth::Warm;
        };
        let incarnation = endpoint.incarnation();
        if self
            .times
            .cold_for(incarnation, limit.after_start, now)
            .is_zero()
        {
            return Warmth::Warm;
        }
        self.split.note_wanted(now);
        let permits = self.split.permits(incarnation, limit.total, now) as usize;
        if self.times.recent_sends(incarnation, now) + unsent < permits {
            Warmth::Cold
        } else {
            Warmth::Denied
        }
    }
}

impl Entry {
    /// Limit of a service's cold endpoints; `None` if they are never cold.
    pub(crate) fn cold_limit(&self, service: &ServiceName) -> Option<ColdLimit> {
        let registry = self.registry.borrow();
        let limits = registry.configuration()?.services.get(service)?.cold?;
        let settings = self.settings();
        let bounds = &settings.bounds;
        Some(ColdLimit {
            after_start: Duration::from_millis(limits.start_ms),
            total: limits.allowance(bounds.cold_overshoot(), bounds.cold_slack()),
        })
    }

    fn has_cold_limits(&self) -> bool {
        let registry = self.registry.borrow();
        let configuration = registry.configuration();
        configuration.is_some_and(|current| {
            let mut services = current.services.values();
            services.any(|service| service.cold.is_some())
        })
    }

    /// Whether the limit of cold endpoints keeps a request from an endpoint at present.
    pub(crate) fn is_cold_denied(&self, endpoint: &Endpoint, now: Moment) -> bool {
        let limit = self.cold_limit(&endpoint.service);
        let mut cold = self.cold.borrow_mut();
        cold.warmth(endpoint, limit, now) == Warmth::Denied
    }

    /// Counts a request for which an endpoint was chosen. Without it, all requests that wait for a place would be given
    /// one at a cold endpoint with a single permit, and their prompts be prefilled for nothing.
    pub(crate) fn note_chosen(&self, endpoint: &Endpoint) {
        if self.cold_limit(&endpoint.service).is_some() {
            let mut cold = self.cold.borrow_mut();
            cold.times
                .count_choice(endpoint.incarnation(), Moment::now());
        }
    }

    /// Counts a request that is about to be sent; returns whether it may be. Every send needs it, also one that isn't a
    /// caller's.
    pub(crate) fn begin_send(&self, endpoint: &Endpoint, now: Moment) -> bool {
        let Some(limit) = self.cold_limit(&endpoint.service) else {
            return true;
        };
        let mut cold = self.cold.borrow_mut();
        cold.times.end_choice(endpoint.incarnation());
        let warmth = cold.warmth_beside(0, endpoint, Some(limit), now);
        if warmth != Warmth::Warm {
            self.metrics.count_cold_send(warmth == Warmth::Cold);
        }
        if warmth == Warmth::Denied {
            return false;
        }
        // Also to a warm endpoint, which may say at any moment that it has become cold.
        cold.times.count_send(endpoint.incarnation(), now);
        true
    }

    /// Uncounts a request that did not reach the endpoint.
    pub(crate) fn undo_send(&self, endpoint: &Endpoint, sent_at: Moment) {
        let mut cold = self.cold.borrow_mut();
        cold.times.uncount_send(endpoint.incarnation(), sent_at);
    }

    /// Records a changed registration.
    pub(crate) fn note_cold_registration(&self, endpoint: &Endpoint, now: Moment) {
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut cold = self.cold.borrow_mut();
        cold.times
            .note_registration(endpoint, unix_now.unwrap_or_default(), now);
    }

    /// Records what an endpoint says of its cold time in the head of an answer.
    pub(crate) fn note_cold_answer(&self, endpoint: &Endpoint, facts: &AnswerFacts, now: Moment) {
        let incarnation = endpoint.incarnation();
        let times = &mut self.cold.borrow_mut().times;
        match &facts.cold_time {
            Some(Ok(left)) => times.note_answer(incarnation, *left, now),
            Some(Err(value)) if times.note_unreadable(incarnation) => {
                let value = &**value;
                tracing::warn!(event = "cold_time_unreadable", endpoint = %endpoint.id, value);
            }
            Some(Err(_)) | None => {}
        }
    }

    /// What a heartbeat reports to the peers; nothing if no service has a limit.
    pub(crate) fn report_cold(
        &self,
        now: Moment,
    ) -> Option<(ReportedSplit, Vec<ReportedColdTime>)> {
        if !self.has_cold_limits() {
            return None;
        }
        let mut cold = self.cold.borrow_mut();
        Some((cold.split.report(now), cold.times.report(now)))
    }

    /// Records a peer's heartbeat.
    pub(crate) fn note_cold_peer(
        &self,
        incarnation: u64,
        reported: Option<(ReportedSplit, Vec<ReportedColdTime>)>,
        now: Moment,
    ) {
        if let Some((split, times)) = reported {
            let mut cold = self.cold.borrow_mut();
            cold.split.note_peer(incarnation, split, now);
            for time in times {
                cold.times.note_peer(time, now);
            }
        }
    }

    /// Number of registered endpoints that were cold when last looked at.
    pub(crate) fn cold_endpoints(&self) -> usize {
        self.cold.borrow().cold_endpoints
    }

    /// Logs which endpoints have become cold or warm, and drops what is known of those that have left.
    pub(crate) fn log_cold_changes(&self, now: Moment) {
        let is_due = now.since(self.cold.borrow().logged_at) >= LOG_PERIOD;
        if !is_due || !(self.has_cold_limits() || self.cold.borrow().times.is_full()) {
            return;
        }
        let registry = self.registry.borrow();
        let mut registered = HashSet::new();
        let mut cold_endpoints = 0;
        let mut logged = 0;
        for endpoint in registry.all() {
            let incarnation = endpoint.incarnation();
            registered.insert(incarnation);
            let limit = self.cold_limit(&endpoint.service);
            let mut cold = self.cold.borrow_mut();
            let cold_for = limit.map_or(Duration::ZERO, |limit| {
                cold.times.cold_for(incarnation, limit.after_start, now)
            });
            cold_endpoints += usize::from(!cold_for.is_zero());
            if logged >= ColdTimes::max_logged() {
                continue;
            }
            let change = cold.times.note_state(incarnation, cold_for);
            logged += usize::from(change.is_some());
            match change {
                None => {}
                Some(Change::Cold { left }) => {
                    let permits =
                        limit.map_or(0, |limit| cold.split.permits(incarnation, limit.total, now));
                    tracing::info!(
                        event = "endpoint_cold",
                        endpoint = %endpoint.id,
                        for_s = left.as_secs_f64(),
                        total_per_s = limit.map(|limit| limit.total),
                        own_per_s = permits,
                    );
                }
                Some(Change::Warm) => {
                    tracing::info!(event = "endpoint_warm", endpoint = %endpoint.id);
                    self.placement_queue.notify();
                }
            }
        }
        let mut cold = self.cold.borrow_mut();
        cold.times.keep_only(&registered);
        cold.cold_endpoints = cold_endpoints;
        cold.logged_at = now;
    }
}

/// When the first cold endpoint that a request was kept from may get one; `None` if the limit kept it from none.
fn cold_until(
    entry: &Entry,
    service: &ServiceName,
    stage: Stage,
    excluded: &[EndpointName],
    now: Moment,
) -> Option<Moment> {
    let limit = entry.cold_limit(service)?;
    let registry = entry.registry.borrow();
    let mut cold = entry.cold.borrow_mut();
    let endpoints = registry.endpoints(service, stage, now);
    let endpoints = endpoints.filter(|endpoint| !excluded.contains(&endpoint.id));
    let times = endpoints.filter_map(|endpoint| {
        if cold.warmth(endpoint, Some(limit), now) != Warmth::Denied {
            return None;
        }
        let incarnation = endpoint.incarnation();
        let warm_at = now + cold.times.cold_for(incarnation, limit.after_start, now);
        let next_send_at = cold.times.next_send_at(incarnation, now);
        Some(warm_at.min(next_send_at.unwrap_or(now + PERMIT_PERIOD)))
    });
    times.min()
}

/// The refusal of a request for which there is no endpoint: `usual`, unless only the limit of cold endpoints kept it from
/// some.
pub(crate) fn no_endpoint(
    entry: &Entry,
    admitted: &Admitted,
    progress: &Progress,
    usual: RequestEnd,
    retry_after: Duration,
) -> Refusal {
    let now = Moment::now();
    let (service, stage) = (&admitted.service, admitted.stage());
    match cold_until(entry, service, stage, &progress.excluded, now) {
        Some(until) => {
            let retry_after = retry_after.max(until.since(now));
            progress.give_up(RequestEnd::EndpointsCold, retry_after)
        }
        None => progress.give_up(usual, retry_after),
    }
}

/// Number of endpoints that the limit of cold endpoints keeps from getting a request.
pub(crate) fn count_denied<'a>(
    entry: &Entry,
    endpoints: impl Iterator<Item = &'a Rc<Endpoint>>,
    now: Moment,
) -> usize {
    endpoints
        .filter(|endpoint| entry.is_cold_denied(endpoint, now))
        .count()
}
