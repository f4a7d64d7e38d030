use std::time::Duration;

use rstest::rstest;

use crate::{
    endpoints::stall::{Pauses, has_stood_still},
    testing::at_ms,
};

/// Time for which a caller waits for the next event.
const WAIT_LIMIT: Duration = Duration::from_millis(3_600);
const REOPEN_TIME: Duration = Duration::from_millis(900);

/// Whether a stream counts as stalled before its endpoint sends the last of some events, and when it does after it.
fn stall(event_times_ms: &[u64]) -> (bool, Duration) {
    let mut pauses = Pauses::new(Some(Duration::from_millis(50)), at_ms(0));
    let mut is_cut = false;
    let mut last = at_ms(0);
    for time_ms in event_times_ms {
        last = at_ms(*time_ms);
        is_cut |= pauses.stalled_at(WAIT_LIMIT, REOPEN_TIME) < last;
        pauses.note_events(1, last);
    }
    (
        is_cut,
        pauses.stalled_at(WAIT_LIMIT, REOPEN_TIME).since(last),
    )
}

/// An endpoint turns 4 to 20 times slower in the middle of a stream, or sends an event only every second.
#[rstest]
#[case(200)]
#[case(400)]
#[case(1_000)]
fn a_slow_stream_that_still_moves_is_not_cut(#[case] pause_ms: u64) {
    let usual = (1..=5).map(|event| event * 50);
    let slow = (1..=10).map(|event| 250 + event * pause_ms);
    let times: Vec<u64> = usual.chain(slow).collect();
    assert!(!stall(&times).0);
}

/// An endpoint goes dark after some events; the caller leaves after 3.6 s.
#[rstest]
#[case(&[])]
#[case(&[50, 100, 150])]
#[case(&[1_000, 2_000, 3_000])]
fn a_silent_endpoint_is_left_before_its_caller_leaves(#[case] event_times_ms: &[u64]) {
    let (is_cut, after) = stall(event_times_ms);
    assert!(!is_cut);
    assert!(after + REOPEN_TIME <= WAIT_LIMIT, "{after:?}");
}

/// An entry is suspended for two seconds while its streams go on: their events wait in its sockets when it wakes.
#[test]
fn an_entry_that_stood_still_does_not_leave_its_endpoints() {
    let mut pauses = Pauses::new(Some(Duration::from_millis(50)), at_ms(0));
    let due_at = pauses.stalled_at(WAIT_LIMIT, REOPEN_TIME);
    let woken_at = due_at + Duration::from_millis(500);
    assert!(has_stood_still(due_at, woken_at));
    assert!(!has_stood_still(due_at, due_at + Duration::from_millis(5)));
    pauses.restart(woken_at);
    assert!(pauses.stalled_at(WAIT_LIMIT, REOPEN_TIME).since(woken_at) >= Duration::from_secs(1));
}
