//! Registers the metrics of one daemon, updates them and encodes them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    sync::atomic::AtomicU64,
    time::{Duration, Instant},
};

use camphorwall::{
    BoxedBody, LatencyHistogram, LatencyMeasure, Outcome, PeerRefusal, ProblemKind, Revision,
    TeamId, full_body,
};
use hyper::Response;
use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Metric, Registry, Unit},
};
use strum::IntoEnumIterator as _;

use super::{
    labels::{
        OPEN_TEAM, OrderLabels, OutcomeLabels, PeerRefusalLabels, RequestLabels, Requester,
        RetryLabels, TeamLabels,
    },
    latencies::{Latencies, team_histograms},
    team_names::TeamNames,
};

/// Prefix of all metric names.
const PREFIX: &str = "camphorwall";

/// Path of the metrics, served without authentication.
pub(crate) const METRICS_PATH: &str = "/metrics";

/// Content type of `OpenMetrics` text.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Registers metrics under `PREFIX` and collects their names.
struct Registrar {
    registry: Registry,
    names: Vec<String>,
}

impl Registrar {
    fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.registry.register(name, help, metric.clone());
        self.names.push(format!("{PREFIX}_{name}"));
        metric
    }

    fn add_latencies(&mut self, measure: LatencyMeasure) -> Latencies {
        let name = measure.to_string();
        let family = team_histograms();
        self.registry
            .register_with_unit(&name, help(measure), Unit::Seconds, family.clone());
        self.names.push(format!("{PREFIX}_{name}_seconds"));
        Latencies::new(measure, family)
    }
}

const fn help(measure: LatencyMeasure) -> &'static str {
    match measure {
        LatencyMeasure::Queueing => "Time until a request has budget and a place",
        LatencyMeasure::TimeToFirstToken => "Time to the first token",
        LatencyMeasure::TokenGap => "Time between two tokens of an answer",
        LatencyMeasure::Whole => "Time to the whole answer",
    }
}

