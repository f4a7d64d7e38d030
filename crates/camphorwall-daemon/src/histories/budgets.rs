//! Checks that no team spends more than `burst + rate * t` in any window, whichever faults hit owners and entries.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use camphorwall::{DataCentreId, GrantClose, GrantRequest, OwnerReply, Tokens};
use rand::RngExt as _;
use rstest::rstest;

use super::{
    faults::{Fault, Script, happens, history_count, play_all},
    group::{GroupRules, MAX_CLOCK_DRIFT, TICK, TestGroup},
    link::Link,
};
use crate::budget::{GrantPool, GrantTimes, LocalGrant, OwnedAccounts, Payment, Share};

const TICKS: u64 = 240;
const TEAM: &str = "marousi-tills";
const SHARE: Share = Share {
    rate_tokens_per_s: 100.0,
    burst_tokens: 200,
};

const GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum cost of a request.
const MAX_COST_TOKENS: u64 = 40;

/// Probability per tick that an entry which hoards its grants spends all of them.
const HOARD_SPEND_PROBABILITY: f64 = 0.05;

/// Probability per tick that an entry changes between busy and idle.
const LOAD_CHANGE_PROBABILITY: f64 = 0.05;

/// Each charge is refunded by one part in this many when it is settled.
const UNUSED_DIVISOR: u64 = 5;

/// Tolerance for the rounding of instants.
const ROUNDING_TOKENS: f64 = 0.01;

/// Number of histories within which the checker must catch a broken rule.
const BROKEN_HISTORIES: u64 = 400;

/// Rules of a history. A test breaks one of them to prove that the checker catches it.
#[derive(Clone, Copy, Debug)]
struct BudgetRules {
    group: GroupRules,
    /// Computes when an entry's grant expires.
    expiry: fn(requested_at: Instant, received_at: Instant, lifetime: Duration) -> Instant,
    /// Start of the owner's account, computed from the start of its ownership.
    account_since: fn(since: Instant) -> Instant,
}

const DEFAULT_EXPIRY: fn(Instant, Instant, Duration) -> Instant =
    |requested_at, _, lifetime| requested_at + lifetime;

impl Default for BudgetRules {
    fn default() -> Self {
        Self {
            group: GroupRules::default(),
            expiry: DEFAULT_EXPIRY,
            account_since: |since| since,
        }
    }
}

/// A call to an owner. Later replies are ignored, as with the calls between real processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Call {
    number: u64,
    requested_at: Instant,
}

#[derive(Clone)]
enum Message {
    Request { request: GrantRequest, call: Call },
    Reply { reply: OwnerReply, call: Call },
}

/// A charge that may be settled later.
struct OpenCharge {
    charge_index: usize,
    payments: Vec<Payment>,
    tokens: u64,
    settle_tick: u64,
}

struct Entry {
    incarnation: u64,
    accounts: OwnedAccounts,
    grant_pool: GrantPool,
    open_charges: Vec<OpenCharge>,
    open_calls: Vec<Call>,
    is_busy: bool,
    is_hoarding: bool,
}

#[derive(Clone, Copy, Debug)]
struct Charge {
    tick: u64,
    tokens: u64,
}

/// A window in which a team spent more than its burst and rate allow.
#[derive(Debug)]
#[allow(dead_code, reason = "shown when a test fails")]
struct OverspentWindow {
    from_tick: u64,
    to_tick: u64,
    tokens: f64,
}

/// Finds a window in which the spent tokens exceed `burst + rate * t`.
fn find_overspent_window(
    charges: &[Charge],
    rate_tokens_per_tick: f64,
    burst_tokens: f64,
) -> Option<OverspentWindow> {
    let mut spent = 0.0;
    let mut lowest = (f64::INFINITY, 0);
    for charge in charges {
        let refilled = rate_tokens_per_tick * charge.tick as f64;
        if spent - refilled < lowest.0 {
            lowest = (spent - refilled, charge.tick);
        }
        spent += charge.tokens as f64;
        let tokens = spent - refilled - lowest.0;
        if tokens > burst_tokens + ROUNDING_TOKENS {
            return Some(OverspentWindow {
                from_tick: lowest.1,
                to_tick: charge.tick,
                tokens,
            });
        }
    }
    None
}

fn times() -> GrantTimes {
    GrantTimes::new(GRANT_LIFETIME)
}

/// Data centre under which an entry keeps the grants of an owner: grants of different owners stay apart.
fn grant_source(owner: usize) -> DataCentreId {
    format!("owner-{owner}").parse().expect("a name")
}

