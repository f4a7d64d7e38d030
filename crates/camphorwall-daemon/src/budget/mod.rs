//! Team budgets: a rate and a burst in tokens across the fleet.
//!
//! A budget is divided between data centres. In each, one entry owns the team and grants tokens to the entries, which
//! spend them until the grants expire.

mod demand;
mod grant_fetch;
mod grant_pool;
mod owned;
mod share;
mod team_account;
mod team_budgets;

pub(crate) use grant_fetch::{BudgetOwners, GrantChannels};
pub(crate) use grant_pool::GrantPool;
pub(crate) use team_account::GrantTimes;
pub(crate) use team_budgets::{BudgetRefusal, Charge, TeamBudgets};
#[cfg(test)]
pub(crate) use {
    grant_pool::{LocalGrant, Payment},
    owned::OwnedAccounts,
    share::Share,
};
