//! Plays random kills, partitions, restarts and lost heartbeats to entries that share the allowance of cold endpoints, and
//! checks that no endpoint ever gets more than the allowance in any one second. `CAMPHORWALL_HISTORIES` sets the number
//! of histories.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Moment,
    configuration::EndpointIncarnation,
    endpoints::cold::{ColdSplit, MemberId, PERMIT_PERIOD, ReportedSplit},
    testing::at_ms,
};

const DEFAULT_HISTORIES: u64 = 4;
const ENTRIES: usize = 6;
const ENDPOINTS: u64 = 4;
const TOTAL: u32 = 11;
const STEP_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 100;
const HISTORY_S: u32 = 240;
/// Difference of the delays of two requests, below what the permits' period allows for.
const MAX_DELAY_MS: u64 = 95;
/// A datagram can wait that long at a receiver that is busy.
const MAX_DATAGRAM_DELAY_MS: u64 = 400;

/// A way to split the allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    /// As the product does.
    Permits,
    /// Each entry takes an equal part by the number of entries that it heard in the last 15 seconds.
    EqualParts,
    /// As the product does, but an entry that starts may send at once.
    WithoutWait,
}

struct Process {
    split: ColdSplit,
    incarnation: u64,
    next_heartbeat_at: u64,
    /// Last heartbeat of each peer, for the broken variant.
    heard: BTreeMap<usize, u64>,
    sent: BTreeMap<u64, Vec<u64>>,
}

struct Datagram {
    arrives_at: u64,
    to: usize,
    from: usize,
    incarnation: u64,
    report: ReportedSplit,
}

struct History {
    variant: Variant,
    random: ChaCha8Rng,
    now_ms: u64,
    processes: Vec<Option<Process>>,
    restarts: Vec<(u64, usize)>,
    /// Number of entries that the settings name. If they don't name all, entries are killed one by one: those of one side
    /// of a partition that all start anew can't know that there are others.
    seeds: usize,
    next_kill_at: u64,
    /// Side of each entry; entries of different sides don't hear each other.
    sides: Vec<u8>,
    /// Pairs whose datagrams are lost while the sides are whole.
    cut: BTreeSet<(usize, usize)>,
    calm_at: u64,
    datagrams: Vec<Datagram>,
    next_incarnation: u64,
    /// Requests at each endpoint, by the time of their arrival.
    arrivals: BTreeMap<u64, Vec<u64>>,
    /// Entries that have requests at present.
    busy: BTreeSet<usize>,
}

fn address(entry: usize) -> MemberId {
    MemberId::of(std::net::SocketAddr::from((
        [10, 0, 0, u8::try_from(entry + 1).expect("a small number")],
        7_500,
    )))
}

impl History {
    fn new(variant: Variant, seed: u64, seeds: usize) -> Self {
        let mut history = Self {
            variant,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000_000,
            processes: (0..ENTRIES).map(|_| None).collect(),
            restarts: Vec::new(),
            seeds,
            next_kill_at: 0,
            sides: vec![0; ENTRIES],
            cut: BTreeSet::new(),
            calm_at: 0,
            datagrams: Vec::new(),
            next_incarnation: 1,
            arrivals: BTreeMap::new(),
            busy: (0..ENTRIES).collect(),
        };
        for entry in 0..ENTRIES {
            history.start(entry);
        }
        history
    }

    fn now(&self) -> Moment {
        at_ms(self.now_ms)
    }