/// Metrics of one daemon.
pub(crate) struct Metrics {
    registry: Registry,
    /// Names of all metrics, including those without a series yet.
    #[cfg_attr(not(test), expect(dead_code, reason = "the test of the page reads it"))]
    names: Vec<String>,
    team_names: RefCell<TeamNames>,
    answers: Family<RequestLabels, Counter>,
    configuration_confirmed_age_s: Gauge<f64, AtomicU64>,
    configuration_refused: Gauge,
    engine_deployment_revision: Gauge,
    engine_orders: Family<OrderLabels, Counter>,
    engine_setup_differs: Gauge,
    outcomes: Family<OutcomeLabels, Counter>,
    peer_refusals: Family<PeerRefusalLabels, Counter>,
    latencies: BTreeMap<LatencyMeasure, Latencies>,
    requests: Family<RequestLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registrar = Registrar {
            registry: Registry::with_prefix(PREFIX),
            names: Vec::new(),
        };
        Self {
            answers: registrar.add(
                "answers",
                "Model answers that had begun and ended, by route and result",
            ),
            configuration_confirmed_age_s: registrar.add(
                "configuration_confirmed_age_seconds",
                "Time since the configuration service confirmed what is in force, -1 for never",
            ),
            configuration_refused: registrar.add(
                "configuration_refused",
                "Published documents and items that are refused now",
            ),
            engine_deployment_revision: registrar.add(
                "engine_deployment_revision",
                "Published revision that the engine's orders follow",
            ),
            engine_orders: registrar.add("engine_orders", "Orders given to the engine, by result"),
            engine_setup_differs: registrar.add(
                "engine_setup_differs",
                "1 while the engine does not run what is published for it",
            ),
            outcomes: registrar.add(
                "outcomes",
                "Requests not answered whole, by kind and outcome",
            ),
            peer_refusals: registrar.add(
                "peer_refusals",
                "Calls between own processes refused, by reason",
            ),
            latencies: LatencyMeasure::iter()
                .map(|measure| (measure, registrar.add_latencies(measure)))
                .collect(),
            requests: registrar.add("requests", "Requests ended, by route and result"),
            retries: registrar.add(
                "retries",
                "Further attempts of failed requests, made or over the retry budget",
            ),
            team_names: RefCell::new(TeamNames::new(Instant::now())),
            names: registrar.names,
            registry: registrar.registry,
        }
    }

    /// Sets the gauges of the published configuration: refused documents and items, and the time since the
    /// configuration service last confirmed it.
    pub(crate) fn note_configuration(&self, refused: usize, confirmed_age: Option<Duration>) {
        let age_s = confirmed_age.map_or(-1.0, |age| age.as_secs_f64());
        self.configuration_confirmed_age_s.set(age_s);
        let refused = i64::try_from(refused).unwrap_or(i64::MAX);
        self.configuration_refused.set(refused);
    }

    /// Sets the gauges of the engine: the published revision, and whether the engine runs the setup published for it.
    pub(crate) fn note_engine(&self, revision: Revision, runs_published_setup: bool) {
        let revision = i64::try_from(revision.get()).unwrap_or(i64::MAX);
        self.engine_deployment_revision.set(revision);
        self.engine_setup_differs
            .set(i64::from(!runs_published_setup));
    }

    /// Counts an order to the engine.
    pub(crate) fn count_order(&self, result: &str) {
        let result = result.into();
        self.engine_orders
            .get_or_create(&OrderLabels { result })
            .inc();
    }

    /// Counts an ended request.
    pub(crate) fn count_request(&self, route: &str, result: &str) {
        let labels = RequestLabels {
            route: route.into(),
            result: result.into(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the end of a model answer that had begun.
    pub(crate) fn count_answer(&self, route: &str, result: &str) {
        let labels = RequestLabels {
            route: route.into(),
            result: result.into(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a further attempt at a failed request, made or refused by the retry budget.
    pub(crate) fn count_retry(&self, result: &str) {
        self.retries
            .get_or_create(&RetryLabels {
                result: result.into(),
            })
            .inc();
    }

    /// Counts a request that was not answered completely.
    pub(crate) fn count_outcome(&self, kind: ProblemKind, outcome: Outcome) {
        let labels = OutcomeLabels {
            kind: kind.to_string(),
            outcome: outcome.to_string(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Returns a function that counts refused calls between the system's processes.
    pub(crate) fn peer_refusal_counter(&self) -> impl Fn(PeerRefusal) + 'static {
        let family = self.peer_refusals.clone();
        move |refusal| {
            let reason = refusal.to_string();
            family.get_or_create(&PeerRefusalLabels { reason }).inc();
        }
    }

    /// Counts a team's requests, by which the teams with their own series are selected.
    pub(crate) fn count_traffic(&self, requester: &Requester, now: Instant) {
        let Some(team) = &requester.team else { return };
        let removed = self.team_names.borrow_mut().count(team, now);
        for team in removed {
            self.remove_series(&team);
        }
    }

    fn remove_series(&self, team: &TeamId) {
        for latencies in self.latencies.values() {
            latencies.remove_team(team.as_str());
        }
    }

    fn team_labels(&self, requester: &Requester) -> TeamLabels {
        let names = self.team_names.borrow();
        let team = requester
            .team
            .as_ref()
            .map_or(OPEN_TEAM, |team| names.name(team));
        TeamLabels {
            team: team.into(),
            class: requester.class.get(),
        }
    }

    /// Records a latency of a request.
    pub(crate) fn observe(&self, measure: LatencyMeasure, requester: &Requester, time: Duration) {
        if let Some(latencies) = self.latencies.get(&measure) {
            latencies.observe(&self.team_labels(requester), time);
        }
    }

    /// Latencies by measure, team and class.
    pub(crate) fn histograms(&self) -> Vec<LatencyHistogram> {
        let latencies = self.latencies.values();
        latencies.flat_map(Latencies::histograms).collect()
    }

    /// Names of all metrics, for the test of the metrics page.
    #[cfg(test)]
    pub(super) fn names(&self) -> &[String] {
        &self.names
    }

    /// Encodes all metrics into a response.
    pub(crate) fn response(&self) -> Response<BoxedBody> {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::error!(event = "metrics_unwritable", %error);
        }
        let mut response = Response::new(full_body(text));
        let content_type = http::HeaderValue::from_static(CONTENT_TYPE);
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        response
    }
}
