//! Retry budget: limits retries to a share of new requests, so that retries can't multiply an overload.

use std::cell::Cell;

/// Retries that each new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum retries in the budget; an entry starts with as many.
const MAX_SAVED_RETRIES: f64 = 5.0;

/// Retries that this entry may still make. Each entry has its own budget; the fleet's limit is their sum.
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
    /// Adds the share of one new request.
    pub(crate) fn earn(&self) {
        self.saved
            .set((self.saved.get() + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES));
    }

    /// Takes one retry, if the budget holds one.
    pub(crate) fn take(&self) -> bool {
        let left = self.saved.get() - 1.0;
        // Ten shares of 0.1 don't add up to exactly 1.0.
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
