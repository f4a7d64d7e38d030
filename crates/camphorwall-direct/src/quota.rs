//! A team's rate and burst over the whole fleet, counted by every entry from its own charges and those that its
//! peers tell.
//!
//! A peer that has gone silent may still be charging. While it is silent, its even share of the rate is withheld here;
//! it withholds the others' shares in the same way, so that the two sides of a partition stay within one contract.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use camphorwall::TeamId;
use serde::{Deserialize, Serialize};

use crate::{clock::Moment, configuration::Team};

/// Longest wait that is told to a caller, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// A request of less than this part of the first waiting one's cost doesn't queue behind it.
const SMALL_PART: f64 = 0.1;

/// Name of a request that waits for its tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ticket(u64);

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Offer {
    /// The tokens are charged.
    Taken,
    /// The tokens may be there after a time.
    Wait(Ticket, Duration),
    /// The wait would be too long; the time after which to come back.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f64,
}

/// What an entry tells its peers of one team.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ToldAccount {
    team: TeamId,
    /// Charges of the entry since it started, less what it gave back.
    charged: f64,
    /// Tokens that the team has left, as far as the entry knows.
    level: f64,
}

/// Charges of one team.
#[derive(Debug)]
struct Account {
    level: f64,
    rate_per_s: f64,
    burst: f64,
    updated_at: Moment,
    /// Sum of this entry's own charges less what it gave back.
    charged: f64,
    /// What peers were last told of it.
    told_charged: f64,
    /// Requests that wait here, in the order of their arrival.
    waiting: VecDeque<Waiting>,
}

impl Account {
    fn refill(&mut self, share: f64, now: Moment) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let refilled = self.level + self.rate_per_s * share * elapsed_s;
        self.level = refilled.min(self.burst);
        self.updated_at = now;
    }

    /// Charges what fits. A request larger than the burst waits for a full account.
    fn take(&mut self, cost: f64) -> bool {
        let fits = self.level >= cost.min(self.burst);
        if fits {
            self.level -= cost;
            self.charged += cost;
        }
        fits
    }

    fn tell(&mut self, team: &TeamId, share: f64, now: Moment) -> ToldAccount {
        self.refill(share, now);
        self.told_charged = self.charged;
        ToldAccount {
            team: team.clone(),
            charged: self.charged,
            level: self.level,
        }
    }

    /// Time until the level covers a cost and the cost of those that wait before it.
    fn wait(&self, cost: f64, before: f64, share: f64) -> Duration {
        let missing = before + cost.min(self.burst) - self.level;
        let rate_per_s = (self.rate_per_s * share).max(1.0);
        Duration::from_secs_f64((missing / rate_per_s).clamp(0.0, MAX_WAIT_S))
    }
}

/// Accounts of all teams that were seen.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    accounts: HashMap<TeamId, Account>,
    /// Sums of charges that peers told, by peer and team.
    told: HashMap<u64, HashMap<TeamId, f64>>,
    /// Levels that peers told of teams without an account here.
    told_levels: HashMap<TeamId, f64>,
    next_ticket: u64,
}

/// Part of the rate that may be spent here while peers are silent.
#[must_use]
pub(crate) fn usable_share(entries: usize, silent: usize) -> f64 {
    1.0 - silent as f64 / entries.max(1) as f64
}

impl Quotas {
    fn account(&mut self, team: &Team, rate_per_s: f64, share: f64, now: Moment) -> &mut Account {
        let told_level = self.told_levels.remove(&team.name);
        let fresh = || Account {
            level: told_level.map_or(team.burst, |level| level.min(team.burst)),
            rate_per_s,
            burst: team.burst,
            updated_at: now,
            charged: 0.0,
            told_charged: 0.0,
            waiting: VecDeque::new(),
        };
        let account = self.accounts.entry(team.name.clone()).or_insert_with(fresh);
        account.refill(share, now);
        account.rate_per_s = rate_per_s;
        account.burst = team.burst;
        account.level = account.level.min(team.burst);
        account
    }

