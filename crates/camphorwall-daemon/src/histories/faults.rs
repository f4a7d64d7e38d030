//! Faults that a history may contain.

use std::ops::Range;

use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use strum::EnumIter;
use strum::IntoEnumIterator as _;

/// Number of histories in a test when the environment variable is not set.
const DEFAULT_HISTORIES: u64 = 10_000;

/// Environment variable with the number of histories.
const HISTORIES_VARIABLE: &str = "CAMPHORWALL_HISTORIES";

#[derive(Clone, Copy, Debug, EnumIter, Eq, PartialEq)]
pub(crate) enum Fault {
    ClockDrift,
    Kill,
    Messages,
    OneWayPartition,
    Partition,
    Pause,
    Replace,
    ServiceDown,
    StaleList,
}

/// Seed and faults of one history. Consecutive seeds go through each single fault and each pair of faults.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) seed: u64,
    pub(crate) faults: Vec<Fault>,
}

impl Script {
    pub(crate) fn new(seed: u64) -> Self {
        let all: Vec<_> = Fault::iter().collect();
        let pairs = (0..all.len()).flat_map(|a| (a..all.len()).map(move |b| (a, b)));
        let pairs: Vec<_> = pairs.collect();
        let pair_count = u64::try_from(pairs.len()).expect("few pairs");
        let (a, b) = pairs[usize::try_from(seed % pair_count).expect("few pairs")];
        let mut faults = vec![all[a], all[b]];
        faults.dedup();
        Self { seed, faults }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    pub(crate) fn random(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed)
    }
}

/// Draws whether an event with the given probability happens.
pub(crate) fn happens(random: &mut ChaCha8Rng, probability: f64) -> bool {
    random.random_bool(probability)
}

pub(crate) fn history_count() -> u64 {
    let setting = std::env::var(HISTORIES_VARIABLE).ok();
    setting.map_or(DEFAULT_HISTORIES, |text| {
        text.parse().expect("a number of histories")
    })
}

/// Plays the histories on all processors and returns the failures, ordered by seed.
pub(crate) fn play_all<T: Send>(
    seeds: Range<u64>,
    play: impl Fn(&Script) -> Option<T> + Sync,
) -> Vec<(Script, T)> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let play = &play;
    let mut failed: Vec<_> = std::thread::scope(|scope| {
        let spawn_thread = |thread| {
            let seeds = seeds.clone();
            scope.spawn(move || {
                let own_seeds = seeds.filter(|seed| seed % threads == thread);
                let scripts = own_seeds.map(Script::new);
                scripts
                    .filter_map(|script| play(&script).map(|failure| (script, failure)))
                    .collect::<Vec<_>>()
            })
        };
        let running: Vec<_> = (0..threads).map(spawn_thread).collect();
        running
            .into_iter()
            .flat_map(|one| one.join().expect("no history panics"))
            .collect()
    });
    failed.sort_by_key(|(script, _)| script.seed);
    failed
}
