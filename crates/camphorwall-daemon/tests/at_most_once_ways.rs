//! Compares protocols that run a call at most once, in a small model with one replica event and the same orders each.
//!
//! `cargo test --release -p camphorwall-daemon --test at_most_once_ways -- --ignored --nocapture`

use std::collections::{BTreeMap, BTreeSet};

use camphorwall::rendezvous_rank;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 4;
const ORDERS_PER_S: u64 = 40;
const END_MS: u64 = 120_000;
const EVENT_MS: u64 = 40_000;
/// Delay after which the platform's list omits a dead instance.
const LIST_LAG_MS: u64 = 10_000;
/// Delay after which peers learn that a replica is dead from refused connections to its address.
const PROOF_MS: u64 = 1_000;
const LEASE_MS: u64 = 20_000;
const SKEW_MS: u64 = 2_000;
const PAUSE_MS: u64 = 10_000;
const WORK_MS: u64 = 50;
const SEARCH_MS: u64 = 1_500;
const RETRY_MS: u64 = 1_000;
const MAX_SENDS: u32 = 6;
/// Percentage of answered orders that their callers send again.
const REPEATED_PERCENT: u32 = 20;
const LATEST_REPEAT_MS: u64 = 40_000;
const TICKET_MS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplicaEvent {
    Dies,
    IsPaused,
    IsReplaced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    LedgerWithEarlyNewcomers,
    /// The protocol of the daemon: a new member takes over keys only once it may act for them.
    Ledger,
    Pinned,
    Claims,
    Tickets,
}

const PROTOCOLS: [Protocol; 5] = [
    Protocol::LedgerWithEarlyNewcomers,
    Protocol::Ledger,
    Protocol::Pinned,
    Protocol::Claims,
    Protocol::Tickets,
];

#[derive(Clone, Copy, PartialEq)]
enum CallOutcome {
    Answered,
    MayHaveRun,
    NotRun,
}

struct Order {
    key: String,
    issued_ms: u64,
    /// Replica that issued the ticket.
    ticket: Option<usize>,
}

/// The service with one event at replica 0, whose replacement is the replica with the number `REPLICAS`.
struct Model {
    protocol: Protocol,
    event: ReplicaEvent,
    random: ChaCha8Rng,
    records: Vec<BTreeSet<String>>,
    runs: BTreeMap<String, u32>,
    has_handed_over: bool,
}

const REPLACEMENT: usize = REPLICAS;

impl Model {
    fn new(protocol: Protocol, event: ReplicaEvent) -> Self {
        Self {
            protocol,
            event,
            random: ChaCha8Rng::seed_from_u64(7),
            records: vec![BTreeSet::new(); REPLICAS + 1],
            runs: BTreeMap::new(),
            has_handed_over: false,
        }
    }

    /// When the replacement joins.
    const fn joins_ms(&self) -> u64 {
        match self.event {
            ReplicaEvent::Dies => EVENT_MS + 30_000,
            ReplicaEvent::IsPaused => u64::MAX,
            ReplicaEvent::IsReplaced => EVENT_MS,
        }
    }

    /// When the replacement may act: one lease duration and its margin after it has joined.
    const fn acts_ms(&self) -> u64 {
        self.joins_ms().saturating_add(LEASE_MS + LEASE_MS / 10)
    }

    /// When the leaving replica has departed.
    const fn leaves_ms(&self) -> u64 {
        match self.event {
            ReplicaEvent::IsReplaced => EVENT_MS + 30_000,
            ReplicaEvent::Dies | ReplicaEvent::IsPaused => u64::MAX,
        }
    }

    fn is_responsive(&self, replica: usize, now_ms: u64) -> bool {
        match self.event {
            _ if replica == REPLACEMENT => now_ms >= self.joins_ms(),
            _ if replica > 0 => true,
            ReplicaEvent::Dies => now_ms < EVENT_MS,
            ReplicaEvent::IsPaused => !(EVENT_MS..EVENT_MS + PAUSE_MS).contains(&now_ms),
            ReplicaEvent::IsReplaced => now_ms < self.leaves_ms(),
        }
    }

    /// Members according to the list, or to the sets of members that the replicas count.
    fn members(&self, now_ms: u64, is_counted: bool) -> Vec<usize> {
        let lag_ms = if is_counted { PROOF_MS } else { LIST_LAG_MS };
        let is_member = |replica: &usize| match (*replica, self.event) {
            (REPLACEMENT, _) if self.protocol == Protocol::Ledger => now_ms >= self.acts_ms(),
            (REPLACEMENT, _) => now_ms >= self.joins_ms(),
            (0, ReplicaEvent::Dies) => now_ms < EVENT_MS + lag_ms,
            (0, _) => now_ms < self.leaves_ms(),
            _ => true,
        };
        (0..=REPLACEMENT).filter(is_member).collect()
    }

