//! Engines, endpoint daemons and transfers that fail while an answer is generated.

use std::time::Duration;

use camphorwall::EngineRole;
use camphorwall_standin::{Caller, Ending, Engine, EngineOptions, Fleet, FleetOptions, wait_until};
use futures_util::future::{join, join_all};

const PROMPT: &str = "quote for six tunnels of nine metres with anti-drip film";

fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.caller_address(0), Some("ledger-key"))
}

#[compio::test]
async fn an_answer_continues_elsewhere_when_its_engine_dies() {
    let mut fleet = Fleet::start(&FleetOptions::default()).await;
    let caller = caller(&fleet);
    let death = async {
        let busy = fleet.busy_decode().await;
        compio::time::sleep(Duration::from_millis(100)).await;
        fleet.endpoints[busy].kill_engine();
    };
    let (record, ()) = join(caller.record(PROMPT, 400), death).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

#[compio::test]
async fn a_restarted_daemon_frees_the_work_of_its_predecessor_before_it_takes_new_work() {
    let mut fleet = Fleet::start(&FleetOptions::default()).await;
    let caller = caller(&fleet);
    let restart = async {
        let busy = fleet.busy_decode().await;
        compio::time::sleep(Duration::from_millis(100)).await;
        let endpoint = &mut fleet.endpoints[busy];
        endpoint.kill_daemon();
        compio::time::sleep(Duration::from_millis(200)).await;
        let engine = endpoint.engine.clone().unwrap();
        assert_eq!(
            engine.requests_in_memory(),
            1,
            "the orphaned work continues"
        );
        endpoint.start_daemon().await;
        let cancelled = async || (engine.counts().cancelled == 1).then_some(());
        wait_until(cancelled).await;
    };
    let (record, ()) = join(caller.record(PROMPT, 1_500), restart).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.publish_instances();
    fleet.stop().await;
}

#[compio::test]
async fn a_stalled_transfer_is_retried() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    for engine in fleet.engines(EngineRole::Prefill) {
        engine.stall_exports(1);
    }
    let record = caller(&fleet).record(PROMPT, 50).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

#[compio::test]
async fn retries_stay_within_their_budget_when_every_engine_is_dead() {
    let mut fleet = Fleet::start(&FleetOptions::default()).await;
    // A retry waits for a placement until its deadline.
    fleet.set_deadline(2_000, 1_000).await;
    for endpoint in fleet.endpoints_of(EngineRole::Decode) {
        endpoint.kill_engine();
    }
    let caller = caller(&fleet);
    let records = join_all((0..40).map(|_| caller.record(PROMPT, 10))).await;
    let is_failed = |ending: &Ending| matches!(ending, Ending::Problem(_));
    assert!(records.iter().all(|record| is_failed(&record.ending)));
    let prefills: u64 = fleet
        .engines(EngineRole::Prefill)
        .map(|engine| engine.counts().prefills)
        .sum();
    // One for each request, a tenth more for retries, and the five retries that are available at the start.
    assert!(prefills <= 40 + 4 + 5, "{prefills} prefills");
    assert_eq!(fleet.check(records).await, Vec::new());
    fleet.stop().await;
}

#[compio::test]
async fn a_request_whose_prefill_ran_is_never_reported_as_not_run() {
    let mut fleet = Fleet::start(&FleetOptions {
        decode: 1,
        engine: EngineOptions {
            prefill_us_per_token: 50_000,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    let caller = caller(&fleet);
    let death = async {
        let prefilling = async || (!fleet.ran().is_empty()).then_some(());
        wait_until(prefilling).await;
        fleet.endpoints_of(EngineRole::Decode)[0].kill_daemon();
    };
    let (record, ()) = join(caller.record(PROMPT, 400), death).await;
    assert!(matches!(record.ending, Ending::Problem(_)));
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

/// Number of requests while one engine is dead.
const REQUESTS: usize = 60;

fn prefills(fleet: &Fleet) -> u64 {
    let engines = fleet.engines(EngineRole::Prefill);
    engines.map(|engine| engine.counts().prefills).sum()
}

/// Sends different prompts concurrently and expects complete answers to all.
async fn complete_all(fleet: &Fleet, count: usize, max_tokens: u64) {
    let caller = caller(fleet);
    let prompts: Vec<_> = (0..count)
        .map(|number| format!("{PROMPT}, draft {number}"))
        .collect();
    let calls = prompts
        .iter()
        .map(|prompt| caller.record(prompt, max_tokens));
    let records = join_all(calls).await;
    let endings = records.iter().map(|record| &record.ending);
    let failed: Vec<_> = endings.filter(|one| **one != Ending::Complete).collect();
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
    assert_eq!(fleet.check(records).await, Vec::new());
}

async fn wait_until_refused(fleet: &Fleet, position: usize) {
    let address = fleet.endpoints[position].peer_address;
    wait_until(async || (!fleet.is_ready(address).await).then_some(())).await;
}

#[compio::test]
async fn a_dead_engine_beside_one_with_free_capacity_costs_no_request_and_no_prefill() {
    let mut fleet = Fleet::start(&FleetOptions {
        engine: EngineOptions {
            slots: REQUESTS,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    let dead = fleet
        .endpoints
        .iter()
        .position(|endpoint| endpoint.role == EngineRole::Decode)
        .expect("a decode endpoint");
    fleet.endpoints[dead].kill_engine();
    wait_until_refused(&fleet, dead).await;
    complete_all(&fleet, REQUESTS, 10).await;
    assert_eq!(prefills(&fleet), REQUESTS as u64);
    let engine = fleet.endpoints[dead].engine.clone().expect("an engine");
    assert!(engine.ran().is_empty());
    fleet.endpoints[dead].restart_engine().await;
    fleet.wait_until_ready().await;
    complete_all(&fleet, REQUESTS, 10).await;
    assert!(!engine.ran().is_empty(), "the revived engine is used again");
    fleet.stop().await;
}

/// Number of running answers when an engine dies. The retries that an entry has available at its start suffice for all.
const INTERRUPTED: usize = 5;

#[compio::test]
async fn answers_of_a_dying_engine_all_go_on_elsewhere() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let calls = complete_all(&fleet, INTERRUPTED, 1_000);
    let death = async {
        let held = || {
            fleet
                .engines(EngineRole::Decode)
                .map(Engine::requests_in_memory)
        };
        wait_until(async || (held().sum::<usize>() == INTERRUPTED).then_some(())).await;
        let engines = fleet.engines(EngineRole::Decode);
        let busiest = engines.max_by_key(|engine| engine.requests_in_memory());
        busiest.expect("a decode engine").crash();
    };
    join(calls, death).await;
    fleet.stop().await;
}

#[compio::test]
async fn an_answer_waits_for_the_return_of_the_only_engine() {
    let mut fleet = Fleet::start(&FleetOptions {
        decode: 1,
        ..FleetOptions::default()
    })
    .await;
    let caller = caller(&fleet);
    let outage = async {
        let busy = fleet.busy_decode().await;
        fleet.endpoints[busy].kill_engine();
        wait_until_refused(&fleet, busy).await;
        compio::time::sleep(Duration::from_secs(2)).await;
        fleet.endpoints[busy].restart_engine().await;
    };
    let (record, ()) = join(caller.record(PROMPT, 400), outage).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(prefills(&fleet), 2);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}