    /// Starts a process.
    fn start(&mut self, entry: usize) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let now = self.now();
        let mut split = ColdSplit::new(address(entry), incarnation, now);
        for seed in 0..self.seeds {
            split.add_seed(address(seed), now);
        }
        if self.variant == Variant::WithoutWait {
            split.skip_wait();
        }
        self.processes[entry] = Some(Process {
            split,
            incarnation,
            next_heartbeat_at: self.now_ms,
            heard: BTreeMap::new(),
            sent: BTreeMap::new(),
        });
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        self.sides[from] == self.sides[to] && !self.cut.contains(&pair)
    }

    /// Kills, partitions and heals.
    fn disturb(&mut self) {
        if self.random.random_bool(0.004) && self.now_ms >= self.next_kill_at {
            // One entry or several at once, as in a failure of a rack.
            let is_whole = self.seeds == ENTRIES;
            let count = if is_whole && self.random.random_bool(0.2) {
                ENTRIES
            } else {
                1
            };
            if !is_whole {
                self.next_kill_at = self.now_ms + 10_000;
            }
            for _ in 0..count {
                let entry = self.random.random_range(0..ENTRIES);
                if self.processes[entry].take().is_some() {
                    let pause = self.random.random_range(20..4_000);
                    self.restarts.push((self.now_ms + pause, entry));
                }
            }
        }
        if self.now_ms >= self.calm_at && self.random.random_bool(0.002) {
            self.sides = (0..ENTRIES)
                .map(|_| self.random.random_range(0..2))
                .collect();
            self.cut.clear();
            if self.random.random_bool(0.5) {
                // Some links fail instead.
                self.sides = vec![0; ENTRIES];
                for _ in 0..3 {
                    let one = self.random.random_range(0..ENTRIES);
                    let other = self.random.random_range(0..ENTRIES);
                    self.cut.insert((one.min(other), one.max(other)));
                }
            }
            // From a hiccup to far beyond the time after which peers forget each other.
            let longest = if self.random.random_bool(0.3) {
                100_000
            } else {
                8_000
            };
            self.calm_at = self.now_ms + self.random.random_range(300..longest);
        } else if self.now_ms >= self.calm_at {
            self.sides = vec![0; ENTRIES];
            self.cut.clear();
        }
        if self.random.random_bool(0.01) {
            let random = &mut self.random;
            self.busy = (0..ENTRIES).filter(|_| random.random_bool(0.4)).collect();
        }
        let due: Vec<_> = self
            .restarts
            .extract_if(.., |(at, _)| *at <= self.now_ms)
            .collect();
        for (_, entry) in due {
            self.start(entry);
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .datagrams
            .extract_if(.., |datagram| datagram.arrives_at <= now_ms)
            .collect();
        for datagram in due {
            if let Some(process) = &mut self.processes[datagram.to] {
                process.heard.insert(datagram.from, now_ms);
                process
                    .split
                    .note_peer(datagram.incarnation, datagram.report, now);
            }
        }
        for from in 0..ENTRIES {
            let Some(process) = &mut self.processes[from] else {
                continue;
            };
            if process.next_heartbeat_at > now_ms {
                continue;
            }
            process.next_heartbeat_at = now_ms + HEARTBEAT_MS;
            let incarnation = process.incarnation;
            let report = process.split.report(now);
            for to in (0..ENTRIES).filter(|to| *to != from) {
                if !self.hears(from, to) || self.random.random_bool(0.05) {
                    continue;
                }
                let is_late = self.random.random_bool(0.02);
                let longest = if is_late { MAX_DATAGRAM_DELAY_MS } else { 30 };
                let delay = self.random.random_range(1..=longest);
                self.datagrams.push(Datagram {
                    arrives_at: now_ms + delay,
                    to,
                    from,
                    incarnation,
                    report: report.clone(),
                });
            }
        }
    }

    /// Sends as much as each busy entry may.
    fn send(&mut self) {
        let now = self.now();
        let now_ms = self.now_ms;
        let counts = u64::try_from(PERMIT_PERIOD.as_millis()).expect("a short time");
        for entry in self.busy.clone() {
            let Some(process) = &mut self.processes[entry] else {
                continue;
            };
            for endpoint in 0..ENDPOINTS {
                process.split.note_wanted(now);
                let permits = match self.variant {
                    Variant::Permits | Variant::WithoutWait => {
                        let incarnation = EndpointIncarnation(endpoint);
                        process.split.permits(incarnation, TOTAL, now)
                    }
                    Variant::EqualParts => {
                        let heard = process.heard.values();
                        let heard = heard.filter(|at| now_ms - **at <= 15_000).count();
                        let heard = u32::try_from(heard).expect("a small number");
                        TOTAL / (heard + 1)
                    }
                };
                let sent = process.sent.entry(endpoint).or_default();
                sent.retain(|at| now_ms - *at < counts);
                while sent.len() < permits as usize {
                    sent.push(now_ms);
                    let delay = self.random.random_range(0..=MAX_DELAY_MS);
                    let arrivals = self.arrivals.entry(endpoint).or_default();
                    arrivals.push(now_ms + delay);
                }
            }
        }
    }

    fn play(mut self) -> Outcome {
        let end = self.now_ms + u64::from(HISTORY_S) * 1_000;
        while self.now_ms < end {
            self.disturb();
            self.exchange();
            self.send();
            self.now_ms += STEP_MS;
        }
        let most = self.arrivals.values_mut().map(|arrivals| {
            arrivals.sort_unstable();
            most_in_a_second(arrivals)
        });
        let most = most.max().unwrap_or(0);
        let sent = self.arrivals.values().map(Vec::len).sum::<usize>();
        let possible = f64::from(TOTAL) * f64::from(HISTORY_S) * ENDPOINTS as f64;
        Outcome {
            most,
            used: sent as f64 / possible,
        }
    }
}