struct History {
    group: TestGroup,
    rules: BudgetRules,
    link: Link<Message>,
    entries: Vec<Entry>,
    charges: Vec<Charge>,
    next_call: u64,
}

impl History {
    fn new(script: &Script, rules: BudgetRules) -> Self {
        Self {
            group: TestGroup::new(script, rules.group),
            rules,
            link: Link::new(script.has(Fault::Messages)),
            entries: Vec::new(),
            charges: Vec::new(),
            next_call: 0,
        }
    }

    fn step(&mut self) {
        self.group.step();
        self.start_entries();
        for index in 0..self.entries.len() {
            if self.group.is_running(index) {
                self.settle_charges(index);
                self.serve_requests(index);
            }
        }
        self.deliver();
    }

    fn start_entries(&mut self) {
        for index in 0..self.group.processes.len() {
            let incarnation = self.group.incarnation(index);
            let new = Entry {
                incarnation,
                accounts: OwnedAccounts::new(times(), self.group.random.random()),
                grant_pool: GrantPool::default(),
                open_charges: Vec::new(),
                open_calls: Vec::new(),
                is_busy: true,
                is_hoarding: happens(&mut self.group.random, 0.3),
            };
            match self.entries.get_mut(index) {
                Some(entry) if entry.incarnation == incarnation => {}
                Some(entry) => *entry = new,
                None => self.entries.push(new),
            }
        }
    }

    fn now(&self, index: usize) -> Instant {
        self.group.processes[index].now(self.group.tick)
    }

    /// Serves requests at an entry, which pays for them from its grant pool, and requests further grants. Some entries
    /// hoard their grants for a time and then spend all of them at once.
    fn serve_requests(&mut self, index: usize) {
        let now = self.now(index);
        let changes_load = happens(&mut self.group.random, LOAD_CHANGE_PROBABILITY);
        self.entries[index].is_busy ^= changes_load;
        let Entry {
            is_busy,
            is_hoarding,
            ..
        } = self.entries[index];
        if is_hoarding && happens(&mut self.group.random, HOARD_SPEND_PROBABILITY) {
            self.spend(index, self.entries[index].grant_pool.free_tokens(now));
        }
        if is_busy && !is_hoarding && happens(&mut self.group.random, 0.8) {
            let cost = self.group.random.random_range(1..=MAX_COST_TOKENS);
            self.spend(index, cost);
        }
        if is_busy && happens(&mut self.group.random, 0.5) {
            let need = self.group.random.random_range(1..=SHARE.burst_tokens);
            let closes = self.grants_to_exchange(index);
            self.request_grant(index, need, closes);
        }
        if happens(&mut self.group.random, 0.02) {
            let before = now + GRANT_LIFETIME;
            let closes = self.entries[index].grant_pool.close_expiring(before, now);
            let closes = closes.into_iter().map(|(_, close)| close).collect();
            self.request_grant(index, 0, closes);
        }
    }

    /// Closes the grants that an entry returns in exchange for a new one. Entries that hoard keep theirs.
    fn grants_to_exchange(&mut self, index: usize) -> Vec<GrantClose> {
        let now = self.now(index);
        let owner = self.group.believed_owner(index, TEAM);
        let entry = &mut self.entries[index];
        match owner {
            Some(owner) if !entry.is_hoarding => {
                entry.grant_pool.close_all(&grant_source(owner), now)
            }
            Some(_) | None => Vec::new(),
        }
    }

    fn spend(&mut self, index: usize, tokens: u64) {
        let now = self.now(index);
        let payments = self.entries[index].grant_pool.spend(tokens, now);
        if let Some(payments) = payments.filter(|_| tokens > 0) {
            self.record_charge(index, tokens, payments);
        }
    }

    fn record_charge(&mut self, index: usize, tokens: u64, payments: Vec<Payment>) {
        let tick = self.group.tick;
        self.charges.push(Charge { tick, tokens });
        let settle_tick = tick + self.group.random.random_range(0..40);
        self.entries[index].open_charges.push(OpenCharge {
            charge_index: self.charges.len() - 1,
            payments,
            tokens,
            settle_tick,
        });
    }

