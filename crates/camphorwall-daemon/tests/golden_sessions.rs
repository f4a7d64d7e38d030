//! Golden files of complete sessions, one for each kind of outcome.

mod session;

use std::time::Duration;

use camphorwall::{Drained, METHOD_DRAIN};
use camphorwall_standin::{
    EngineOptions, Event, Fleet, FleetOptions, fleet_client, new_idempotency_key, wait_until,
};
use http::Method;
use session::{Session, assert_golden};

const PROMPT: &str = "ledger of the Marousi bakery for November with flour and rent";
const COMPLETIONS: &str = "/v1/completions";

fn small_fleet() -> FleetOptions {
    FleetOptions {
        decode: 1,
        plain: 1,
        ..FleetOptions::default()
    }
}

async fn start() -> Session {
    Session::new(Fleet::start(&small_fleet()).await)
}

async fn assert_refusal(name: &str, key: &str, method: Method, path: &str, body: &str) {
    let mut session = start().await;
    let caller = session.caller(key);
    session.call(&caller, method, path, &[], body).await;
    assert_golden(name, &session.finish().await);
}

#[compio::test]
async fn a_whole_answer() {
    let mut session = start().await;
    let caller = session.caller("ledger-key");
    let body = format!(r#"{{"prompt": "{PROMPT}", "max_tokens": 6}}"#);
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], &body)
        .await;
    assert_golden("whole_answer", &session.finish().await);
}

#[compio::test]
async fn a_streamed_answer() {
    let mut session = start().await;
    let caller = session.caller("ledger-key");
    let mut events = session.stream(&caller, PROMPT, 6).await;
    session.read_to_end(&mut events).await;
    assert_golden("streamed_answer", &session.finish().await);
}

#[compio::test]
async fn a_chat_answer() {
    let mut session = start().await;
    let caller = session.caller("ledger-key");
    let body = r#"{"messages": [{"role": "user", "content": "which roof fits"}], "max_tokens": 3}"#;
    session
        .call(&caller, Method::POST, "/v1/chat/completions", &[], body)
        .await;
    assert_golden("chat_answer", &session.finish().await);
}

#[compio::test]
async fn an_unknown_key() {
    assert_refusal(
        "unknown_key",
        "guessed-key",
        Method::POST,
        COMPLETIONS,
        "{}",
    )
    .await;
}

#[compio::test]
async fn an_unknown_route() {
    assert_refusal(
        "unknown_route",
        "ledger-key",
        Method::DELETE,
        "/v1/completions",
        "",
    )
    .await;
}

#[compio::test]
async fn a_body_that_is_no_request() {
    assert_refusal(
        "bad_request",
        "ledger-key",
        Method::POST,
        COMPLETIONS,
        r#"{"prompt": 7}"#,
    )
    .await;
}

#[compio::test]
async fn a_body_over_the_limit() {
    let entry_settings = serde_json::json!({"leave_grace_ms": 0, "max_body_bytes": 16});
    let options = FleetOptions {
        entry_settings,
        ..small_fleet()
    };
    let mut session = Session::new(Fleet::start(&options).await);
    let caller = session.caller("ledger-key");
    let body = r#"{"prompt": "more than sixteen bytes"}"#;
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], body)
        .await;
    assert_golden("body_too_large", &session.finish().await);
}

#[compio::test]
async fn a_cost_over_the_burst() {
    let mut session = start().await;
    let revision = session.fleet.publish_contracts(10, 50);
    session.fleet.wait_for_revision("contracts", revision).await;
    let caller = session.caller("ledger-key");
    let body = format!(r#"{{"prompt": "{PROMPT}", "max_tokens": 500}}"#);
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], &body)
        .await;
    assert_golden("cost_over_burst", &session.finish().await);
}

#[compio::test]
async fn a_rate_that_is_used_up() {
    let mut session = start().await;
    let revision = session.fleet.publish_contracts(1, 20);
    session.fleet.wait_for_revision("contracts", revision).await;
    let caller = session.caller("ledger-key");
    let body = format!(r#"{{"prompt": "{PROMPT}", "max_tokens": 6}}"#);
    let call_status = async || {
        let answer = caller.call(Method::POST, COMPLETIONS, &[], body.clone().into());
        answer.await.expect("an answer").status
    };
    wait_until(async || (call_status().await == 429).then_some(())).await;
    session.discard_preparation();
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], &body)
        .await;
    assert_golden("rate_exceeded", &session.finish().await);
}

#[compio::test]
async fn a_deadline_that_passes_under_a_stream() {
    let mut session = start().await;
    session.fleet.set_deadline(2_000, 1_900).await;
    let caller = session.caller("ledger-key");
    let mut events = session.stream(&caller, PROMPT, 100_000).await;
    let (_, last) = events.read_to_end().await;
    session.note_action(&format!("the caller's last event is {last:?}"));
    assert_golden("deadline_passed", &session.finish().await);
}

