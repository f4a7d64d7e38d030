//! Interface of a platform's adapter, which translates heads of requests and answers, engine calls and the store's
//! documents.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;

use http::{HeaderMap, Request, request, response};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::configuration::{Configuration, Endpoint, Route, Stage};
use crate::names::{EndpointName, TeamName};

/// Functions of one platform's adapter. They only translate and make no decisions.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Parses the head of a caller's request.
    pub request_facts: fn(&request::Parts) -> RequestFacts,
    /// Builds the header fields of the request to an endpoint from those of the caller's request.
    pub endpoint_headers: fn(&HeaderMap, &ForwardingFacts) -> HeaderMap,
    /// Parses the head of an endpoint's answer.
    pub answer_facts: fn(&response::Parts) -> AnswerFacts,
    /// Parses the body of an answer to a prefill.
    pub prefilled: fn(&[u8]) -> Option<KvHandle>,
    /// Builds the call that frees a KV cache.
    pub free_kv: fn(&KvHandle) -> Request<Bytes>,
    /// The store's calls and documents.
    pub store: StoreDialect,
}

/// Parses all of a configuration but its routes from an item of the store; `None` for an item that contains none.
pub type DraftConfiguration =
    fn(key: &str, value: &Bytes) -> Option<Result<ConfigurationDraft, UnreadableConfiguration>>;

/// A configuration of which nothing can be put in force.
#[derive(Clone, Debug)]
pub struct UnreadableConfiguration {
    /// Its version, if that could be read.
    pub version: Option<u64>,
    /// Kind of the cause.
    pub reason: UnreadableReason,
    /// What was expected and where.
    pub error: String,
}

/// Why a configuration can't be read.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum UnreadableReason {
    /// It is no JSON text.
    NotJson,
    /// A field that all parts need is missing or of another type.
    WrongFields,
}

/// A route that can't be read.
#[derive(Debug)]
pub struct UnreadableRoute {
    /// What was expected and where.
    pub error: String,
    /// A route without services for the same requests, if its host and path are known.
    pub refusing: Option<Route>,
}

/// A configuration whose routes are still to be parsed. There may be thousands of them, too many to parse at once on a
/// thread that also serves requests.
#[derive(Debug)]
pub struct ConfigurationDraft {
    /// The configuration without its routes.
    pub configuration: Configuration,
    /// Text of each route, in the published order.
    pub routes: Vec<Bytes>,
    /// What is wrong with the parts that could not be read.
    pub errors: Vec<String>,
}

/// Functions of the adapter for the configuration store.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Prefix of the configuration's keys.
    pub configuration_prefix: &'static str,
    /// Prefix of the keys of evacuations; the rest of a key is the name of the data centre.
    pub evacuations_prefix: &'static str,
    /// Prefix of the keys of endpoints' registrations.
    pub endpoints_prefix: &'static str,
    /// Builds the path and query that list the items with a key prefix, after a key.
    pub list_path: fn(prefix: &str, after: Option<&str>) -> String,
    /// Builds the path and query that wait for changes with a key prefix, after a revision.
    pub watch_path: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Reads from the head of an answer how often the store has been restored from a copy; `None` if it doesn't say.
    pub era: fn(&HeaderMap) -> Result<Option<u64>, String>,
    /// Parses a page of a list.
    pub page: fn(&[u8]) -> Result<Page, String>,
    /// Parses the answer to a wait for changes.
    pub changes: fn(&[u8]) -> Result<Changes, String>,
    /// Parses all of a configuration but its routes.
    pub configuration: DraftConfiguration,
    /// Parses a route of a configuration.
    pub route: fn(&[u8]) -> Result<Route, Box<UnreadableRoute>>,
    /// Parses an endpoint's registration.
    pub endpoint: fn(key: &str, value: &[u8]) -> Result<Endpoint, String>,
}

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// Id that the caller gave to this attempt.
    pub request_id: Option<Box<str>>,
    /// Host that, with the path, selects the route.
    pub host: Box<str>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: Option<u64>,
    /// Parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PromptPart>,
    /// All parts of the prompt with their tokens, in order, up to the first whose tokens can't be read.
    pub prompt_parts: Vec<SizedPart>,
    /// The caller's estimate of the answer's tokens.
    pub output_estimate_tokens: Option<u64>,
    /// Last event that the caller has received, when it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Whether the head contains two lengths for one body.
    pub has_two_lengths: bool,
}