struct Outcome {
    /// Most requests that an endpoint got in any one second.
    most: usize,
    /// Part of the allowance that was used.
    used: f64,
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, at) in arrivals.iter().enumerate() {
        while at - arrivals[first] >= 1_000 {
            first += 1;
        }
        most = most.max(last - first + 1);
    }
    most
}

fn histories() -> u64 {
    let set = std::env::var("CAMPHORWALL_HISTORIES").ok();
    set.and_then(|set| set.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES)
}

fn check(seeds: usize) {
    for seed in 0..histories() {
        let outcome = History::new(Variant::Permits, seed, seeds).play();
        println!(
            "seed {seed}, {seeds} addresses in the settings: at most {} of {TOTAL} a second, {:.0} percent of the allowance used",
            outcome.most,
            outcome.used * 100.0
        );
        assert!(outcome.most <= TOTAL as usize, "seed {seed}");
        assert!(
            outcome.used > 0.1,
            "seed {seed}: the entries send hardly anything"
        );
    }
}

#[test]
fn no_cold_endpoint_gets_more_than_its_allowance_whatever_happens_to_the_entries() {
    check(ENTRIES);
}

/// Guards against entries that learn of each other only by heartbeats, and at different times.
#[test]
fn no_cold_endpoint_gets_more_than_its_allowance_with_half_of_the_entries_in_the_settings() {
    check(ENTRIES / 2);
}

fn is_caught(variant: Variant) -> bool {
    let mut seeds = 0..histories();
    seeds.any(|seed| History::new(variant, seed, ENTRIES).play().most > TOTAL as usize)
}

/// Shows that the checker catches a split that counts the entries heard recently.
#[test]
fn a_split_by_the_entries_heard_lately_is_caught() {
    assert!(is_caught(Variant::EqualParts));
}

/// Shows that the checker catches an entry that does not wait for what its predecessor sent.
#[test]
fn an_entry_that_sends_at_once_after_its_start_is_caught() {
    assert!(is_caught(Variant::WithoutWait));
}

fn fleet(entries: usize, busy: usize, seconds: u64) -> Vec<usize> {
    let mut history = History::new(Variant::Permits, 1, ENTRIES);
    for entry in entries..ENTRIES {
        history.processes[entry] = None;
    }
    let settled_at = history.now_ms + 70_000;
    history.busy = BTreeSet::new();
    while history.now_ms < settled_at {
        history.exchange();
        history.now_ms += STEP_MS;
    }
    history.busy = (0..busy).collect();
    let end = history.now_ms + seconds * 1_000;
    while history.now_ms < end {
        history.exchange();
        history.send();
        history.now_ms += STEP_MS;
    }
    history.arrivals.values().map(Vec::len).collect()
}

/// Guards against permits that lie idle at entries without requests.
#[test]
fn one_entry_with_requests_uses_the_permits_of_the_others() {
    for sent in fleet(ENTRIES, 1, 30) {
        let possible = 30 * 1_000 / PERMIT_PERIOD.as_millis() as usize * TOTAL as usize;
        assert!(sent * 10 >= possible * 8, "{sent} of {possible}");
    }
}

