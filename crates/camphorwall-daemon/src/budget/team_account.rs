//! The owner's token bucket for one team's share of a budget. `level + outstanding grants <= burst` holds at all times.
//!
//! Within any time window a team therefore spends at most the burst plus the tokens refilled in that window.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::share::Share;

/// The margin for clocks that run at different speeds is a grant's lifetime divided by this.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// How long grants last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct GrantTimes {
    /// How long an entry may spend a grant, counted from its request.
    pub(crate) lifetime: Duration,
    /// How long the owner counts a grant as outstanding: longer than `lifetime`, so that an entry with a slower clock
    /// stops spending it before.
    pub(crate) owner_lifetime: Duration,
}

impl GrantTimes {
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            owner_lifetime: lifetime + lifetime / CLOCK_DRIFT_DIVISOR,
        }
    }
}

/// At most the remaining level divided by this is granted ahead of need, so that other entries find tokens.
const PREFETCH_DIVISOR: u64 = 2;

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    tokens: u64,
    expires_at: Instant,
}

/// Token bucket of one team at its owner.
#[derive(Debug)]
pub(crate) struct TeamAccount {
    times: GrantTimes,
    since: Instant,
    share: Share,
    level_tokens: f64,
    filled_at: Instant,
    /// Grants by id. Ids increase, so the first grant expires first.
    grants: BTreeMap<u64, Outstanding>,
    outstanding_tokens: u64,
}

impl TeamAccount {
    /// Opens the account of a process that owns the team since `since`. Entries may still hold grants of an earlier
    /// owner, so the full burst counts as outstanding until those have expired; then the level rises from 0.
    pub(crate) fn new(times: GrantTimes, share: Share, since: Instant) -> Self {
        Self {
            times,
            since,
            share,
            level_tokens: 0.0,
            filled_at: since + times.owner_lifetime,
            grants: BTreeMap::new(),
            outstanding_tokens: 0,
        }
    }

    /// Since when this process has owned the team.
    pub(crate) const fn since(&self) -> Instant {
        self.since
    }

    /// Refills the level up to now, then applies the current share.
    pub(crate) fn refill(&mut self, share: Share, now: Instant) {
        while let Some(first) = self.grants.first_entry()
            && first.get().expires_at <= now
        {
            let expired = first.remove();
            self.fill(expired.expires_at);
            self.outstanding_tokens -= expired.tokens;
        }
        self.fill(now);
        self.share = share;
        self.level_tokens = self.level_tokens.min(self.free_capacity_tokens());
    }

    fn fill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let filled_tokens = self.level_tokens + self.share.rate_tokens_per_s * elapsed_s;
        self.level_tokens = filled_tokens.min(self.free_capacity_tokens());
        self.filled_at = self.filled_at.max(now);
    }

    fn free_capacity_tokens(&self) -> f64 {
        self.share
            .burst_tokens
            .saturating_sub(self.outstanding_tokens) as f64
    }

    /// Closes a grant and returns its unspent tokens to the level, unless it has expired. Call after `refill`.
    pub(crate) fn close(&mut self, grant_id: u64, unspent_tokens: u64) {
        let Some(grant) = self.grants.remove(&grant_id) else {
            return;
        };
        self.outstanding_tokens -= grant.tokens;
        let returned_tokens = unspent_tokens.min(grant.tokens) as f64;
        self.level_tokens = (self.level_tokens + returned_tokens).min(self.free_capacity_tokens());
    }

    /// Grants the needed tokens and, if enough are left, prefetched ones; `None` when the level is empty. Call after
    /// `refill`.
    pub(crate) fn grant(
        &mut self,
        grant_id: u64,
        need_tokens: u64,
        prefetch_tokens: u64,
        now: Instant,
    ) -> Option<u64> {
        let level_tokens = self.level();
        let needed = need_tokens.min(level_tokens);
        let ahead = prefetch_tokens.min((level_tokens - needed) / PREFETCH_DIVISOR);
        let tokens = needed + ahead;
        if tokens == 0 {
            return None;
        }
        self.level_tokens -= tokens as f64;
        self.outstanding_tokens += tokens;
        let expires_at = now + self.times.owner_lifetime;
        self.grants
            .insert(grant_id, Outstanding { tokens, expires_at });
        Some(tokens)
    }

    /// Whole tokens that can be granted.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a level lies between 0 and the burst"
    )]
    pub(crate) fn level(&self) -> u64 {
        self.level_tokens.max(0.0) as u64
    }

    pub(crate) const fn outstanding_tokens(&self) -> u64 {
        self.outstanding_tokens
    }

    /// Time until the level starts to rise.
    pub(crate) fn refill_in(&self, now: Instant) -> Duration {
        self.filled_at.saturating_duration_since(now)
    }

    /// Whether the account is full, so that it can be dropped: a new account has the same level once refilled.
    pub(crate) fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.level_tokens >= self.share.burst_tokens as f64
    }
}
