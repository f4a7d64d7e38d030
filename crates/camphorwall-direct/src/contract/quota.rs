//! Enforces each team's rate and burst over the entire fleet. Every entry keeps a token bucket per team, from which it
//! deducts its own charges and those that its peers report.
//!
//! A silent peer may still be charging. While it is silent, this entry does not spend that peer's even share of the
//! rate, and of the burst if it hears no more than half of the fleet. The peer does the same with the shares of its
//! silent peers, so that both sides of a partition together stay within the tolerance of one contract.
//!
//! An entry that starts doesn't know what its predecessor has charged, so its buckets are partly full unless they are small
//! or a peer has reported a level.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::Moment, configuration::Team, names::TeamName};

/// Longest wait that is forecast, in seconds; it bounds the retry delay given to callers.
const MAX_WAIT_S: f64 = 60.0;

/// A request that costs less than this share of a waiting request's cost doesn't queue behind it.
const SMALL_COST_SHARE: f64 = 0.1;

/// Time after which a peer's reported backlog expires; a live peer reports it at least every 240 ms.
const BACKLOG_EXPIRY: Duration = Duration::from_millis(500);

/// Time for which full heartbeats keep reporting an account after it has changed. It spans four heartbeats at the
/// longest period, of which at least one is likely to arrive.
const REPORT_CHANGED_FOR: Duration = Duration::from_secs(1);

/// Time after an entry's start in which it may not know what was charged in the contracts' window of eight seconds.
const START_PERIOD: Duration = Duration::from_secs(8);

/// Part of a burst in a bucket whose level is not known after a start. If all entries start four times in a window, they
/// charge 1.6 further bursts, which the tolerance of contracts covers.
const START_LEVEL: f64 = 0.4;

/// Burst up to which a bucket is full after a start. The fixed part of the tolerance of contracts is 120,000 tokens.
const FULL_START_TOKENS: f64 = 20_000.0;

/// Number of full heartbeats over which each unchanged account is reported once.
const HEARTBEATS_PER_CYCLE: u64 = 8;

/// Identifies a request that waits for its tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Ticket(u64);

/// Outcome of charging a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChargeOutcome {
    /// The tokens are charged.
    Charged,
    /// The request is queued; the duration is the forecast wait.
    Wait(Ticket, Duration),
    /// The wait would be too long; the duration is the time after which the caller should retry.
    Refused(Duration),
}

/// Time limits on a request's wait for its tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitLimits {
    /// Last moment at which a start still meets the latency target. Until then the request goes before late ones.
    pub(crate) on_time_until: Moment,
    /// Last moment at which an endpoint can begin the request while its caller still waits.
    pub(crate) start_by: Moment,
    /// The caller's own deadline.
    pub(crate) ends_at: Moment,
}

/// A request that waits for its team's tokens.
#[derive(Clone, Copy, Debug)]
struct WaitingCharge {
    ticket: Ticket,
    cost: f64,
    /// Whether it costs far less than a request that was waiting when it arrived; it then goes before large ones.
    is_small: bool,
    limits: WaitLimits,
}

/// Rank of a request in a team's queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ChargeRank {
    Small(Ticket),
    OnTime(Ticket),
    /// Ordered by the caller's deadline, so that a caller that retries after a refusal goes before those that first
    /// called after it.
    Late(Moment, Ticket),
}

impl WaitingCharge {
    fn rank(&self, now: Moment) -> ChargeRank {
        if self.is_small {
            ChargeRank::Small(self.ticket)
        } else if now < self.limits.on_time_until {
            ChargeRank::OnTime(self.ticket)
        } else {
            ChargeRank::Late(self.limits.ends_at, self.ticket)
        }
    }
}

/// Hash by which entries identify a team in heartbeats, whose size must not depend on the length of names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct TeamKey(u64);

impl TeamKey {
    pub(crate) fn of(team: &TeamName) -> Self {
        Self(xxh3_64(team.as_str().as_bytes()))
    }
}

/// One team's account as an entry reports it to its peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedAccount {
    pub(crate) team: TeamKey,
    /// Tokens that the entry has charged since it started, less its refunds.
    charged: f64,
    /// Tokens left in the team's bucket, as far as the entry knows.
    level: f64,
    /// Cost of the requests that wait at the entry and can still be answered in time.
    backlog: f32,
}

