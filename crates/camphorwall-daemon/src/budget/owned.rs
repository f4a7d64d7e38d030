//! Accounts of the teams that this entry owns.

use std::{cell::RefCell, collections::BTreeMap, time::Instant};

use camphorwall::{Grant, GrantRequest, OwnerReply, TeamId, Tokens, milliseconds};

use super::{
    share::Share,
    team_account::{GrantTimes, TeamAccount},
};

/// Accounts by team; only active teams have one.
pub(crate) struct OwnedAccounts {
    times: GrantTimes,
    state: RefCell<State>,
}

struct State {
    accounts: BTreeMap<TeamId, TeamAccount>,
    next_grant_id: u64,
}

/// Level and outstanding grants of one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AccountStatus {
    pub(crate) level_tokens: u64,
    pub(crate) outstanding_tokens: u64,
}

impl OwnedAccounts {
    /// Creates the accounts of one incarnation. The first grant id is random, so that no grant of an earlier
    /// incarnation has the id of a new one.
    pub(crate) const fn new(times: GrantTimes, first_grant_id: u64) -> Self {
        Self {
            times,
            state: RefCell::new(State {
                accounts: BTreeMap::new(),
                next_grant_id: first_grant_id,
            }),
        }
    }

    /// Answers a request as the team's owner since `since`.
    pub(crate) fn answer(
        &self,
        request: &GrantRequest,
        share: Share,
        since: Instant,
        now: Instant,
    ) -> OwnerReply {
        let mut state = self.state.borrow_mut();
        let grant_id = state.next_grant_id;
        state.next_grant_id = grant_id.wrapping_add(1);
        let new = || TeamAccount::new(self.times, share, since);
        let account = state
            .accounts
            .entry(request.team.clone())
            .or_insert_with(new);
        if account.since() != since {
            *account = new();
        }
        account.refill(share, now);
        for close in &request.closes {
            account.close(close.grant_id, close.unspent_tokens.get());
        }
        let need = request.need_tokens.get();
        let tokens = account.grant(grant_id, need, request.prefetch_tokens.get(), now);
        let grant = |tokens| Grant {
            grant_id,
            tokens: Tokens(tokens),
            lifetime_ms: milliseconds(self.times.lifetime),
        };
        OwnerReply {
            grant: tokens.map(grant),
            level_tokens: Tokens(account.level()),
            refill_in_ms: milliseconds(account.refill_in(now)),
        }
    }

    /// Level and outstanding grants of a team.
    pub(crate) fn status(
        &self,
        team: &TeamId,
        share: Share,
        now: Instant,
    ) -> Option<AccountStatus> {
        let mut state = self.state.borrow_mut();
        let account = state.accounts.get_mut(team)?;
        account.refill(share, now);
        Some(AccountStatus {
            level_tokens: account.level(),
            outstanding_tokens: account.outstanding_tokens(),
        })
    }

    /// Drops the accounts that are full, and those of teams that this process no longer owns.
    pub(crate) fn drop_idle(
        &self,
        owned: impl Fn(&TeamId) -> Option<(Share, Instant)>,
        now: Instant,
    ) {
        let mut state = self.state.borrow_mut();
        state.accounts.retain(|team, account| match owned(team) {
            Some((share, since)) if since == account.since() => {
                account.refill(share, now);
                !account.is_idle()
            }
            Some(_) | None => false,
        });
    }

    /// Teams with an account.
    pub(crate) fn teams(&self) -> Vec<TeamId> {
        self.state.borrow().accounts.keys().cloned().collect()
    }
}
