//! What a platform's adapter translates: heads of requests and answers, engine calls and the store's documents.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use camphorwall::{EndpointId, TeamId};
use http::{HeaderMap, Request, request, response};

use crate::configuration::{Configuration, Endpoint, Stage};

/// Functions of one platform's adapter. Each translates and decides nothing.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads what a caller's head says.
    pub request_facts: fn(&request::Parts) -> RequestFacts,
    /// Head fields that an endpoint gets of a caller's request.
    pub endpoint_headers: fn(&HeaderMap, &ForwardingFacts) -> HeaderMap,
    /// Reads what an endpoint's head says.
    pub answer_facts: fn(&response::Parts) -> AnswerFacts,
    /// Reads the answer of an endpoint that prefilled.
    pub prefilled: fn(&[u8]) -> Option<KvHandle>,
    /// A call that frees a KV cache.
    pub free_kv: fn(&KvHandle) -> Request<Bytes>,
    /// The store's calls and documents.
    pub store: StoreDialect,
}

/// Reads a configuration from an item; `None` for an item that holds none.
pub type ReadConfiguration = fn(key: &str, value: &[u8]) -> Option<Result<Configuration, String>>;

/// How new the answer of a read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// It has all that the store acknowledged before.
    Latest,
    /// It may be seconds old, and costs the store less.
    MayBeStale,
}

/// Functions of the adapter for the configuration store.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Prefix of the keys under which the configuration lies.
    pub configuration_prefix: &'static str,
    /// Prefix of the keys under which endpoints register.
    pub endpoints_prefix: &'static str,
    /// Path and query that list the items below a prefix, after a key.
    pub list_path: fn(prefix: &str, after: Option<&str>, reading: ReadFreshness) -> String,
    /// Path and query that wait for changes below a prefix, after a revision.
    pub watch_path: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Reads a page of a list.
    pub page: fn(&[u8]) -> Result<Page, String>,
    /// Reads what has changed.
    pub changes: fn(&[u8]) -> Result<Changes, String>,
    /// Reads a configuration.
    pub configuration: ReadConfiguration,
    /// Reads an endpoint's registration.
    pub endpoint: fn(key: &str, value: &[u8]) -> Result<Endpoint, String>,
}

/// What a caller's head says.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts {
    /// The caller's name for this attempt.
    pub request_id: Option<Box<str>>,
    /// Host and path that select the route.
    pub host: Box<str>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens of the answer.
    pub max_output_tokens: Option<u64>,
    /// The caller's estimate of the answer's tokens.
    pub output_estimate_tokens: Option<u64>,
    /// Last event that the caller has, when it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Whether the head gives two lengths for one body.
    pub has_two_lengths: bool,
}

/// What an entry tells an endpoint beside the caller's own head.
#[derive(Clone, Debug)]
pub struct ForwardingFacts {
    /// The only start of an endpoint that may run the request.
    pub endpoint: EndpointId,
    /// Team that holds the caller's key.
    pub team: Option<TeamId>,
    /// Time that is left.
    pub time_left: Option<Duration>,
    /// Part of a model's work.
    pub stage: Stage,
    /// KV cache that the endpoint takes over.
    pub kv_source: Option<(SocketAddr, KvHandle)>,
    /// Last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// Name of a KV cache at the endpoint that prefilled it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle(pub Box<str>);

/// What an endpoint's head says.
#[derive(Clone, Debug, Default)]
pub struct AnswerFacts {
    /// Request that the answer belongs to.
    pub request_id: Option<Box<str>>,
    /// Whether the endpoint says that the request has not run.
    pub has_not_run: bool,
    /// Whether the endpoint's signature is there.
    pub is_signed: bool,
}

/// A page of the store's items.
#[derive(Debug)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether more items follow.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// Changes since a revision.
#[derive(Debug)]
pub struct Changes {
    /// Changes in order.
    pub items: Vec<StoreItem>,
    /// Revision to go on from.
    pub revision: u64,
}

/// An item of the store as it was written, or its removal.
#[derive(Debug)]
pub struct StoreItem {
    /// Name.
    pub key: Box<str>,
    /// Content; none when it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of this change.
    pub revision: u64,
}
