//! Histories of a fleet under overload whose entries are killed, restarted and cut off from each other: the fleet's
//! retries must stay within the bound of a service in every window.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    clock::Moment,
    contract::retries::{RetryBounds, RetryBudget},
    fleet::shares::Shares,
    names::ServiceName,
    testing::at_ms,
};

const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 200;
const LENGTH_MS: u64 = 90_000;

/// Number of the step at which the first incarnations start; they know the window before it.
const ORIGIN_MS: u64 = 100_000;

/// Time within which a request or a retry is on its way.
const MAX_TRANSIT_MS: u64 = 60;

const BOUNDS: RetryBounds = RetryBounds {
    share: 0.2,
    window: Duration::from_millis(WINDOW_MS),
    allowance: 52.0,
};

/// How entries that start and entries that are cut off use the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// An entry divides the allowance among the entries that it hears.
    DividesAmongHeard,
    /// The same, and an entry that starts uses its whole part at once, as entries did before they considered their
    /// predecessors.
    StartsFull,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Faults {
    /// All entries are killed together, twice within a window.
    KilledTogether,
    /// Entries are killed at random, some of them again just after their start.
    RandomKills,
    /// Parts of the fleet are cut off for longer than peers are remembered.
    Partitions,
    /// All of these, and a fleet that starts for the first time.
    All,
}

struct Incarnation {
    budget: RetryBudget,
    shares: Shares,
    heard_at: Vec<Option<u64>>,
}

/// Arrivals at the endpoints of a service.
#[derive(Default)]
struct Arrivals {
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

fn address(entry: usize) -> SocketAddr {
    let host = u8::try_from(entry + 1).expect("a small fleet");
    SocketAddr::from(([10, 0, 0, host], 7_500))
}

fn service() -> ServiceName {
    "drafts".parse().expect("a name")
}

impl Incarnation {
    fn start(entry: usize, entries: usize, now_ms: u64, variant: Variant) -> Self {
        let now = at_ms(now_ms);
        let started_at = match variant {
            Variant::StartsFull => Moment::after_origin(Duration::ZERO),
            Variant::Correct | Variant::DividesAmongHeard => now,
        };
        let mut shares = Shares::default();
        // Settings name some entries.
        for seed in (0..entries.min(3)).filter(|seed| *seed != entry) {
            shares.learn(address(seed), now);
        }
        Self {
            budget: RetryBudget::new(BOUNDS, started_at),
            shares,
            heard_at: vec![None; entries],
        }
    }

    fn divisor(&self, variant: Variant, now_ms: u64) -> Option<usize> {
        if variant == Variant::Correct {
            return self.shares.divisor(at_ms(now_ms));
        }
        let is_heard = |at: &&Option<u64>| at.is_some_and(|at| now_ms - at <= 15_000);
        Some(self.heard_at.iter().filter(is_heard).count() + 1)
    }
}

/// When an entry is down, and which side of a partition it is on.
struct Plan {
    /// Times at which entries are killed and started again.
    down_ms: Vec<Vec<(u64, u64)>>,
    /// Partitions, each with the entries on one side.
    cuts: Vec<(u64, u64, Vec<bool>)>,
}

impl Plan {
    fn new(entries: usize, faults: Faults, random: &mut ChaCha8Rng) -> Self {
        let mut plan = Self {
            down_ms: vec![Vec::new(); entries],
            cuts: Vec::new(),
        };
        if matches!(faults, Faults::KilledTogether | Faults::All) {
            let mut at = ORIGIN_MS + random.random_range(11_000..14_000);
            while at < ORIGIN_MS + LENGTH_MS {
                for down in &mut plan.down_ms {
                    down.push((at, at + 500));
                }
                at += if random.random() {
                    random.random_range(600..5_000)
                } else {
                    random.random_range(11_000..25_000)
                };
            }
        }
        if matches!(faults, Faults::RandomKills | Faults::All) {
            for down in &mut plan.down_ms {
                let mut at = ORIGIN_MS + random.random_range(10_000..40_000);
                while at < ORIGIN_MS + LENGTH_MS {
                    let until = at + random.random_range(100..3_000);
                    down.push((at, until));
                    at = until + random.random_range(200..25_000);
                }
            }
        }
        if matches!(faults, Faults::Partitions | Faults::All) {
            let mut at = ORIGIN_MS + random.random_range(1_000..12_000);
            while at < ORIGIN_MS + LENGTH_MS {
                let until = at + random.random_range(1_000..45_000);
                let share = random.random_range(0.1..0.9);
                let sides = (0..entries).map(|_| random.random::<f64>() < share);
                plan.cuts.push((at, until, sides.collect()));
                at = until + random.random_range(500..8_000);
            }
        }
        plan
    }

