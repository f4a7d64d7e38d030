//! Histories of a fleet whose teams flood it while entries are killed, restarted and cut off from each other: what the
//! fleet charges a team in any window must stay within the contract and its tolerance, and most of the contract must be
//! usable.

use std::net::SocketAddr;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    configuration::Team,
    contract::quota::{ChargeOutcome, Quotas, usable_share},
    fleet::shares::Shares,
    testing::{at_ms, team, wait_limits_until},
};

const WINDOW_MS: u64 = 8_000;
const STEP_MS: u64 = 10;

/// Rate and burst of the team; the larger they are, the smaller is the fixed part of the tolerance.
const RATE_PER_S: f64 = 200_000.0;
const LENGTH_MS: u64 = 60_000;

/// Silence after which entries that hear most of the fleet use the share of a silent peer.
const TAKEOVER_MS: u64 = 6_000;

/// How entries treat an unknown past and silent peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// Entries start with full buckets and forget peers after 15 s, as before the fix.
    Before,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Faults {
    None,
    /// All entries are killed together, several times within a window.
    KilledTogether,
    RandomKills,
    /// The fleet is cut in two, for longer than peers are remembered.
    CutInTwo,
    /// The fleet is cut into many parts.
    CutInMany,
    KillsAndCuts,
}

struct Incarnation {
    number: u64,
    quotas: Quotas,
    shares: Shares,
    /// When each peer was heard, and its incarnation.
    heard: Vec<Option<(u64, u64)>>,
    started_ms: u64,
}

/// When an entry is down, and which part of the fleet it is in.
struct Plan {
    down_ms: Vec<Vec<(u64, u64)>>,
    cuts: Vec<(u64, u64, Vec<usize>)>,
}

/// What the fleet charged a team, and what it was asked for.
struct Charges {
    at_ms: Vec<u64>,
    sums: Vec<f64>,
    /// Times in which the team asks for more than its rate.
    floods_ms: Vec<(u64, u64)>,
}

fn address(entry: usize) -> SocketAddr {
    let host = u8::try_from(entry + 1).expect("a small fleet");
    SocketAddr::from(([10, 0, 0, host], 7_500))
}

impl Plan {
    fn new(entries: usize, faults: Faults, random: &mut ChaCha8Rng) -> Self {
        let mut plan = Self {
            down_ms: vec![Vec::new(); entries],
            cuts: Vec::new(),
        };
        if faults == Faults::KilledTogether {
            let mut at = random.random_range(9_000..12_000);
            while at < LENGTH_MS {
                for down in &mut plan.down_ms {
                    down.push((at, at + 500));
                }
                at += if random.random() {
                    random.random_range(1_000..3_500)
                } else {
                    random.random_range(9_000..20_000)
                };
            }
        }
        if matches!(faults, Faults::RandomKills | Faults::KillsAndCuts) {
            for down in &mut plan.down_ms {
                let mut at = random.random_range(5_000..40_000);
                while at < LENGTH_MS {
                    let until = at + random.random_range(100..3_000);
                    down.push((at, until));
                    at = until + random.random_range(500..25_000);
                }
            }
        }
        let parts = match faults {
            Faults::CutInTwo | Faults::KillsAndCuts => 2,
            Faults::CutInMany => entries,
            _ => 1,
        };
        if parts > 1 {
            let mut at = random.random_range(1_000..12_000);
            while at < LENGTH_MS {
                let until = at + random.random_range(1_000..45_000);
                let share = random.random_range(0.1..0.9);
                let part = |_| {
                    if parts == 2 {
                        usize::from(random.random::<f64>() < share)
                    } else {
                        random.random_range(0..parts)
                    }
                };
                plan.cuts
                    .push((at, until, (0..entries).map(part).collect()));
                at = until + random.random_range(500..8_000);
            }
        }
        if faults == Faults::KillsAndCuts {
            plan.spare_small_sides();
        }
        plan
    }

    /// Keeps one entry of each smaller side running during its cut: a side whose entries have all started since then
    /// can't know how large the fleet is.
    fn spare_small_sides(&mut self) {
        for (from, until, parts) in &self.cuts {
            let side_of_one = parts.iter().filter(|part| **part == 1).count();
            let small = usize::from(side_of_one * 2 <= parts.len());
            let spared = parts.iter().position(|part| *part == small);
            if let Some(spared) = spared {
                self.down_ms[spared].retain(|(down, up)| up < from || until < down);
            }
        }
    }

    fn is_up(&self, entry: usize, now_ms: u64) -> bool {
        let mut down = self.down_ms[entry].iter();
        !down.any(|(from, until)| (*from..*until).contains(&now_ms))
    }

    fn are_cut(&self, from: usize, to: usize, now_ms: u64) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(start, end, parts)| (*start..*end).contains(&now_ms) && parts[from] != parts[to])
    }
}

