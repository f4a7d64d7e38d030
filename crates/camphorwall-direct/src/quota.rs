//! A team's rate and burst over the whole fleet, counted by every entry from its own charges and those that its
//! peers tell.
//!
//! A peer that has gone silent may still be charging. While it is silent, its even share of the rate is withheld here;
//! it withholds the others' shares in the same way, so that the two sides of a partition stay within one contract.

use std::{collections::HashMap, time::Duration};

use camphorwall::TeamId;

use crate::{clock::Moment, configuration::Team};

/// Charges of one team.
#[derive(Clone, Copy, Debug)]
struct Account {
    level: f64,
    rate_per_s: f64,
    burst: f64,
    updated_at: Moment,
    /// Sum of this entry's own charges less what it gave back.
    charged: f64,
}

/// Accounts of all teams that were seen.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: HashMap<TeamId, Account>,
    /// Sums of charges that peers told, by peer and team.
    told: HashMap<u64, HashMap<TeamId, f64>>,
}

/// Part of the rate that may be spent here while peers are silent.
#[must_use]
pub(crate) fn usable_share(entries: usize, silent: usize) -> f64 {
    1.0 - silent as f64 / entries.max(1) as f64
}

impl Quotas {
    fn account(&mut self, team: &Team, rate_per_s: f64, share: f64, now: Moment) -> &mut Account {
        let account = self
            .accounts
            .entry(team.name.clone())
            .or_insert_with(|| Account {
                level: team.burst,
                rate_per_s,
                burst: team.burst,
                updated_at: now,
                charged: 0.0,
            });
        let elapsed_s = now.since(account.updated_at).as_secs_f64();
        let refilled = account.level + account.rate_per_s * share * elapsed_s;
        account.rate_per_s = rate_per_s;
        account.burst = team.burst;
        account.level = refilled.min(team.burst);
        account.updated_at = now;
        account
    }

    /// Charges a request, or tells after which time its charge will fit.
    ///
    /// # Errors
    /// The time after which to come back, when the team is beyond its contract.
    pub(crate) fn charge(
        &mut self,
        team: &Team,
        cost: f64,
        share: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let Some(rate_per_s) = team.rate_per_s else {
            return Ok(());
        };
        let account = self.account(team, rate_per_s, share, now);
        // A request larger than the burst waits for a full account.
        let needed = cost.min(account.burst);
        if account.level < needed {
            let missing = needed - account.level;
            let wait_s = missing / (rate_per_s * share).max(1.0);
            return Err(Duration::from_secs_f64(wait_s.min(60.0)));
        }
        account.level -= cost;
        account.charged += cost;
        Ok(())
    }

    /// Gives the charge of a request back that has not run.
    pub(crate) fn give_back(&mut self, team: &TeamId, cost: f64) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.level = (account.level + cost).min(account.burst);
            account.charged -= cost;
        }
    }

    /// This entry's charges by team, for its peers.
    pub(crate) fn charged(&self) -> impl Iterator<Item = (&TeamId, f64)> {
        self.accounts
            .iter()
            .map(|(team, account)| (team, account.charged))
    }

    /// Takes over what a peer has charged since it started.
    pub(crate) fn note_peer(&mut self, incarnation: u64, charges: &[(TeamId, f64)]) {
        let told = self.told.entry(incarnation).or_default();
        for (team, charged) in charges {
            let Some(account) = self.accounts.get_mut(team) else {
                // Without an own request of the team its account is still full here; what peers charged since then
                // counts from the first own request on.
                told.insert(team.clone(), *charged);
                continue;
            };
            let before = told.insert(team.clone(), *charged);
            account.level = (account.level - (charged - before.unwrap_or(0.0))).min(account.burst);
        }
    }

    /// Forgets a peer that has ended.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.told.remove(&incarnation);
    }
}