    fn ranked(key: &str, members: &[usize]) -> Vec<usize> {
        let names: Vec<String> = members.iter().map(|one| format!("orders-{one}")).collect();
        let ranked = rendezvous_rank(key, &names);
        let position = |name: &&String| names.iter().position(|other| other == *name);
        ranked
            .iter()
            .filter_map(position)
            .map(|position| members[position])
            .collect()
    }

    fn send(&mut self, order: &mut Order, now_ms: u64) -> CallOutcome {
        if now_ms >= self.leaves_ms() && !self.has_handed_over {
            self.has_handed_over = true;
            self.hand_over(now_ms);
        }
        match self.protocol {
            Protocol::LedgerWithEarlyNewcomers | Protocol::Ledger => {
                self.send_to_ledger(order, now_ms)
            }
            Protocol::Pinned => self.send_to_pin(order, now_ms),
            Protocol::Claims => self.send_to_claims(order, now_ms),
            Protocol::Tickets => self.send_with_ticket(order, now_ms),
        }
    }

    /// Moves the records of a replica that leaves gracefully to the next owners, in every protocol.
    fn hand_over(&mut self, now_ms: u64) {
        let members = self.members(now_ms, true);
        for key in std::mem::take(&mut self.records[0]) {
            let next = Self::ranked(&key, &members)[0];
            self.records[next].insert(key);
        }
    }

    fn run(&mut self, key: &str, replica: usize, now_ms: u64) -> CallOutcome {
        *self.runs.entry(key.into()).or_default() += 1;
        let ends_alive = self.is_responsive(replica, now_ms + WORK_MS);
        // A paused replica records the outcome when it resumes, and a leaving one waits for it.
        if ends_alive || self.event != ReplicaEvent::Dies {
            self.records[replica].insert(key.into());
        }
        match self.event {
            ReplicaEvent::Dies | ReplicaEvent::IsPaused if !ends_alive => CallOutcome::MayHaveRun,
            _ => CallOutcome::Answered,
        }
    }

    fn send_to_ledger(&mut self, order: &Order, sent_ms: u64) -> CallOutcome {
        for now_ms in (sent_ms..=sent_ms + SEARCH_MS).step_by(50) {
            let owner = Self::ranked(&order.key, &self.members(now_ms, true))[0];
            if !self.is_responsive(owner, now_ms)
                || (owner == REPLACEMENT && now_ms < self.acts_ms())
            {
                continue;
            }
            if self.records[owner].contains(&order.key) {
                return CallOutcome::Answered;
            }
            if order.issued_ms <= self.records_from_ms(owner, &order.key, now_ms) {
                let is_recalled = (0..=REPLACEMENT).any(|other| {
                    self.is_responsive(other, now_ms) && self.records[other].contains(&order.key)
                });
                return if is_recalled {
                    CallOutcome::Answered
                } else {
                    CallOutcome::MayHaveRun
                };
            }
            return self.run(&order.key, owner, now_ms);
        }
        CallOutcome::NotRun
    }

    fn records_from_ms(&self, owner: usize, key: &str, now_ms: u64) -> u64 {
        let was_owned_by_dead = Self::ranked(key, &(0..REPLICAS).collect::<Vec<_>>())[0] == 0;
        match self.event {
            _ if owner == REPLACEMENT => self.acts_ms() + SKEW_MS,
            ReplicaEvent::Dies if was_owned_by_dead && now_ms >= EVENT_MS => {
                EVENT_MS + PROOF_MS + SKEW_MS
            }
            _ => 0,
        }
    }

    fn send_to_pin(&mut self, order: &Order, now_ms: u64) -> CallOutcome {
        let pin = Self::ranked(&order.key, &self.members(now_ms, false))[0];
        match self.is_responsive(pin, now_ms) {
            false => CallOutcome::NotRun,
            true if self.records[pin].contains(&order.key) => CallOutcome::Answered,
            true => self.run(&order.key, pin, now_ms),
        }
    }

    fn send_to_claims(&mut self, order: &Order, now_ms: u64) -> CallOutcome {
        let mut candidates = Self::ranked(&order.key, &self.members(now_ms, false));
        candidates.truncate(3);
        candidates.retain(|one| self.is_responsive(*one, now_ms));
        // The two fastest answers decide.
        while candidates.len() > 2 {
            candidates.remove(self.random.random_range(0..candidates.len()));
        }
        let [one, other] = candidates[..] else {
            return CallOutcome::NotRun;
        };
        if self.records[one].contains(&order.key) || self.records[other].contains(&order.key) {
            return CallOutcome::Answered;
        }
        self.records[other].insert(order.key.clone());
        self.run(&order.key, one, now_ms)
    }