#[compio::test]
async fn a_request_at_an_entry_that_shuts_down() {
    let mut session = start().await;
    session.note_action("drains the entry");
    let address = session.fleet.entries[0].peer_address;
    let drained: Result<Drained, _> = fleet_client()
        .call(address, METHOD_DRAIN, &(), Duration::from_secs(5))
        .await;
    assert_eq!(drained.expect("an answer").requests, 0);
    let caller = session.caller("ledger-key");
    let call_status = async || {
        let answer = caller.call(Method::POST, COMPLETIONS, &[], "{}".into());
        answer.await.expect("an answer").status
    };
    wait_until(async || (call_status().await == 503).then_some(())).await;
    session.discard_preparation();
    let body = format!(r#"{{"prompt": "{PROMPT}", "max_tokens": 6}}"#);
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], &body)
        .await;
    assert_golden("shutting_down", &session.finish().await);
}

#[compio::test]
async fn a_request_that_crashed_two_engines() {
    let options = FleetOptions {
        prefill: 2,
        engine: EngineOptions {
            crash_on: Some("poison".into()),
            restart_ms: Some(30),
            ..EngineOptions::default()
        },
        ..small_fleet()
    };
    let mut session = Session::new(Fleet::start(&options).await);
    let caller = session.caller("ledger-key");
    let body = r#"{"prompt": "a poison prompt", "max_tokens": 6}"#;
    let call_status = async || {
        let answer = caller.call(Method::POST, COMPLETIONS, &[], body.into());
        answer.await.expect("an answer").status
    };
    wait_until(async || (call_status().await == 422).then_some(())).await;
    session.fleet.wait_until_ready().await;
    session.discard_preparation();
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], body)
        .await;
    assert_golden("quarantined", &session.finish().await);
}

#[compio::test]
async fn a_non_idempotent_call_without_its_key() {
    assert_refusal(
        "idempotency_key_missing",
        "till-key",
        Method::POST,
        "/invoices",
        "sale-1",
    )
    .await;
}

#[compio::test]
async fn a_key_withdrawn_under_a_stream() {
    let mut session = start().await;
    let caller = session.caller("ledger-key");
    let mut events = session.stream(&caller, PROMPT, 100_000).await;
    let first = session.read_event(&mut events).await;
    assert!(matches!(first, Some(Event::Text(_))));
    session.note_action("withdraws the key");
    let revision = session.fleet.publish_keys(&[("till-key", "marousi-tills")]);
    session.fleet.wait_for_revision("keys", revision).await;
    let (_, last) = events.read_to_end().await;
    session.note_action(&format!("the caller's last event is {last:?}"));
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], "{}")
        .await;
    assert_golden("key_withdrawn", &session.finish().await);
}

#[compio::test]
async fn a_caller_who_leaves() {
    let mut session = start().await;
    let caller = session.caller("ledger-key");
    let mut events = session.stream(&caller, PROMPT, 100_000).await;
    session.read_event(&mut events).await;
    session.note_action("the caller leaves");
    drop((events, caller));
    assert_golden("caller_left", &session.finish().await);
}

#[compio::test]
async fn an_engine_that_dies_alone_ends_a_stream_explicitly() {
    let mut session = start().await;
    session.fleet.set_deadline(2_000, 1_900).await;
    let caller = session.caller("ledger-key");
    let mut events = session.stream(&caller, PROMPT, 100_000).await;
    session.read_event(&mut events).await;
    session.note_action("kills the only decode engine");
    session.fleet.endpoints[1].kill_engine();
    let (_, last) = events.read_to_end().await;
    let Some(Event::Error(problem)) = last else {
        panic!("no explicit end: {last:?}")
    };
    session.note_action(&format!(
        "the stream ended with {} {}",
        problem["type"], problem["outcome"]
    ));
    assert_golden("engine_died", &session.finish().await);
}

#[compio::test]
async fn a_request_while_the_only_engine_is_dead() {
    let mut session = start().await;
    session.note_action("kills the only decode engine");
    let address = session.fleet.endpoints[1].peer_address;
    session.fleet.endpoints[1].kill_engine();
    wait_until(async || (!session.fleet.is_ready(address).await).then_some(())).await;
    let caller = session.caller("ledger-key");
    let body = format!(r#"{{"prompt": "{PROMPT}", "max_tokens": 6}}"#);
    session
        .call(&caller, Method::POST, COMPLETIONS, &[], &body)
        .await;
    assert_golden("engine_dead", &session.finish().await);
}

#[compio::test]
async fn a_repeated_order_gets_the_stored_answer() {
    let mut session = start().await;
    let caller = session.caller("till-key");
    let key = new_idempotency_key();
    let headers = [("idempotency-key", key.as_str())];
    for _ in 0..2 {
        session
            .call(&caller, Method::POST, "/orders", &headers, "one roof")
            .await;
    }
    assert_eq!(session.fleet.plain.runs().len(), 1);
    assert_golden("order_repeated", &session.finish().await);
}

#[compio::test]
async fn an_idempotency_key_used_with_another_body() {
    let mut session = start().await;
    let caller = session.caller("till-key");
    let key = new_idempotency_key();
    let headers = [("idempotency-key", key.as_str())];
    for body in ["one roof", "two roofs"] {
        session
            .call(&caller, Method::POST, "/orders", &headers, body)
            .await;
    }
    assert_eq!(session.fleet.plain.runs().len(), 1);
    assert_golden("idempotency_key_reused", &session.finish().await);
}
