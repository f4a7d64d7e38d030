//! No team spends more than `burst + rate * t` in any window, whatever happens to owners and entries.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use camphorwall::{DataCentreId, GrantClose, GrantRequest, OwnerReply, Tokens};
use rand::RngExt as _;
use rstest::rstest;

use super::{
    faults::{Fault, Script, happens, history_count, play_all},
    group::{GroupRules, MAX_DRIFT, TICK, TestGroup},
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

/// Largest cost of one request.
const MAX_COST_TOKENS: u64 = 40;

/// Chance per tick that an entry which holds its grants spends them.
const HOARD_SPEND: f64 = 0.05;

/// Chance per tick that an entry's busy or idle time ends.
const BUSY_TURN: f64 = 0.05;

/// Part of each charge that is not used.
const UNUSED_PART: u64 = 5;

/// Slack for the rounding of instants.
const ROUNDING_TOKENS: f64 = 0.01;

/// Histories that a broken rule must fail within.
const BROKEN_HISTORIES: u64 = 400;

/// Rules of a history; a broken one must be caught.
#[derive(Clone, Copy, Debug)]
struct BudgetRules {
    group: GroupRules,
    /// When an entry's grant expires, from when it asked, when it received the grant, and its lifetime.
    expiry: fn(asked_at: Instant, received_at: Instant, lifetime: Duration) -> Instant,
    /// Since when the owner's account is reckoned.
    account_since: fn(since: Instant) -> Instant,
}

const USUAL_EXPIRY: fn(Instant, Instant, Duration) -> Instant =
    |asked_at, _, lifetime| asked_at + lifetime;

impl Default for BudgetRules {
    fn default() -> Self {
        Self {
            group: GroupRules::default(),
            expiry: USUAL_EXPIRY,
            account_since: |since| since,
        }
    }
}

/// A call; its first reply ends it, as with the calls between processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Call {
    number: u64,
    asked_at: Instant,
}

#[derive(Clone)]
enum Message {
    Request { request: GrantRequest, call: Call },
    Reply { reply: OwnerReply, call: Call },
}

/// A charge that may be settled later.
struct Open {
    spend: usize,
    payments: Vec<Payment>,
    tokens: u64,
    settle_tick: u64,
}

struct Entry {
    incarnation: u64,
    books: OwnedAccounts,
    wallet: GrantPool,
    open: Vec<Open>,
    calls: Vec<Call>,
    is_busy: bool,
    is_hoarding: bool,
}

#[derive(Clone, Copy, Debug)]
struct Spend {
    tick: u64,
    tokens: u64,
}

/// A window with too much spending.
#[derive(Debug)]
#[allow(dead_code, reason = "shown when a test fails")]
struct Excess {
    from_tick: u64,
    to_tick: u64,
    tokens: f64,
}

/// Finds the window with most tokens above `rate * t` and compares them with the burst.
fn check(spends: &[Spend], rate_tokens_per_tick: f64, burst_tokens: f64) -> Option<Excess> {
    let mut spent = 0.0;
    let mut lowest = (f64::INFINITY, 0);
    for spend in spends {
        let refilled = rate_tokens_per_tick * spend.tick as f64;
        if spent - refilled < lowest.0 {
            lowest = (spent - refilled, spend.tick);
        }
        spent += spend.tokens as f64;
        let tokens = spent - refilled - lowest.0;
        if tokens > burst_tokens + ROUNDING_TOKENS {
            return Some(Excess {
                from_tick: lowest.1,
                to_tick: spend.tick,
                tokens,
            });
        }
    }
    None
}

fn times() -> GrantTimes {
    GrantTimes::new(GRANT_LIFETIME)
}

/// Each owner stands for a data centre of its own in the wallets.
fn source(owner: usize) -> DataCentreId {
    format!("owner-{owner}").parse().expect("a name")
}

struct History {
    group: TestGroup,
    rules: BudgetRules,
    link: Link<Message>,
    entries: Vec<Entry>,
    spends: Vec<Spend>,
    next_call: u64,
}

impl History {
    fn new(script: &Script, rules: BudgetRules) -> Self {
        Self {
            group: TestGroup::new(script, rules.group),
            rules,
            link: Link::new(script.has(Fault::Messages)),
            entries: Vec::new(),
            spends: Vec::new(),
            next_call: 0,
        }
    }

    fn step(&mut self) {
        self.group.step();
        self.start_entries();
        for place in 0..self.entries.len() {
            if self.group.is_awake(place) {
                self.settle(place);
                self.serve(place);
            }
        }
        self.deliver();
    }

    fn start_entries(&mut self) {
        for place in 0..self.group.processes.len() {
            let incarnation = self.group.incarnation(place);
            let new = Entry {
                incarnation,
                books: OwnedAccounts::new(times(), self.group.random.random()),
                wallet: GrantPool::default(),
                open: Vec::new(),
                calls: Vec::new(),
                is_busy: true,
                is_hoarding: happens(&mut self.group.random, 0.3),
            };
            match self.entries.get_mut(place) {
                Some(entry) if entry.incarnation == incarnation => {}
                Some(entry) => *entry = new,
                None => self.entries.push(new),
            }
        }
    }