    fn send_with_ticket(&mut self, order: &mut Order, now_ms: u64) -> CallOutcome {
        let members = self.members(now_ms, true);
        let mut issuers = Self::ranked(&order.key, &members).into_iter();
        let issuer = order
            .ticket
            .or_else(|| issuers.find(|one| self.is_responsive(*one, now_ms)));
        let is_first = order.ticket.is_none();
        order.ticket = issuer;
        let Some(issuer) = issuer else {
            return CallOutcome::NotRun;
        };
        let now_ms = now_ms + TICKET_MS;
        let has_left = issuer == 0 && now_ms >= self.leaves_ms();
        let is_known = self
            .records
            .iter()
            .any(|records| records.contains(&order.key));
        match self.is_responsive(issuer, now_ms) {
            true if self.records[issuer].contains(&order.key) => CallOutcome::Answered,
            true => self.run(&order.key, issuer, now_ms),
            false if has_left && is_known => CallOutcome::Answered,
            false if is_first || self.event == ReplicaEvent::IsPaused => CallOutcome::NotRun,
            false => CallOutcome::MayHaveRun,
        }
    }
}

#[derive(Default)]
struct Tally {
    orders: u32,
    refused_first: u32,
    uncertain: u32,
    repeats: u32,
    repeats_unknown: u32,
    second_runs: u32,
}

fn measure(protocol: Protocol, event: ReplicaEvent) -> Tally {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut model = Model::new(protocol, event);
    let mut tally = Tally::default();
    let mut sends: BTreeMap<(u64, u64), (Order, u32, bool)> = BTreeMap::new();
    for number in 0..END_MS * ORDERS_PER_S / 1_000 {
        let issued_ms = random.random_range(0..END_MS);
        let order = Order {
            key: format!("order-{number}"),
            issued_ms,
            ticket: None,
        };
        sends.insert((issued_ms, number), (order, 1, false));
    }
    while let Some(((now_ms, number), (mut order, count, is_repeat))) = sends.pop_first() {
        let outcome = model.send(&mut order, now_ms);
        let is_affected = (EVENT_MS..EVENT_MS + 60_000).contains(&order.issued_ms);
        tally.orders += u32::from(is_affected && count == 1 && !is_repeat);
        tally.refused_first +=
            u32::from(is_affected && count == 1 && !is_repeat && outcome != CallOutcome::Answered);
        tally.repeats += u32::from(is_repeat);
        tally.repeats_unknown += u32::from(is_repeat && outcome != CallOutcome::Answered);
        match outcome {
            CallOutcome::Answered
                if !is_repeat && random.random_range(0..100) < REPEATED_PERCENT =>
            {
                let at_ms = now_ms + random.random_range(RETRY_MS..LATEST_REPEAT_MS);
                sends.insert((at_ms, number), (order, 1, true));
            }
            CallOutcome::Answered => {}
            CallOutcome::NotRun | CallOutcome::MayHaveRun if count < MAX_SENDS && !is_repeat => {
                sends.insert((now_ms + RETRY_MS, number), (order, count + 1, false));
            }
            CallOutcome::NotRun | CallOutcome::MayHaveRun => {
                tally.uncertain += u32::from(is_affected && !is_repeat);
            }
        }
    }
    tally.second_runs = model.runs.values().map(|runs| runs.saturating_sub(1)).sum();
    tally
}

fn percent(part: u32, total: u32) -> String {
    format!("{:.2} %", 100.0 * f64::from(part) / f64::from(total.max(1)))
}

#[test]
#[ignore = "prints the table of docs/design/ledger.md"]
fn protocols_that_run_a_call_at_most_once() {
    println!(
        "| event | way | refused at first | not served after {MAX_SENDS} sends | repeats not answered | second runs |"
    );
    println!("|---|---|---|---|---|---|");
    for event in [
        ReplicaEvent::Dies,
        ReplicaEvent::IsPaused,
        ReplicaEvent::IsReplaced,
    ] {
        for protocol in PROTOCOLS {
            let tally = measure(protocol, event);
            println!(
                "| {event:?} | {protocol:?} | {} | {} | {} | {} |",
                percent(tally.refused_first, tally.orders),
                percent(tally.uncertain, tally.orders),
                percent(tally.repeats_unknown, tally.repeats),
                tally.second_runs,
            );
        }
    }
}

#[test]
fn the_ledger_and_tickets_run_nothing_twice_and_the_model_detects_second_runs_of_others() {
    for event in [
        ReplicaEvent::Dies,
        ReplicaEvent::IsPaused,
        ReplicaEvent::IsReplaced,
    ] {
        assert_eq!(
            measure(Protocol::LedgerWithEarlyNewcomers, event).second_runs,
            0
        );
        let late = measure(Protocol::Ledger, event);
        assert_eq!(late.second_runs, 0);
        assert_eq!(measure(Protocol::Tickets, event).second_runs, 0);
    }
    assert!(measure(Protocol::Pinned, ReplicaEvent::Dies).second_runs > 0);
    assert!(measure(Protocol::Claims, ReplicaEvent::Dies).second_runs > 0);
}