impl Incarnation {
    fn start(entry: usize, entries: usize, number: u64, now_ms: u64, variant: Variant) -> Self {
        let mut shares = Shares::default();
        for seed in (0..entries.min(3)).filter(|seed| *seed != entry) {
            shares.learn(address(seed), at_ms(now_ms));
        }
        let started_at = match variant {
            Variant::Correct => at_ms(now_ms),
            Variant::Before => at_ms(0),
        };
        Self {
            number,
            quotas: Quotas::new(started_at),
            shares,
            heard: vec![None; entries],
            started_ms: now_ms,
        }
    }

    fn share(&self, entry: usize, variant: Variant, now_ms: u64) -> f64 {
        if variant == Variant::Correct {
            let takeover = std::time::Duration::from_millis(TAKEOVER_MS);
            return self.shares.rate_share(takeover, at_ms(now_ms));
        }
        let silence = |heard: &Option<(u64, u64)>| {
            let seen_ms = heard.map_or(self.started_ms, |(at, _)| at);
            now_ms - seen_ms
        };
        let peers = self
            .heard
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != entry);
        let silences: Vec<_> = peers
            .map(|(_, heard)| silence(heard))
            .filter(|silence| *silence <= 15_000)
            .collect();
        let known = silences.len() + 1;
        let silent: Vec<_> = silences
            .into_iter()
            .filter(|silence| *silence > 500)
            .collect();
        if (known - silent.len()) * 2 > known {
            usable_share(
                known,
                silent
                    .iter()
                    .filter(|silence| **silence <= TAKEOVER_MS)
                    .count(),
            )
        } else {
            usable_share(known, silent.len())
        }
    }
}

/// Runs a fleet of which a hot team asks far more than its rate in floods of 14 s, with idle times between them. Callers
/// move, so that in each half second some entries get most of the requests.
fn run(
    entries: usize,
    team: &Team,
    load: f64,
    faults: Faults,
    variant: Variant,
    seed: u64,
) -> Charges {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::new(entries, faults, &mut random);
    let rate_per_s = team.rate_per_s.expect("a rate");
    let mut next_number = 0;
    let mut start = |entry, now_ms| {
        next_number += 1;
        Incarnation::start(entry, entries, next_number, now_ms, variant)
    };
    let mut fleet: Vec<_> = (0..entries).map(|entry| Some(start(entry, 0))).collect();
    let mut weights = vec![1.0; entries];
    let mut charges = Charges {
        at_ms: Vec::new(),
        sums: vec![0.0],
        floods_ms: Vec::new(),
    };
    let (mut owed, mut flood_until, mut idle_until) = (0.0, 0, 0);
    for now_ms in (0..LENGTH_MS).step_by(10) {
        let now = at_ms(now_ms);
        for (entry, slot) in fleet.iter_mut().enumerate() {
            match (plan.is_up(entry, now_ms), slot.is_some()) {
                (true, false) => *slot = Some(start(entry, now_ms)),
                (false, true) => *slot = None,
                _ => {}
            }
        }
        if now_ms >= flood_until && now_ms >= idle_until {
            idle_until = now_ms + random.random_range(0..6_000);
            flood_until = idle_until + 14_000;
            charges.floods_ms.push((idle_until, flood_until));
        }
        if now_ms % 500 == 0 {
            for weight in &mut weights {
                *weight = random.random::<f64>().powi(4);
            }
        }
        if now_ms >= idle_until {
            owed += load * rate_per_s * STEP_MS as f64 / 1_000.0;
        }
        while owed > 0.0 {
            let cost = random.random_range(500.0..9_500.0);
            owed -= cost;
            let total: f64 = weights.iter().sum();
            let mut place = random.random::<f64>() * total;
            let chosen = weights.iter().position(|weight| {
                place -= weight;
                place <= 0.0
            });
            let chosen = chosen.unwrap_or(0);
            let Some(entry) = &mut fleet[chosen] else {
                continue;
            };
            let share = entry.share(chosen, variant, now_ms);
            let outcome = entry
                .quotas
                .charge(team, cost, share, wait_limits_until(now), now);
            if outcome == ChargeOutcome::Charged {
                charges.at_ms.push(now_ms);
                charges
                    .sums
                    .push(charges.sums.last().expect("a sum") + cost);
            }
        }
        // Charges are reported at once, at most once in 40 ms; peers hear everything each 200 ms.
        if now_ms % 40 == 0 {
            exchange(&mut fleet, &plan, variant, now_ms);
        }
    }
    charges
}