    fn is_up(&self, entry: usize, now_ms: u64) -> bool {
        let mut down = self.down_ms[entry].iter();
        !down.any(|(from, until)| (*from..*until).contains(&now_ms))
    }

    fn are_cut(&self, from: usize, to: usize, now_ms: u64) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(start, end, sides)| (*start..*end).contains(&now_ms) && sides[from] != sides[to])
    }
}

/// Runs a fleet whose requests are retried whenever the budget allows it.
fn run(entries: usize, faults: Faults, variant: Variant, seed: u64) -> Arrivals {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::new(entries, faults, &mut random);
    let mut arrivals = Arrivals::default();
    let first_start = |entry| {
        // Unless the fleet starts for the first time, its entries have run for the window.
        let start_ms = if faults == Faults::All {
            ORIGIN_MS
        } else {
            ORIGIN_MS - 20_000
        };
        Some(Incarnation::start(entry, entries, start_ms, variant))
    };
    let mut fleet: Vec<Option<Incarnation>> = (0..entries).map(first_start).collect();
    // A history has quiet times before its bursts; a budget that isn't used then may be used at once.
    let mut is_failing = false;
    let (mut burst_until, mut quiet_until) = (0, 0);
    // With few requests most of the bound is the allowance, with many most of it is their share.
    let per_s = random.random_range(15.0..150.0);
    let mut pending: VecDeque<(u64, usize)> = VecDeque::new();
    let begin_ms = if faults == Faults::All {
        ORIGIN_MS
    } else {
        ORIGIN_MS - 20_000
    };
    for now_ms in (begin_ms..ORIGIN_MS + LENGTH_MS).step_by(20) {
        if now_ms >= burst_until && now_ms >= quiet_until {
            is_failing = !is_failing;
            if is_failing {
                burst_until = now_ms + 4_000;
            } else {
                quiet_until = now_ms + random.random_range(0..9_000);
            }
        }
        for (entry, slot) in fleet.iter_mut().enumerate() {
            match (plan.is_up(entry, now_ms), slot.is_some()) {
                (true, false) => *slot = Some(Incarnation::start(entry, entries, now_ms, variant)),
                (false, true) => *slot = None,
                _ => {}
            }
        }
        let load = if now_ms < burst_until { 2.3 } else { 1.0 };
        let mean = per_s * load * STEP_MS as f64 / 1_000.0;
        let mut count = 0;
        while random.random::<f64>() < mean / (mean + 1.0) {
            count += 1;
        }
        for _ in 0..count {
            arrivals.requests_ms.push(now_ms);
            let transit_ms = random.random_range(0..MAX_TRANSIT_MS);
            pending.push_back((now_ms + transit_ms, random.random_range(0..entries)));
        }
        let due = pending.iter().filter(|(at, _)| *at <= now_ms).copied();
        let due: Vec<_> = due.collect();
        pending.retain(|(at, _)| *at > now_ms);
        for (_, entry) in due {
            let Some(incarnation) = &mut fleet[entry] else {
                continue;
            };
            incarnation.budget.count_request(&service(), at_ms(now_ms));
            let divisor = incarnation.divisor(variant, now_ms);
            for _ in 0..3 {
                if is_failing && incarnation.budget.take(&service(), divisor, at_ms(now_ms)) {
                    let transit_ms = random.random_range(0..MAX_TRANSIT_MS);
                    arrivals.retries_ms.push(now_ms + transit_ms);
                }
            }
        }
        if now_ms % HEARTBEAT_MS == 0 {
            exchange_heartbeats(&mut fleet, &plan, now_ms);
        }
    }
    arrivals.retries_ms.sort_unstable();
    arrivals
}

