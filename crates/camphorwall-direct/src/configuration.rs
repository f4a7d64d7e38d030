//! The published configuration as an entry uses it.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use xxhash_rust::xxh3::Xxh3;

use crate::contract::homes::AllowedRegions;
use crate::names::{DataCentreName, EndpointName, ServiceName, TeamName};
use crate::route_table::RouteTable;

/// One version of the published configuration.
#[derive(Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version set by the operator; newer configurations have higher ones.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Whether callers need keys at all.
    pub has_teams: bool,
    /// Team that each key belongs to.
    pub keys: HashMap<Box<str>, Rc<Team>>,
    /// Limits of a caller's request.
    pub limits: CallerLimits,
    /// What of the document could not be read.
    pub unreadable: UnreadableParts,
}

/// Parts of a configuration that could not be read. A request that may need one is refused as not run, since the
/// configuration may allow it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnreadableParts {
    /// Number of routes whose host or path is not known.
    pub routes: u32,
    /// Services whose settings are not known.
    pub services: BTreeSet<ServiceName>,
    /// Number of teams whose keys are not known or can't be served.
    pub teams: u32,
}

impl UnreadableParts {
    /// Number of parts.
    #[must_use]
    pub fn count(&self) -> usize {
        self.routes as usize + self.services.len() + self.teams as usize
    }
}

/// Limits of a caller's request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Maximum time without bytes, within a body or between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(45),
        }
    }
}

/// Whether and how a route's requests may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint may continue an answer after the last event that was delivered.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn may_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Box<str>,
    /// Host in callers' requests, in lowercase.
    pub host: Box<str>,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// Maximum time in which a request is answered, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the answer, for streams to the first event, in milliseconds.
    pub target_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Time after which callers give up a request without any response, in milliseconds.
    pub wait_limit_ms: u64,
    /// Services with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_open: bool,
    /// Regions in which requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Time from a request's arrival to its deadline.
    #[must_use]
    pub fn time_limit(&self, deadline: Option<Duration>) -> Duration {
        let timeout = Duration::from_millis(self.timeout_ms);
        deadline.map_or(timeout, |deadline| deadline.min(timeout))
    }

    /// Time from a request's arrival within which an endpoint must begin to work on it. If it begins less than the
    /// target latency before the caller's wait limit, the caller may have left before the answer.
    #[must_use]
    pub fn start_within(&self, deadline: Option<Duration>) -> Duration {
        let wait_limit = Duration::from_millis(self.wait_limit_ms).min(self.time_limit(deadline));
        // On a route without a target of its own, `target_ms` equals the timeout.
        let work = Duration::from_millis(self.target_ms).min(wait_limit / 2);
        wait_limit.saturating_sub(work)
    }

    /// Picks a service by weight; `point` is a uniform random number in 0..1.
    #[must_use]
    pub fn service(&self, point: f64) -> Option<&ServiceName> {
        let weights = self.services.iter().map(|(_, weight)| f64::from(*weight));
        let mut left = point * weights.sum::<f64>();
        for (service, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Limits of its model engines; none for a plain service.
    pub engine: Option<EngineLimits>,
    /// Limit of the requests to an endpoint that is cold; none if its endpoints are never cold.
    pub cold: Option<ColdLimits>,
}

/// What a cold endpoint of a service can sustain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdLimits {
    /// Time for which an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// Requests that a cold endpoint can sustain in 1,000 seconds.
    pub requests_per_1000_s: u64,
}

impl ColdLimits {
    /// Whole requests that a cold endpoint may get from the entire fleet in any one second.
    #[must_use]
    pub fn allowance(&self, overshoot: f64, slack: f64) -> u32 {
        const MAX_ALLOWANCE: f64 = 1_000_000.0;
        let per_s = self.requests_per_1000_s as f64 / 1_000.0;
        whole(per_s.mul_add(overshoot, slack).min(MAX_ALLOWANCE))
    }
}

/// Drops the fraction of a number; a negative one gives 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "float casts saturate"
)]
fn whole(number: f64) -> u32 {
    number as u32
}

/// Limits of one model engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLimits {
    /// KV cache capacity in tokens.
    pub kv_capacity_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
}

/// A team's contract.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Name that is sent to endpoints.
    pub name: TeamName,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Tokens a second over the entire fleet; none without a limit.
    pub rate_per_s: Option<f64>,
    /// Tokens that may be used at once beyond the rate.
    pub burst: f64,
    /// Whether the rate counts tokens; otherwise it counts requests.
    pub counts_tokens: bool,
    /// Charge of a request without a token count.
    pub default_cost: f64,
    /// Regions in which the team's requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Digest of the callers' keys of a configuration and of the teams that they belong to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeysDigest(u128);

impl Configuration {
    /// Digest of the callers' keys and their teams, whatever their order.
    pub(crate) fn keys_digest(&self) -> KeysDigest {
        let mut digest = u128::from(self.has_teams);
        for (key, team) in &self.keys {
            let mut hash = Xxh3::new();
            hash.update(&key.len().to_le_bytes());
            hash.update(key.as_bytes());
            hash.update(team.name.as_str().as_bytes());
            digest = digest.wrapping_add(hash.digest128());
        }
        KeysDigest(digest)
    }
}

/// Part of a model's work that an endpoint does.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// All of a plain service's work.
    Whole,
}

/// Identifies one start of an endpoint; all entries derive the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct EndpointIncarnation(pub u64);

impl Endpoint {
    pub(crate) fn incarnation(&self) -> EndpointIncarnation {
        let mut hash = Xxh3::new();
        hash.update(self.id.as_str().as_bytes());
        hash.update(&self.started_ms.to_le_bytes());
        EndpointIncarnation(hash.digest())
    }
}

/// An endpoint as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Name of this run of the endpoint; most endpoints get a new one at each start.
    pub id: EndpointName,
    /// Start of the endpoint, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address at which the endpoint serves.
    pub address: std::net::SocketAddr,
    /// Data centre in which the endpoint runs.
    pub data_centre: DataCentreName,
    /// Maximum number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint takes no new work.
    pub is_draining: bool,
    /// Part of a model's work that the endpoint does.
    pub stage: Stage,
    /// How long the endpoint stays cold from the time at which it registered; a text that gives no time is kept for the log.
    pub cold_time: Option<Result<Duration, Box<str>>>,
}
