use crate::balance::lengths::{LengthForecast, LengthModel};
use crate::names::ServiceName;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const MAX_TOKENS: u64 = 9_360;

fn service() -> ServiceName {
    "model".parse().expect("a name")
}

/// Approximation of a standard normal variable.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// Pairs of an estimate and a length, with a median length of 4,600 tokens and the given standard deviations of the
/// logarithms of lengths and errors.
fn answers(length_spread: f64, error_spread: f64, count: usize) -> Vec<(u64, u32)> {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let answer = |_| {
        let length = 4_600.0 * (length_spread * normal(&mut random)).exp();
        let length = rounded(length.clamp(72.0, MAX_TOKENS as f64));
        let error = (error_spread * normal(&mut random)).exp();
        let estimate = rounded(f64::from(length) * error);
        (u64::from(estimate), length)
    };
    (0..count).map(answer).collect()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "positive and small"
)]
fn rounded(tokens: f64) -> u32 {
    tokens.round() as u32
}

fn trained_model(answers: &[(u64, u32)]) -> LengthModel {
    let mut model = LengthModel::default();
    for (estimate, length) in answers {
        model.note_estimate(&service(), *estimate);
        model.note_ended(&service(), *estimate, *length);
    }
    model
}

fn forecast(model: &LengthModel, estimate: u64) -> LengthForecast {
    model.forecast(&service(), Some(estimate), MAX_TOKENS)
}

#[test]
fn the_mean_forecast_matches_the_mean_of_the_remaining_tokens() {
    let answers = answers(0.5, 0.5, 2_000);
    let model = trained_model(&answers);
    for generated in [0, 2_000, 4_000, 6_000] {
        let unfinished: Vec<_> = answers
            .iter()
            .filter(|(_, length)| *length > generated)
            .collect();
        let remaining: f64 = unfinished
            .iter()
            .map(|(_, length)| f64::from(length - generated))
            .sum();
        let forecast: f64 = unfinished
            .iter()
            .map(|(estimate, _)| f64::from(forecast(&model, *estimate).left_tokens(generated)))
            .sum();
        let ratio = forecast / remaining;
        assert!((0.9..=1.1).contains(&ratio), "{ratio} after {generated}");
    }
}

#[test]
fn a_run_that_has_outlasted_its_estimate_is_not_expected_to_end_at_once() {
    let model = LengthModel::default();
    let left = forecast(&model, 3_000).left_tokens(3_000);
    // The remaining mean is taken over the half of the log-normal distribution beyond the median.
    assert!((1_200..=2_000).contains(&left), "{left}");
}

#[test]
fn uninformative_estimates_are_ignored() {
    // Errors of a factor of e at one standard deviation, on lengths that hardly vary.
    let model = trained_model(&answers(0.05, 1.0, 1_000));
    for estimate in [500, 4_600, 20_000] {
        let left = forecast(&model, estimate).left_tokens(0);
        assert!((4_000..=5_300).contains(&left), "{left} for {estimate}");
    }
}

#[test]
fn accurate_estimates_are_followed() {
    let model = trained_model(&answers(0.5, 0.02, 1_000));
    for estimate in [1_000, 4_600, 9_000] {
        let left = f64::from(forecast(&model, estimate).left_tokens(0));
        let ratio = left / estimate as f64;
        assert!((0.85..=1.15).contains(&ratio), "{left} for {estimate}");
    }
}

#[test]
fn a_forecast_stays_within_the_maximum_length() {
    let model = LengthModel::default();
    for (estimate, max_tokens) in [
        (0, 0),
        (9_999_999, 100),
        (5, 1),
        (9_000, MAX_TOKENS),
        (10, MAX_TOKENS),
    ] {
        let forecast = model.forecast(&service(), Some(estimate), max_tokens);
        for generated in [0, 50, 99, 100, 9_000, 9_360, 20_000] {
            let left = forecast.left_tokens(generated);
            let remaining = max_tokens.saturating_sub(u64::from(generated));
            assert!(
                u64::from(left) <= remaining,
                "{left} of {max_tokens} after {generated}"
            );
        }
    }
    let unknown = model.forecast(&service(), None, u64::from(u32::MAX));
    assert!(unknown.left_tokens(0) > 0);
}