impl ReportedAccount {
    /// A report with arbitrary values, as any process can send in a datagram.
    #[cfg(test)]
    pub(crate) fn from_unauthenticated_sender(team: &TeamName, charged: f64, level: f64) -> Self {
        Self {
            team: TeamKey::of(team),
            charged,
            level,
            backlog: 0.0,
        }
    }
}

/// Token bucket of one team.
#[derive(Debug)]
struct Account {
    level: f64,
    rate_per_s: f64,
    burst: f64,
    /// Part of the burst that this entry may spend.
    usable_burst: f64,
    updated_at: Moment,
    /// Tokens that this entry has charged, less its refunds.
    charged: f64,
    /// Values that were last reported to peers.
    reported_charged: f64,
    reported_backlog: f32,
    /// When this entry last charged or refunded it.
    changed_at: Moment,
    /// Requests that wait at this entry.
    waiting: Vec<WaitingCharge>,
    /// Backlog that each peer reported, by the peer's incarnation, and when the report was received.
    peers_backlog: HashMap<u64, (Moment, f32)>,
}

impl Account {
    fn refill(&mut self, share: f64, now: Moment) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let refilled = self.level + self.rate_per_s * share * elapsed_s;
        self.usable_burst = usable_burst(self.burst, share);
        self.level = refilled.min(self.usable_burst);
        self.updated_at = now;
    }

    /// Charges a cost if the level covers it. A request larger than the usable burst needs a full bucket.
    fn take(&mut self, cost: f64, now: Moment) -> bool {
        let fits = self.level >= cost.min(self.usable_burst);
        if fits {
            self.level -= cost;
            self.charged += cost;
            self.changed_at = now;
        }
        fits
    }

    fn report(&mut self, team: TeamKey, share: f64, now: Moment) -> ReportedAccount {
        self.refill(share, now);
        self.reported_charged = self.charged;
        self.reported_backlog = self.backlog(now);
        ReportedAccount {
            team,
            charged: self.charged,
            level: self.level,
            backlog: self.reported_backlog,
        }
    }

    /// Cost of the requests that wait here and can still be answered in time.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a sum of some thousand tokens, reported for a forecast"
    )]
    fn backlog(&self, now: Moment) -> f32 {
        let on_time = self
            .waiting
            .iter()
            .filter(|waiting| matches!(waiting.rank(now), ChargeRank::OnTime(_)));
        on_time.map(|waiting| waiting.cost).sum::<f64>() as f32
    }

    /// Cost of the requests ahead of a rank: all of this entry's, and for a late request also the on-time backlog of
    /// peers. Between requests of the same class at different entries there is no defined order.
    fn cost_ahead(&self, rank: ChargeRank, now: Moment) -> f64 {
        let local = self
            .waiting
            .iter()
            .filter(|waiting| waiting.rank(now) < rank);
        let local: f64 = local.map(|waiting| waiting.cost).sum();
        let at_peers: f64 = match rank {
            ChargeRank::Late(..) => {
                let reported = self.peers_backlog.values();
                let reported = reported.filter(|(at, _)| now.since(*at) <= BACKLOG_EXPIRY);
                reported.map(|(_, backlog)| f64::from(*backlog)).sum()
            }
            ChargeRank::Small(_) | ChargeRank::OnTime(_) => 0.0,
        };
        local + at_peers
    }

    /// Time until the level covers a cost and the cost of the requests ahead of it.
    fn wait(&self, cost: f64, cost_ahead: f64, share: f64) -> Duration {
        let missing = cost_ahead + cost.min(self.usable_burst) - self.level;
        let rate_per_s = (self.rate_per_s * share).max(1.0);
        Duration::from_secs_f64((missing / rate_per_s).clamp(0.0, MAX_WAIT_S))
    }
}

/// Accounts of all teams with requests at this entry, and the charges that peers reported.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    /// When the entry started; without it, nothing was charged before.
    started_at: Option<Moment>,
    accounts: HashMap<TeamKey, Account>,
    /// Total charges that peers reported, by incarnation and team.
    peer_charges: HashMap<u64, HashMap<TeamKey, f64>>,
    /// Levels that peers reported for teams without an account here, and when.
    peer_levels: HashMap<TeamKey, (f64, Moment)>,
    next_ticket: u64,
    /// Position in the cycle of full heartbeats over which unchanged accounts are spread.
    cycle_position: u64,
}