#[test]
fn entries_that_all_have_requests_use_the_whole_allowance() {
    for sent in fleet(ENTRIES, ENTRIES, 30) {
        let possible = 30 * 1_000 / PERMIT_PERIOD.as_millis() as usize * TOTAL as usize;
        assert!(sent * 10 >= possible * 9, "{sent} of {possible}");
    }
}

/// Guards against an entry that takes the whole allowance because it hears no peer.
#[test]
fn an_entry_that_hears_none_of_its_seeds_sends_nothing() {
    let mut history = History::new(Variant::Permits, 1, ENTRIES);
    history.sides = (0..).take(ENTRIES).collect();
    let end = history.now_ms + 200_000;
    while history.now_ms < end {
        history.exchange();
        history.send();
        history.now_ms += STEP_MS;
    }
    assert!(history.arrivals.is_empty());
}

#[test]
fn an_entry_without_seeds_uses_the_whole_allowance_once_its_predecessor_no_longer_counts() {
    let mut split = ColdSplit::new(address(0), 1, at_ms(10_000));
    let endpoint = EndpointIncarnation(1);
    let mut first = None;
    for now_ms in (10_000..14_000).step_by(10) {
        if split.permits(endpoint, TOTAL, at_ms(now_ms)) > 0 {
            first.get_or_insert(now_ms);
        }
    }
    let first = first.expect("permits");
    assert!((12_000..12_400).contains(&first), "{first}");
    let now = at_ms(20_000);
    assert_eq!(split.permits(endpoint, TOTAL, now), TOTAL);
}

/// Guards against a rate so high that each change of the members takes a hash for each of thousands of permits.
#[test]
fn permits_above_the_number_of_blocks_are_all_usable() {
    let mut split = ColdSplit::new(address(0), 1, at_ms(0));
    split.permits(EndpointIncarnation(1), 1, at_ms(100));
    for total in [0, 1, 63, 64, 65, 1_505, 1_000_000] {
        assert_eq!(
            split.permits(EndpointIncarnation(1), total, at_ms(9_000)),
            total
        );
    }
}

/// Guards against an isolated entry that takes its permits again by what it heard before its isolation.
#[test]
fn an_entry_that_is_cut_off_gives_its_permits_up_for_good() {
    let mut history = History::new(Variant::Permits, 1, ENTRIES);
    history.busy = (0..ENTRIES).collect();
    let cut_off_at = history.now_ms + 10_000;
    let gives_up_by = cut_off_at + 31_000;
    let mut late = 0;
    while history.now_ms < cut_off_at + 200_000 {
        if history.now_ms >= cut_off_at {
            history.sides = vec![1, 0, 0, 0, 0, 0];
        }
        history.exchange();
        history.send();
        let cut_off = history.processes[0].as_ref().expect("a process");
        let sent = cut_off.sent.values().flatten();
        late += sent.filter(|at| **at > gives_up_by).count();
        history.now_ms += STEP_MS;
    }
    assert_eq!(late, 0);
    let total: usize = history.arrivals.values().map(Vec::len).sum();
    assert!(total > 0);
}

/// Guards against permits that stay unused after an entry has stopped in order.
#[test]
fn the_permits_of_an_entry_that_said_goodbye_go_to_the_others() {
    let mut history = History::new(Variant::Permits, 1, ENTRIES);
    history.busy = BTreeSet::new();
    let left_at = history.now_ms + 10_000;
    while history.now_ms < left_at {
        history.exchange();
        history.now_ms += STEP_MS;
    }
    history.processes[0] = None;
    let now = history.now();
    for process in history.processes.iter_mut().flatten() {
        process.split.note_departed(address(0), now);
    }
    history.busy = (0..ENTRIES).collect();
    while history.now_ms < left_at + 3_000 {
        history.exchange();
        history.send();
        history.now_ms += STEP_MS;
    }
    let now = history.now();
    for endpoint in 0..ENDPOINTS {
        let processes = history.processes.iter_mut().flatten();
        let permits = processes.map(|process| {
            let incarnation = EndpointIncarnation(endpoint);
            process.split.permits(incarnation, TOTAL, now)
        });
        assert_eq!(permits.sum::<u32>(), TOTAL);
    }
}
