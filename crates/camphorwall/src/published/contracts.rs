//! Contracts of teams and their keys.

use serde::{Deserialize, Serialize};

use crate::{KeyDigest, Priority, RouteId, TeamId, Tokens, TokensPerSecond};

/// Contract of one team, from which all of its limits follow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The team.
    pub team: TeamId,
    /// Fleet-wide rate.
    pub rate_tokens_per_s: TokensPerSecond,
    /// Fleet-wide burst.
    pub burst_tokens: Tokens,
    /// Requests of a higher priority are served first.
    #[serde(default)]
    pub priority: Priority,
    /// Share of an overloaded service, relative to the other teams of the same priority.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Routes that the team may use.
    pub routes: Vec<RouteId>,
}

const fn default_weight() -> u32 {
    1
}

/// A key that operators gave to a team. To withdraw it, they publish the document without it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the key.
    pub digest: KeyDigest,
    /// Team that holds the key.
    pub team: TeamId,
}
