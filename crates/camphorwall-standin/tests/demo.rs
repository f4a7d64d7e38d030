//! Runs the demo and checks its outcomes.

use camphorwall_standin::run_demo;

#[compio::test]
async fn every_outcome_of_the_demo_is_as_expected() {
    let rows = run_demo().await;
    let wrong: Vec<_> = rows.iter().filter(|row| !row.is_right).collect();
    assert!(!rows.is_empty());
    assert!(wrong.is_empty(), "{wrong:#?}");
}
