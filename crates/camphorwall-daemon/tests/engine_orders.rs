//! Orders to engines over real loopback sockets: fencing, read-back, restarts, role changes and rate-limited loads.

use std::{cell::Cell, rc::Rc, time::Duration};

use camphorwall::{EngineRole, EngineSetup, METHOD_STATUS, Revision, Status};
use camphorwall_standin::{
    AnsweringReplica, Caller, CallerRecord, Ending, Engine, EngineOptions, EngineOrder, Fleet,
    FleetOptions, MODEL_SERVICE, OrderKind, RunningServer, StoreRate, WeightStore, any_port,
    fleet_client, wait_until,
};
use rstest::rstest;
use serde_json::{Value, json};

const PROMPT: &str = "stock of tunnel covers in Caroni by width and colour";

/// Callers that send one request after the other.
const CALLERS: usize = 4;

/// Concurrent loads that the store allows, and the time until it allows one more. Both are slightly above the published
/// budget, since orders reach engines with a delay.
const STORE_RATE: StoreRate = StoreRate {
    burst: 2,
    refill_ms: 200,
};

fn setup(version: &str, engine_role: EngineRole) -> EngineSetup {
    EngineSetup {
        model: "ledger-1".parse().unwrap(),
        adapter: None,
        version: version.parse().unwrap(),
        engine_role,
    }
}

