//! End-to-end requests over real loopback sockets: caller, entry, endpoint daemons, stand-in endpoints.

use camphorwall::EngineRole;
use camphorwall_standin::{
    Caller, Engine, Event, Fleet, FleetOptions, new_idempotency_key, wait_until,
};
use http::Method;

const PROMPT: &str = "ledger of the Marousi bakery for November with flour sugar and rent";

#[compio::test]
async fn a_streamed_completion_passes_prefill_and_decode() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let mut events = caller.stream(PROMPT, 25).await.unwrap().expect("a stream");
    let (text, last) = events.read_to_end().await;
    assert_eq!(text, Engine::complete_answer(PROMPT, 25));
    assert_eq!(last, Some(Event::Done));
    assert_eq!(
        fleet
            .engines(EngineRole::Prefill)
            .map(|engine| engine.counts().prefills)
            .sum::<u64>(),
        1
    );
    assert_eq!(fleet.requests_in_memory(), 0);
    fleet.stop().await;
}

#[compio::test]
async fn a_plain_call_reaches_the_service_and_the_key_does_not() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let key = new_idempotency_key();
    let headers = [("idempotency-key", key.as_str()), ("x-key", "till-key")];
    let answer = caller
        .call(Method::POST, "/invoices", &headers, b"sale-1".to_vec())
        .await
        .unwrap();
    assert_eq!(
        (answer.status, answer.json()["number"].as_u64()),
        (201, Some(1))
    );
    let looked_up = caller
        .call(Method::GET, "/invoices/sale-1", &[], Vec::new())
        .await
        .unwrap();
    assert_eq!(looked_up.json()["number"], 1);
    let received = fleet.plain.received().join("\n");
    assert!(
        received.contains("sale-1") && !received.contains("till-key"),
        "{received}"
    );
    fleet.stop().await;
}

#[compio::test]
async fn a_caller_who_leaves_frees_the_engine() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let mut events = caller
        .stream(PROMPT, 100_000)
        .await
        .unwrap()
        .expect("a stream");
    assert!(matches!(events.next().await, Some(Event::Text(_))));
    assert_eq!(fleet.requests_in_memory(), 1);
    drop(events);
    drop(caller);
    wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
    fleet.stop().await;
}

#[compio::test]
async fn an_unknown_key_and_a_spent_rate_are_refused_as_not_run() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let unknown_caller = Caller::new(fleet.caller_address(0), Some("other-key"));
    let refused = unknown_caller.complete(PROMPT, 10).await.unwrap();
    assert_eq!(
        (refused.status, refused.json()["outcome"].as_str()),
        (401, Some("not_run"))
    );
    let revision = fleet.publish_contracts(1, 60);
    fleet.wait_for_revision("contracts", revision).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let over_burst = caller.complete(PROMPT, 1_000).await.unwrap();
    assert_eq!(over_burst.json()["type"], "cost-over-burst");
    fleet.stop().await;
}
