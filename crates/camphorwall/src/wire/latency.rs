//! Latency histograms by team and priority class, for operators.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use crate::Priority;

/// JSON-RPC method that returns a [`LatencyHistogram`] for each measure, team and class.
pub const METHOD_HISTOGRAMS: &str = "histograms";

/// What a latency histogram measures.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LatencyMeasure {
    /// Time until a request has both budget and a slot.
    Queueing,
    /// Time to the first token.
    TimeToFirstToken,
    /// Time between two tokens of an answer.
    TokenGap,
    /// Time to the end of the answer.
    Whole,
}

/// Latencies of one team and class since the start of the entry, or since the team got its own series.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencyHistogram {
    /// What is measured.
    pub measure: LatencyMeasure,
    /// Name of the team, `other` for all small teams together, or `open` for open routes.
    pub team: String,
    /// Priority of the team's contract.
    pub class: Priority,
    /// Buckets in ascending order of their bounds.
    pub buckets: Vec<LatencyBucket>,
}

/// Observations of one bucket.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencyBucket {
    /// Upper bound of the bucket; absent for the last one, which has no bound.
    pub up_to_s: Option<f64>,
    /// Observations above the previous bound and up to this one, inclusive.
    pub count: u64,
}

impl LatencyHistogram {
    /// Returns the number of observations in all buckets.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.count).sum()
    }

    /// Returns the bucket that contains a quantile (0 to 1); `None` without observations.
    #[must_use]
    pub fn bucket_of(&self, quantile: f64) -> Option<LatencyBucket> {
        let rank = self.count() as f64 * quantile;
        let mut seen = 0;
        let reaches = |bucket: &&LatencyBucket| {
            seen += bucket.count;
            bucket.count > 0 && seen as f64 >= rank
        };
        self.buckets.iter().find(reaches).copied()
    }
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
