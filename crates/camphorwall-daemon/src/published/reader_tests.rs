use super::*;

/// An answer may stay in the buffers of a paused process for long. Counting it from the time at which it was read would
/// make the configuration look more recent than it is.
#[test]
fn an_answer_counts_from_the_earliest_time_at_which_the_service_can_have_made_it() {
    let queried_at = Instant::now();
    let long = Duration::from_secs(60);
    assert_eq!(
        earliest_answer_time(queried_at, true, long),
        queried_at + WATCH_WAIT
    );
    assert_eq!(earliest_answer_time(queried_at, false, long), queried_at);
    assert_eq!(
        earliest_answer_time(queried_at, true, WATCH_WAIT / 2),
        queried_at
    );
}