fn options(order_kind: OrderKind) -> FleetOptions {
    FleetOptions {
        plain: 0,
        engine: EngineOptions {
            order_kind,
            default_setup: Some(setup("v1", EngineRole::Decode)),
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    }
}

fn deployment(role: EngineRole, model: &str, version: &str) -> Value {
    json!({"service": MODEL_SERVICE, "engine_role": role, "model": model, "version": version})
}

/// Publishes one version for all engines.
fn publish(fleet: &Fleet, model: &str, version: &str) -> Revision {
    let roles = [EngineRole::Prefill, EngineRole::Decode];
    let all = roles.map(|role| deployment(role, model, version));
    fleet
        .configuration
        .publish("deployments", &json!({"deployments": all}))
}

fn engines(fleet: &Fleet) -> Vec<Engine> {
    let endpoints = fleet.endpoints.iter();
    endpoints.filter_map(|one| one.engine.clone()).collect()
}

async fn wait_for_version(fleet: &Fleet, version: &str) {
    let version = version.parse().unwrap();
    let runs = |engine: &Engine| engine.setup().is_some_and(|setup| setup.version == version);
    wait_until(async || engines(fleet).iter().all(runs).then_some(())).await;
    fleet.wait_until_ready().await;
}

async fn status(fleet: &Fleet, endpoint: usize) -> Option<Status> {
    let address = fleet.endpoints[endpoint].peer_address;
    let client = fleet_client();
    let limit = Duration::from_secs(1);
    client.call(address, METHOD_STATUS, &(), limit).await.ok()
}

/// Whether no order has a lower fence than an earlier one.
fn are_fences_rising(orders: &[EngineOrder]) -> bool {
    orders.is_sorted_by_key(|order| order.fence)
}

async fn request_ending(caller: &Caller) -> Ending {
    caller.record(PROMPT, 20).await.ending
}

#[rstest]
#[case::checks(OrderKind::Checks)]
#[case::ignores(OrderKind::Ignores)]
#[compio::test]
async fn each_engine_is_ordered_once_and_serves_what_is_published(#[case] kind: OrderKind) {
    let fleet = Fleet::start(&options(kind)).await;
    publish(&fleet, "ledger-1", "v2");
    wait_for_version(&fleet, "v2").await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    assert_eq!(request_ending(&caller).await, Ending::Complete);
    // The same content under a higher revision needs no order.
    let revision = publish(&fleet, "ledger-1", "v2");
    for endpoint in 0..fleet.endpoints.len() {
        let has_revision = async || {
            let deployment = status(&fleet, endpoint).await?.deployment?;
            (deployment.revision == revision && deployment.closed.is_none()).then_some(deployment)
        };
        let deployment = wait_until(has_revision).await;
        assert_eq!(deployment.running.as_ref(), Some(&deployment.wanted));
    }
    assert_eq!(request_ending(&caller).await, Ending::Complete);
    for engine in engines(&fleet) {
        assert_eq!(engine.orders().len(), 1);
    }
    fleet.stop().await;
}

#[rstest]
#[case::checks(OrderKind::Checks)]
#[case::ignores(OrderKind::Ignores)]
#[compio::test]
async fn an_outdated_order_from_another_sender_is_repaired(#[case] kind: OrderKind) {
    let fleet = Fleet::start(&options(kind)).await;
    publish(&fleet, "ledger-1", "v2");
    wait_for_version(&fleet, "v2").await;
    let engine = engines(&fleet).remove(1);
    let old = EngineOrder {
        fence: Revision(1),
        setup: setup("v1", EngineRole::Decode),
    };
    let is_obeyed = engine.order(old);
    assert_eq!(is_obeyed, kind == OrderKind::Ignores);
    let loads = 1 + 2 * u64::from(is_obeyed);
    let is_repaired =
        || engine.loads() == loads && engine.setup().unwrap().version.as_str() == "v2";
    wait_until(async || is_repaired().then_some(())).await;
    fleet.wait_until_ready().await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    assert_eq!(request_ending(&caller).await, Ending::Complete);
    fleet.stop().await;
}

#[rstest]
#[case::checks(OrderKind::Checks)]
#[case::ignores(OrderKind::Ignores)]
#[compio::test]
async fn an_engine_that_restarts_with_its_default_is_ordered_again(#[case] kind: OrderKind) {
    let fleet = Fleet::start(&options(kind)).await;
    publish(&fleet, "ledger-1", "v2");
    wait_for_version(&fleet, "v2").await;
    for engine in engines(&fleet) {
        engine.crash();
        engine.restart();
        assert_eq!(engine.setup().unwrap().version.as_str(), "v1");
    }
    wait_for_version(&fleet, "v2").await;
    for engine in engines(&fleet) {
        assert_eq!(engine.orders().len(), 2);
    }
    fleet.stop().await;
}

#[rstest]
#[case::checks(OrderKind::Checks)]
#[case::ignores(OrderKind::Ignores)]
#[compio::test]
async fn a_restarted_daemon_sends_no_outdated_order_although_the_service_is_stale(
    #[case] kind: OrderKind,
) {
    let mut fleet = Fleet::start(&options(kind)).await;
    publish(&fleet, "ledger-1", "v2");
    wait_for_version(&fleet, "v2").await;
    let old = fleet.configuration.snapshot();
    publish(&fleet, "ledger-1", "v3");
    wait_for_version(&fleet, "v3").await;
    fleet
        .configuration
        .set_answering_replica(AnsweringReplica::Stale(old));
    for endpoint in &mut fleet.endpoints {
        endpoint.kill_daemon();
        endpoint.start_daemon().await;
    }
    fleet.wait_until_ready().await;
    for engine in engines(&fleet) {
        assert_eq!(engine.setup().unwrap().version.as_str(), "v3");
        assert_eq!(engine.orders().len(), 2);
        assert!(are_fences_rising(&engine.orders()));
    }
    fleet.stop().await;
}

#[rstest]
#[case::checks(OrderKind::Checks)]
#[case::ignores(OrderKind::Ignores)]
#[compio::test]
async fn of_revisions_in_quick_succession_the_latest_stays_in_force(#[case] kind: OrderKind) {
    let fleet = Fleet::start(&options(kind)).await;
    publish(&fleet, "ledger-1", "v2");
    let first = engines(&fleet).remove(0);
    wait_until(async || (!first.orders().is_empty()).then_some(())).await;
    publish(&fleet, "ledger-1", "v3");
    publish(&fleet, "ledger-1", "v4");
    wait_for_version(&fleet, "v4").await;
    for engine in engines(&fleet) {
        assert!(are_fences_rising(&engine.orders()), "{:?}", engine.orders());
    }
    fleet.stop().await;
}

#[compio::test]
async fn a_service_whose_engines_load_another_model_refuses_without_a_run() {
    let fleet = Fleet::start(&options(OrderKind::Checks)).await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let revision = publish(&fleet, "other-1", "v2");
    fleet.wait_for_revision("deployments", revision).await;
    let Ending::Problem(problem) = request_ending(&caller).await else {
        panic!("no engine serves the model");
    };
    assert_eq!(problem["outcome"], "not_run", "{problem}");
    assert_eq!(problem["status"], 503, "{problem}");
    assert!(fleet.ran().is_empty());
    fleet.stop().await;
}

/// Sends one request after the other until it is stopped.
async fn send_until_stopped(caller: Caller, is_stopped: Rc<Cell<bool>>) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    while !is_stopped.get() {
        records.push(caller.record(PROMPT, 50).await);
    }
    records
}