    fn now(&self, place: usize) -> Instant {
        self.group.processes[place].now(self.group.tick)
    }

    /// Requests come to an entry: they are paid from the wallet, or tokens are asked for. Some entries hold what they
    /// get for a time and then spend all at once.
    fn serve(&mut self, place: usize) {
        let now = self.now(place);
        let turns = happens(&mut self.group.random, BUSY_TURN);
        self.entries[place].is_busy ^= turns;
        let Entry {
            is_busy,
            is_hoarding,
            ..
        } = self.entries[place];
        if is_hoarding && happens(&mut self.group.random, HOARD_SPEND) {
            self.spend(place, self.entries[place].wallet.free_tokens(now));
        }
        if is_busy && !is_hoarding && happens(&mut self.group.random, 0.8) {
            let cost = self.group.random.random_range(1..=MAX_COST_TOKENS);
            self.spend(place, cost);
        }
        if is_busy && happens(&mut self.group.random, 0.5) {
            let need = self.group.random.random_range(1..=SHARE.burst_tokens);
            let closes = self.exchanged(place);
            self.ask(place, need, closes);
        }
        if happens(&mut self.group.random, 0.02) {
            let before = now + GRANT_LIFETIME;
            let closes = self.entries[place].wallet.close_expiring(before, now);
            let closes = closes.into_iter().map(|(_, close)| close).collect();
            self.ask(place, 0, closes);
        }
    }

    /// Grants that an entry exchanges when it asks; some entries keep theirs.
    fn exchanged(&mut self, place: usize) -> Vec<GrantClose> {
        let now = self.now(place);
        let owner = self.group.believed_owner(place, TEAM);
        let entry = &mut self.entries[place];
        match owner {
            Some(owner) if !entry.is_hoarding => entry.wallet.close_all(&source(owner), now),
            Some(_) | None => Vec::new(),
        }
    }

    fn spend(&mut self, place: usize, tokens: u64) {
        let now = self.now(place);
        let payments = self.entries[place].wallet.spend(tokens, now);
        if let Some(payments) = payments.filter(|_| tokens > 0) {
            self.note_spend(place, tokens, payments);
        }
    }

    fn note_spend(&mut self, place: usize, tokens: u64, payments: Vec<Payment>) {
        let tick = self.group.tick;
        self.spends.push(Spend { tick, tokens });
        let settle_tick = tick + self.group.random.random_range(0..40);
        self.entries[place].open.push(Open {
            spend: self.spends.len() - 1,
            payments,
            tokens,
            settle_tick,
        });
    }

    /// Ends charges; a part of each was not used.
    fn settle(&mut self, place: usize) {
        let now = self.now(place);
        let tick = self.group.tick;
        let entry = &mut self.entries[place];
        for open in entry.open.extract_if(.., |open| open.settle_tick <= tick) {
            let unused = open.tokens / UNUSED_PART;
            entry.wallet.refund(&open.payments, unused, now);
            self.spends[open.spend].tokens -= unused;
        }
    }

    fn ask(&mut self, place: usize, need_tokens: u64, closes: Vec<GrantClose>) {
        let Some(owner) = self.group.believed_owner(place, TEAM) else {
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
            asked_at: self.now(place),
        };
        self.next_call += 1;
        self.entries[place].calls.push(call);
        let message = Message::Request { request, call };
        let tick = self.group.tick;
        self.link
            .send(&mut self.group.random, tick, place, owner, message);
    }

    fn deliver(&mut self) {
        let tick = self.group.tick;
        for message in self.link.arrivals(&mut self.group.random, tick) {
            let (from, to) = (message.from, message.to);
            let process = &self.group.processes[to];
            if process.is_dead || !self.group.is_open(from, to) {
                continue;
            }
            if process.paused_until > tick {
                let due_tick = process.paused_until;
                self.link.put_back(message, due_tick);
                continue;
            }
            match message.body {
                Message::Request { request, call } => self.answer(from, to, &request, call),
                Message::Reply { reply, call } => self.receive(to, from, reply, call),
            }
        }
    }

    fn answer(&mut self, from: usize, to: usize, request: &GrantRequest, call: Call) {
        let Some(ownership) = self.group.ownership(to, TEAM) else {
            return;
        };
        let since = (self.rules.account_since)(ownership.since);
        let now = self.now(to);
        let reply = self.entries[to].books.answer(request, SHARE, since, now);
        let message = Message::Reply { reply, call };
        let tick = self.group.tick;
        self.link
            .send(&mut self.group.random, tick, to, from, message);
    }

    fn receive(&mut self, place: usize, owner: usize, reply: OwnerReply, call: Call) {
        let now = self.now(place);
        let calls = &mut self.entries[place].calls;
        let is_open = calls.contains(&call);
        calls.retain(|one| *one != call);
        let Some(grant) = reply.grant.filter(|_| is_open) else {
            return;
        };
        let lifetime = Duration::from_millis(grant.lifetime_ms);
        self.entries[place].wallet.add(LocalGrant {
            data_centre: source(owner),
            grant_id: grant.grant_id,
            free_tokens: grant.tokens.get(),
            expires_at: (self.rules.expiry)(call.asked_at, now, lifetime),
        });
    }
}