    /// Settles the charges that are due and refunds their unused part.
    fn settle_charges(&mut self, index: usize) {
        let now = self.now(index);
        let tick = self.group.tick;
        let entry = &mut self.entries[index];
        for open in entry
            .open_charges
            .extract_if(.., |open| open.settle_tick <= tick)
        {
            let unused = open.tokens / UNUSED_DIVISOR;
            entry.grant_pool.refund(&open.payments, unused, now);
            self.charges[open.charge_index].tokens -= unused;
        }
    }

    fn request_grant(&mut self, index: usize, need_tokens: u64, closes: Vec<GrantClose>) {
        let Some(owner) = self.group.believed_owner(index, TEAM) else {
            return;
        };
        let request = GrantRequest {
            team: TEAM.parse().expect("a name"),
            data_centre: "marousi".parse().expect("a name"),
            need_tokens: Tokens(need_tokens),
            prefetch_tokens: Tokens(need_tokens),
            closes,
        };
        let call = Call {
            number: self.next_call,
            requested_at: self.now(index),
        };
        self.next_call += 1;
        self.entries[index].open_calls.push(call);
        let message = Message::Request { request, call };
        let tick = self.group.tick;
        self.link
            .send(&mut self.group.random, tick, index, owner, message);
    }

    fn deliver(&mut self) {
        let tick = self.group.tick;
        for message in self.link.arrivals(&mut self.group.random, tick) {
            let (from, to) = (message.from, message.to);
            let process = &self.group.processes[to];
            if process.is_dead || !self.group.is_open(from, to) {
                continue;
            }
            if process.paused_until_tick > tick {
                let due_tick = process.paused_until_tick;
                self.link.defer(message, due_tick);
                continue;
            }
            match message.body {
                Message::Request { request, call } => self.answer_request(from, to, &request, call),
                Message::Reply { reply, call } => self.receive_reply(to, from, reply, call),
            }
        }
    }

    fn answer_request(&mut self, from: usize, to: usize, request: &GrantRequest, call: Call) {
        let Some(ownership) = self.group.ownership(to, TEAM) else {
            return;
        };
        let since = (self.rules.account_since)(ownership.since);
        let now = self.now(to);
        let reply = self.entries[to].accounts.answer(request, SHARE, since, now);
        let message = Message::Reply { reply, call };
        let tick = self.group.tick;
        self.link
            .send(&mut self.group.random, tick, to, from, message);
    }

    fn receive_reply(&mut self, index: usize, owner: usize, reply: OwnerReply, call: Call) {
        let now = self.now(index);
        let calls = &mut self.entries[index].open_calls;
        let is_open = calls.contains(&call);
        calls.retain(|one| *one != call);
        let Some(grant) = reply.grant.filter(|_| is_open) else {
            return;
        };
        let lifetime = Duration::from_millis(grant.lifetime_ms);
        self.entries[index].grant_pool.add(LocalGrant {
            data_centre: grant_source(owner),
            grant_id: grant.grant_id,
            free_tokens: grant.tokens.get(),
            expires_at: (self.rules.expiry)(call.requested_at, now, lifetime),
        });
    }
}

fn play(script: &Script, rules: BudgetRules) -> (Option<OverspentWindow>, u64) {
    let mut history = History::new(script, rules);
    for _ in 0..TICKS {
        history.step();
    }
    let spent = history.charges.iter().map(|charge| charge.tokens).sum();
    // A clock that runs fast refills the budget faster.
    let speed = if script.has(Fault::ClockDrift) {
        1.0 + MAX_CLOCK_DRIFT
    } else {
        1.0
    };
    let rate_tokens_per_tick = SHARE.rate_tokens_per_s * TICK.as_secs_f64() * speed;
    let excess = find_overspent_window(
        &history.charges,
        rate_tokens_per_tick,
        SHARE.burst_tokens as f64,
    );
    (excess, spent)
}

#[test]
fn no_team_spends_more_than_its_burst_and_rate_in_any_window() {
    let spent = AtomicU64::new(0);
    let failed = play_all(0..history_count(), |script| {
        let (excess, tokens) = play(script, BudgetRules::default());
        spent.fetch_add(tokens, Ordering::Relaxed);
        excess
    });
    assert!(
        failed.is_empty(),
        "{} failed: {:#?}",
        failed.len(),
        failed.first()
    );
    // Histories in which little is spent would not test the bound.
    let spent = spent.into_inner();
    println!("{} tokens spent in a history", spent / history_count());
    assert!(spent > SHARE.burst_tokens * history_count(), "{spent}");
}

