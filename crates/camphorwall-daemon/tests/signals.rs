//! Daemon processes that receive SIGTERM, or are paused past their leases and resumed.

mod process;

use std::{net::SocketAddr, time::Duration};

use camphorwall::{
    Cancel, CancelReply, EngineRole, Frame, METHOD_CANCEL, METHOD_RESERVE, Outcome, Priority,
    RequestId, Reserve, ReserveReply, START_PATH, Start, Tokens, Work,
};
use camphorwall_standin::{
    Caller, Ending, Engine, EngineOptions, Event, Fleet, FleetOptions, MODEL_SERVICE, any_port,
    fleet_client, fleet_secret, wait_until,
};
use futures_util::{TryStreamExt as _, future::join};
use process::DaemonProcess;
use serde_json::{Value, json};

const PROMPT: &str = "month end summary for the tax office with every ledger of November";

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an entry that reads the fleet's configuration and is not in its list of instances.
fn start_entry(name: &str, fleet: &Fleet) -> DaemonProcess {
    let settings = json!({
        "role": "entry", "peer_secrets": [fleet_secret()],
        "entry": {
            "caller_address": any_port(), "configuration_address": fleet.configuration_server.address,
            "leave_grace_ms": 300,
        },
    });
    DaemonProcess::start(name, &settings)
}

async fn is_ready(address: SocketAddr) -> Option<bool> {
    let client = camphorwall::RpcClient::new();
    let response = client.get(address, "/ready").await.ok()?;
    Some(response.status() == 200)
}

async fn wait_until_ready(address: SocketAddr) {
    wait_until(async || (is_ready(address).await == Some(true)).then_some(())).await;
}

#[compio::test]
async fn a_terminated_entry_completes_its_streams_before_it_exits() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let mut entry = start_entry("terminated-entry", &fleet);
    let caller_address = entry.caller_address.expect("an entry");
    wait_until(async || (is_ready(entry.peer_address).await == Some(true)).then_some(())).await;
    let caller = Caller::new(caller_address, Some("ledger-key"));
    let mut events = caller
        .stream(PROMPT, 1_000)
        .await
        .unwrap()
        .expect("a stream");
    let first = events.next().await;
    let Some(Event::Text(mut text)) = first else {
        panic!("no text: {first:?}");
    };
    entry.signal("-TERM");
    let peer_address = entry.peer_address;
    let readiness = async {
        wait_until(async || (is_ready(peer_address).await == Some(false)).then_some(())).await;
        // New requests are served until the balancer has noticed that the entry isn't ready.
        Caller::new(caller_address, Some("ledger-key"))
            .record(PROMPT, 5)
            .await
    };
    let ((rest, last), late) = join(events.read_to_end(), readiness).await;
    text.push_str(&rest);
    assert_eq!(last, Some(Event::Done));
    assert_eq!(text, Engine::complete_answer(PROMPT, 1_000));
    assert_eq!(fleet.check(vec![late]).await, Vec::new());
    let status = wait_until(async || entry.exit_status()).await;
    assert!(status.success());
    compio::time::sleep(Duration::from_millis(10)).await;
    fleet.stop().await;
}