/// Part of a burst that this entry may spend. Entries that hear most of the fleet are on one side of a partition at most,
/// and keep the whole burst.
fn usable_burst(burst: f64, share: f64) -> f64 {
    if share > 0.5 { burst } else { burst * share }
}

/// Level of a bucket that no peer has reported.
fn unreported_level(burst: f64, started_at: Option<Moment>, now: Moment) -> f64 {
    let is_start = started_at.is_some_and(|started_at| now.since(started_at) < START_PERIOD);
    if is_start {
        (burst * START_LEVEL).max(FULL_START_TOKENS.min(burst))
    } else {
        burst
    }
}

/// Share of the rate that this entry may spend while peers are silent.
#[must_use]
pub(crate) fn usable_share(entries: usize, silent: usize) -> f64 {
    1.0 - silent as f64 / entries.max(1) as f64
}

impl Quotas {
    /// Creates the accounts of an entry that starts.
    pub(crate) fn new(started_at: Moment) -> Self {
        Self {
            started_at: Some(started_at),
            ..Self::default()
        }
    }

    fn account(&mut self, team: &Team, rate_per_s: f64, share: f64, now: Moment) -> &mut Account {
        let key = TeamKey::of(&team.name);
        let peer_level = self.peer_levels.remove(&key).map(|(level, at)| {
            // The bucket has been refilled since the report.
            level + rate_per_s * share * now.since(at).as_secs_f64()
        });
        let unreported = unreported_level(team.burst, self.started_at, now);
        let new_account = || Account {
            level: peer_level.unwrap_or(unreported).min(team.burst),
            rate_per_s,
            burst: team.burst,
            usable_burst: usable_burst(team.burst, share),
            updated_at: now,
            charged: 0.0,
            reported_charged: 0.0,
            reported_backlog: 0.0,
            changed_at: now,
            waiting: Vec::new(),
            peers_backlog: HashMap::new(),
        };
        let account = self.accounts.entry(key).or_insert_with(new_account);
        account.refill(share, now);
        account.rate_per_s = rate_per_s;
        account.burst = team.burst;
        account.level = account.level.min(team.burst);
        account
    }

    /// Charges a request, queues it, or refuses it.
    ///
    /// This handles both a team within its rate whose requests come in bursts and a team far beyond its rate. The burst
    /// limit may be as small as two large requests, so refusing at once would turn away requests that fit a moment
    /// later; small requests must not wait behind large ones. Requests that the account covers only after their latency
    /// target are served late rather than refused: their callers wait longer than the target, and a refused caller
    /// retries late as well, or not at all. Requests that can still be answered in time go before late ones, so that
    /// one burst doesn't delay all that follow.
    pub(crate) fn charge(
        &mut self,
        team: &Team,
        cost: f64,
        share: f64,
        limits: WaitLimits,
        now: Moment,
    ) -> ChargeOutcome {
        let Some(rate_per_s) = team.rate_per_s else {
            return ChargeOutcome::Charged;
        };
        let ticket = Ticket(self.next_ticket);
        let account = self.account(team, rate_per_s, share, now);
        let is_much_larger =
            |waiting: &WaitingCharge| !waiting.is_small && cost < waiting.cost * SMALL_COST_SHARE;
        let mut waiting = WaitingCharge {
            ticket,
            cost,
            is_small: account.waiting.iter().any(is_much_larger),
            limits,
        };
        let cost_ahead = account.cost_ahead(waiting.rank(now), now);
        if cost_ahead == 0.0 && account.take(cost, now) {
            return ChargeOutcome::Charged;
        }
        let mut wait = account.wait(cost, cost_ahead, share);
        if !waiting.is_small && now + wait > limits.on_time_until {
            // It can't be in time, so it queues as late at once and doesn't delay requests that can be.
            waiting.limits.on_time_until = now;
            let cost_ahead = account.cost_ahead(waiting.rank(now), now);
            wait = account.wait(cost, cost_ahead, share);
        }
        if now + wait > limits.start_by {
            return ChargeOutcome::Refused(wait);
        }
        account.waiting.push(waiting);
        self.next_ticket += 1;
        ChargeOutcome::Wait(ticket, wait)
    }

