//! Seeded random pairs of faults under load. `CAMPHORWALL_FAULT_SEEDS` sets how many pairs are tried.

use std::{
    cell::Cell,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use camphorwall::EngineRole;
use camphorwall_standin::{
    Caller, CallerRecord, Ending, Fleet, FleetOptions, RelayMode, RelayModes, Violation,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use strum::{EnumIter, IntoEnumIterator as _};

/// Pairs that are tried when the environment does not say.
const DEFAULT_SEEDS: u64 = 18;

/// Fleets that run side by side, each in a thread of its own.
const FLEETS: usize = 6;

/// Callers that ask without pause.
const CALLERS: usize = 4;

#[derive(Clone, Copy, Debug, EnumIter, Eq, PartialEq)]
enum Fault {
    CallerLeaves,
    DaemonKilled,
    EngineKilled,
    EntryKilled,
    SilentBack,
    SilentBoth,
    SilentForth,
    TransferStalls,
}

async fn ask(
    fleet_address: std::net::SocketAddr,
    number: usize,
    is_over: Rc<Cell<bool>>,
) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    while !is_over.get() {
        let caller = Caller::new(fleet_address, Some("ledger-key"));
        let prompt = format!(
            "sheet {number} with {} lines of bread and milk",
            records.len()
        );
        let record = caller.record(&prompt, 150).await;
        // A dead entry refuses connections at once.
        compio::time::sleep(Duration::from_millis(5)).await;
        records.push(record);
    }
    records
}

fn decode(fleet: &Fleet, random: &mut ChaCha8Rng) -> usize {
    let is_decode = |index: &usize| fleet.endpoints[*index].role == EngineRole::Decode;
    let all: Vec<usize> = (0..fleet.endpoints.len()).filter(is_decode).collect();
    all[random.random_range(0..all.len())]
}

async fn inject(fleet: &mut Fleet, fault: Fault, random: &mut ChaCha8Rng) {
    let target = decode(fleet, random);
    let silent = |forth, back| RelayModes {
        to_target: forth,
        to_client: back,
    };
    let relay = fleet.endpoints[target].relay.as_ref().unwrap();
    match fault {
        Fault::CallerLeaves => {
            let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
            if let Ok(Ok(mut events)) = caller.stream("a note that nobody reads", 90_000).await {
                events.next().await;
            }
        }
        Fault::DaemonKilled => {
            fleet.endpoints[target].kill_daemon();
            fleet.endpoints[target].start_daemon().await;
        }
        Fault::EngineKilled => fleet.endpoints[target].kill_engine(),
        Fault::EntryKilled if fleet.entries.len() > 1 => fleet.entries.remove(1).kill(),
        Fault::EntryKilled => {}
        Fault::SilentBack => relay.set_open_connections(silent(RelayMode::Open, RelayMode::Silent)),
        Fault::SilentBoth => {
            relay.set_open_connections(silent(RelayMode::Silent, RelayMode::Silent));
        }
        Fault::SilentForth => {
            relay.set_open_connections(silent(RelayMode::Silent, RelayMode::Open));
        }
        Fault::TransferStalls => {
            for engine in fleet.engines(EngineRole::Prefill) {
                engine.stall_exports(1);
            }
        }
    }
}

async fn violations(seed: u64) -> (Vec<Fault>, Vec<Violation>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(&FleetOptions {
        entries: 2,
        decode: 3,
        relays: true,
        ..FleetOptions::default()
    })
    .await;
    let all: Vec<Fault> = Fault::iter().collect();
    let pair: Vec<Fault> = (0..2)
        .map(|_| all[random.random_range(0..all.len())])
        .collect();
    println!("seed {seed}: {pair:?}");
    let is_over = Rc::new(Cell::new(false));
    let asking: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = fleet.caller_address(number % 2);
            compio::runtime::spawn(ask(address, number, Rc::clone(&is_over)))
        })
        .collect();
    for fault in &pair {
        compio::time::sleep(Duration::from_millis(random.random_range(50..600))).await;
        inject(&mut fleet, *fault, &mut random).await;
    }
    compio::time::sleep(Duration::from_millis(1_500)).await;
    is_over.set(true);
    let mut records = Vec::new();
    for (number, task) in asking.into_iter().enumerate() {
        let mut of_caller = task.await.expect("no panic");
        let is_entry_killed = number % 2 == 1 && pair.contains(&Fault::EntryKilled);
        for record in &mut of_caller {
            if is_entry_killed && record.ending == Ending::Cut {
                record.ending = Ending::EntryKilled;
            }
        }
        records.extend(of_caller);
    }
    assert!(
        records
            .iter()
            .any(|record| record.ending == Ending::Complete)
    );
    let violations = fleet.check(records).await;
    fleet.stop().await;
    (pair, violations)
}

/// Tries seeds until none is left; tells those that broke a promise.
fn try_seeds(next_seed: &AtomicU64, seeds: u64) -> Vec<String> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let mut broken = Vec::new();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds {
            return broken;
        }
        let (pair, violations) = runtime.block_on(violations(seed));
        if !violations.is_empty() {
            broken.push(format!("seed {seed}, {pair:?}: {violations:?}"));
        }
    }
}

#[test]
fn random_pairs_of_faults_break_no_promise() {
    let seeds = std::env::var("CAMPHORWALL_FAULT_SEEDS");
    let seeds = seeds.map_or(DEFAULT_SEEDS, |count| count.parse().expect("a count"));
    let next_seed = AtomicU64::new(0);
    let mut broken = Vec::new();
    std::thread::scope(|scope| {
        let workers = (0..FLEETS).map(|_| scope.spawn(|| try_seeds(&next_seed, seeds)));
        let workers: Vec<_> = workers.collect();
        for worker in workers {
            broken.extend(worker.join().expect("no panic"));
        }
    });
    assert!(broken.is_empty(), "{broken:#?}");
}
