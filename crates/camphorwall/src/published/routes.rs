//! Routes and services.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{ModelId, RouteId, ServiceId, Tokens};

/// Kind of the requests of a route.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Chat completions of a model.
    Chat,
    /// Completions of a model.
    Completions,
    /// Calls that are forwarded to a plain service.
    Plain,
}

/// How requests of one path are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route in contracts and metrics.
    pub route: RouteId,
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path; one that ends with `/` matches all paths with that prefix.
    pub path: String,
    /// Service that serves the route.
    pub service: ServiceId,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Whether requests need no key and are charged to no budget.
    #[serde(default)]
    pub open: bool,
    /// Whether a repeated request has the same effect as a single one.
    pub idempotent: bool,
    /// Time after which the answer is of no use to the caller.
    pub deadline_ms: u64,
    /// Target for the time to the first token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_target_ms: Option<u64>,
    /// Target for the time between two tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_gap_target_ms: Option<u64>,
    /// Cost of one call of a plain route; requests on model routes cost their tokens.
    #[serde(default)]
    pub cost_tokens: Tokens,
}

/// A set of endpoints that do the same work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub service: ServiceId,
    /// Model of the service's engines; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// How long outcomes of non-idempotent calls are kept.
    #[serde(default = "default_retention_s")]
    pub ledger_retention_s: u64,
    /// Twice the maximum difference between the clocks of callers and endpoint daemons.
    #[serde(default = "default_ledger_skew_ms")]
    pub ledger_skew_ms: u64,
    /// Lifetime of an exported KV cache.
    #[serde(default = "default_kv_lifetime_ms")]
    pub kv_lifetime_ms: u64,
    /// Size of the KV cache of one token.
    #[serde(default = "default_kv_bytes_per_token")]
    pub kv_bytes_per_token: u64,
}

const fn default_retention_s() -> u64 {
    600
}

const fn default_ledger_skew_ms() -> u64 {
    2_000
}

const fn default_kv_lifetime_ms() -> u64 {
    800
}

const fn default_kv_bytes_per_token() -> u64 {
    64
}
