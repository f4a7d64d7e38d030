use std::time::{Duration, Instant};

use super::{Forecast, Progress};

const GAP: Duration = Duration::from_millis(10);

fn trained_forecast(now: Instant) -> Forecast {
    let mut forecast = Forecast::default();
    for _ in 0..200 {
        let mut ended = Progress::new(10, now);
        for written in 1..=10 {
            ended.note_token(now + GAP * written);
        }
        forecast.note_run(&ended);
        forecast.note_assignment(GAP * 10);
    }
    forecast
}

#[test]
fn the_end_of_a_request_follows_from_its_token_limit_and_the_observed_rate() {
    let now = Instant::now();
    let forecast = trained_forecast(now);
    let mut running = Progress::new(100, now);
    running.note_token(now);
    let remaining = forecast.remaining(&running, now + GAP);
    assert!(remaining.abs_diff(GAP * 98) < GAP, "{remaining:?}");
}

#[test]
fn a_claim_waits_until_one_request_has_ended_per_claim_before_it() {
    let now = Instant::now();
    let forecast = trained_forecast(now);
    let running = [
        Progress::new(30, now),
        Progress::new(10, now),
        Progress::new(20, now),
    ];
    let wait = |before| forecast.wait(running.iter(), before, 3, now);
    assert!(wait(0).abs_diff(GAP * 10) < GAP, "{:?}", wait(0));
    assert!(wait(1).abs_diff(GAP * 20) < GAP);
    assert!(wait(5) >= GAP * 10);
    assert_eq!(forecast.wait(running.iter(), 0, 4, now), Duration::ZERO);
}
