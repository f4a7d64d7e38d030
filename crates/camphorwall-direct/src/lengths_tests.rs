use super::lengths::{LengthForecast, LengthModel};
use camphorwall::ServiceId;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const MOST: u64 = 9_360;

fn service() -> ServiceId {
    "model".parse().expect("a name")
}

/// Standard normal, near enough.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// Answers of 4,600 tokens at the median and estimates of them, each with its spread.
fn answers(length_spread: f64, error_spread: f64, count: usize) -> Vec<(u64, u32)> {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let one = |_| {
        let length = 4_600.0 * (length_spread * normal(&mut random)).exp();
        let length = whole(length.clamp(72.0, MOST as f64));
        let error = (error_spread * normal(&mut random)).exp();
        let estimate = whole(f64::from(length) * error);
        (u64::from(estimate), length)
    };
    (0..count).map(one).collect()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn whole(tokens: f64) -> u32 {
    tokens.round() as u32
}

fn learned(answers: &[(u64, u32)]) -> LengthModel {
    let mut model = LengthModel::default();
    for (estimate, length) in answers {
        model.note_estimate(&service(), *estimate);
        model.note_ended(&service(), *estimate, *length);
    }
    model
}

fn outlook(model: &LengthModel, estimate: u64) -> LengthForecast {
    model.forecast(&service(), Some(estimate), MOST)
}

#[test]
fn the_mean_forecast_meets_the_mean_of_what_was_still_to_come() {
    let answers = answers(0.5, 0.5, 2_000);
    let model = learned(&answers);
    for generated in [0, 2_000, 4_000, 6_000] {
        let going: Vec<_> = answers
            .iter()
            .filter(|(_, length)| *length > generated)
            .collect();
        let came: f64 = going
            .iter()
            .map(|(_, length)| f64::from(length - generated))
            .sum();
        let foretold: f64 = going
            .iter()
            .map(|(estimate, _)| f64::from(outlook(&model, *estimate).left_tokens(generated)))
            .sum();
        let ratio = foretold / came;
        assert!((0.9..=1.1).contains(&ratio), "{ratio} after {generated}");
    }
}

#[test]
fn a_run_that_has_outlasted_its_estimate_is_not_taken_for_nearly_ended() {
    let model = LengthModel::default();
    let left = outlook(&model, 3_000).left_tokens(3_000);
    // Half of the mean of a log-normal variable of this spread lies beyond its median.
    assert!((1_200..=2_000).contains(&left), "{left}");
}

#[test]
fn estimates_that_tell_nothing_are_not_followed() {
    // Errors of a whole factor about lengths that hardly vary.
    let model = learned(&answers(0.05, 1.0, 1_000));
    for estimate in [500, 4_600, 20_000] {
        let left = outlook(&model, estimate).left_tokens(0);
        assert!((4_000..=5_300).contains(&left), "{left} for {estimate}");
    }
}

#[test]
fn estimates_that_are_right_are_followed() {
    let model = learned(&answers(0.5, 0.02, 1_000));
    for estimate in [1_000, 4_600, 9_000] {
        let left = f64::from(outlook(&model, estimate).left_tokens(0));
        let ratio = left / estimate as f64;
        assert!((0.85..=1.15).contains(&ratio), "{left} for {estimate}");
    }
}

#[test]
fn a_forecast_stays_within_what_the_request_may_use() {
    let model = LengthModel::default();
    for (estimate, most) in [(0, 0), (9_999_999, 100), (5, 1), (9_000, MOST), (10, MOST)] {
        let outlook = model.forecast(&service(), Some(estimate), most);
        for generated in [0, 50, 99, 100, 9_000, 9_360, 20_000] {
            let left = outlook.left_tokens(generated);
            let room = most.saturating_sub(u64::from(generated));
            assert!(
                u64::from(left) <= room,
                "{left} of {most} after {generated}"
            );
        }
    }
    let unknown = model.forecast(&service(), None, u64::from(u32::MAX));
    assert!(unknown.left_tokens(0) > 0);
}
