//! The published configuration as an entry uses it.

use std::{collections::HashMap, rc::Rc, time::Duration};

use camphorwall::{DataCentreId, EndpointId, ServiceId, TeamId};
use strum::{Display, EnumString};

/// One version of the published configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    /// Version that the operator gave it; newer ones are higher.
    pub version: u64,
    /// Routes in the published order.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// Whether callers need keys at all.
    pub has_teams: bool,
    /// Team that holds each key.
    pub keys: HashMap<Box<str>, Rc<Team>>,
    /// Limits of what a caller may send.
    pub limits: CallerLimits,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
        }
    }
}

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether an answer may go on at another endpoint after the last event that was delivered.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent once more.
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
#[derive(Debug)]
pub struct Route {
    /// Name in logs.
    pub name: Box<str>,
    /// Host that callers name, in lowercase.
    pub host: Box<str>,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the answer, of streams to the first event, in which it has its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Time after which callers give up a request of which nothing has come.
    pub wait_limit_ms: u64,
    /// Services with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

impl Route {
    /// Time from a request's arrival after which its caller must have the final answer.
    #[must_use]
    pub fn time_limit(&self, deadline: Option<Duration>) -> Duration {
        let timeout = Duration::from_millis(self.timeout_ms);
        deadline.map_or(timeout, |deadline| deadline.min(timeout))
    }

    /// Time from a request's arrival within which an endpoint must begin with it: whoever begins later than a target
    /// before the caller's patience ends works for a caller that may have left.
    #[must_use]
    pub fn start_within(&self, deadline: Option<Duration>) -> Duration {
        let patience = Duration::from_millis(self.wait_limit_ms).min(self.time_limit(deadline));
        // A route may have no target of its own.
        let work = Duration::from_millis(self.target_ms).min(patience / 2);
        patience.saturating_sub(work)
    }

    /// Picks a service by weight; `point` is uniform in 0..1.
    #[must_use]
    pub fn service(&self, point: f64) -> Option<&ServiceId> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = point * f64::from(total);
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
#[derive(Clone, Debug)]
pub struct Service {
    /// Memory of its model engines; none for a plain service.
    pub engine: Option<EngineLimits>,
}

/// What one model engine holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineLimits {
    /// KV memory in tokens.
    pub kv_capacity_tokens: u64,
    /// Tokens that one event of a stream may stand for.
    pub event_tokens: u64,
}

/// A team's contract.
#[derive(Debug)]
pub struct Team {
    /// Name that endpoints are told.
    pub name: TeamId,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Tokens a second over the whole fleet; none without a limit.
    pub rate_per_s: Option<f64>,
    /// Tokens beyond the rate.
    pub burst: f64,
    /// Whether the rate counts tokens; otherwise it counts requests.
    pub counts_tokens: bool,
    /// What a request without a token count is charged.
    pub default_cost: f64,
}

impl Configuration {
    /// The route of a request: of the routes of its host, the one with the longest prefix of its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let is_match = |route: &&Rc<Route>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.path_prefix)
        };
        let matches = self.routes.iter().filter(is_match);
        matches.max_by_key(|route| route.path_prefix.len())
    }
}

/// What an endpoint does of a model's work.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// All of a plain service's work.
    Whole,
}

/// An endpoint as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Name of this start, mostly new at each start.
    pub id: EndpointId,
    /// Time of its start, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it serves at.
    pub address: std::net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// What it does of a model's work.
    pub stage: Stage,
}
