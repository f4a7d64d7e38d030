use std::time::Duration;

use super::*;

#[test]
fn decisions_are_explained_in_order_with_their_times() {
    let decisions = Decisions::default();
    let now = Instant::now();
    let request_id = RequestId::from_u128(1);
    decisions.note(request_id, "route", "summaries".into(), now);
    decisions.note(
        request_id,
        "budget",
        "charged".into(),
        now + Duration::from_micros(30),
    );
    let explained = decisions.explain(request_id).decisions;
    let seen: Vec<_> = explained
        .iter()
        .map(|one| (one.after_us, one.step.as_str()))
        .collect();
    assert_eq!(seen, [(0, "route"), (30, "budget")]);
}

#[test]
fn the_oldest_request_is_removed_when_there_are_too_many() {
    let decisions = Decisions::default();
    let now = Instant::now();
    for number in 0..=MAX_REQUESTS as u128 {
        decisions.note(RequestId::from_u128(number), "route", String::new(), now);
    }
    assert!(
        decisions
            .explain(RequestId::from_u128(0))
            .decisions
            .is_empty()
    );
    assert_eq!(
        decisions.explain(RequestId::from_u128(1)).decisions.len(),
        1
    );
    assert_eq!(decisions.0.borrow().by_request.len(), MAX_REQUESTS);
}
