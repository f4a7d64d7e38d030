//! Team budgets: rate and burst in tokens over the whole fleet.
//!
//! A budget is divided between data centres. Within one, the team's owner grants tokens to the entries, which spend
//! them until the grants expire.

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
