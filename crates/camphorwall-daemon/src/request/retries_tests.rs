use super::{MAX_SAVED_RETRIES, RetryBudget};

#[test]
fn retries_are_limited_to_a_tenth_of_new_requests_plus_the_initial_budget() {
    let budget = RetryBudget::default();
    let mut retries = 0_u32;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.take());
        retries += u32::from(budget.take());
    }
    let limit = 100.0 + MAX_SAVED_RETRIES;
    assert!(f64::from(retries) <= limit, "{retries} retries");
    assert!(
        f64::from(retries) >= limit - 2.0,
        "{retries} retries: the budget is not used"
    );
}