fn play(script: &Script, rules: BudgetRules) -> (Option<Excess>, u64) {
    let mut history = History::new(script, rules);
    for _ in 0..TICKS {
        history.step();
    }
    let spent = history.spends.iter().map(|spend| spend.tokens).sum();
    // A fast clock refills faster.
    let speed = if script.has(Fault::ClockDrift) {
        1.0 + MAX_DRIFT
    } else {
        1.0
    };
    let rate_tokens_per_tick = SHARE.rate_tokens_per_s * TICK.as_secs_f64() * speed;
    let excess = check(
        &history.spends,
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
    // A history in which nothing is spent proves nothing.
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
    expiry: |asked_at, _, lifetime| asked_at + 2 * lifetime,
    ..BudgetRules::default()
})]
fn the_checker_catches_a_broken_rule(#[case] rules: BudgetRules) {
    let failed = play_all(0..BROKEN_HISTORIES, |script| play(script, rules).0);
    assert!(!failed.is_empty());
}

#[test]
fn the_checker_allows_a_burst_and_then_the_rate() {
    let spend = |tick, tokens| Spend { tick, tokens };
    let spends = [spend(10, 200), spend(12, 10)];
    assert!(check(&spends, 5.0, 200.0).is_none());
    let excess = check(&[spend(10, 200), spend(12, 11)], 5.0, 200.0).expect("one too many");
    assert_eq!((excess.from_tick, excess.to_tick), (10, 12));
}

fn request(need_tokens: u64) -> GrantRequest {
    GrantRequest {
        team: TEAM.parse().expect("a name"),
        data_centre: source(0),
        need_tokens: Tokens(need_tokens),
        prefetch_tokens: Tokens(0),
        closes: Vec::new(),
    }
}

fn at(epoch: Instant, tick: u64) -> Instant {
    epoch + TICK * u32::try_from(tick).expect("a short history")
}

/// Spends the whole of a grant, if it is still valid.
fn spend_whole(reply: OwnerReply, expires_at: Instant, now: Instant) -> u64 {
    let grant = reply.grant.expect("the level is above 0");
    let mut wallet = GrantPool::default();
    wallet.add(LocalGrant {
        data_centre: source(0),
        grant_id: grant.grant_id,
        free_tokens: grant.tokens.get(),
        expires_at,
    });
    let tokens = grant.tokens.get();
    wallet.spend(tokens, now).map_or(0, |_| tokens)
}

/// A grant of the whole burst arrives after the owner has freed and refilled it.
fn late_grant(expiry: fn(Instant, Instant, Duration) -> Instant) -> Option<Excess> {
    let epoch = Instant::now() + Duration::from_secs(3_600);
    let since = epoch
        .checked_sub(Duration::from_secs(60))
        .expect("a margin");
    let books = OwnedAccounts::new(times(), 1);
    let late = books.answer(&request(200), SHARE, since, epoch);
    let now = at(epoch, 30);
    let prompt = books.answer(&request(200), SHARE, since, now);
    let late_tokens = spend_whole(late, expiry(epoch, now, GRANT_LIFETIME), now);
    let prompt_tokens = spend_whole(prompt, now + GRANT_LIFETIME, now);
    let spends = [late_tokens, prompt_tokens].map(|tokens| Spend { tick: 30, tokens });
    check(&spends, 10.0, 200.0)
}

#[test]
fn a_grant_that_comes_late_is_not_spent() {
    assert!(late_grant(USUAL_EXPIRY).is_none());
    assert!(late_grant(|_, received_at, lifetime| received_at + lifetime).is_some());
}

/// An owner grants the whole burst and is lost at once; its successor grants while that grant is valid.
fn lost_owner(waited: Duration) -> Option<Excess> {
    let epoch = Instant::now() + Duration::from_secs(3_600);
    let since = epoch
        .checked_sub(Duration::from_secs(60))
        .expect("a margin");
    let lost = OwnedAccounts::new(times(), 1).answer(&request(200), SHARE, since, epoch);
    let successor = OwnedAccounts::new(times(), 1);
    let since = at(epoch, 1).checked_sub(waited).expect("a margin");
    let now = at(epoch, 19);
    let lost_tokens = spend_whole(lost, epoch + GRANT_LIFETIME, now);
    let reply = successor.answer(&request(200), SHARE, since, now);
    let new_tokens = reply.grant.map_or(0, |grant| grant.tokens.get());
    let spends = [lost_tokens, new_tokens].map(|tokens| Spend { tick: 19, tokens });
    check(&spends, 10.0, 200.0)
}

#[test]
fn a_successor_counts_the_grants_of_a_lost_owner() {
    assert!(lost_owner(Duration::ZERO).is_none());
    assert!(lost_owner(times().owner_lifetime).is_some());
}
