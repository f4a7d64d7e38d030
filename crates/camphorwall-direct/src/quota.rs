//! A team's rate and burst over the whole fleet, counted by every entry from its own charges and those that its
//! peers tell.
//!
//! A peer that has gone silent may still be charging. While it is silent, its even share of the rate is withheld here;
//! it withholds the others' shares in the same way, so that the two sides of a partition stay within one contract.

use std::{collections::HashMap, time::Duration};

use camphorwall::TeamId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::Moment, configuration::Team};

/// Longest wait that is told to a caller, in seconds.
const MAX_WAIT_S: f64 = 60.0;

/// A request of less than this part of the first waiting one's cost doesn't queue behind it.
const SMALL_PART: f64 = 0.1;

/// Time for which a peer's backlog counts; a living peer tells it anew at least each 240 ms.
const BACKLOG_LIFE: Duration = Duration::from_millis(500);

/// Time for which whole heartbeats repeat an account that has changed: four of the slowest, all of which are hardly lost.
const REPEAT_FOR: Duration = Duration::from_secs(1);

/// Whole heartbeats in which each account is told once.
const ROUNDS: u64 = 8;

/// Name of a request that waits for its tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Ticket(u64);

/// Answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeOutcome {
    /// The tokens are charged.
    Charged,
    /// The tokens may be there after a time.
    Wait(Ticket, Duration),
    /// The wait would be too long; the time after which to come back.
    Refused(Duration),
}

/// How long a request may wait for its tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitLimits {
    /// Until then its answer can be in time, and it goes before those that can't be.
    pub(crate) on_time_until: Moment,
    /// Until then its caller can be served at all.
    pub(crate) start_by: Moment,
    /// End of its caller's own time.
    pub(crate) ends_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f64,
    is_small: bool,
    patience: WaitLimits,
}

/// Order of waiting requests: the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Line {
    Small(Ticket),
    OnTime(Ticket),
    /// By the end of the caller's time, so that one who comes back after a refusal goes before those who came later.
    Late(Moment, Ticket),
}

impl Waiting {
    fn line(&self, now: Moment) -> Line {
        if self.is_small {
            Line::Small(self.ticket)
        } else if now < self.patience.on_time_until {
            Line::OnTime(self.ticket)
        } else {
            Line::Late(self.patience.ends_at, self.ticket)
        }
    }
}

/// What an entry tells its peers of one team.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedAccount {
    pub(crate) team: TeamId,
    /// Charges of the entry since it started, less what it gave back.
    charged: f64,
    /// Tokens that the team has left, as far as the entry knows.
    level: f64,
    /// Tokens that requests wait for whose answers can be in time.
    backlog: f32,
}

impl ReportedAccount {
    /// What any process may put into a datagram.
    #[cfg(test)]
    pub(crate) fn from_unauthenticated_sender(team: &TeamId, charged: f64, level: f64) -> Self {
        Self {
            team: team.clone(),
            charged,
            level,
            backlog: 0.0,
        }
    }
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
    told_backlog: f32,
    /// When it was last charged or given back to here.
    changed_at: Moment,
    /// Requests that wait here.
    waiting: Vec<Waiting>,
    /// What requests wait for at peers, and when it was told.
    peers_backlog: HashMap<u64, (Moment, f32)>,
}

