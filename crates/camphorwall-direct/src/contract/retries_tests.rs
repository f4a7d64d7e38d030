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

fn service() -> ServiceName {
    "drafts".parse().expect("a name")
}

/// Total number of retries that entries may send at one moment after each has counted some requests.
fn retries(entries: usize, requests: u64) -> usize {
    let mut total = 0;
    for _ in 0..entries {
        let mut budget = RetryBudget::new(BOUNDS);
        for number in 0..requests {
            budget.count_request(&service(), at_ms(number));
        }
        let taken = (0..10_000).take_while(|_| budget.take(&service(), entries, at_ms(requests)));
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
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.take(&service(), 1, at_ms(0)) {}
    assert!(!budget.take(&service(), 1, at_ms(10_000)));
    assert!(budget.take(&service(), 1, at_ms(10_001)));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.take(&service(), 1, at_ms(0)) {}
    let other = "numbers".parse().expect("a name");
    assert!(budget.take(&other, 1, at_ms(0)));
}
