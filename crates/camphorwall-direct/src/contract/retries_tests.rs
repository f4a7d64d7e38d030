use std::time::Duration;

use crate::{
    contract::retries::{RetryBounds, RetryBudget},
    names::ServiceName,
    testing::at_ms,
};

const BOUNDS: RetryBounds = RetryBounds {
    share: 0.2,
    window: Duration::from_secs(10),
    allowance: 52.0,
};

/// A time after which an entry that started at the origin knows the whole window.
const WARM_MS: u64 = 10_001;

fn service() -> ServiceName {
    "drafts".parse().expect("a name")
}

/// Total number of retries that entries may send at one moment after each has counted some requests.
fn retries(entries: usize, requests: u64) -> usize {
    let mut total = 0;
    for _ in 0..entries {
        let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
        for number in 0..requests {
            budget.count_request(&service(), at_ms(WARM_MS + number));
        }
        let now = at_ms(WARM_MS + requests);
        let taken = (0..10_000).take_while(|_| budget.take(&service(), Some(entries), now));
        total += taken.count();
    }
    total
}

#[test]
fn retries_stay_within_the_bound_when_every_request_fails() {
    for entries in [1, 2, 4, 7, 30] {
        let requests = 500;
        let bound = BOUNDS.share * (entries as f64 * requests as f64) + BOUNDS.allowance;
        let sent = retries(entries, requests);
        assert!(
            sent as f64 <= bound,
            "{entries} entries sent {sent}, bound {bound}"
        );
        assert!(
            sent as f64 >= bound * 0.7,
            "{entries} entries sent only {sent} of {bound}"
        );
    }
}

#[test]
fn the_budget_is_available_again_after_the_window() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    while budget.take(&service(), Some(1), at_ms(WARM_MS)) {}
    assert!(!budget.take(&service(), Some(1), at_ms(WARM_MS + 10_000)));
    assert!(budget.take(&service(), Some(1), at_ms(WARM_MS + 10_001)));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    while budget.take(&service(), Some(1), at_ms(WARM_MS)) {}
    let other = "numbers".parse().expect("a name");
    assert!(budget.take(&other, Some(1), at_ms(WARM_MS)));
}

/// Number of retries that are left at a moment.
fn retries_left(budget: &mut RetryBudget, divisor: Option<usize>, now_ms: u64) -> usize {
    let taken = (0..1_000).take_while(|_| budget.take(&service(), divisor, at_ms(now_ms)));
    taken.count()
}

/// An entry that starts took its part of the allowance anew, although its predecessor had used it.
#[test]
fn an_entry_that_starts_uses_little_of_the_allowance_until_the_window_has_passed() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    assert_eq!(retries_left(&mut budget, Some(1), 0), 2);
    assert_eq!(retries_left(&mut budget, Some(1), 10_000), 8);
    assert_eq!(retries_left(&mut budget, Some(1), 10_001), 28);
}

/// A fleet of many entries that start together would use the parts of all their predecessors.
#[test]
fn many_entries_that_start_use_nothing_of_the_allowance_at_once() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    assert_eq!(retries_left(&mut budget, Some(36), 0), 0);
}

#[test]
fn an_entry_that_starts_retries_for_its_own_requests_within_the_margin() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    for number in 0..1_010 {
        budget.count_request(&service(), at_ms(number));
    }
    assert_eq!(retries_left(&mut budget, None, 1_010), 40);
}

#[test]
fn an_entry_without_a_part_of_the_allowance_retries_for_its_own_requests() {
    let mut budget = RetryBudget::new(BOUNDS, at_ms(0));
    for number in 0..1_000 {
        budget.count_request(&service(), at_ms(WARM_MS + number));
    }
    assert_eq!(retries_left(&mut budget, None, WARM_MS + 1_000), 160);
}
