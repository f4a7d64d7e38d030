//! Forecasts the lengths of answers from callers' estimates, the distribution of all estimates, and their past errors.
//!
//! Lengths and errors are modelled as log-normal. Estimates are taken to be right at the median, so the mean of their
//! logarithms is that of the lengths, and the variance of the lengths is that of the estimates less that of the errors.

use crate::names::ServiceName;
use std::{collections::HashMap, f64::consts::SQRT_2};

/// Initial variance of the logarithm of an answer's length over its estimate, before any answer has ended.
const INITIAL_ERROR_VARIANCE: f64 = 0.25;

/// Number of ended answers for which the initial variance counts.
const INITIAL_ERROR_WEIGHT: f64 = 20.0;

/// Number of estimates that are needed before their distribution is used.
const MIN_ESTIMATES: f64 = 5.0;

/// Maximum weight of past observations in a mean, so that older ones lose influence.
const MAX_WEIGHT: f64 = 500.0;

/// Minimum standard deviation of a forecast: no estimate is taken as exact.
const MIN_SPREAD: f64 = 0.1;

/// Expected remaining tokens of an answer far beyond its forecast, as a share of the tokens generated so far.
const OVERRUN_SHARE: f64 = 0.25;

/// Probability of an answer being longer than the generated tokens below which its forecast is no longer used.
const MIN_TAIL_PROBABILITY: f64 = 1e-6;

/// Mean and mean square that give newer observations more weight once `MAX_WEIGHT` is reached.
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

/// Statistics on the answers of one service.
#[derive(Clone, Copy, Debug)]
struct Lengths {
    /// Logarithms of estimates.
    estimates: Moments,
    /// Logarithms of the lengths over their estimates.
    errors: Moments,
}

impl Default for Lengths {
    fn default() -> Self {
        Self {
            estimates: Moments::default(),
            errors: Moments {
                weight: INITIAL_ERROR_WEIGHT,
                mean: 0.0,
                square: INITIAL_ERROR_VARIANCE,
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
    max_tokens: f64,
}

/// Cumulative distribution function of the standard normal distribution.
fn normal_cdf(value: f64) -> f64 {
    0.5 * libm::erfc(-value / SQRT_2)
}

impl LengthForecast {
    /// Mean number of tokens that are still to come after `generated` tokens.
    ///
    /// The KV caches of decode engines are usually full, and a run that has outlasted its estimate is likely to be a
    /// long one. Expecting it to end soon would overfill its engine, which then discards KV caches, so that prefills
    /// are wasted.
    #[must_use]
    pub(crate) fn left_tokens(&self, generated: u32) -> u32 {
        let generated = f64::from(generated);
        let max_tokens = self.max_tokens.max(generated);
        let standard = |tokens: f64| (tokens.max(1.0).ln() - self.ln_median) / self.spread;
        let (from, to) = (standard(generated), standard(max_tokens));
        let tail = normal_cdf(-from);
        let left = if tail < MIN_TAIL_PROBABILITY {
            generated * OVERRUN_SHARE
        } else {
            let mean = (self.ln_median + self.spread * self.spread / 2.0).exp();
            let inside = mean * (normal_cdf(to - self.spread) - normal_cdf(from - self.spread));
            (inside + max_tokens * normal_cdf(-to)) / tail - generated
        };
        token_count(left.clamp(0.0, max_tokens - generated))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range"
)]
fn token_count(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX / 4)) as u32
}

/// Statistics on the answers of all services.
#[derive(Debug, Default)]
pub(crate) struct LengthModel(HashMap<ServiceName, Lengths>);

impl LengthModel {
    /// Records a caller's estimate, whatever the outcome of the request.
    pub(crate) fn note_estimate(&mut self, service: &ServiceName, estimate: u64) {
        let lengths = self.0.entry(service.clone()).or_default();
        lengths.estimates.observe((estimate.max(1) as f64).ln());
    }

    /// Records the length of a complete answer and its caller's estimate.
    pub(crate) fn note_ended(&mut self, service: &ServiceName, estimate: u64, generated: u32) {
        let lengths = self.0.entry(service.clone()).or_default();
        let error = f64::from(generated.max(1)).ln() - (estimate.max(1) as f64).ln();
        lengths.errors.observe(error);
    }

    /// Forecast of an answer with at most `max_tokens` tokens.
    #[must_use]
    pub(crate) fn forecast(
        &self,
        service: &ServiceName,
        estimate: Option<u64>,
        max_tokens: u64,
    ) -> LengthForecast {
        let lengths = self.0.get(service).copied().unwrap_or_default();
        let all = lengths.estimates;
        let error = lengths.errors.square;
        let lengths_variance = (all.variance() - error).max(0.0);
        let (ln_median, variance) = match estimate {
            // Estimates predict lengths only as far as they vary by more than their errors.
            Some(estimate) if all.weight >= MIN_ESTIMATES => {
                let weight = lengths_variance / (lengths_variance + error);
                let ln_estimate = (estimate.max(1) as f64).ln();
                (all.mean + weight * (ln_estimate - all.mean), weight * error)
            }
            Some(estimate) => ((estimate.max(1) as f64).ln(), error),
            None if all.weight >= MIN_ESTIMATES => (all.mean, lengths_variance),
            None => ((max_tokens.max(2) as f64 / 2.0).ln(), error),
        };
        LengthForecast {
            ln_median,
            spread: variance.sqrt().max(MIN_SPREAD),
            max_tokens: max_tokens as f64,
        }
    }
}