/// Prefill takes about 0.6 s, during which the reservation for decode is held.
fn slow_prefill(decode: usize) -> FleetOptions {
    FleetOptions {
        decode,
        engine: EngineOptions {
            prefill_us_per_token: 50_000,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    }
}

async fn wait_until_prefilling(fleet: &Fleet) {
    wait_until(async || (!fleet.ran().is_empty()).then_some(())).await;
}

fn decode_ran(fleet: &Fleet) -> usize {
    let decode = fleet.engines(EngineRole::Decode);
    decode.map(|engine| engine.ran().len()).sum()
}

#[compio::test]
async fn an_entry_paused_in_mid_stream_past_its_leases_frees_the_engine_and_completes_the_answer() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let entry = start_entry("streaming-entry", &fleet);
    wait_until_ready(entry.peer_address).await;
    let caller = Caller::new(entry.caller_address.expect("an entry"), Some("ledger-key"));
    let pause = async {
        fleet.busy_decode().await;
        entry.signal("-STOP");
        wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
        entry.signal("-CONT");
    };
    // The engine would generate for 16 s, so that only the expiry of the lease can free its memory in time.
    let (record, ()) = join(caller.record(PROMPT, 8_000), pause).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

#[compio::test]
async fn an_entry_paused_before_its_start_past_the_reservation_starts_nothing_late() {
    let fleet = Fleet::start(&slow_prefill(2)).await;
    let entry = start_entry("placing-entry", &fleet);
    wait_until_ready(entry.peer_address).await;
    let caller = Caller::new(entry.caller_address.expect("an entry"), Some("ledger-key"));
    let pause = async {
        wait_until_prefilling(&fleet).await;
        entry.signal("-STOP");
        // Meanwhile the answer of the prefill waits in the buffers of the paused entry.
        let freed =
            async || (fleet.reserved().await == 0 && fleet.requests_in_memory() == 0).then_some(());
        wait_until(freed).await;
        assert_eq!(decode_ran(&fleet), 0);
        entry.signal("-CONT");
    };
    let (record, ()) = join(caller.record(PROMPT, 50), pause).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(decode_ran(&fleet), 1);
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

fn start_daemon(
    name: &str,
    engine_role: &str,
    engine_address: SocketAddr,
    seeds: &[SocketAddr],
) -> DaemonProcess {
    let settings = json!({
        "role": "endpoint", "peer_secrets": [fleet_secret()], "seed_addresses": seeds,
        "endpoint": {
            "service": MODEL_SERVICE, "engine_role": engine_role, "endpoint_address": engine_address,
        },
    });
    DaemonProcess::start(name, &settings)
}

fn reserve() -> Reserve {
    Reserve {
        request_id: RequestId::generate(),
        attempt: 1,
        entry: "entry-9".parse().expect("a valid name"),
        data_centre: "marousi".parse().expect("a valid name"),
        team: None,
        priority: Priority::default(),
        weight: 1,
        route: "drafts".parse().expect("a valid name"),
        service: MODEL_SERVICE.parse().expect("a valid name"),
        prompt_tokens: Tokens(12),
        max_output_tokens: Tokens(6),
        wait_limit_ms: 0,
        deadline_ms: 30_000,
        fingerprint: 0,
        engine_role: None,
        setup: None,
        pieces: Vec::new(),
    }
}

#[compio::test]
async fn a_start_buffered_at_a_paused_daemon_is_refused_as_not_run() {
    // The daemon needs the documents of a peer: without them it gives its engine no work.
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let engine = Engine::new(EngineOptions::default());
    let server = engine.serve(any_port()).await.expect("a free port");
    let seeds = [fleet.entries[0].peer_address];
    let daemon = start_daemon("prefill-9", "prefill", server.address, &seeds);
    wait_until_ready(daemon.peer_address).await;
    let client = fleet_client();
    let reserve = reserve();
    let reply = client
        .call(daemon.peer_address, METHOD_RESERVE, &reserve, CALL_TIMEOUT)
        .await;
    let Ok(ReserveReply::Reserved(reserved)) = reply else {
        panic!("no reservation: {reply:?}");
    };
    let start = Start {
        request_id: reserve.request_id,
        attempt: reserve.attempt,
        reservation: reserved.reservation,
        work: Work::Prefill {
            prompt: PROMPT.into(),
        },
    };
    let body = serde_json::to_vec(&start).expect("a start");
    daemon.signal("-STOP");
    let starting = client.post_peer(daemon.peer_address, START_PATH, body);
    let resuming = async {
        compio::time::sleep(2 * Duration::from_millis(reserved.lease_ms)).await;
        daemon.signal("-CONT");
    };
    let (response, ()) = join(starting, resuming).await;
    let chunks = response.expect("an answer").bytes_stream();
    let chunks: Vec<_> = chunks.try_collect().await.expect("frames");
    let frame: Frame = serde_json::from_slice(&chunks.concat()).expect("one frame");
    let Frame::Failed(failed) = frame else {
        panic!("no refusal: {frame:?}");
    };
    assert_eq!(failed.outcome, Outcome::NotRun);
    assert!(engine.ran().is_empty());
    fleet.stop().await;
}

/// The fleet's list of instances with an additional decode daemon, with or without the decode daemons of the fleet.
fn list_with(fleet: &Fleet, daemon: &DaemonProcess, includes_fleet_decode: bool) -> Value {
    let mut instances = fleet.instance_items();
    instances.retain(|one| includes_fleet_decode || one["engine_role"] != "decode");
    instances.push(json!({
        "instance": daemon.name, "role": "endpoint", "data_centre": "marousi",
        "peer_address": daemon.peer_address, "service": MODEL_SERVICE, "engine_role": "decode",
    }));
    json!({"instances": instances})
}

#[compio::test]
async fn a_daemon_paused_past_its_reservation_does_not_run_a_buffered_start() {
    let fleet = Fleet::start(&slow_prefill(1)).await;
    let engine = Engine::new(EngineOptions::default());
    let server = engine.serve(any_port()).await.expect("a free port");
    let seeds: Vec<_> = fleet.entries.iter().map(|one| one.peer_address).collect();
    let daemon = start_daemon("decode-9", "decode", server.address, &seeds);
    wait_until_ready(daemon.peer_address).await;
    let alone = list_with(&fleet, &daemon, false);
    let revision = fleet.configuration.publish("instances", &alone);
    fleet.wait_for_revision("instances", revision).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let pause = async {
        wait_until_prefilling(&fleet).await;
        daemon.signal("-STOP");
        let both = list_with(&fleet, &daemon, true);
        fleet.configuration.publish("instances", &both);
    };
    // The entry gives up on the silent daemon after its lease has expired, and requests a reservation from the other.
    let (record, ()) = join(caller.record(PROMPT, 50), pause).await;
    assert_eq!(record.ending, Ending::Complete);
    assert_eq!(decode_ran(&fleet), 1);
    daemon.signal("-CONT");
    wait_until_ready(daemon.peer_address).await;
    // By then the daemon has read what waited in its buffers.
    compio::time::sleep(Duration::from_millis(500)).await;
    let cancel = Cancel {
        request_id: record.request_id.parse().expect("an id"),
        attempt: 1,
    };
    let found: Result<CancelReply, _> = fleet_client()
        .call(daemon.peer_address, METHOD_CANCEL, &cancel, CALL_TIMEOUT)
        .await;
    assert_eq!(found.expect("an answer"), CancelReply::NotRun);
    assert!(engine.ran().is_empty());
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}
