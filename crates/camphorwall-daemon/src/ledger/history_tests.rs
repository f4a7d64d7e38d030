//! Random histories of ledger owners that pause, crash, leave and restart, on a network that delays and loses messages.
//!
//! An independent checker compares the outcomes that callers got with the calls that ran. `CAMPHORWALL_HISTORIES` sets
//! the number of histories.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use camphorwall::{InstanceId, LedgerKey, LedgerOutcome, rendezvous_rank};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::{IncomingCall, KeyStatus, Moment, RecordLimits, RecordStore, Verdict};
use crate::membership::Ownership;

const NODES: usize = 4;
const KEYS: usize = 8;
const STEP_MS: u64 = 10;
const END_MS: u64 = 6_000;
const GROUP_LEASE_MS: u64 = 400;
const REQUEST_ROUND_MS: u64 = 30;
const DROP_DELAY_MS: u64 = 50;
const LEASE_MS: u64 = 200;
const REPLY_TIMEOUT_MS: u64 = 300;
const RUN_MS: u64 = 60;
const SKEW_MS: u64 = 300;
/// Sum of the offer's lease, the owner's wait for a replica, the replica's lease, and one step.
const MAX_START_DELAY_MS: u64 = LEASE_MS + REPLY_TIMEOUT_MS + LEASE_MS + STEP_MS;
const UNIX_MS: u64 = 1_000_000;
const DEFAULT_HISTORIES: u64 = 2_000;

/// Rule of the ledger that a history breaks, to check that the checker notices.
#[derive(Clone, Copy, PartialEq)]
enum BrokenRule {
    Nothing,
    IgnoresIncompleteRecords,
    ActsOnStaleOwnership,
    ReportsTimeoutAsNotRun,
    RetriesAfterStart,
    IgnoresSkew,
    ForgetsRecordsOnLeave,
    RunsLatePermits,
    TrustsGoodbyes,
    /// A joining node that does not act yet relies on a hand-over, if it acts within the window.
    JoiningNodesRelyOnHandOvers,
}

#[derive(Clone, Copy)]
struct SentCall {
    id: usize,
    key: usize,
}

#[derive(Clone, Copy)]
enum Event {
    Start {
        send: SentCall,
        offered_ms: u64,
    },
    Reserve {
        send: SentCall,
        owner: (usize, u32),
    },
    Reserved {
        send: SentCall,
        replica: (usize, u32),
        number: usize,
    },
    Permit {
        send: SentCall,
        owner: (usize, u32),
        number: usize,
    },
    Done {
        send: SentCall,
        has_run: bool,
    },
    ReplyTimeout {
        send: SentCall,
    },
}

struct Node {
    name: InstanceId,
    incarnation: u32,
    is_alive: bool,
    paused_until_ms: u64,
    /// Whether its peers rank it.
    is_ranked: bool,
    /// When a joining node is ready to be ranked.
    ready_ms: Option<u64>,
    /// Whether it received a hand-over while it was joining and did not act yet.
    is_handed_over: bool,
    lease_until_ms: u64,
    acts_from_ms: u64,
    state_complete_since_ms: u64,
    owned_since_ms: BTreeMap<usize, u64>,
    stale_owned_since_ms: BTreeMap<usize, u64>,
    clock_ahead_ms: u64,
    store: RecordStore,
    reservations: BTreeMap<usize, u64>,
    /// The admitted send of each key, and whether its permit was sent.
    permitted: BTreeMap<usize, (usize, bool)>,
}

impl Node {
    fn new(name: InstanceId, clock_ahead_ms: u64) -> Self {
        Self {
            store: RecordStore::new(name.clone()),
            name,
            incarnation: 0,
            is_alive: true,
            paused_until_ms: 0,
            is_ranked: true,
            ready_ms: None,
            is_handed_over: false,
            lease_until_ms: GROUP_LEASE_MS,
            acts_from_ms: 0,
            state_complete_since_ms: 0,
            owned_since_ms: BTreeMap::new(),
            stale_owned_since_ms: BTreeMap::new(),
            clock_ahead_ms,
            reservations: BTreeMap::new(),
            permitted: BTreeMap::new(),
        }
    }