impl Account {
    fn refill(&mut self, share: f64, now: Moment) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let refilled = self.level + self.rate_per_s * share * elapsed_s;
        self.level = refilled.min(self.burst);
        self.updated_at = now;
    }

    /// Charges what fits. A request larger than the burst waits for a full account.
    fn take(&mut self, cost: f64, now: Moment) -> bool {
        let fits = self.level >= cost.min(self.burst);
        if fits {
            self.level -= cost;
            self.charged += cost;
            self.changed_at = now;
        }
        fits
    }

    fn report(&mut self, team: &TeamId, share: f64, now: Moment) -> ReportedAccount {
        self.refill(share, now);
        self.told_charged = self.charged;
        self.told_backlog = self.backlog(now);
        ReportedAccount {
            team: team.clone(),
            charged: self.charged,
            level: self.level,
            backlog: self.told_backlog,
        }
    }

    /// Tokens that requests wait for here whose answers can be in time.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a sum of some thousand tokens, told for a forecast"
    )]
    fn backlog(&self, now: Moment) -> f32 {
        let on_time = self
            .waiting
            .iter()
            .filter(|one| matches!(one.line(now), Line::OnTime(_)));
        on_time.map(|one| one.cost).sum::<f64>() as f32
    }

    /// Tokens of those that go before a place in the line, here and at peers. Who of two entries' requests in time is
    /// first is left to chance, and so it is with late ones.
    fn before(&self, line: Line, now: Moment) -> f64 {
        let here = self.waiting.iter().filter(|one| one.line(now) < line);
        let here: f64 = here.map(|one| one.cost).sum();
        let at_peers: f64 = match line {
            Line::Late(..) => {
                let told = self.peers_backlog.values();
                let told = told.filter(|(at, _)| now.since(*at) <= BACKLOG_LIFE);
                told.map(|(_, backlog)| f64::from(*backlog)).sum()
            }
            Line::Small(_) | Line::OnTime(_) => 0.0,
        };
        here + at_peers
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
    round: u64,
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
            told_backlog: 0.0,
            changed_at: now,
            waiting: Vec::new(),
            peers_backlog: HashMap::new(),
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
    /// small requests must not wait behind large ones. A clump that the account covers only after the target is served
    /// late rather than refused: its callers wait longer than that, and a refused one comes back late as well, or not at
    /// all. Those behind it whose answers can be in time go first, so that one clump doesn't delay all that follow.
    pub(crate) fn charge(
        &mut self,
        team: &Team,
        cost: f64,
        share: f64,
        patience: WaitLimits,
        now: Moment,
    ) -> ChargeOutcome {
        let Some(rate_per_s) = team.rate_per_s else {
            return ChargeOutcome::Charged;
        };
        let ticket = Ticket(self.next_ticket);
        let account = self.account(team, rate_per_s, share, now);
        let large = |one: &Waiting| !one.is_small && cost < one.cost * SMALL_PART;
        let mut waiting = Waiting {
            ticket,
            cost,
            is_small: account.waiting.iter().any(large),
            patience,
        };
        let before = account.before(waiting.line(now), now);
        if before == 0.0 && account.take(cost, now) {
            return ChargeOutcome::Charged;
        }
        let mut wait = account.wait(cost, before, share);
        if !waiting.is_small && now + wait > patience.on_time_until {
            // It goes to those that are late at once, or it would take the turn of one that can be in time.
            waiting.patience.on_time_until = now;
            let before = account.before(waiting.line(now), now);
            wait = account.wait(cost, before, share);
        }
        if now + wait > patience.start_by {
            return ChargeOutcome::Refused(wait);
        }
        account.waiting.push(waiting);
        self.next_ticket += 1;
        ChargeOutcome::Wait(ticket, wait)
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
        let place = account.waiting.iter().position(|one| one.ticket == ticket);
        let Some(place) = place else {
            return Ok(());
        };
        let own = account.waiting[place];
        let before = account.before(own.line(now), now);
        if before == 0.0 && account.take(own.cost, now) {
            account.waiting.remove(place);
            return Ok(());
        }
        Err(account.wait(own.cost, before, share))
    }

    /// Ends the wait of a request that has no tokens yet.
    pub(crate) fn withdraw(&mut self, team: &TeamId, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Gives the charge of a request back that has not run.
    pub(crate) fn refund(&mut self, team: &TeamId, cost: f64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.level = (account.level + cost).min(account.burst);
            account.charged -= cost;
            account.changed_at = now;
        }
    }

    /// This entry's accounts, for its peers: those that changed lately, so that a lost word is made up for, and the others
    /// in turns, for peers that are new.
    ///
    /// The load that this answers: a hundred entries with tens of teams, each of which asks a few entries at a time.
    pub(crate) fn report(&mut self, share: f64, now: Moment) -> Vec<ReportedAccount> {
        self.round = (self.round + 1) % ROUNDS;
        let round = self.round;
        let is_due = |(team, account): &(&TeamId, &mut Account)| {
            let is_recent = now.since(account.changed_at) <= REPEAT_FOR;
            let own_round = xxh3_64(team.as_str().as_bytes()) % ROUNDS;
            is_recent || account.backlog(now) > 0.0 || own_round == round
        };
        let due = self.accounts.iter_mut().filter(is_due);
        due.map(|(team, account)| account.report(team, share, now))
            .collect()
    }

    /// The accounts that were charged since the last word, for peers.
    pub(crate) fn report_changes(&mut self, share: f64, now: Moment) -> Vec<ReportedAccount> {
        let accounts = self.accounts.iter_mut();
        let is_changed = |(_, account): &(&TeamId, &mut Account)| {
            account.charged.to_bits() != account.told_charged.to_bits()
                || account.backlog(now).to_bits() != account.told_backlog.to_bits()
        };
        let changed = accounts.filter(is_changed);
        changed
            .map(|(team, account)| account.report(team, share, now))
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
        accounts: Vec<ReportedAccount>,
        share: f64,
        now: Moment,
    ) {
        let told = self.told.entry(incarnation).or_default();
        for peer in accounts {
            if !(peer.charged.is_finite() && peer.level.is_finite() && peer.backlog.is_finite()) {
                tracing::debug!(event = "heartbeat_unreadable", incarnation, team = %peer.team);
                continue;
            }
            let before = told.insert(peer.team.clone(), peer.charged);
            let Some(account) = self.accounts.get_mut(&peer.team) else {
                self.told_levels.insert(peer.team, peer.level);
                continue;
            };
            account
                .peers_backlog
                .insert(incarnation, (now, peer.backlog));
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
        for account in self.accounts.values_mut() {
            account.peers_backlog.remove(&incarnation);
        }
    }
}
