use std::time::Duration;

use rstest::rstest;

use crate::{store::follow::proved_by, testing::at_ms};

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