/// Name of a part of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart(pub u64);

/// A part of a prompt with its size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SizedPart {
    /// Name of the part.
    pub part: PromptPart,
    /// Tokens of the part.
    pub tokens: u32,
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// What an entry adds to the caller's head in a request to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardingFacts {
    /// The only run of an endpoint that may serve the request.
    pub endpoint: EndpointName,
    /// Team that the caller's key belongs to.
    pub team: Option<TeamName>,
    /// Time left until the request's deadline.
    pub time_left: Option<Duration>,
    /// Part of a model's work that the endpoint does.
    pub stage: Stage,
    /// KV cache that the endpoint fetches: the address of the prefill endpoint and the handle there.
    pub kv_source: Option<(SocketAddr, KvHandle)>,
    /// Last event that the caller has received.
    pub last_event_id: Option<u64>,
}

/// Name of a KV cache at the endpoint that prefilled it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle(pub Box<str>);

/// Contents of the head of an endpoint's answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// Request that the answer belongs to.
    pub request_id: Option<Box<str>>,
    /// Whether the endpoint states that the request has not run.
    pub has_not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that it is about to exit.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no requests; a text that gives none is kept for the log.
    pub retry_after: Option<Result<Duration, Box<str>>>,
    /// How long the endpoint stays cold; zero if it is warm. A text that gives no time is kept for the log.
    pub cold_time: Option<Result<Duration, Box<str>>>,
    /// Load that the endpoint states; a text that states none is kept for the log.
    pub load: Option<Result<StatedLoad, Box<str>>>,
}

/// Load that an endpoint states in the head of an answer. It is a claim, which may be outdated or wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// How long work takes at present, in percent of what it usually takes on that machine; endpoints of some services
    /// state it.
    pub pace_percent: Option<u32>,
}

/// A revision of the store.
///
/// A store that is restored from a copy begins a new era. Its revisions go back and are issued again, so numbers compare
/// only within an era. All revisions of an era come after those of earlier eras, which prove nothing in it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// Number of times the store has been restored; 0 for a store that doesn't say.
    pub era: u64,
    /// Number that the store gave.
    pub number: u64,
}

impl StoreRevision {
    /// The same number in another era, in which an answer of the store came.
    #[must_use]
    pub(crate) const fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }

    /// The revision before this one.
    #[must_use]
    pub(crate) const fn before(self) -> Self {
        Self {
            number: self.number.saturating_sub(1),
            ..self
        }
    }
}

/// A revision of a store that has not been restored.
impl From<u64> for StoreRevision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}.{}", self.number),
        }
    }
}

/// A page of the store's items.
#[derive(Debug)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether another page follows.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: StoreRevision,
}

impl Page {
    /// The page as an answer in an era of the store.
    #[must_use]
    pub(crate) fn in_era(self, era: u64) -> Self {
        Self {
            items: items_in_era(self.items, era),
            revision: self.revision.in_era(era),
            ..self
        }
    }
}

/// Changes since a revision.
#[derive(Debug)]
pub struct Changes {
    /// Changes in order.
    pub items: Vec<StoreItem>,
    /// Revision from which the next call continues.
    pub revision: StoreRevision,
}

impl Changes {
    /// The changes as an answer in an era of the store.
    #[must_use]
    pub(crate) fn in_era(self, era: u64) -> Self {
        Self {
            items: items_in_era(self.items, era),
            revision: self.revision.in_era(era),
        }
    }
}

fn items_in_era(items: Vec<StoreItem>, era: u64) -> Vec<StoreItem> {
    let items = items.into_iter();
    let in_era = |item: StoreItem| StoreItem {
        revision: item.revision.in_era(era),
        ..item
    };
    items.map(in_era).collect()
}

/// An item of the store as it was written, or its removal.
#[derive(Debug)]
pub struct StoreItem {
    /// Key of the item.
    pub key: Box<str>,
    /// Content; none if the item was removed.
    pub value: Option<Bytes>,
    /// Revision of the store at which the item changed.
    pub revision: StoreRevision,
}
