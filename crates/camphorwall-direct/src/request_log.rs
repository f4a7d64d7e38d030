//! Records the steps of one request and writes them as one log line at its end.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use camphorwall::RequestEnd;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Moment,
    configuration::{Configuration, Route, RouteKind, Team},
    entry::Entry,
    metrics::Phase,
    names::{EndpointName, TeamName},
};

/// Log lines a second for requests that were answered. Every failed request is logged.
const SAMPLED_PER_S: f64 = 25.0;

/// Time over which requests are counted to compute the share that is sampled.
const COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Steps of one request, with the times and choices that explain its outcome.
pub(crate) struct RequestLog {
    entry: Rc<Entry>,
    pub(crate) id: Box<str>,
    pub(crate) arrived_at: Moment,
    /// Whether the line is written at info level even if the request is answered.
    is_sampled: bool,
    has_ended: Cell<bool>,
    pub(crate) kind: Cell<Option<RouteKind>>,
    pub(crate) team: RefCell<Option<TeamName>>,
    pub(crate) route: RefCell<Option<Box<str>>>,
    pub(crate) configuration_version: Cell<u64>,
    /// Tokens that are charged to the team.
    pub(crate) tokens: Cell<f64>,
    /// Time spent waiting for the team's tokens.
    pub(crate) quota_wait: Cell<Duration>,
    /// Time spent waiting for a decode placement, or for an endpoint with room for a plain call.
    pub(crate) placement_wait: Cell<Duration>,
    /// Endpoints that were not considered because they leave or asked for no requests.
    pub(crate) passed_over: Cell<usize>,
    /// Time spent waiting for endpoints that asked for no requests.
    pub(crate) hold_off_wait: Cell<Duration>,
    /// Duration of the prefill, and its endpoint.
    pub(crate) prefill: Cell<Duration>,
    pub(crate) prefill_endpoint: RefCell<Option<EndpointName>>,
    pub(crate) endpoint: RefCell<Option<EndpointName>>,
    /// Expected and actual milliseconds of the prefill or plain call, where choices compare expected times.
    pub(crate) expected_time: Cell<Option<(f64, f64)>>,
    /// The same for one generated token.
    pub(crate) expected_token_time: Cell<Option<(f64, f64)>>,
    /// Tokens of the prompt that the prefill endpoint was expected to hold.
    pub(crate) held_tokens: Cell<u32>,
    /// Time from the arrival to the head of the answer.
    pub(crate) time_to_head: Cell<Option<Duration>>,
    /// Attempts that may have run, and attempts that endpoints refused.
    pub(crate) runs: Cell<u32>,
    pub(crate) refusals: Cell<u32>,
}

impl RequestLog {
    pub(crate) fn new(entry: &Rc<Entry>, id: &str, arrived_at: Moment) -> Self {
        let is_sampled = entry.sampler.borrow_mut().is_sampled(id, arrived_at);
        Self {
            entry: Rc::clone(entry),
            id: id.into(),
            arrived_at,
            is_sampled,
            has_ended: Cell::default(),
            kind: Cell::default(),
            team: RefCell::default(),
            route: RefCell::default(),
            configuration_version: Cell::default(),
            tokens: Cell::default(),
            quota_wait: Cell::default(),
            placement_wait: Cell::default(),
            passed_over: Cell::default(),
            hold_off_wait: Cell::default(),
            prefill: Cell::default(),
            prefill_endpoint: RefCell::default(),
            endpoint: RefCell::default(),
            expected_time: Cell::default(),
            expected_token_time: Cell::default(),
            held_tokens: Cell::default(),
            time_to_head: Cell::default(),
            runs: Cell::default(),
            refusals: Cell::default(),
        }
    }

    /// Records the route that the request's host and path selected.
    pub(crate) fn note_route(&self, configuration: &Configuration, route: &Route) {
        self.configuration_version.set(configuration.version);
        self.kind.set(Some(route.kind));
        self.route.replace(Some(route.name.clone()));
    }

    /// Records the team that the request's key belongs to.
    pub(crate) fn note_team(&self, team: Option<&Team>) {
        self.team.replace(team.map(|team| team.name.clone()));
    }

    /// Adds the time elapsed since a moment to one of the durations.
    pub(crate) fn add_elapsed(duration: &Cell<Duration>, since: Moment) {
        duration.set(duration.get() + Moment::now().since(since));
    }