#[rstest]
#[case::owner_starts_full(BudgetRules {
    account_since: |since| since.checked_sub(Duration::from_secs(600)).expect("the epoch has a margin"),
    ..BudgetRules::default()
})]
#[case::entry_expires_after_owner(BudgetRules {
    expiry: |requested_at, _, lifetime| requested_at + 2 * lifetime,
    ..BudgetRules::default()
})]
fn the_checker_catches_a_broken_rule(#[case] rules: BudgetRules) {
    let failed = play_all(0..BROKEN_HISTORIES, |script| play(script, rules).0);
    assert!(!failed.is_empty());
}

#[test]
fn the_checker_allows_a_burst_and_then_the_rate() {
    let charge = |tick, tokens| Charge { tick, tokens };
    let charges = [charge(10, 200), charge(12, 10)];
    assert!(find_overspent_window(&charges, 5.0, 200.0).is_none());
    let excess = find_overspent_window(&[charge(10, 200), charge(12, 11)], 5.0, 200.0)
        .expect("one too many");
    assert_eq!((excess.from_tick, excess.to_tick), (10, 12));
}

fn request(need_tokens: u64) -> GrantRequest {
    GrantRequest {
        team: TEAM.parse().expect("a name"),
        data_centre: grant_source(0),
        need_tokens: Tokens(need_tokens),
        prefetch_tokens: Tokens(0),
        closes: Vec::new(),
    }
}

fn at(epoch: Instant, tick: u64) -> Instant {
    epoch + TICK * u32::try_from(tick).expect("a short history")
}

/// Spends a full grant if it is still valid, and returns the spent tokens.
fn spend_full_grant(reply: OwnerReply, expires_at: Instant, now: Instant) -> u64 {
    let grant = reply.grant.expect("the level is above 0");
    let mut grant_pool = GrantPool::default();
    grant_pool.add(LocalGrant {
        data_centre: grant_source(0),
        grant_id: grant.grant_id,
        free_tokens: grant.tokens.get(),
        expires_at,
    });
    let tokens = grant.tokens.get();
    grant_pool.spend(tokens, now).map_or(0, |_| tokens)
}

/// A grant of the full burst arrives after it has expired at the owner, which has granted the burst again.
fn late_grant(expiry: fn(Instant, Instant, Duration) -> Instant) -> Option<OverspentWindow> {
    let epoch = Instant::now() + Duration::from_secs(3_600);
    let since = epoch
        .checked_sub(Duration::from_secs(60))
        .expect("a margin");
    let accounts = OwnedAccounts::new(times(), 1);
    let late = accounts.answer(&request(200), SHARE, since, epoch);
    let now = at(epoch, 30);
    let timely = accounts.answer(&request(200), SHARE, since, now);
    let late_tokens = spend_full_grant(late, expiry(epoch, now, GRANT_LIFETIME), now);
    let timely_tokens = spend_full_grant(timely, now + GRANT_LIFETIME, now);
    let charges = [late_tokens, timely_tokens].map(|tokens| Charge { tick: 30, tokens });
    find_overspent_window(&charges, 10.0, 200.0)
}

#[test]
fn a_late_grant_is_not_spent() {
    assert!(late_grant(DEFAULT_EXPIRY).is_none());
    assert!(late_grant(|_, received_at, lifetime| received_at + lifetime).is_some());
}

/// An owner grants the full burst and crashes; its successor answers a request while that grant is still valid.
fn crashed_owner(waited: Duration) -> Option<OverspentWindow> {
    let epoch = Instant::now() + Duration::from_secs(3_600);
    let since = epoch
        .checked_sub(Duration::from_secs(60))
        .expect("a margin");
    let crashed = OwnedAccounts::new(times(), 1).answer(&request(200), SHARE, since, epoch);
    let successor = OwnedAccounts::new(times(), 1);
    let since = at(epoch, 1).checked_sub(waited).expect("a margin");
    let now = at(epoch, 19);
    let crashed_tokens = spend_full_grant(crashed, epoch + GRANT_LIFETIME, now);
    let reply = successor.answer(&request(200), SHARE, since, now);
    let successor_tokens = reply.grant.map_or(0, |grant| grant.tokens.get());
    let charges = [crashed_tokens, successor_tokens].map(|tokens| Charge { tick: 19, tokens });
    find_overspent_window(&charges, 10.0, 200.0)
}

#[test]
fn a_successor_counts_the_grants_of_a_crashed_owner() {
    assert!(crashed_owner(Duration::ZERO).is_none());
    assert!(crashed_owner(times().owner_lifetime).is_some());
}