    const fn is_awake(&self, now_ms: u64) -> bool {
        self.is_alive && now_ms >= self.paused_until_ms
    }
}

/// Outcomes that callers got, and calls that ran.
#[derive(Default)]
struct Recorded {
    runs: Vec<SentCall>,
    start_delays_ms: Vec<u64>,
    not_run: Vec<usize>,
    answered: usize,
    unknown: usize,
}

struct History {
    broken_rule: BrokenRule,
    random: ChaCha8Rng,
    base: Instant,
    now_ms: u64,
    nodes: Vec<Node>,
    keys: Vec<LedgerKey>,
    ranks: Vec<Vec<usize>>,
    issued_ms: Vec<u64>,
    caller_ahead_ms: Vec<u64>,
    offered_ms: BTreeMap<usize, u64>,
    events: BTreeMap<(u64, u64), (usize, u32, Event)>,
    number: u64,
    has_lost_member: bool,
    recorded: Recorded,
}

fn key(number: usize) -> LedgerKey {
    LedgerKey {
        service: "orders-app".parse().unwrap(),
        team: None,
        route: "place-order".parse().unwrap(),
        key: format!("k{number}"),
    }
}

impl History {
    fn new(seed: u64, broken_rule: BrokenRule) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<InstanceId> = (0..NODES)
            .map(|number| format!("orders-{number}").parse().unwrap())
            .collect();
        let keys: Vec<_> = (0..KEYS)
            .map(|number| key(number + usize::try_from(seed % 1_000).unwrap() * KEYS))
            .collect();
        let position = |name: &InstanceId| names.iter().position(|other| other == name).unwrap();
        let rank = |key: &LedgerKey| {
            let ranked = rendezvous_rank(&key.to_string(), &names);
            ranked.into_iter().map(position).collect()
        };
        let ranks = keys.iter().map(rank).collect();
        let nodes = names
            .iter()
            .map(|name| Node::new(name.clone(), random.random_range(0..SKEW_MS / 2)))
            .collect();
        let issued_ms = (0..KEYS)
            .map(|_| random.random_range(0..END_MS * 3 / 4))
            .collect();
        let caller_ahead_ms = (0..KEYS)
            .map(|_| random.random_range(0..SKEW_MS / 2))
            .collect();
        Self {
            broken_rule,
            random,
            base: Instant::now(),
            now_ms: 0,
            nodes,
            keys,
            ranks,
            issued_ms,
            caller_ahead_ms,
            offered_ms: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
            has_lost_member: false,
            recorded: Recorded::default(),
        }
    }

    fn run(mut self) -> Recorded {
        let mut sends = self.plan_sends();
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            self.inject_faults();
            self.renew();
            while sends.last().is_some_and(|(at_ms, _)| *at_ms <= self.now_ms) {
                let (_, send) = sends.pop().expect("the list is not empty");
                self.send(send);
            }
            self.deliver();
        }
        self.recorded
    }

    fn plan_sends(&mut self) -> Vec<(u64, SentCall)> {
        let mut sends = Vec::new();
        for key in 0..KEYS {
            for number in 0..self.random.random_range(2..6) {
                let latest_ms = if number == 0 { SKEW_MS / 2 } else { 2_500 };
                let at_ms = self.issued_ms[key] + self.random.random_range(0..latest_ms);
                let id = sends.len();
                sends.push((at_ms, SentCall { id, key }));
            }
        }
        sends.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        sends
    }

    fn inject_faults(&mut self) {
        // As in a replacement of an instance, an owner leaves while a new node is joining.
        let is_joining = self.nodes.iter().any(|node| node.ready_ms.is_some());
        if is_joining && self.random.random_bool(0.02) {
            let number = self.random.random_range(0..NODES);
            self.leave(number);
        }
        if !self.random.random_bool(0.008) {
            return;
        }
        let number = self.random.random_range(0..NODES);
        let pause_ms = self.random.random_range(50..1_500);
        match self.random.random_range(0..4) {
            0 if self.nodes[number].is_alive => self.kill(number),
            1 if self.nodes[number].is_alive => {
                self.nodes[number].paused_until_ms = self.now_ms + pause_ms;
            }
            2 => self.leave(number),
            _ if !self.nodes[number].is_alive => self.restart(number),
            _ => {}
        }
    }

    /// Kills a node. Its death may be detected at once, as when its address refuses connections.
    fn kill(&mut self, number: usize) {
        self.nodes[number].is_alive = false;
        if self.random.random_bool(0.5) {
            self.nodes[number].is_ranked = false;
            self.has_lost_member = true;
        }
    }

    fn restart(&mut self, number: usize) {
        let old = &self.nodes[number];
        // Its peers see the new incarnation; the old one is lost and no longer ranked.
        self.has_lost_member |= old.is_ranked;
        let mut node = Node::new(old.name.clone(), old.clock_ahead_ms);
        node.incarnation = old.incarnation + 1;
        node.is_ranked = false;
        node.lease_until_ms = 0;
        self.nodes[number] = node;
    }

    /// Hands a node's records over, sends its goodbye and stops it.
    fn leave(&mut self, number: usize) {
        let node = &self.nodes[number];
        let acts = node.is_awake(self.now_ms)
            && node.is_ranked
            && self.now_ms < node.lease_until_ms
            && self.now_ms >= node.acts_from_ms;
        if !acts || node.store.running() > 0 {
            return;
        }
        let moment = self.moment(number);
        let state_complete_since = self.base + Duration::from_millis(node.state_complete_since_ms);
        let complete_from_ms =
            node.store
                .complete_from_ms(state_complete_since, &self.limits(), moment);
        let records = match self.broken_rule {
            BrokenRule::ForgetsRecordsOnLeave => Vec::new(),
            _ => node.store.settled(moment.now),
        };
        let from = node.name.clone();
        self.nodes[number].is_alive = false;
        self.nodes[number].is_ranked = false;
        let next_owner = |key: usize| Some((self.keys[key].clone(), self.winner(key)?));
        let next_owners: BTreeMap<_, _> = (0..KEYS).filter_map(next_owner).collect();
        for other in (0..NODES).filter(|other| *other != number) {
            let is_lost = self.random.random_bool(0.3);
            let is_broken = self.broken_rule == BrokenRule::JoiningNodesRelyOnHandOvers;
            let next = &mut self.nodes[other];
            let is_joining = next.ready_ms.is_some() && is_broken;
            if is_joining {
                next.is_handed_over = true;
            }
            let acts = next.is_ranked
                && self.now_ms >= next.acts_from_ms
                && self.now_ms < next.lease_until_ms;
            if is_lost || !next.is_awake(self.now_ms) || !(acts || is_joining) {
                // The goodbye arrives, the hand-over does not.
                if self.broken_rule != BrokenRule::TrustsGoodbyes {
                    next.state_complete_since_ms = next.state_complete_since_ms.max(self.now_ms);
                }
            } else {
                let limits = self.limits();
                let store = &mut self.nodes[other].store;
                let mut part = records.clone();
                part.retain(|record| next_owners.get(&record.key) == Some(&other));
                store.import(part, &limits, moment.now);
                store.note_hand_over(from.clone(), complete_from_ms, moment.now);
            }
        }
    }

    /// Renews the leases of awake nodes, drops silent nodes, and updates which node owns which key.
    fn renew(&mut self) {
        let now_ms = self.now_ms;
        let is_broken = self.broken_rule == BrokenRule::JoiningNodesRelyOnHandOvers;
        let mut has_lost_member = std::mem::take(&mut self.has_lost_member);
        for node in &mut self.nodes {
            let has_expired = now_ms >= node.lease_until_ms;
            if has_expired {
                node.owned_since_ms.clear();
            }
            match node.is_awake(now_ms) {
                true if !node.is_ranked => {
                    let ready_ms = *node.ready_ms.get_or_insert(now_ms + GROUP_LEASE_MS);
                    if now_ms >= ready_ms {
                        node.is_ranked = true;
                        node.ready_ms = None;
                        // Its peers stop acting for its keys one round of requests before it acts.
                        node.acts_from_ms = now_ms + REQUEST_ROUND_MS;
                        node.lease_until_ms = now_ms + GROUP_LEASE_MS;
                        // Under the broken rule, it treats the leaving owner's records as complete.
                        let continues = node.is_handed_over && is_broken;
                        node.state_complete_since_ms = if continues {
                            0
                        } else {
                            now_ms + REQUEST_ROUND_MS
                        };
                    }
                }
                true => {
                    if has_expired {
                        node.state_complete_since_ms = now_ms;
                    }
                    node.lease_until_ms = now_ms + GROUP_LEASE_MS;
                }
                false if node.is_ranked && now_ms >= node.lease_until_ms + DROP_DELAY_MS => {
                    node.is_ranked = false;
                    has_lost_member = true;
                }
                false => {}
            }
        }
        for number in 0..NODES {
            if has_lost_member {
                let node = &mut self.nodes[number];
                node.state_complete_since_ms = node.state_complete_since_ms.max(now_ms);
            }
            for key in 0..KEYS {
                let is_owner = self.winner(key) == Some(number)
                    && now_ms < self.nodes[number].lease_until_ms
                    && now_ms >= self.nodes[number].acts_from_ms;
                let node = &mut self.nodes[number];
                if is_owner {
                    let since_ms = *node.owned_since_ms.entry(key).or_insert(now_ms);
                    node.stale_owned_since_ms.insert(key, since_ms);
                } else {
                    node.owned_since_ms.remove(&key);
                }
            }
        }
    }

    fn winner(&self, key: usize) -> Option<usize> {
        let ranked = self.ranks[key].iter().copied();
        ranked
            .into_iter()
            .find(|number| self.nodes[*number].is_ranked)
    }

    const fn limits(&self) -> RecordLimits {
        let skew_ms = match self.broken_rule {
            BrokenRule::IgnoresSkew => 0,
            _ => SKEW_MS,
        };
        RecordLimits {
            retention: Duration::from_mins(1),
            skew_margin: Duration::from_millis(skew_ms),
            max_bytes: 1 << 20,
        }
    }

    fn moment(&self, number: usize) -> Moment {
        Moment {
            now: self.base + Duration::from_millis(self.now_ms),
            unix_ms: UNIX_MS + self.now_ms + self.nodes[number].clock_ahead_ms,
        }
    }

    fn key_status(&self, number: usize, key: usize) -> KeyStatus {
        let node = &self.nodes[number];
        let since_ms = match self.broken_rule {
            BrokenRule::ActsOnStaleOwnership => node.stale_owned_since_ms.get(&key),
            _ => node.owned_since_ms.get(&key),
        };
        let since_ms = since_ms.map(|since_ms| match self.broken_rule {
            BrokenRule::IgnoresIncompleteRecords => 0,
            _ => *since_ms,
        });
        let at = |ms| self.base + Duration::from_millis(ms);
        KeyStatus {
            ownership: since_ms.map(|ms| Ownership { since: at(ms) }),
            state_complete_since: at(node.state_complete_since_ms),
        }
    }

    fn send(&mut self, send: SentCall) {
        let is_well_sent = self.random.random_bool(0.8);
        let guess = self.winner(send.key).filter(|_| is_well_sent);
        let owner = guess.unwrap_or_else(|| self.random.random_range(0..NODES));
        let offered_ms = self.now_ms;
        self.offered_ms.insert(send.id, offered_ms);
        self.post(owner, Event::Start { send, offered_ms });
    }

    fn post(&mut self, to: usize, event: Event) {
        let delay_ms = match self.random.random_range(0..20) {
            0 => return,
            1 => self.random.random_range(0..1_000),
            _ => self.random.random_range(0..40),
        };
        self.post_after(delay_ms, to, event);
    }

    fn post_after(&mut self, delay_ms: u64, to: usize, event: Event) {
        self.number += 1;
        let at = (self.now_ms + delay_ms, self.number);
        let incarnation = self.nodes[to].incarnation;
        self.events.insert(at, (to, incarnation, event));
    }

    fn deliver(&mut self) {
        let mut kept = BTreeMap::new();
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.now_ms {
                break;
            }
            let (at, (to, incarnation, event)) = first.remove_entry();
            let node = &self.nodes[to];
            match node.is_alive && node.incarnation == incarnation {
                true if node.is_awake(self.now_ms) => self.handle(to, event),
                // The message waits in the buffers of a paused process.
                true => {
                    kept.insert(at, (to, incarnation, event));
                }
                false => {}
            }
        }
        self.events.extend(kept);
    }

    fn handle(&mut self, to: usize, event: Event) {
        match event {
            Event::Start { send, offered_ms } => self.start(to, send, offered_ms),
            Event::Reserve { send, owner } => {
                let lease_end_ms = self.now_ms + LEASE_MS;
                self.number += 1;
                let number = usize::try_from(self.number).unwrap();
                self.nodes[to].reservations.insert(number, lease_end_ms);
                let replica = (to, self.nodes[to].incarnation);
                self.reply(
                    owner,
                    Event::Reserved {
                        send,
                        replica,
                        number,
                    },
                );
            }
            Event::Reserved {
                send,
                replica,
                number,
            } => self.permit(to, send, replica, number),
            Event::Permit {
                send,
                owner,
                number,
            } => self.run_call(to, send, owner, number),
            Event::Done { send, has_run } if self.is_permitted(to, send) => {
                let answer = LedgerOutcome::Answer {
                    status: 201,
                    headers: Vec::new(),
                    body: Vec::new(),
                };
                self.settle(to, send, has_run.then_some(answer));
            }
            Event::ReplyTimeout { send } if self.is_permitted(to, send) => match self.broken_rule {
                _ if !self.has_started(to, send) => self.settle(to, send, None),
                BrokenRule::ReportsTimeoutAsNotRun => self.settle(to, send, None),
                BrokenRule::RetriesAfterStart => self.reserve(to, send),
                _ => self.settle(to, send, Some(LedgerOutcome::MayHaveRun)),
            },
            Event::Done { .. } | Event::ReplyTimeout { .. } => {}
        }
    }

    fn reply(&mut self, to: (usize, u32), event: Event) {
        if self.nodes[to.0].incarnation == to.1 {
            self.post(to.0, event);
        }
    }

    fn is_permitted(&self, number: usize, send: SentCall) -> bool {
        let permitted = self.nodes[number].permitted.get(&send.key);
        permitted.is_some_and(|(id, _)| *id == send.id)
    }

    fn has_started(&self, number: usize, send: SentCall) -> bool {
        self.nodes[number].permitted.get(&send.key) == Some(&(send.id, true))
    }

    fn start(&mut self, to: usize, send: SentCall, offered_ms: u64) {
        if self.now_ms >= offered_ms + LEASE_MS {
            self.recorded.not_run.push(send.id);
            return;
        }
        let key_status = self.key_status(to, send.key);
        let (limits, moment) = (self.limits(), self.moment(to));
        let incoming = IncomingCall {
            key: &self.keys[send.key],
            issued_ms: UNIX_MS + self.issued_ms[send.key] + self.caller_ahead_ms[send.key],
            content: "roof",
        };
        let verdict = self.nodes[to]
            .store
            .admit(&incoming, key_status, &limits, moment);
        match verdict {
            Verdict::Run => self.reserve(to, send),
            Verdict::Running => {}
            Verdict::Settled(LedgerOutcome::Answer { .. }) => self.recorded.answered += 1,
            Verdict::Settled(_) | Verdict::IssuedBeforeRecords => self.recorded.unknown += 1,
            Verdict::ContentDiffers
            | Verdict::NotOwner
            | Verdict::IssuedInFuture
            | Verdict::Full { .. } => self.recorded.not_run.push(send.id),
        }
    }

    fn reserve(&mut self, owner: usize, send: SentCall) {
        self.nodes[owner]
            .permitted
            .insert(send.key, (send.id, false));
        let replica = self.random.random_range(0..NODES);
        let from = (owner, self.nodes[owner].incarnation);
        self.post(replica, Event::Reserve { send, owner: from });
        self.post_after(REPLY_TIMEOUT_MS, owner, Event::ReplyTimeout { send });
    }

    fn permit(&mut self, to: usize, send: SentCall, replica: (usize, u32), number: usize) {
        if !self.is_permitted(to, send) {
            return;
        }
        if self.key_status(to, send.key).ownership.is_none() {
            self.settle(to, send, None);
            return;
        }
        let owner = (to, self.nodes[to].incarnation);
        self.nodes[to].permitted.insert(send.key, (send.id, true));
        self.reply(
            replica,
            Event::Permit {
                send,
                owner,
                number,
            },
        );
        if self.random.random_bool(0.1) {
            self.kill(to);
        }
    }

    fn run_call(&mut self, to: usize, send: SentCall, owner: (usize, u32), number: usize) {
        let lease_end_ms = self.nodes[to].reservations.remove(&number);
        let is_held = lease_end_ms.is_some_and(|end_ms| self.now_ms < end_ms);
        let has_run = is_held || self.broken_rule == BrokenRule::RunsLatePermits;
        if has_run {
            self.recorded.runs.push(send);
            let delay_ms = self.now_ms - self.offered_ms[&send.id];
            self.recorded.start_delays_ms.push(delay_ms);
        }
        if self.nodes[owner.0].incarnation == owner.1 {
            let done = Event::Done { send, has_run };
            let delay_ms = RUN_MS + self.random.random_range(0..400);
            self.post_after(delay_ms, owner.0, done);
        }
    }

    fn settle(&mut self, number: usize, send: SentCall, outcome: Option<LedgerOutcome>) {
        let now = self.moment(number).now;
        match &outcome {
            None => self.recorded.not_run.push(send.id),
            Some(LedgerOutcome::Answer { .. }) => self.recorded.answered += 1,
            Some(_) => self.recorded.unknown += 1,
        }
        let node = &mut self.nodes[number];
        node.permitted.remove(&send.key);
        node.store.settle(&self.keys[send.key], outcome, now);
    }
}

