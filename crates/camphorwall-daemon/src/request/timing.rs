//! Measures the latencies of one model answer for the metrics.

use std::{rc::Rc, time::Instant};

use camphorwall::LatencyMeasure;

use crate::{entry::Entry, metrics::Requester};

/// Time measurement of one answer.
pub(crate) struct AnswerTiming {
    entry: Rc<Entry>,
    requester: Requester,
    arrived_at: Instant,
    last_token_at: Option<Instant>,
}

impl AnswerTiming {
    pub(crate) const fn new(entry: Rc<Entry>, requester: Requester, arrived_at: Instant) -> Self {
        Self {
            entry,
            requester,
            arrived_at,
            last_token_at: None,
        }
    }

    /// Records the time to the first token, or the gap since the token before.
    pub(crate) fn note_token(&mut self, now: Instant) {
        let (measure, time) = match self.last_token_at.replace(now) {
            Some(last) => (LatencyMeasure::TokenGap, now - last),
            None => (LatencyMeasure::TimeToFirstToken, now - self.arrived_at),
        };
        self.entry.metrics.observe(measure, &self.requester, time);
    }

    /// Records the total time of a complete answer.
    pub(crate) fn note_end(&self, now: Instant) {
        let time = now - self.arrived_at;
        self.entry
            .metrics
            .observe(LatencyMeasure::Whole, &self.requester, time);
    }
}
