//! Metrics of an entry. The number of series is bounded: label values come from the code, never from callers.

use std::{cell::RefCell, sync::atomic::AtomicU64, time::Duration};

use camphorwall::{BoxedBody, RequestEnd, full_body};
use http::{HeaderValue, StatusCode, header};
use hyper::Response;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use strum::{IntoEnumIterator as _, IntoStaticStr};

use crate::{
    configuration::{RouteKind, Stage},
    dialect::UnreadableReason,
    serve::completeness::BreakReason,
};

/// Content type of `OpenMetrics` text.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of all metric names.
const PREFIX: &str = "camphorwall_direct";

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PhaseLabels {
    kind: &'static str,
    phase: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct NoticeLabels {
    notice: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StageLabels {
    stage: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabels {
    result: &'static str,
}

/// Part of a request's time.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// Wait for the team's tokens.
    Quota,
    /// Wait for a decode placement.
    Place,
    /// The prefill call.
    Prefill,
    /// From the arrival to the head of the answer.
    First,
    /// From the arrival to the end.
    Whole,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Notice {
    Leaving,
    HoldOff,
    UnreadableTime,
}

/// Values of the gauges, read at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GaugeValues {
    pub(crate) configuration_version: u64,
    pub(crate) keys_proof_age: Option<Duration>,
    pub(crate) configuration_outdated: Option<Duration>,
    /// Version that can't be put in force, and since when.
    pub(crate) stuck: Option<(UnreadableReason, u64, Duration)>,
    pub(crate) unreadable_parts: usize,
    pub(crate) cold_endpoints: usize,
    pub(crate) active: usize,
    pub(crate) waiting: usize,
    pub(crate) peers_known: usize,
    pub(crate) peers_silent: usize,
    pub(crate) allowance_entries: usize,
    pub(crate) evacuated_centres: usize,
    pub(crate) reads_store: bool,
    pub(crate) store_era: u64,
    pub(crate) log_lines_dropped: u64,
    pub(crate) memory_held_bytes: usize,
    pub(crate) memory_limit_bytes: usize,
}

/// Metrics of one entry.
pub(crate) struct Metrics {
    registry: RefCell<Registry>,
    requests: Family<RequestLabels, Counter>,
    broken_answers: Family<ReasonLabels, Counter>,
    unconfirmed_refusals: Family<StatusLabels, Counter>,
    phases: Family<PhaseLabels, Histogram>,
    retries: Family<ResultLabels, Counter>,
    notices: Family<NoticeLabels, Counter>,
    cold_sends: Family<ResultLabels, Counter>,
    estimate_errors: Histogram,
    expected_time_errors: Family<StageLabels, Histogram>,
    prefix_requests: Family<ResultLabels, Counter>,
    prefix_tokens: Counter,
    configuration_version: Gauge<u64, AtomicU64>,
    keys_proof_age: Gauge<f64, AtomicU64>,
    configuration_outdated: Gauge<f64, AtomicU64>,
    stuck_version: Family<ReasonLabels, Gauge<u64, AtomicU64>>,
    stuck_seconds: Gauge<f64, AtomicU64>,
    unreadable_parts: Gauge<u64, AtomicU64>,
    cold_endpoints: Gauge<u64, AtomicU64>,
    active: Gauge<u64, AtomicU64>,
    waiting: Gauge<u64, AtomicU64>,
    peers_known: Gauge<u64, AtomicU64>,
    peers_silent: Gauge<u64, AtomicU64>,
    allowance_entries: Gauge<u64, AtomicU64>,
    evacuated_centres: Gauge<u64, AtomicU64>,
    reads_store: Gauge<u64, AtomicU64>,
    store_era: Gauge<u64, AtomicU64>,
    log_lines_dropped: Gauge<u64, AtomicU64>,
    memory_held_bytes: Gauge<u64, AtomicU64>,
    memory_limit_bytes: Gauge<u64, AtomicU64>,
}

fn phase_histogram() -> Histogram {
    // Buckets from 5 ms to 20 s.
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

fn ratio_histogram() -> Histogram {
    // Ratios from 1/16 to 16.
    Histogram::new(exponential_buckets(0.0625, 2.0, 9))
}

fn kind_label(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "none",
        Some(RouteKind::Idempotent) => "idempotent",
        Some(RouteKind::NonIdempotent) => "non_idempotent",
        Some(RouteKind::Stream { .. }) => "stream",
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: RefCell::new(Registry::with_prefix(PREFIX)),
            requests: Family::default(),
            broken_answers: Family::default(),
            unconfirmed_refusals: Family::default(),
            phases: Family::new_with_constructor(phase_histogram),
            retries: Family::default(),
            notices: Family::default(),
            cold_sends: Family::default(),
            estimate_errors: ratio_histogram(),
            expected_time_errors: Family::new_with_constructor(ratio_histogram),
            prefix_requests: Family::default(),
            prefix_tokens: Counter::default(),
            configuration_version: Gauge::default(),
            keys_proof_age: Gauge::default(),
            configuration_outdated: Gauge::default(),
            stuck_version: Family::default(),
            stuck_seconds: Gauge::default(),
            unreadable_parts: Gauge::default(),
            cold_endpoints: Gauge::default(),
            active: Gauge::default(),
            waiting: Gauge::default(),
            peers_known: Gauge::default(),
            peers_silent: Gauge::default(),
            allowance_entries: Gauge::default(),
            evacuated_centres: Gauge::default(),
            reads_store: Gauge::default(),
            store_era: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            memory_held_bytes: Gauge::default(),
            memory_limit_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        self.register_requests();
        self.register_gauges();
        self.register_configuration();
    }

    fn register_requests(&self) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "requests",
            "Requests ended, by outcome",
            self.requests.clone(),
        );
        registry.register(
            "broken_answers",
            "Answers of endpoints that were incomplete, by reason",
            self.broken_answers.clone(),
        );
        registry.register(
            "unconfirmed_refusals",
            "Refusals of endpoints that may have run the request, replaced by 502, by status",
            self.unconfirmed_refusals.clone(),
        );
        registry.register(
            "phase_seconds",
            "Parts of requests' time",
            self.phases.clone(),
        );
        registry.register(
            "repeats",
            "Sends to a further endpoint",
            self.retries.clone(),
        );
        registry.register(
            "endpoint_notices",
            "Endpoints that said in an answer that they leave or want no requests for a time",
            self.notices.clone(),
        );
        registry.register(
            "cold_sends",
            "Requests to cold endpoints that were sent, or denied for want of a permit",
            self.cold_sends.clone(),
        );
        registry.register(
            "output_estimate_ratio",
            "Generated tokens over the estimate at placement",
            self.estimate_errors.clone(),
        );
        registry.register(
            "expected_time_ratio",
            "Actual over expected time of work, by stage, where choices compare expected times",
            self.expected_time_errors.clone(),
        );
        registry.register(
            "prefix_requests",
            "Prefills at an endpoint that was expected to hold the start of the prompt, by whether it did",
            self.prefix_requests.clone(),
        );
        registry.register(
            "prefix_saved_tokens",
            "Tokens of prompts that endpoints held and did not prefill",
            self.prefix_tokens.clone(),
        );
    }

    fn register_gauges(&self) {
        let mut registry = self.registry.borrow_mut();
        let mut gauge = |name: &str, help: &str, gauge: &Gauge<u64, AtomicU64>| {
            registry.register(name, help, gauge.clone());
        };
        gauge(
            "configuration_version",
            "Version in force, 0 for none",
            &self.configuration_version,
        );
        gauge(
            "configuration_unreadable_parts",
            "Routes, services and teams of the configuration in force that can't be read",
            &self.unreadable_parts,
        );
        gauge(
            "cold_endpoints",
            "Registered endpoints that are cold",
            &self.cold_endpoints,
        );
        gauge("active_requests", "Requests under way", &self.active);
        gauge(
            "waiting_requests",
            "Requests that wait for a decode place",
            &self.waiting,
        );
        gauge(
            "peers_known",
            "Other entries that are known",
            &self.peers_known,
        );
        gauge(
            "peers_silent",
            "Other entries whose share of quotas is withheld",
            &self.peers_silent,
        );
        gauge(
            "allowance_entries",
            "Entries that share the retry allowance, 0 while this entry uses none",
            &self.allowance_entries,
        );
        gauge(
            "evacuated_data_centres",
            "Evacuated data centres in which endpoints are registered",
            &self.evacuated_centres,
        );
        gauge(
            "reads_store",
            "1 while the entry reads the store for its data centre, 0 while it follows another",
            &self.reads_store,
        );
        gauge(
            "store_era",
            "Times the store was restored from a copy",
            &self.store_era,
        );
        gauge(
            "log_lines_dropped",
            "Log lines that found the ring full",
            &self.log_lines_dropped,
        );
        gauge(
            "memory_held_bytes",
            "Memory reserved for connections, bodies and answers",
            &self.memory_held_bytes,
        );
        gauge(
            "memory_limit_bytes",
            "Memory that may be reserved",
            &self.memory_limit_bytes,
        );
    }

    fn register_configuration(&self) {
        let mut registry = self.registry.borrow_mut();
        registry.register(
            "keys_proof_age_seconds",
            "Age of the proof that the configuration is the newest, -1 for none",
            self.keys_proof_age.clone(),
        );
        registry.register(
            "configuration_stuck_version",
            "Newer version that can't be put in force, by reason, 0 for none",
            self.stuck_version.clone(),
        );
        registry.register(
            "configuration_stuck_seconds",
            "Time since the first sign of a version that can't be put in force, 0 for none",
            self.stuck_seconds.clone(),
        );
        registry.register(
            "configuration_outdated_seconds",
            "Time since the first sign of a newer configuration that has not been read yet, 0 if there is none",
            self.configuration_outdated.clone(),
        );
    }

    /// Counts the end of a request.
    pub(crate) fn count_request(&self, kind: Option<RouteKind>, outcome: RequestEnd) {
        let labels = RequestLabels {
            kind: kind_label(kind),
            outcome: outcome.label(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an incomplete answer of an endpoint, whether or not another endpoint replaces or continues it.
    pub(crate) fn count_broken_answer(&self, reason: BreakReason) {
        let reason = reason.label();
        self.broken_answers
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a refusal of a request that must not run twice, from an endpoint that doesn't state that it has not run.
    pub(crate) fn count_unconfirmed_refusal(&self, status: StatusCode) {
        let status = status.as_u16();
        self.unconfirmed_refusals
            .get_or_create(&StatusLabels { status })
            .inc();
    }

    /// Records the time of a part of a request.
    pub(crate) fn note_phase(&self, kind: RouteKind, phase: Phase, time: Duration) {
        let labels = PhaseLabels {
            kind: kind_label(Some(kind)),
            phase: phase.into(),
        };
        self.phases
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Counts a retry that was sent or that the budget did not allow.
    pub(crate) fn count_retry(&self, is_within_budget: bool) {
        let result = if is_within_budget {
            "sent"
        } else {
            "over_budget"
        };
        self.retries.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts what an endpoint said of itself.
    pub(crate) fn count_notice(&self, notice: Notice) {
        let notice = notice.into();
        self.notices.get_or_create(&NoticeLabels { notice }).inc();
    }

    /// Counts a request to a cold endpoint that was about to be sent.
    pub(crate) fn count_cold_send(&self, has_permit: bool) {
        let result = if has_permit { "sent" } else { "denied" };
        self.cold_sends
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Records the ratio of a complete answer's tokens to the estimate.
    pub(crate) fn note_estimate(&self, estimated: u64, generated: u32) {
        let ratio = f64::from(generated) / estimated.max(1) as f64;
        self.estimate_errors.observe(ratio);
    }

    /// Records the ratio of the actual time of work to the one that its choice expected.
    pub(crate) fn note_expected_time(&self, stage: Stage, expected_ms: f64, actual_ms: f64) {
        let stage = match stage {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
            Stage::Whole => "whole",
        };
        self.expected_time_errors
            .get_or_create(&StageLabels { stage })
            .observe(actual_ms / expected_ms.max(1e-3));
    }

    /// Counts a prefill at an endpoint that was expected to hold tokens of the prompt.
    pub(crate) fn count_prefix(&self, held_tokens: u32, was_held: bool) {
        let result = if was_held { "held" } else { "missed" };
        self.prefix_requests
            .get_or_create(&ResultLabels { result })
            .inc();
        if was_held {
            self.prefix_tokens.inc_by(held_tokens.into());
        }
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self, gauges: GaugeValues) -> String {
        self.configuration_version.set(gauges.configuration_version);
        let proof_age = gauges.keys_proof_age.map_or(-1.0, |age| age.as_secs_f64());
        self.keys_proof_age.set(proof_age);
        let outdated = gauges.configuration_outdated.unwrap_or_default();
        self.configuration_outdated.set(outdated.as_secs_f64());
        for reason in UnreadableReason::iter() {
            let stuck = gauges.stuck.filter(|(stuck, _, _)| *stuck == reason);
            let labels = ReasonLabels {
                reason: reason.into(),
            };
            let version = stuck.map_or(0, |(_, version, _)| version);
            self.stuck_version.get_or_create(&labels).set(version);
        }
        let stuck_for = gauges.stuck.map(|(_, _, time)| time).unwrap_or_default();
        self.stuck_seconds.set(stuck_for.as_secs_f64());
        self.unreadable_parts.set(gauges.unreadable_parts as u64);
        self.cold_endpoints.set(gauges.cold_endpoints as u64);
        self.active.set(gauges.active as u64);
        self.waiting.set(gauges.waiting as u64);
        self.peers_known.set(gauges.peers_known as u64);
        self.peers_silent.set(gauges.peers_silent as u64);
        self.allowance_entries.set(gauges.allowance_entries as u64);
        self.evacuated_centres.set(gauges.evacuated_centres as u64);
        self.reads_store.set(u64::from(gauges.reads_store));
        self.store_era.set(gauges.store_era);
        self.log_lines_dropped.set(gauges.log_lines_dropped);
        self.memory_held_bytes.set(gauges.memory_held_bytes as u64);
        self.memory_limit_bytes
            .set(gauges.memory_limit_bytes as u64);
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.borrow()) {
            tracing::warn!(event = "metrics_not_encoded", %error);
        }
        text
    }

    /// Returns all metrics as a response to a scrape.
    pub(crate) fn response(&self, gauges: GaugeValues) -> Response<BoxedBody> {
        let text = self.text(gauges);
        let mut response = Response::new(full_body(text));
        let content_type = HeaderValue::from_static(CONTENT_TYPE);
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
    }
}
