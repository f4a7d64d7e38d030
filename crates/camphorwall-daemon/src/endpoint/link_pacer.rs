//! Limits what this daemon sends to each data centre to the published rate of the link.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use camphorwall::{BytesPerSecond, DataCentreId};

/// Time that one segment occupies its link; short, so that concurrent transfers on a link share it.
const SEGMENT_DURATION: Duration = Duration::from_millis(5);

/// Minimum size of a segment, except the last of each chunk that the engine sends.
const MIN_SEGMENT_BYTES: usize = 4_096;

/// Size of a segment on a link of this rate.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few milliseconds of a link's rate are far below the limit"
)]
pub(super) fn segment_bytes(rate: BytesPerSecond) -> usize {
    let bytes = rate.get() as f64 * SEGMENT_DURATION.as_secs_f64();
    (bytes as usize).max(MIN_SEGMENT_BYTES)
}

/// Time at which each link is free again.
#[derive(Default)]
pub(super) struct LinkPacer {
    free_at: RefCell<BTreeMap<DataCentreId, Instant>>,
}

impl LinkPacer {
    /// Schedules a segment on a link; returns when it may be sent.
    pub(super) fn schedule(
        &self,
        to: &DataCentreId,
        bytes: usize,
        rate: BytesPerSecond,
        now: Instant,
    ) -> Instant {
        let mut free_at = self.free_at.borrow_mut();
        let link = free_at.entry(to.clone()).or_insert(now);
        let starts_at = (*link).max(now);
        let spent_s = bytes as f64 / rate.get().max(1) as f64;
        *link = starts_at + Duration::from_secs_f64(spent_s);
        starts_at
    }
}

#[cfg(test)]
#[path = "link_pacer_tests.rs"]
mod tests;
