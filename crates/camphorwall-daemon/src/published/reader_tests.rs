use super::*;

#[test]
fn an_answer_that_waited_in_the_buffers_of_a_paused_process_proves_no_more_than_its_watch() {
    let asked_at = Instant::now();
    let long = Duration::from_secs(60);
    assert_eq!(
        earliest_answer_time(asked_at, true, long),
        asked_at + WATCH_WAIT
    );
    assert_eq!(earliest_answer_time(asked_at, false, long), asked_at);
    assert_eq!(
        earliest_answer_time(asked_at, true, WATCH_WAIT / 2),
        asked_at
    );
}
