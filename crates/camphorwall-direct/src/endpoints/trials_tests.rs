//! Plays copies of one request, or unlike requests with one part, at a fleet whose blocks have passed their time.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

use crate::{
    clock::Moment,
    configuration::EndpointIncarnation,
    dialect::PromptPart,
    endpoints::{
        poison::{Content, Fingerprint, Poison},
        trials::Trials,
    },
    testing::at_ms,
};

/// Time that a copy runs before it crashes its endpoint or is answered.
const RUN_MS: u64 = 800;

const STEP_MS: u64 = 20;

/// Copies that may be sent later than 3 s after the third crash.
const ALLOWED: usize = 3;

/// What the fleet of a play consists of and what comes to it.
#[derive(Clone, Copy)]
struct Fleet {
    entries: usize,
    /// Number of parts of the fleet that can't reach each other.
    parts: usize,
    period_ms: u64,
    /// Whether the requests have a prompt part in common and nothing else.
    is_by_part: bool,
    /// When the endpoints bear the requests.
    mended_at_ms: u64,
    minutes: u64,
}

/// A copy on its way, with the entry that sent it.
struct Sent {
    content: Content,
    entry: usize,
    begun_ms: u64,
    /// What is blocked, if it is a trial.
    trial: Option<u64>,
}

/// Milliseconds at which copies were sent, crashed endpoints, and the first was answered.
#[derive(Debug, Default)]
struct Totals {
    sends: Vec<u64>,
    crashes: Vec<u64>,
    first_answer: Option<u64>,
}

impl Totals {
    fn late(&self) -> usize {
        let third = self.crashes.get(2).copied().unwrap_or(u64::MAX - 3_000);
        self.sends
            .iter()
            .filter(|sent| **sent > third + 3_000)
            .count()
    }
}

/// The entry's rank for what is blocked, among those that it reaches.
fn rank(fleet: Fleet, key: u64, entry: usize) -> usize {
    let name = |one: usize| (key.wrapping_mul(0x9e37_79b9) ^ one as u64).wrapping_mul(0xff51_afd7);
    let reached = (0..fleet.entries).filter(|one| one % fleet.parts == entry % fleet.parts);
    reached.filter(|one| name(*one) < name(entry)).count()
}

fn content(fleet: Fleet, number: u64) -> Content {
    let fingerprint = if fleet.is_by_part { 1_000 + number } else { 66 };
    Content {
        fingerprint: Fingerprint(fingerprint),
        shared_parts: if fleet.is_by_part {
            vec![PromptPart(66)]
        } else {
            Vec::new()
        },
    }
}

fn play(seed: u64, fleet: Fleet) -> Totals {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..fleet.entries)
        .map(|_| (Poison::default(), Trials::default()))
        .collect();
    let mut totals = Totals::default();
    let mut sent: Vec<Sent> = Vec::new();
    for step in 0..fleet.minutes * 60_000 / STEP_MS {
        let now_ms = step * STEP_MS;
        let now: Moment = at_ms(now_ms);
        if now_ms.is_multiple_of(fleet.period_ms) {
            let entry = random.random_range(0..fleet.entries);
            let content = content(fleet, now_ms);
            let (poison, trials) = &mut entries[entry];
            let block = poison.block(&content);
            let may_try = block.as_ref().map(|block| {
                let may_try = trials.may_begin(block, rank(fleet, block.key, entry), now);
                if may_try {
                    trials.begin(block, now);
                }
                may_try
            });
            if may_try.unwrap_or(true) {
                totals.sends.push(now_ms);
                sent.push(Sent {
                    content,
                    entry,
                    begun_ms: now_ms,
                    trial: block.map(|block| block.key),
                });
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) = sent
            .drain(..)
            .partition(|one| one.begun_ms + RUN_MS <= now_ms);
        sent = running;
        for one in ended {
            let (poison, trials) = &mut entries[one.entry];
            if let Some(key) = one.trial {
                trials.end(key);
            }
            if now_ms < fleet.mended_at_ms {
                totals.crashes.push(now_ms);
                let crash = EndpointIncarnation(totals.crashes.len() as u64);
                poison.note_crash(crash, &one.content, 0, at_ms(one.begun_ms), now);
            } else {
                totals.first_answer.get_or_insert(now_ms);
                poison.note_answer(&one.content, 5);
            }
        }
        if now_ms.is_multiple_of(2 * STEP_MS) {
            for from in 0..fleet.entries {
                for suspect in entries[from].0.report(now) {
                    for to in (0..fleet.entries).filter(|to| to % fleet.parts == from % fleet.parts)
                    {
                        if to != from && random.random_bool(0.9) {
                            entries[to].0.note_peer(suspect.clone(), now);
                        }
                    }
                }
            }
        }
    }
    totals
}

const FLEET: Fleet = Fleet {
    entries: 4,
    parts: 1,
    period_ms: 100,
    is_by_part: false,
    mended_at_ms: u64::MAX,
    minutes: 30,
};

/// Guards against a request that crashes endpoints again each time that its block ends, as all entries let it pass at once.
#[rstest]
#[case::often(FLEET)]
#[case::at_many_entries(Fleet { entries: 30, minutes: 10, ..FLEET })]
#[case::now_and_then(Fleet { period_ms: 6_000, ..FLEET })]
#[case::by_a_part(Fleet { is_by_part: true, ..FLEET })]
fn a_block_ends_by_single_trials(#[case] fleet: Fleet) {
    for seed in 0..5 {
        let totals = play(seed, fleet);
        let late = totals.late();
        assert!(totals.crashes.len() >= 3, "seed {seed}: {totals:?}");
        assert!(late <= ALLOWED, "seed {seed}: {late} sent late");
    }
}

/// Entries that can't reach each other may each try.
#[test]
fn a_fleet_in_two_parts_tries_twice_as_often_at_most() {
    for seed in 0..5 {
        let totals = play(seed, Fleet { parts: 2, ..FLEET });
        let late = totals.late();
        assert!(late <= 2 * ALLOWED, "seed {seed}: {late} sent late");
    }
}

/// Guards against a request that stays blocked although the endpoints bear it.
#[rstest]
#[case::few_entries(FLEET)]
#[case::many_entries(Fleet { entries: 30, ..FLEET })]
#[case::now_and_then(Fleet { period_ms: 6_000, ..FLEET })]
#[case::by_a_part(Fleet { is_by_part: true, ..FLEET })]
fn a_request_is_served_again_once_the_endpoints_bear_it(#[case] fleet: Fleet) {
    /// The block after the first crashes, and the turns until all of 30 entries may try.
    const SERVED_WITHIN: Duration = Duration::from_secs(60 + 6 * 15);
    for seed in 0..5 {
        let mended = Fleet {
            mended_at_ms: 30_000,
            ..fleet
        };
        let totals = play(seed, mended);
        let answered = totals
            .first_answer
            .map(|at| Duration::from_millis(at - 30_000));
        assert!(
            answered.is_some_and(|time| time <= SERVED_WITHIN),
            "seed {seed}: {answered:?}"
        );
        let served = totals
            .sends
            .iter()
            .filter(|sent| **sent > 1_200_000)
            .count() as u64;
        assert!(
            served >= (30 * 60_000 - 1_200_000) / fleet.period_ms * 9 / 10,
            "seed {seed}: {served}"
        );
    }
}
