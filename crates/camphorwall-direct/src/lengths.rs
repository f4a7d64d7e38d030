//! How many tokens answers get: from callers' estimates, what all estimates look like, and how far they were off.
//!
//! Lengths and errors are taken as log-normal. An estimate is right at the median, so the mean of the estimates' logarithms
//! is that of the lengths; what the estimates vary beyond their errors is how the lengths vary.

use std::{collections::HashMap, f64::consts::SQRT_2};

use camphorwall::ServiceId;

/// Variance of an estimate's logarithm about its answer's, before any answer has ended.
const FIRST_ERROR_VARIANCE: f64 = 0.25;

/// Ended answers that the first variance counts for.
const FIRST_ERROR_WEIGHT: f64 = 20.0;

/// Estimates before the mean of all weighs in.
const MIN_ESTIMATES: f64 = 5.0;

/// Observations after which older ones are forgotten.
const MAX_WEIGHT: f64 = 500.0;

/// Least spread of a forecast: an estimate is never taken for certain.
const MIN_SPREAD: f64 = 0.1;

/// Part of the generated tokens that an answer is expected to go on for which is far beyond any forecast.
const OVERRUN_PART: f64 = 0.25;

/// Chance of an answer's length below which its forecast says nothing more.
const LEAST_CHANCE: f64 = 1e-6;

/// Mean and variance with forgetting.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    weight: f64,
    mean: f64,
    square: f64,
}

impl Moments {
    fn observe(&mut self, value: f64) {
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.mean += (value - self.mean) / self.weight;
        self.square += (value * value - self.square) / self.weight;
    }

    fn variance(&self) -> f64 {
        (self.square - self.mean * self.mean).max(0.0)
    }
}

/// What is known of the answers of one service.
#[derive(Clone, Copy, Debug)]
struct Lengths {
    /// Logarithms of estimates.
    estimates: Moments,
    /// Logarithms of lengths over their estimates.
    errors: Moments,
}

impl Default for Lengths {
    fn default() -> Self {
        Self {
            estimates: Moments::default(),
            errors: Moments {
                weight: FIRST_ERROR_WEIGHT,
                mean: 0.0,
                square: FIRST_ERROR_VARIANCE,
            },
        }
    }
}

/// Forecast of one answer's length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LengthForecast {
    /// Logarithm of the median length in tokens.
    ln_median: f64,
    /// Standard deviation of the length's logarithm.
    spread: f64,
    most_tokens: f64,
}

/// Chance that a standard normal variable is below a value.
fn below(value: f64) -> f64 {
    0.5 * libm::erfc(-value / SQRT_2)
}

impl LengthForecast {
    /// Mean of the tokens that are still to come after some were generated.
    ///
    /// The load that this answers: decode engines run full by memory, and a run that has outlasted its estimate is the
    /// likelier to be a long one. Taking it for nearly ended fills its engine, which then throws prompts away.
    #[must_use]
    pub(crate) fn left_tokens(&self, generated: u32) -> u32 {
        let generated = f64::from(generated);
        let most = self.most_tokens.max(generated);
        let standard = |tokens: f64| (tokens.max(1.0).ln() - self.ln_median) / self.spread;
        let (from, to) = (standard(generated), standard(most));
        let chance = below(-from);
        let left = if chance < LEAST_CHANCE {
            generated * OVERRUN_PART
        } else {
            let mean = (self.ln_median + self.spread * self.spread / 2.0).exp();
            let inside = mean * (below(to - self.spread) - below(from - self.spread));
            (inside + most * below(-to)) / chance - generated
        };
        whole_tokens(left.clamp(0.0, most - generated))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX / 4)) as u32
}

/// What is known of the answers of all services.
#[derive(Debug, Default)]
pub(crate) struct LengthModel(HashMap<ServiceId, Lengths>);

impl LengthModel {
    /// Notes a caller's estimate, whatever becomes of the request.
    pub(crate) fn note_estimate(&mut self, service: &ServiceId, estimate: u64) {
        let lengths = self.0.entry(service.clone()).or_default();
        lengths.estimates.observe((estimate.max(1) as f64).ln());
    }

    /// Notes the length of a whole answer beside its caller's estimate.
    pub(crate) fn note_ended(&mut self, service: &ServiceId, estimate: u64, generated: u32) {
        let lengths = self.0.entry(service.clone()).or_default();
        let error = f64::from(generated.max(1)).ln() - (estimate.max(1) as f64).ln();
        lengths.errors.observe(error);
    }

    /// Forecast of an answer with at most `most` tokens.
    #[must_use]
    pub(crate) fn forecast(
        &self,
        service: &ServiceId,
        estimate: Option<u64>,
        most: u64,
    ) -> LengthForecast {
        let lengths = self.0.get(service).copied().unwrap_or_default();
        let all = lengths.estimates;
        let error = lengths.errors.square;
        let lengths_variance = (all.variance() - error).max(0.0);
        let (ln_median, variance) = match estimate {
            // Estimates that vary by more than their errors tell of the length, the others of little.
            Some(estimate) if all.weight >= MIN_ESTIMATES => {
                let trust = lengths_variance / (lengths_variance + error);
                let own = (estimate.max(1) as f64).ln();
                (all.mean + trust * (own - all.mean), trust * error)
            }
            Some(estimate) => ((estimate.max(1) as f64).ln(), error),
            None if all.weight >= MIN_ESTIMATES => (all.mean, lengths_variance),
            None => ((most.max(2) as f64 / 2.0).ln(), error),
        };
        LengthForecast {
            ln_median,
            spread: variance.sqrt().max(MIN_SPREAD),
            most_tokens: most as f64,
        }
    }
}
