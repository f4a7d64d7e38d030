//! Protection against replay: a receiver accepts a call only in its current or previous epoch, and each nonce once.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use snafu::Snafu;

/// Limits at which an epoch ends.
#[derive(Clone, Copy, Debug)]
pub struct EpochLimits {
    /// Maximum duration.
    pub period: Duration,
    /// Maximum number of calls, which bounds the memory for nonces.
    pub max_calls: usize,
}

impl Default for EpochLimits {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(5 * 60),
            max_calls: 65_536,
        }
    }
}

/// A call that may be a replay.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ReplayError {
    /// The call names an epoch that is neither the current nor the previous one, or that has reached its maximum number
    /// of calls.
    #[snafu(display("the call names another epoch; name the one of the answer"))]
    OtherEpoch,
    /// The nonce was already used.
    #[snafu(display("the nonce was used before; use a new one"))]
    NonceUsed,
}

struct Epoch {
    number: u64,
    nonces: HashSet<u64>,
}

impl Epoch {
    fn new(number: u64) -> Self {
        Self {
            number,
            nonces: HashSet::new(),
        }
    }
}

/// Epochs of one receiver. Epoch numbers are random, so that a restarted process accepts no call of an earlier epoch.
pub struct Epochs {
    limits: EpochLimits,
    current: Epoch,
    previous: Option<Epoch>,
    began_at: Instant,
    random: Box<dyn FnMut() -> u64>,
}

impl Epochs {
    /// Makes the first epoch; `random` generates the numbers of epochs.
    #[must_use]
    pub fn new(
        limits: EpochLimits,
        now: Instant,
        mut random: impl FnMut() -> u64 + 'static,
    ) -> Self {
        Self {
            limits,
            current: Epoch::new(random()),
            previous: None,
            began_at: now,
            random: Box::new(random),
        }
    }

    /// Returns the epoch that a new call must name.
    pub fn current(&mut self, now: Instant) -> u64 {
        self.rotate(now);
        self.current.number
    }

    /// Accepts a verified call once.
    ///
    /// # Errors
    /// When the call may be a replay. A genuine sender can sign it again for the current epoch.
    pub fn accept(&mut self, epoch: u64, nonce: u64, now: Instant) -> Result<(), ReplayError> {
        self.rotate(now);
        let previous = self.previous.as_mut();
        let open = match previous {
            _ if self.current.number == epoch => &mut self.current,
            Some(previous) if previous.number == epoch => previous,
            Some(_) | None => return Err(ReplayError::OtherEpoch),
        };
        if open.nonces.len() >= self.limits.max_calls {
            return Err(ReplayError::OtherEpoch);
        }
        if open.nonces.insert(nonce) {
            Ok(())
        } else {
            Err(ReplayError::NonceUsed)
        }
    }

    /// Returns the number of remembered nonces.
    #[must_use]
    pub fn remembered(&self) -> usize {
        let previous = self.previous.as_ref().map_or(0, |one| one.nonces.len());
        self.current.nonces.len() + previous
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began_at);
        let is_full = self.current.nonces.len() >= self.limits.max_calls;
        if !is_full && age < self.limits.period {
            return;
        }
        let next = Epoch::new((self.random)());
        let ended = std::mem::replace(&mut self.current, next);
        // After a pause of two periods, calls that were signed before it are refused.
        self.previous = (age < 2 * self.limits.period).then_some(ended);
        self.began_at = now;
    }
}

#[cfg(test)]
#[path = "epochs_tests.rs"]
mod tests;