/// Violations of the ledger's guarantees.
fn violations(recorded: &Recorded) -> Vec<String> {
    let mut runs_by_key: BTreeMap<usize, usize> = BTreeMap::new();
    for run in &recorded.runs {
        *runs_by_key.entry(run.key).or_default() += 1;
    }
    let repeated = runs_by_key.into_iter().filter(|(_, runs)| *runs > 1);
    let repeated = repeated.map(|(key, runs)| format!("key {key} ran {runs} times"));
    let is_denied = |run: &&SentCall| recorded.not_run.contains(&run.id);
    let denied = recorded.runs.iter().filter(is_denied);
    let denied = denied.map(|run| format!("send {} ran although its caller got not_run", run.id));
    let delays = recorded.start_delays_ms.iter();
    let late = delays.filter(|delay_ms| **delay_ms > MAX_START_DELAY_MS);
    let late = late.map(|delay_ms| format!("a call started {delay_ms} ms after its offer"));
    repeated.chain(denied).chain(late).collect()
}

fn histories() -> u64 {
    let set = std::env::var("CAMPHORWALL_HISTORIES").ok();
    set.and_then(|set| set.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES)
}

#[test]
fn no_key_runs_twice_and_no_call_reported_as_not_run_has_run() {
    let (mut answered, mut unknown, mut refused) = (0, 0, 0);
    for seed in 0..histories() {
        let recorded = History::new(seed, BrokenRule::Nothing).run();
        assert_eq!(violations(&recorded), [""; 0], "seed {seed}");
        answered += recorded.answered;
        unknown += recorded.unknown;
        refused += recorded.not_run.len();
    }
    // The histories reach every kind of outcome.
    println!("answered {answered}, may have run {unknown}, not run {refused}");
    assert!(answered > 0 && unknown > 0 && refused > 0);
}

#[rstest]
#[case::incomplete_records(BrokenRule::IgnoresIncompleteRecords)]
#[case::ownership(BrokenRule::ActsOnStaleOwnership)]
#[case::reply_timeout(BrokenRule::ReportsTimeoutAsNotRun)]
#[case::retry(BrokenRule::RetriesAfterStart)]
#[case::skew(BrokenRule::IgnoresSkew)]
#[case::hand_over(BrokenRule::ForgetsRecordsOnLeave)]
#[case::late_permit(BrokenRule::RunsLatePermits)]
#[case::goodbye(BrokenRule::TrustsGoodbyes)]
#[case::joining_node(BrokenRule::JoiningNodesRelyOnHandOvers)]
fn the_checker_catches_each_broken_rule(#[case] broken_rule: BrokenRule) {
    let is_caught = (0..DEFAULT_HISTORIES.max(histories()))
        .any(|seed| !violations(&History::new(seed, broken_rule).run()).is_empty());
    assert!(is_caught);
}
