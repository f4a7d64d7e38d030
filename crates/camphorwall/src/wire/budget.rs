//! Messages by which entries grant each other tokens of team budgets.

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, InstanceId, TeamId, Tokens};

/// JSON-RPC method of [`GrantRequest`].
pub const METHOD_GRANT: &str = "grant";

/// JSON-RPC method that returns [`TeamBudgetStatus`] of all active teams.
pub const METHOD_TEAMS: &str = "teams";

/// Requests tokens from the owner of a team's budget in one data centre, and closes earlier grants.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantRequest {
    /// The team.
    pub team: TeamId,
    /// Data centre whose share of the budget the tokens come from.
    pub data_centre: DataCentreId,
    /// Tokens that a waiting request needs.
    pub need_tokens: Tokens,
    /// Additional tokens, for requests that the sender expects.
    pub prefetch_tokens: Tokens,
    /// Grants that this request closes.
    pub closes: Vec<GrantClose>,
}

/// Closes a grant before it expires.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantClose {
    /// The grant.
    pub grant_id: u64,
    /// Tokens of the grant that were not spent.
    pub unspent_tokens: Tokens,
}

/// Tokens that an entry may spend until the grant expires.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Number that the budget's owner gave to the grant.
    pub grant_id: u64,
    /// Tokens granted.
    pub tokens: Tokens,
    /// Lifetime; the entry counts it from the time at which it sent the request.
    pub lifetime_ms: u64,
}

/// Answer to [`GrantRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantReply {
    /// The receiver owns the budget.
    Owner(OwnerReply),
    /// The receiver does not own the budget, or may not act as its owner now.
    NotOwner {
        /// Owner known to the receiver.
        owner: Option<InstanceId>,
    },
}

/// Answer of the budget's owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerReply {
    /// The grant; absent when the budget has no tokens left.
    pub grant: Option<Grant>,
    /// Tokens left in the budget after the grant.
    pub level_tokens: Tokens,
    /// Time until the budget starts to refill; above 0 after a change of owner.
    pub refill_in_ms: u64,
}

/// Status of one team's budget at one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TeamBudgetStatus {
    /// The team.
    pub team: TeamId,
    /// Fleet-wide rate of its contract.
    pub rate_tokens_per_s: u64,
    /// Fleet-wide burst of its contract.
    pub burst_tokens: Tokens,
    /// Owner of the budget in this entry's data centre.
    pub owner: Option<InstanceId>,
    /// Whether this entry owns the budget and may act as its owner.
    pub is_owner: bool,
    /// Time until this entry's ownership lease expires unless its promises are renewed.
    pub lease_left_ms: u64,
    /// Tokens in the owner's share; absent at entries that don't own it.
    pub level_tokens: Option<Tokens>,
    /// Tokens granted and neither closed nor expired yet; absent at entries that don't own the budget.
    pub outstanding_tokens: Option<Tokens>,
    /// Tokens that this entry holds in grants.
    pub held_tokens: Tokens,
    /// Tokens that this entry has charged, less those refunded as unused.
    pub spent_tokens: Tokens,
    /// Requests that this entry refused because the budget had too few tokens.
    pub refused: u64,
}
