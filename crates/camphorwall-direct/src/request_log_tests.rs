use crate::{request_log::Sampler, testing::at_ms};

/// Sampled lines in the fifth second of a load of `per_s` requests a second.
fn lines(per_s: u64) -> usize {
    let mut sampler = Sampler::new(at_ms(0));
    let mut lines = 0;
    for second in 0..5 {
        lines = 0;
        for number in 0..per_s {
            let id = format!("request-{second}-{number}");
            let now = at_ms(second * 1_000 + number * 1_000 / per_s);
            lines += usize::from(sampler.is_sampled(&id, now));
        }
    }
    lines
}

#[test]
fn every_request_is_logged_at_a_usual_load() {
    assert_eq!(lines(20), 20);
}

#[test]
fn lines_per_second_stay_bounded_as_the_load_grows() {
    for per_s in [100, 1_000, 10_000] {
        let lines = lines(per_s);
        assert!(
            (10..=50).contains(&lines),
            "{lines} lines at {per_s} requests/s"
        );
    }
}

#[test]
fn entries_with_equal_load_sample_the_same_requests() {
    let (mut first, mut second) = (Sampler::new(at_ms(0)), Sampler::new(at_ms(0)));
    for number in 0..2_000_u64 {
        let id = format!("request-{number}");
        let now = at_ms(number);
        assert_eq!(first.is_sampled(&id, now), second.is_sampled(&id, now));
    }
}