    /// Charges a request, or tells how long it will wait or when to come back.
    ///
    /// The load that this answers: a team within its rate whose requests come in clumps, and one far beyond it. A
    /// burst may be as small as two large requests, so a refusal at once would turn away what fits a moment later;
    /// small requests must not wait behind large ones.
    pub(crate) fn offer(
        &mut self,
        team: &Team,
        cost: f64,
        share: f64,
        patience: Duration,
        now: Moment,
    ) -> Offer {
        let Some(rate_per_s) = team.rate_per_s else {
            return Offer::Taken;
        };
        let ticket = Ticket(self.next_ticket);
        let account = self.account(team, rate_per_s, share, now);
        let first = account.waiting.front();
        let may_pass = first.is_none_or(|first| cost < first.cost * SMALL_PART);
        if may_pass && account.take(cost) {
            return Offer::Taken;
        }
        let before: f64 = account.waiting.iter().map(|waiting| waiting.cost).sum();
        let wait = account.wait(cost, if may_pass { 0.0 } else { before }, share);
        if wait > patience {
            return Offer::Refused(wait);
        }
        let waiting = Waiting { ticket, cost };
        if may_pass {
            account.waiting.push_front(waiting);
        } else {
            account.waiting.push_back(waiting);
        }
        self.next_ticket += 1;
        Offer::Wait(ticket, wait)
    }

    /// Charges a waiting request whose turn it is, or tells how long it still waits.
    ///
    /// # Errors
    /// The time after which to ask again.
    pub(crate) fn claim(
        &mut self,
        team: &Team,
        ticket: Ticket,
        share: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let Some(rate_per_s) = team.rate_per_s else {
            return Ok(());
        };
        let account = self.account(team, rate_per_s, share, now);
        let place = account
            .waiting
            .iter()
            .position(|waiting| waiting.ticket == ticket);
        let Some(place) = place else {
            return Ok(());
        };
        let before: f64 = account
            .waiting
            .iter()
            .take(place)
            .map(|waiting| waiting.cost)
            .sum();
        let cost = account.waiting[place].cost;
        if place == 0 && account.take(cost) {
            account.waiting.pop_front();
            return Ok(());
        }
        Err(account.wait(cost, before, share))
    }

    /// Ends the wait of a request that has no tokens yet.
    pub(crate) fn withdraw(&mut self, team: &TeamId, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Gives the charge of a request back that has not run.
    pub(crate) fn give_back(&mut self, team: &TeamId, cost: f64) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.level = (account.level + cost).min(account.burst);
            account.charged -= cost;
        }
    }

    /// This entry's accounts, for its peers.
    pub(crate) fn told(&mut self, share: f64, now: Moment) -> Vec<ToldAccount> {
        let told = |(team, account): (&TeamId, &mut Account)| account.tell(team, share, now);
        self.accounts.iter_mut().map(told).collect()
    }

    /// The accounts that were charged since the last word, for peers.
    pub(crate) fn told_changes(&mut self, share: f64, now: Moment) -> Vec<ToldAccount> {
        let accounts = self.accounts.iter_mut();
        let is_changed = |(_, account): &(&TeamId, &mut Account)| {
            account.charged.to_bits() != account.told_charged.to_bits()
        };
        let changed = accounts.filter(is_changed);
        changed
            .map(|(team, account)| account.tell(team, share, now))
            .collect()
    }

    /// Tokens that a team has left, as far as this entry knows.
    pub(crate) fn level(&self, team: &TeamId) -> Option<f64> {
        self.accounts.get(team).map(|account| account.level)
    }

    /// Takes over what a peer has charged. Its first heartbeat sets what later ones are compared with, and a level that
    /// the own one must not exceed: this entry may be new among entries that have charged for long.
    pub(crate) fn note_peer(
        &mut self,
        incarnation: u64,
        accounts: Vec<ToldAccount>,
        share: f64,
        now: Moment,
    ) {
        let told = self.told.entry(incarnation).or_default();
        for peer in accounts {
            let before = told.insert(peer.team.clone(), peer.charged);
            let Some(account) = self.accounts.get_mut(&peer.team) else {
                self.told_levels.insert(peer.team, peer.level);
                continue;
            };
            // What overflowed until now must not cover what was charged just now.
            account.refill(share, now);
            account.level = match before {
                Some(before) => (account.level - (peer.charged - before)).min(account.burst),
                None => account.level.min(peer.level),
            };
        }
    }

    /// Forgets what a peer has told, since it has ended or was silent; its next heartbeat counts as its first.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.told.remove(&incarnation);
    }
}
