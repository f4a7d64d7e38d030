use std::time::Duration;

use crate::{serve::decode_timer::DecodeTimer, testing::at_ms};

/// Measurements of a stream with an event each 30 ms, of which the entry waited for some time.
fn measurements(events: u64, waited_ms: u64) -> Vec<Duration> {
    let mut timer = DecodeTimer::default();
    let measured = (1..=events).filter_map(|number| {
        timer.note_wait(Duration::from_millis(waited_ms));
        timer.note_events(1, at_ms(number * 30))
    });
    measured.collect()
}

#[test]
fn a_stream_is_measured_every_16_events_after_the_first() {
    assert_eq!(measurements(16, 30), []);
    let time = Duration::from_millis(30);
    assert_eq!(measurements(17, 30), [time]);
    assert_eq!(measurements(33, 30), [time, time]);
}

/// Guards against an engine that counts as slow, or as fast, because of the caller's reading.
#[test]
fn a_stream_whose_caller_reads_slowly_is_not_measured() {
    assert_eq!(measurements(100, 5), []);
}

/// Guards against the transfer of a KV cache that counts as the engine's time for its first event.
#[test]
fn the_wait_for_the_first_events_is_not_measured() {
    let mut timer = DecodeTimer::default();
    timer.note_wait(Duration::from_secs(2));
    assert_eq!(timer.note_events(1, at_ms(2_000)), None);
    timer.note_wait(Duration::from_millis(320));
    let measured = timer.note_events(16, at_ms(2_320));
    assert_eq!(measured, Some(Duration::from_millis(20)));
}
