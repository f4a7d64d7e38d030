//! Recent demand of one team at this entry.

use std::time::Instant;

/// Time constant of the average in seconds.
const TIME_CONSTANT_S: f64 = 1.0;

/// Exponentially weighted average of charged tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    tokens_per_s: f64,
    noted_at: Instant,
}

impl Demand {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            tokens_per_s: 0.0,
            noted_at: now,
        }
    }

    pub(crate) fn note(&mut self, tokens: u64, now: Instant) {
        self.tokens_per_s = self.tokens_per_s(now) + tokens as f64 / TIME_CONSTANT_S;
        self.noted_at = now;
    }

    pub(crate) fn tokens_per_s(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.noted_at).as_secs_f64();
        self.tokens_per_s * (-elapsed_s / TIME_CONSTANT_S).exp()
    }

    /// Tokens expected to be charged within `time_s` seconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "demand is not negative and far below 2^63"
    )]
    pub(crate) fn expected_tokens(&self, time_s: f64, now: Instant) -> u64 {
        (self.tokens_per_s(now) * time_s) as u64
    }

    pub(crate) const fn noted_at(&self) -> Instant {
        self.noted_at
    }
}
