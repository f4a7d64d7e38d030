//! Retry budget: a share of fresh work, so that retries can't multiply an overload.

use std::cell::Cell;

/// Retries that each fresh request earns.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that an entry can save up; also what it starts with.
const MAX_SAVED_RETRIES: f64 = 5.0;

/// Retries that an entry may still make. The fleet's total is the sum over its entries.
pub(crate) struct RetryBudget {
    saved: Cell<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: Cell::new(MAX_SAVED_RETRIES),
        }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub(crate) fn earn(&self) {
        self.saved
            .set((self.saved.get() + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES));
    }

    /// Takes one retry if there is one.
    pub(crate) fn take(&self) -> bool {
        let left = self.saved.get() - 1.0;
        // Tenths don't add up exactly.
        let is_enough = left >= -f64::EPSILON * MAX_SAVED_RETRIES;
        if is_enough {
            self.saved.set(left.max(0.0));
        }
        is_enough
    }
}

#[cfg(test)]
#[path = "retries_tests.rs"]
mod tests;
