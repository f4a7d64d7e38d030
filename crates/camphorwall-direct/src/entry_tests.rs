use std::time::Duration;

use rstest::rstest;

use crate::entry::stream_exceeds_time_left;

#[rstest]
#[case::short(1_000, 7_000, false)]
#[case::just_fits(5_000, 7_000, false)]
#[case::too_long(9_000, 7_000, true)]
#[case::late(5_000, 4_000, true)]
#[case::without_an_estimate(0, 10, false)]
fn a_stream_that_would_exceed_the_shutdown_time_is_refused_at_once(
    #[case] tokens: u64,
    #[case] left_ms: u64,
    #[case] expected: bool,
) {
    let time_per_token = Some(Duration::from_millis(1));
    assert_eq!(
        stream_exceeds_time_left(tokens, time_per_token, Duration::from_millis(left_ms)),
        expected
    );
}

#[test]
fn no_stream_is_refused_while_the_time_per_token_is_unknown() {
    assert!(!stream_exceeds_time_left(
        1_000_000,
        None,
        Duration::from_secs(1)
    ));
}
