use std::time::Duration;

use super::call::time_left;

const SILENCE: Duration = Duration::from_millis(900);

/// Guards against a sender of single bytes that holds a call to the store for as long as it likes.
#[test]
fn an_answer_that_trickles_ends_while_a_slow_large_one_goes_on() {
    let trickled = time_left(20, Duration::from_millis(950), SILENCE);
    assert_eq!(trickled, Duration::ZERO);
    // 1.6 MB over a link of 10 Mbit/s, halfway.
    let large = time_left(800_000, Duration::from_millis(640), SILENCE);
    assert_eq!(large, SILENCE);
}