fn exchange_heartbeats(fleet: &mut [Option<Incarnation>], plan: &Plan, now_ms: u64) {
    let now = at_ms(now_ms);
    let sizes: Vec<_> = fleet
        .iter()
        .map(|slot| slot.as_ref().map(|slot| slot.shares.own_size()))
        .collect();
    for (to, slot) in fleet.iter_mut().enumerate() {
        let Some(receiver) = slot else { continue };
        for (from, size) in sizes.iter().enumerate() {
            if let Some(size) = size
                && from != to
                && !plan.are_cut(from, to, now_ms)
            {
                receiver.shares.note_heard(address(from), *size, now);
                receiver.heard_at[from] = Some(now_ms);
            }
        }
        receiver.shares.remove_expired(BOUNDS.window, now);
    }
}

impl Arrivals {
    fn count(times_ms: &[u64], from_ms: u64) -> usize {
        let before = |end: u64| times_ms.partition_point(|at| *at < end);
        before(from_ms + WINDOW_MS) - before(from_ms)
    }

    /// Highest number of retries in any window as a share of its bound, and these two figures.
    fn worst(&self) -> (f64, usize, f64) {
        let mut worst = (0.0, 0, 0.0);
        for from_ms in (ORIGIN_MS..ORIGIN_MS + LENGTH_MS - WINDOW_MS).step_by(50) {
            let starts = [from_ms, from_ms - WINDOW_MS / 2, from_ms - WINDOW_MS];
            let requests = starts.map(|start| Self::count(&self.requests_ms, start));
            let requests = requests.into_iter().max().unwrap_or(0);
            let bound = BOUNDS.share * requests as f64 + BOUNDS.allowance;
            let retries = Self::count(&self.retries_ms, from_ms);
            let share = retries as f64 / bound;
            if share > worst.0 {
                worst = (share, retries, bound);
            }
        }
        worst
    }
}

fn histories() -> u64 {
    let variable = std::env::var("CAMPHORWALL_HISTORIES");
    variable.map_or(4, |count| count.parse().expect("a number"))
}

/// Guards against entries that use a part of the budget that their predecessors or the other side of a partition have
/// used in the same window.
#[rstest]
#[case::killed_together(36, Faults::KilledTogether)]
#[case::killed_together_in_a_small_fleet(3, Faults::KilledTogether)]
#[case::random_kills(12, Faults::RandomKills)]
#[case::partitions(12, Faults::Partitions)]
#[case::partitions_of_a_small_fleet(4, Faults::Partitions)]
#[case::all_faults(12, Faults::All)]
#[case::all_faults_in_a_small_fleet(3, Faults::All)]
fn a_fleet_stays_within_its_retry_budget(#[case] entries: usize, #[case] faults: Faults) {
    for seed in 1..=histories() {
        let (share, retries, bound) = run(entries, faults, Variant::Correct, seed).worst();
        println!("{entries} entries, {faults:?}, seed {seed}: {retries} of {bound:.0}");
        assert!(share <= 1.0, "seed {seed}: {retries} of {bound}");
    }
}

#[rstest]
#[case::starts_full(36, Faults::KilledTogether, Variant::StartsFull)]
#[case::starts_full_in_a_small_fleet(3, Faults::KilledTogether, Variant::StartsFull)]
#[case::divides_among_heard(4, Faults::Partitions, Variant::DividesAmongHeard)]
fn histories_catch_a_broken_budget(
    #[case] entries: usize,
    #[case] faults: Faults,
    #[case] variant: Variant,
) {
    let exceeds = |seed| {
        let (share, retries, bound) = run(entries, faults, variant, seed).worst();
        println!(
            "{entries} entries, {faults:?}, {variant:?}, seed {seed}: {retries} of {bound:.0}"
        );
        share > 1.0
    };
    let caught = (1..=histories()).filter(|seed| exceeds(*seed)).count();
    println!("{entries} entries, {faults:?}, {variant:?}: {caught} histories exceed the bound");
    assert!(caught > 0, "no history exceeds the bound");
}