#[compio::test]
async fn a_change_of_engine_role_under_load_cuts_no_request() {
    let fleet = Fleet::start(&FleetOptions {
        decode: 3,
        ..options(OrderKind::Ignores)
    })
    .await;
    let is_stopped = Rc::new(Cell::new(false));
    let address = fleet.caller_address(0);
    let tasks = (0..CALLERS).map(|_| {
        let caller = Caller::new(address, Some("ledger-key"));
        compio::runtime::spawn(send_until_stopped(caller, Rc::clone(&is_stopped)))
    });
    let tasks: Vec<_> = tasks.collect();
    let engine = fleet.engines(EngineRole::Decode).next().unwrap().clone();
    wait_until(async || (engine.counts().tokens > 0).then_some(())).await;
    let moved = json!({"instance": "decode-0", "engine_role": "prefill", "model": "ledger-1", "version": "v1"});
    fleet
        .configuration
        .publish("deployments", &json!({"deployments": [moved]}));
    wait_until(async || (engine.counts().prefills > 0).then_some(())).await;
    is_stopped.set(true);
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await.expect("no panic"));
    }
    let failed: Vec<_> = records
        .iter()
        .filter(|record| record.ending != Ending::Complete)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(engine.counts().cut_by_loads, 0);
    assert_eq!(fleet.check(records).await, Vec::new());
    fleet.stop().await;
}

/// A rollout of a new version to nine engines that load it from one store at the same time.
struct Rollout {
    store: WeightStore,
    fleet: Fleet,
    _server: RunningServer,
}

impl Rollout {
    async fn start() -> Self {
        let store = WeightStore::new(STORE_RATE);
        let server = store.serve(any_port()).await.unwrap();
        let mut options = options(OrderKind::Checks);
        options.prefill = 3;
        options.decode = 6;
        options.engine.weight_store = Some(server.address);
        let fleet = Fleet::start(&options).await;
        // A burst of one load, and four loads per second.
        let budget = json!({"team": "weight-store", "rate_tokens_per_s": 40, "burst_tokens": 10, "routes": []});
        fleet
            .configuration
            .publish("contracts.1", &json!({"contracts": [budget]}));
        Self {
            store,
            fleet,
            _server: server,
        }
    }

    fn publish(&self, version: &str, is_paced: bool) -> Revision {
        let roles = [EngineRole::Prefill, EngineRole::Decode];
        let all = roles.map(|role| {
            let mut one = deployment(role, "ledger-1", version);
            if is_paced {
                one["weight_store"] = json!("weight-store");
                one["load_cost_tokens"] = json!(10);
            }
            one
        });
        let body = json!({"deployments": all});
        self.fleet.configuration.publish("deployments", &body)
    }
}

/// Makes nine engines load a new version. Returns the number of calls that exceeded the store's rate.
async fn load_at_nine_engines(is_paced: bool) -> u64 {
    let rollout = Rollout::start().await;
    rollout.publish("v2", is_paced);
    wait_for_version(&rollout.fleet, "v2").await;
    for engine in engines(&rollout.fleet) {
        assert_eq!(engine.loads(), 1);
    }
    rollout.fleet.stop().await;
    rollout.store.over_rate()
}

#[compio::test]
async fn loads_of_nine_engines_at_once_keep_to_the_stores_rate() {
    assert_eq!(load_at_nine_engines(true).await, 0);
}

#[compio::test]
async fn loads_without_a_budget_exceed_the_stores_rate() {
    assert!(load_at_nine_engines(false).await > 0);
}

#[compio::test]
async fn a_rollout_of_a_version_through_the_pool_cuts_no_request_and_mixes_no_weights() {
    let rollout = Rollout::start().await;
    let fleet = &rollout.fleet;
    // The engines run this version already and load nothing.
    let revision = rollout.publish("v1", true);
    fleet.wait_for_revision("deployments", revision).await;
    fleet.wait_until_ready().await;
    let is_stopped = Rc::new(Cell::new(false));
    let address = fleet.caller_address(0);
    let tasks = (0..CALLERS).map(|_| {
        let caller = Caller::new(address, Some("ledger-key"));
        compio::runtime::spawn(send_until_stopped(caller, Rc::clone(&is_stopped)))
    });
    let tasks: Vec<_> = tasks.collect();
    rollout.publish("v2", true);
    let all = engines(fleet);
    wait_until(async || all.iter().all(|one| one.loads() == 1).then_some(())).await;
    wait_for_version(fleet, "v2").await;
    is_stopped.set(true);
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await.expect("no panic"));
    }
    let is_refused = |record: &&CallerRecord| match &record.ending {
        Ending::Problem(problem) => problem["outcome"] == "not_run",
        _ => false,
    };
    let refused = records.iter().filter(is_refused).count();
    let whole = records
        .iter()
        .filter(|one| one.ending == Ending::Complete)
        .count();
    println!("answered whole: {whole}, refused as not run: {refused}");
    let cut: Vec<_> = records
        .iter()
        .filter(|one| one.ending != Ending::Complete && !is_refused(one))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    for counts in all.iter().map(Engine::counts) {
        assert_eq!((counts.kv_misfits, counts.cut_by_loads), (0, 0));
    }
    assert_eq!(rollout.store.over_rate(), 0);
    assert_eq!(fleet.check(records).await, Vec::new());
    rollout.fleet.stop().await;
}