    /// Charges a waiting request if it is first in the queue and the level covers its cost.
    ///
    /// # Errors
    /// Returns the forecast of the remaining wait.
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
        let position = account
            .waiting
            .iter()
            .position(|waiting| waiting.ticket == ticket);
        let Some(position) = position else {
            return Ok(());
        };
        let request = account.waiting[position];
        let cost_ahead = account.cost_ahead(request.rank(now), now);
        if cost_ahead == 0.0 && account.take(request.cost, now) {
            account.waiting.remove(position);
            return Ok(());
        }
        Err(account.wait(request.cost, cost_ahead, share))
    }

    /// Removes a request from the queue if it still waits.
    pub(crate) fn withdraw(&mut self, team: &TeamName, ticket: Ticket) {
        if let Some(account) = self.accounts.get_mut(&TeamKey::of(team)) {
            account.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Refunds the charge of a request that has not run.
    pub(crate) fn refund(&mut self, team: &TeamName, cost: f64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(&TeamKey::of(team)) {
            account.level = (account.level + cost).min(account.burst);
            account.charged -= cost;
            account.changed_at = now;
        }
    }

    /// Accounts for a full heartbeat: those that changed recently, to make up for lost heartbeats, and a rotating part
    /// of the others, for peers that have just joined.
    ///
    /// The selection keeps heartbeats small with a hundred entries and tens of teams, each of which calls a few entries
    /// at a time.
    pub(crate) fn report(&mut self, share: f64, now: Moment) -> Vec<ReportedAccount> {
        self.cycle_position = (self.cycle_position + 1) % HEARTBEATS_PER_CYCLE;
        let position = self.cycle_position;
        let is_due = |(team, account): &(&TeamKey, &mut Account)| {
            let is_recent = now.since(account.changed_at) <= REPORT_CHANGED_FOR;
            let team_position = team.0 % HEARTBEATS_PER_CYCLE;
            is_recent || account.backlog(now) > 0.0 || team_position == position
        };
        let due = self.accounts.iter_mut().filter(is_due);
        due.map(|(team, account)| account.report(*team, share, now))
            .collect()
    }

    /// Accounts whose charges or backlog have changed since they were last reported.
    pub(crate) fn report_changes(&mut self, share: f64, now: Moment) -> Vec<ReportedAccount> {
        let accounts = self.accounts.iter_mut();
        let is_changed = |(_, account): &(&TeamKey, &mut Account)| {
            account.charged.to_bits() != account.reported_charged.to_bits()
                || account.backlog(now).to_bits() != account.reported_backlog.to_bits()
        };
        let changed = accounts.filter(is_changed);
        changed
            .map(|(team, account)| account.report(*team, share, now))
            .collect()
    }

    /// Tokens left in a team's bucket, as far as this entry knows.
    pub(crate) fn level(&self, team: &TeamName) -> Option<f64> {
        self.accounts
            .get(&TeamKey::of(team))
            .map(|account| account.level)
    }

    /// Deducts what a peer has charged since its previous report. A peer's first report only sets the baseline for
    /// later ones and caps the local level, since this entry may have joined peers that have been charging for long.
    pub(crate) fn note_peer(
        &mut self,
        incarnation: u64,
        accounts: Vec<ReportedAccount>,
        share: f64,
        now: Moment,
    ) {
        let charges = self.peer_charges.entry(incarnation).or_default();
        for peer in accounts {
            if !(peer.charged.is_finite() && peer.level.is_finite() && peer.backlog.is_finite()) {
                tracing::debug!(event = "heartbeat_unreadable", incarnation);
                continue;
            }
            let previous = charges.insert(peer.team, peer.charged);
            let Some(account) = self.accounts.get_mut(&peer.team) else {
                self.peer_levels.insert(peer.team, (peer.level, now));
                continue;
            };
            account
                .peers_backlog
                .insert(incarnation, (now, peer.backlog));
            // Refilling first caps the level at the burst, so that tokens beyond it don't offset the new charges.
            account.refill(share, now);
            account.level = match previous {
                Some(previous) => (account.level - (peer.charged - previous)).min(account.burst),
                None => account.level.min(peer.level),
            };
        }
    }

    /// Forgets the reports of a peer that has ended or was silent; its next report counts as its first.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.peer_charges.remove(&incarnation);
        for account in self.accounts.values_mut() {
            account.peers_backlog.remove(&incarnation);
        }
    }
}