fn exchange(fleet: &mut [Option<Incarnation>], plan: &Plan, variant: Variant, now_ms: u64) {
    let now = at_ms(now_ms);
    let reports: Vec<_> = fleet
        .iter_mut()
        .enumerate()
        .map(|(entry, slot)| {
            let slot = slot.as_mut()?;
            let share = slot.share(entry, variant, now_ms);
            let accounts = if now_ms.is_multiple_of(200) {
                slot.quotas.report(share, now)
            } else {
                slot.quotas.report_changes(share, now)
            };
            Some((slot.number, slot.shares.own_size(), accounts))
        })
        .collect();
    for (to, slot) in fleet.iter_mut().enumerate() {
        let Some(receiver) = slot else { continue };
        for (from, report) in reports.iter().enumerate() {
            let Some((number, size, accounts)) = report else {
                continue;
            };
            if from == to || plan.are_cut(from, to, now_ms) {
                continue;
            }
            if let Some((at, previous)) = receiver.heard[from] {
                if now_ms - at > 500 {
                    receiver.quotas.forget_peer(*number);
                }
                if previous != *number {
                    receiver.quotas.forget_peer(previous);
                }
            }
            receiver.heard[from] = Some((now_ms, *number));
            receiver.shares.note_heard(address(from), *size, now);
            let share = receiver.share(to, variant, now_ms);
            receiver
                .quotas
                .note_peer(*number, accounts.clone(), share, now);
        }
        receiver
            .shares
            .remove_expired(std::time::Duration::from_millis(WINDOW_MS), now);
    }
}

impl Charges {
    fn between(&self, from_ms: u64, to_ms: u64) -> f64 {
        let before = |end: u64| self.sums[self.at_ms.partition_point(|at| *at < end)];
        before(to_ms) - before(from_ms)
    }

    /// Fewest tokens charged in any window within a flood.
    fn least_in_a_flood(&self) -> f64 {
        let floods = self
            .floods_ms
            .iter()
            .filter(|(_, until)| *until <= LENGTH_MS);
        let starts = floods.flat_map(|(from, until)| (*from..=until - WINDOW_MS).step_by(50));
        let charged = starts.map(|from_ms| self.between(from_ms, from_ms + WINDOW_MS));
        charged.fold(f64::INFINITY, f64::min)
    }

    /// Most tokens charged in any window.
    fn worst(&self) -> f64 {
        let windows = (0..LENGTH_MS - WINDOW_MS).step_by(50);
        let charged = windows.map(|from_ms| self.between(from_ms, from_ms + WINDOW_MS));
        charged.fold(0.0, f64::max)
    }
}

/// Most that the fleet may send for a team in a window.
fn bound(team: &Team) -> f64 {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    (team.rate_per_s.expect("a rate") * window_s + team.burst) * 1.25 + 120_000.0
}

fn histories() -> u64 {
    let variable = std::env::var("CAMPHORWALL_HISTORIES");
    variable.map_or(1, |count| count.parse().expect("a number"))
}

/// Guards against entries that start with a bucket that their predecessors have emptied, and against parts of a fleet
/// that each spend the whole contract.
#[rstest]
fn a_fleet_stays_within_the_tolerance_of_a_contract(
    #[values(4, 12, 36)] entries: usize,
    #[values(
        Faults::None,
        Faults::KilledTogether,
        Faults::RandomKills,
        Faults::CutInTwo,
        Faults::CutInMany,
        Faults::KillsAndCuts
    )]
    faults: Faults,
) {
    let team = team(RATE_PER_S, RATE_PER_S);
    for seed in 1..=histories() {
        let charges = run(entries, &team, 4.0, faults, Variant::Correct, seed);
        let charged = charges.worst();
        let share = charged / bound(&team);
        println!(
            "{entries} entries, {faults:?}, seed {seed}: {share:.3} of the bound, at least {:.3} of the rate",
            charges.least_in_a_flood() / (RATE_PER_S * WINDOW_MS as f64 / 1_000.0),
        );
        assert!(share <= 1.0, "seed {seed}: {charged} of {}", bound(&team));
        if faults == Faults::None {
            let contract = RATE_PER_S * WINDOW_MS as f64 / 1_000.0;
            let least = charges.least_in_a_flood();
            assert!(
                least >= contract * 0.97,
                "seed {seed}: only {least} of {contract}"
            );
        }
    }
}

/// Guards against parts of a fleet that each spend a team's whole rate until they notice that they are cut off from each
/// other, which takes half a second.
#[test]
fn a_fleet_that_is_cut_in_many_parts_at_ten_times_a_teams_rate_stays_within_the_tolerance() {
    let team = team(RATE_PER_S, RATE_PER_S);
    let variant = Variant::Correct;
    let worst = (1..=3).map(|seed| run(36, &team, 10.0, Faults::CutInMany, variant, seed).worst());
    let worst = worst.fold(0.0, f64::max);
    println!("{:.3} of the bound", worst / bound(&team));
    assert!(worst <= bound(&team), "{worst} of {}", bound(&team));
}

#[rstest]
fn histories_catch_entries_that_each_spend_the_whole_contract(
    #[values(Faults::KilledTogether, Faults::CutInTwo, Faults::CutInMany)] faults: Faults,
) {
    let team = team(RATE_PER_S, RATE_PER_S);
    let mut caught = 0;
    for seed in 1..=histories().max(2) {
        let charged = run(36, &team, 4.0, faults, Variant::Before, seed).worst();
        let share = charged / bound(&team);
        println!("36 entries, {faults:?}, former rules, seed {seed}: {share:.3} of the bound");
        caught += u32::from(share > 1.0);
    }
    assert!(caught > 0, "no history exceeds the bound");
}
