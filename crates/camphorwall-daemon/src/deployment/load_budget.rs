//! Pays for loading weights from the weight store's budget, which entries own like the budget of a team.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use super::desired::LoadPrice;
use crate::budget::{BudgetOwners, GrantPool};

/// Number of exchanges of held grants within their lifetime, so that none expires while the engine becomes free.
const EXCHANGES_PER_LIFETIME: u32 = 4;

/// One endpoint daemon's access to the budget for loading weights.
pub(super) struct LoadBudget {
    owners: BudgetOwners,
    grant_pool: RefCell<GrantPool>,
    exchanged_at: Cell<Option<Instant>>,
}

impl LoadBudget {
    pub(super) fn new(owners: BudgetOwners) -> Self {
        Self {
            owners,
            grant_pool: RefCell::default(),
            exchanged_at: Cell::default(),
        }
    }

    /// Time between two exchanges of held grants.
    pub(super) fn exchange_period(&self) -> Duration {
        self.owners.times.lifetime / EXCHANGES_PER_LIFETIME
    }

    /// Fetches grants for the price of a load, or renews those held; returns whether the full price is held. Grants for
    /// a part of the price are refunded at once, because otherwise several daemons could each hold a part and none
    /// enough for a load.
    pub(super) async fn ensure_held(&self, price: &LoadPrice) -> bool {
        let contract = self
            .owners
            .published
            .get()
            .contracts
            .get(&price.store)
            .cloned();
        let Some(contract) = contract else {
            tracing::warn!(event = "load_budget_missing", team = %price.store);
            return false;
        };
        let now = Instant::now();
        let is_due = self
            .exchanged_at
            .get()
            .is_none_or(|at| now >= at + self.exchange_period());
        let mut grant_pool = self.grant_pool.take();
        let cost_tokens = price.cost.get();
        if grant_pool.free_tokens(now) < cost_tokens {
            self.owners
                .fetch_grants(&contract, cost_tokens, 0, &mut grant_pool)
                .await;
            self.exchanged_at.set(Some(now));
        } else if is_due {
            self.owners.exchange(&contract, &mut grant_pool).await;
            self.exchanged_at.set(Some(now));
        }
        let is_held = grant_pool.free_tokens(Instant::now()) >= cost_tokens;
        self.grant_pool.replace(grant_pool);
        if !is_held {
            self.refund(price).await;
        }
        is_held
    }

    /// Pays for a load that starts now; returns `false` when the price is no longer held.
    pub(super) fn pay(&self, price: &LoadPrice, now: Instant) -> bool {
        self.grant_pool
            .borrow_mut()
            .spend(price.cost.get(), now)
            .is_some()
    }

    /// Closes all held grants and refunds their unspent tokens to their owners.
    pub(super) async fn refund(&self, price: &LoadPrice) {
        let mut grant_pool = self.grant_pool.take();
        for data_centre in grant_pool.data_centres() {
            let closes = grant_pool.close_all(&data_centre, Instant::now());
            self.owners.refund(&price.store, data_centre, closes).await;
        }
    }
}
