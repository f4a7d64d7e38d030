use rstest::rstest;
use serde_json::json;

use super::{CallerRecord, Ending, Evidence, Violation, check};
use crate::{Engine, Run};

const PROMPT: &str = "tunnel with four bays";

fn evidence() -> Evidence {
    let complete = CallerRecord {
        request_id: "r1".into(),
        prompt: PROMPT.into(),
        max_tokens: 6,
        text: Engine::complete_answer(PROMPT, 6),
        ending: Ending::Complete,
    };
    let refused = CallerRecord {
        request_id: "r2".into(),
        text: String::new(),
        ending: Ending::Problem(json!({"outcome": "not_run"})),
        ..complete.clone()
    };
    let run = Run {
        idempotency_key: "k1".into(),
        path: "/orders".into(),
        body: "one roof".into(),
        number: 1,
    };
    Evidence {
        callers: vec![complete, refused],
        ran: ["r1".to_owned()].into(),
        runs: vec![run],
        requests_in_memory: 0,
    }
}

#[test]
fn records_that_keep_all_guarantees_give_no_violation() {
    assert_eq!(check(&evidence()), Vec::new());
}

#[rstest]
#[case::a_lost_token(|e: &mut Evidence| e.callers[0].text = Engine::complete_answer(PROMPT, 5), Violation::WrongTokens("r1".into()))]
#[case::a_repeated_token(|e: &mut Evidence| e.callers[0].text += "tunnel ", Violation::WrongTokens("r1".into()))]
#[case::a_reordered_token(
    |e: &mut Evidence| e.callers[0].text = format!("with {}", Engine::complete_answer(PROMPT, 5)),
    Violation::WrongTokens("r1".into()),
)]
#[case::a_foreign_token_before_a_failure(
    |e: &mut Evidence| e.callers[1].text = "roof ".into(),
    Violation::WrongTokens("r2".into()),
)]
#[case::a_broken_connection(|e: &mut Evidence| e.callers[0].ending = Ending::Cut, Violation::NoEnding("r1".into()))]
#[case::a_failure_without_outcome(
    |e: &mut Evidence| e.callers[1].ending = Ending::Problem(json!({})),
    Violation::NoOutcome("r2".into()),
)]
#[case::a_not_run_that_ran(|e: &mut Evidence| { e.ran.insert("r2".into()); }, Violation::NotRunButRan("r2".into()))]
#[case::an_order_that_ran_twice(
    |e: &mut Evidence| { let run = e.runs[0].clone(); e.runs.push(run); },
    Violation::RanTwice("k1".into()),
)]
#[case::memory_still_held(|e: &mut Evidence| e.requests_in_memory = 1, Violation::MemoryHeld(1))]
fn a_record_that_breaks_one_guarantee_gives_its_violation(
    #[case] break_guarantee: fn(&mut Evidence),
    #[case] expected: Violation,
) {
    let mut evidence = evidence();
    break_guarantee(&mut evidence);
    assert_eq!(check(&evidence), vec![expected]);
}
