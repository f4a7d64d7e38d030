use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    endpoints::registry::STALE_PROOF_AGE,
    store::follow::{CHANGES_PAUSE, WATCH_WAIT, proof_wait, proved_by},
    testing::at_ms,
};

#[rstest]
#[case::waited_without_changes(true, 1_510, 2_500)]
#[case::answered_at_once(true, 4, 1_000)]
#[case::changes_after_the_wait(false, 1_510, 1_000)]
#[case::received_long_after_the_wait(true, 60_000, 2_500)]
fn a_watch_proves_no_more_than_the_store_has_waited(
    #[case] is_empty: bool,
    #[case] elapsed_ms: u64,
    #[case] proved_ms: u64,
) {
    let (wait, elapsed) = (
        Duration::from_millis(1_500),
        Duration::from_millis(elapsed_ms),
    );
    let proved = proved_by(at_ms(1_000), is_empty, elapsed, wait);
    assert_eq!(proved, at_ms(proved_ms));
}

#[test]
fn no_sequence_of_changes_makes_the_proof_of_a_working_store_stale() {
    let round_trip = Duration::from_millis(20);
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut now = at_ms(10_000);
        let mut proved_at = now;
        let mut longest_age = Duration::ZERO;
        let mut calls = 0;
        while now < at_ms(70_000) {
            let sent_at = now;
            let wait = proof_wait(Some(now.since(proved_at)));
            let until_change = Duration::from_millis(random.random_range(1..3_000));
            let is_empty = until_change >= wait;
            now = sent_at + until_change.min(wait) + round_trip;
            longest_age = longest_age.max(now.since(proved_at));
            proved_at = proved_by(sent_at, is_empty, now.since(sent_at), wait);
            if !is_empty {
                now = now + CHANGES_PAUSE;
            }
            calls += 1;
        }
        assert!(
            longest_age < STALE_PROOF_AGE,
            "seed {seed}: {longest_age:?}"
        );
        assert!(proof_wait(Some(Duration::ZERO)) == WATCH_WAIT);
        assert!(calls < 120, "seed {seed}: {calls} calls in a minute");
    }
}
