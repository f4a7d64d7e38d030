//! Connections between an entry and endpoint daemons that go silent without being closed, over relays on loopback.

use std::time::Duration;

use camphorwall::EngineRole;
use camphorwall_standin::{
    Caller, EngineOptions, Event, Fleet, FleetOptions, RelayMode, RelayModes, wait_until,
};
use futures_util::future::join;
use rstest::rstest;

const PROMPT: &str = "ledger of the Kifisia kiosk for May with milk and ice";

const SILENT: RelayModes = RelayModes {
    to_target: RelayMode::Silent,
    to_client: RelayMode::Silent,
};

async fn start(engine: EngineOptions) -> Fleet {
    let options = FleetOptions {
        engine,
        relays: true,
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

fn caller(fleet: &Fleet) -> Caller {
    Caller::new(fleet.caller_address(0), Some("ledger-key"))
}

#[rstest]
#[case::forth(RelayMode::Silent, RelayMode::Open)]
#[case::back(RelayMode::Open, RelayMode::Silent)]
#[case::both(RelayMode::Silent, RelayMode::Silent)]
#[case::back_with_delayed_bytes(RelayMode::Open, RelayMode::Held)]
#[compio::test]
async fn a_stream_continues_when_its_connections_go_silent(
    #[case] forth: RelayMode,
    #[case] back: RelayMode,
) {
    let fleet = start(EngineOptions::default()).await;
    let caller = caller(&fleet);
    let silence = async {
        let busy = fleet.busy_decode().await;
        compio::time::sleep(Duration::from_millis(100)).await;
        let relay = fleet.endpoints[busy].relay.as_ref().unwrap();
        relay.set_open_connections(RelayModes {
            to_target: forth,
            to_client: back,
        });
        compio::time::sleep(Duration::from_secs(2)).await;
        if back == RelayMode::Held {
            relay.set_open_connections(RelayModes::default());
        }
    };
    let (record, ()) = join(caller.record(PROMPT, 1_500), silence).await;
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    let tokens: u64 = fleet
        .engines(EngineRole::Decode)
        .map(|engine| engine.counts().tokens)
        .sum();
    assert_eq!(tokens, 1_500, "the answer was written more than once");
    fleet.stop().await;
}

#[compio::test]
async fn an_answer_continues_elsewhere_when_its_daemon_is_cut_off_and_the_lease_frees_the_engine() {
    let fleet = start(EngineOptions::default()).await;
    let caller = caller(&fleet);
    let cut_off = async {
        let busy = fleet.busy_decode().await;
        let relay = fleet.endpoints[busy].relay.as_ref().unwrap();
        relay.set_all_connections(SILENT);
        busy
    };
    let (record, busy) = join(caller.record(PROMPT, 3_000), cut_off).await;
    let engine = fleet.endpoints[busy].engine.clone().unwrap();
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    assert_eq!(engine.counts().cancelled, 1);
    let relay = fleet.endpoints[busy].relay.as_ref().unwrap();
    relay.set_all_connections(RelayModes::default());
    fleet.stop().await;
}

#[compio::test]
async fn a_start_that_arrives_after_its_reservation_has_expired_does_not_run() {
    let mut fleet = start(EngineOptions {
        prefill_us_per_token: 50_000,
        ..EngineOptions::default()
    })
    .await;
    let held = RelayModes {
        to_target: RelayMode::Held,
        to_client: RelayMode::Open,
    };
    // The reservation may be at either decode endpoint, so the starts at both are delayed, and one is cut off as well.
    let decodes = fleet.endpoints_of(EngineRole::Decode);
    let first_relay = decodes[0].relay.as_ref().unwrap();
    let (first_engine, address) = (decodes[0].engine.clone().unwrap(), first_relay.address);
    let caller = caller(&fleet);
    let index = fleet
        .endpoints
        .iter()
        .position(|one| one.peer_address == address)
        .unwrap();
    let delay = async {
        // The prefill is running, so the slot for decode is reserved.
        compio::time::sleep(Duration::from_millis(150)).await;
        for endpoint in &fleet.endpoints {
            if endpoint.role == EngineRole::Decode {
                endpoint.relay.as_ref().unwrap().set_open_connections(held);
            }
        }
        fleet.endpoints[index]
            .relay
            .as_ref()
            .unwrap()
            .set_all_connections(held);
        compio::time::sleep(Duration::from_secs(6)).await;
        for endpoint in &fleet.endpoints {
            let relay = endpoint.relay.as_ref().unwrap();
            relay.set_all_connections(RelayModes::default());
        }
    };
    let (record, ()) = join(caller.record(PROMPT, 20), delay).await;
    compio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(first_engine.counts().tokens, 0);
    assert_eq!(fleet.check(vec![record.clone()]).await, Vec::new());
    assert_eq!(record.ending, camphorwall_standin::Ending::Complete);
    fleet.stop().await;
}

#[compio::test]
async fn a_silent_caller_connection_does_not_slow_the_others() {
    let fleet = start(EngineOptions::default()).await;
    let caller = caller(&fleet);
    let mut silent = caller
        .stream(PROMPT, 5_000)
        .await
        .unwrap()
        .expect("a stream");
    assert!(matches!(silent.next().await, Some(Event::Text(_))));
    let record = caller.record(PROMPT, 50).await;
    drop(silent);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
    fleet.stop().await;
}

#[compio::test]
async fn a_reservation_request_lost_on_a_silent_connection_is_retried() {
    let fleet = Fleet::start(&FleetOptions {
        decode: 1,
        relays: true,
        ..FleetOptions::default()
    })
    .await;
    let caller = caller(&fleet);
    let first = caller.record(PROMPT, 20).await;
    for endpoint in &fleet.endpoints {
        let relay = endpoint.relay.as_ref().unwrap();
        relay.set_open_connections(RelayModes {
            to_target: RelayMode::Silent,
            to_client: RelayMode::Open,
        });
    }
    let second = caller.record(PROMPT, 20).await;
    assert_eq!(second.ending, camphorwall_standin::Ending::Complete);
    assert_eq!(fleet.check(vec![first, second]).await, Vec::new());
    fleet.stop().await;
}
