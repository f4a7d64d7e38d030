//! The memory of engines is freed when callers leave, when entries die and when deadlines pass.

use std::time::Duration;

use camphorwall::EngineRole;
use camphorwall_standin::{Caller, Ending, EngineOptions, Event, Fleet, FleetOptions, wait_until};
use futures_util::{FutureExt as _, future::select};
use rstest::rstest;
use serde_json::json;

const PROMPT: &str = "fit check for a tunnel of twelve bays with side vents and a double roof";

async fn start(engine: EngineOptions) -> Fleet {
    let options = FleetOptions {
        engine,
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

async fn wait_until_free(fleet: &Fleet) {
    wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
}

#[rstest]
#[case::before_prefill(0)]
#[case::during_prefill(60)]
#[case::after_prefill(145)]
#[case::mid_stream(400)]
#[compio::test]
async fn a_caller_who_leaves_at_any_moment_frees_the_engines(#[case] after_ms: u64) {
    let fleet = start(EngineOptions {
        prefill_us_per_token: 10_000,
        ..EngineOptions::default()
    })
    .await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let leaving = compio::time::sleep(Duration::from_millis(after_ms)).boxed_local();
    let call = async move { caller.record(PROMPT, 10_000).await }.boxed_local();
    drop(select(call, leaving).await);
    // By then work that was in flight when the caller left has arrived.
    compio::time::sleep(Duration::from_millis(300)).await;
    wait_until_free(&fleet).await;
    let decode = fleet.engines(EngineRole::Decode);
    let tokens: u64 = decode.map(|engine| engine.counts().tokens).sum();
    assert!(tokens < 5_000, "{tokens} tokens were written for nobody");
    fleet.stop().await;
}

#[compio::test]
async fn the_leases_of_a_killed_entry_expire_and_free_the_engine() {
    let mut fleet = start(EngineOptions::default()).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let mut events = caller
        .stream(PROMPT, 100_000)
        .await
        .unwrap()
        .expect("a stream");
    assert!(matches!(events.next().await, Some(Event::Text(_))));
    fleet.entries.remove(0).kill();
    let (text, _) = events.read_to_end().await;
    assert!(text.len() < 100_000);
    assert_eq!(fleet.requests_in_memory(), 1);
    wait_until_free(&fleet).await;
    fleet.stop().await;
}

#[compio::test]
async fn a_late_answer_ends_with_a_problem_event_and_stops_the_engine() {
    let fleet = start(EngineOptions::default()).await;
    fleet.set_deadline(500, 400).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let record = caller.record(PROMPT, 100_000).await;
    let Ending::Problem(problem) = &record.ending else {
        panic!("no problem: {:?}", record.ending);
    };
    assert_eq!(
        (&problem["type"], &problem["outcome"]),
        (&json!("deadline-passed"), &json!("incomplete"))
    );
    assert_eq!(fleet.check(vec![record]).await, Vec::new());
    fleet.stop().await;
}

#[compio::test]
async fn a_caller_who_stops_reading_holds_an_engine_no_longer_than_the_deadline() {
    let fleet = start(EngineOptions {
        token_gap_us: 20,
        ..EngineOptions::default()
    })
    .await;
    fleet.set_deadline(1_500, 1_000).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let mut events = caller
        .stream(PROMPT, 900_000)
        .await
        .unwrap()
        .expect("a stream");
    assert!(matches!(events.next().await, Some(Event::Text(_))));
    // The stream stays open and is not read.
    wait_until_free(&fleet).await;
    drop(events);
    fleet.stop().await;
}
