use camphorwall::{Document, PeerAuth, Revision, RpcClient, Settings, stop_pair};
use camphorwall_standin::{Engine, EngineOptions, any_port};
use compio::net::UdpSocket;
use serde_json::{Value, json};

use super::*;
use crate::{
    budget::{GrantChannels, GrantTimes},
    datagrams::QueryClient,
};

fn setup(version: &str) -> EngineSetup {
    EngineSetup {
        model: "ledger-1".parse().unwrap(),
        adapter: None,
        version: version.parse().unwrap(),
        engine_role: EngineRole::Decode,
    }
}

fn settings() -> Settings {
    let value = json!({
        "instance": "decode-0", "data_centre": "marousi", "role": "endpoint", "peer_address": any_port(),
        "endpoint": {"service": "s", "engine_role": "decode", "endpoint_address": any_port()},
    });
    serde_json::from_value(value).unwrap()
}

fn publish(store: &PublishedStore, body: &Value) {
    store.apply(vec![Document {
        name: "deployments".parse().unwrap(),
        revision: Revision(1),
        body: serde_json::value::to_raw_value(body).unwrap(),
    }]);
}

/// Controller whose daemon has documents, but no peer that could confirm them.
async fn controller(store: &PublishedStore, engine: SocketAddr) -> EngineController {
    let (settings, client, now) = (settings(), RpcClient::new(), Instant::now());
    let (_, stop) = stop_pair();
    let socket = UdpSocket::bind(any_port()).await.unwrap();
    let query_client = Rc::new(QueryClient::new(PeerAuth::default(), socket));
    let follower = Follower::new(
        &settings,
        client.clone(),
        Rc::clone(&query_client),
        store.clone(),
        stop,
        now,
    );
    let times = GrantTimes::new(settings.lease.grant_lifetime());
    let owners = BudgetOwners::new(
        settings.instance.clone(),
        settings.data_centre.clone(),
        store.clone(),
        None,
        GrantChannels {
            client,
            query_client,
        },
        times,
    );
    let engine_id = EngineId {
        instance: settings.instance,
        service: "s".parse().unwrap(),
        role: EngineRole::Decode,
    };
    let gate = Rc::new(Gate::new(EngineRole::Decode));
    EngineController::new(engine_id, engine, store.clone(), follower, owners, gate)
}

#[compio::test]
async fn a_daemon_that_reached_no_peer_admits_nothing_and_orders_nothing() {
    let engine = Engine::new(EngineOptions {
        default_setup: Some(setup("v1")),
        ..EngineOptions::default()
    });
    let server = engine.serve(any_port()).await.unwrap();
    let store = PublishedStore::default();
    let controller = controller(&store, server.address).await;
    let engine_use = EngineUse {
        is_free: Box::new(|| true),
        set_role: Box::new(|_| {}),
    };
    let metrics = Metrics::new();
    controller.reconcile(&engine_use, &metrics).await;
    assert!(
        controller.gate.closed().is_some(),
        "the daemon has no documents yet"
    );
    let desired = json!({"instance": "decode-0", "engine_role": "decode", "model": "ledger-1", "version": "v2"});
    publish(&store, &json!({"deployments": [desired]}));
    store.set_ready();
    controller.reconcile(&engine_use, &metrics).await;
    assert!(controller.gate.closed().is_some(), "the engine runs v1");
    assert_eq!(engine.orders(), Vec::new(), "no peer has confirmed v2");
}