    /// Records that the head of an answer has arrived.
    pub(crate) fn note_response_head(&self) {
        if self.time_to_head.get().is_none() {
            self.time_to_head
                .set(Some(Moment::now().since(self.arrived_at)));
        }
    }

    /// Counts the end of the request and writes its line.
    pub(crate) fn end(&self, status: u16, outcome: RequestEnd, events: u32) {
        self.has_ended.set(true);
        let metrics = &self.entry.metrics;
        metrics.count_request(self.kind.get(), outcome);
        if let Some(kind) = self.kind.get() {
            metrics.note_phase(kind, Phase::Quota, self.quota_wait.get());
            metrics.note_phase(kind, Phase::Place, self.placement_wait.get());
            metrics.note_phase(kind, Phase::Prefill, self.prefill.get());
            if let Some(time_to_head) = self.time_to_head.get() {
                metrics.note_phase(kind, Phase::First, time_to_head);
            }
            let elapsed = Moment::now().since(self.arrived_at);
            metrics.note_phase(kind, Phase::Whole, elapsed);
        }
        self.write_line(status, outcome, events);
    }

    fn write_line(&self, status: u16, outcome: RequestEnd, events: u32) {
        let ms = |duration: Duration| duration.as_millis();
        let name = |endpoint: &RefCell<Option<EndpointName>>| {
            let endpoint = endpoint.borrow();
            endpoint
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default()
        };
        let expected = |times: &Cell<Option<(f64, f64)>>| times.get().map(|(expected, _)| expected);
        let actual = |times: &Cell<Option<(f64, f64)>>| times.get().map(|(_, actual)| actual);
        let is_answered = outcome == RequestEnd::Answered;
        macro_rules! write_event {
            ($level:ident) => {
                tracing::$level!(
                    event = "request_ended",
                    request_id = &*self.id,
                    outcome = outcome.label(),
                    status,
                    route = self.route.borrow().as_deref().unwrap_or_default(),
                    team = self.team.borrow().as_ref().map(tracing::field::display),
                    configuration = self.configuration_version.get(),
                    tokens = self.tokens.get(),
                    quota_wait_ms = ms(self.quota_wait.get()),
                    place_wait_ms = ms(self.placement_wait.get()),
                    passed_over = self.passed_over.get(),
                    hold_off_wait_ms = ms(self.hold_off_wait.get()),
                    prefill_ms = ms(self.prefill.get()),
                    prefill_endpoint = name(&self.prefill_endpoint),
                    endpoint = name(&self.endpoint),
                    expected_ms = expected(&self.expected_time),
                    actual_ms = actual(&self.expected_time),
                    held_tokens = self.held_tokens.get(),
                    expected_token_ms = expected(&self.expected_token_time),
                    actual_token_ms = actual(&self.expected_token_time),
                    runs = self.runs.get(),
                    refusals = self.refusals.get(),
                    first_ms = self.time_to_head.get().map(|time| time.as_secs_f64() * 1e3),
                    events,
                    elapsed_ms = ms(Moment::now().since(self.arrived_at)),
                )
            };
        }
        if self.is_sampled || !is_answered {
            write_event!(info);
        } else {
            write_event!(debug);
        }
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            self.end(0, RequestEnd::CallerLeft, 0);
        }
    }
}

/// Chooses the answered requests whose lines are written at info level.
#[derive(Debug)]
pub(crate) struct Sampler {
    counted_from: Moment,
    count: u32,
    share: f64,
}

impl Sampler {
    pub(crate) const fn new(now: Moment) -> Self {
        Self {
            counted_from: now,
            count: 0,
            share: 1.0,
        }
    }

    /// Counts a request and returns whether its line is written. The choice depends on the request id, so entries under
    /// equal load choose the same requests.
    pub(crate) fn is_sampled(&mut self, request_id: &str, now: Moment) -> bool {
        let counted = now.since(self.counted_from);
        if counted >= COUNT_PERIOD {
            let per_s = f64::from(self.count) / counted.as_secs_f64();
            self.share = SAMPLED_PER_S / per_s.max(SAMPLED_PER_S);
            self.counted_from = now;
            self.count = 0;
        }
        self.count += 1;
        let point = xxh3_64(request_id.as_bytes()) as f64 / u64::MAX as f64;
        point < self.share
    }
}
