//! Latencies of one measure by team and class, as metrics series and as bucket counts for the command-line tool.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use camphorwall::{LatencyBucket, LatencyHistogram, LatencyMeasure, Priority};
use prometheus_client::metrics::{family::Family, histogram::Histogram};

use super::labels::TeamLabels;

/// Upper bounds of the buckets in seconds. They include the latency targets of 29 ms and 1.1 s, so that a bucket
/// ends at each target.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 30.0,
];

/// Counts by bucket; the last one counts observations above all bounds.
type Counts = [u64; BUCKETS_S.len() + 1];

/// Histogram series by team and class.
pub(super) type TeamHistograms = Family<TeamLabels, Histogram, fn() -> Histogram>;

/// Creates a family of histograms with the buckets of `BUCKETS_S`.
pub(super) fn team_histograms() -> TeamHistograms {
    TeamHistograms::new_with_constructor(|| Histogram::new(BUCKETS_S))
}

/// Latencies of one measure. `histograms` is built from `counts`, not from `series`.
pub(super) struct Latencies {
    measure: LatencyMeasure,
    series: TeamHistograms,
    counts: RefCell<BTreeMap<TeamLabels, Counts>>,
}

impl Latencies {
    pub(super) fn new(measure: LatencyMeasure, series: TeamHistograms) -> Self {
        Self {
            measure,
            series,
            counts: RefCell::default(),
        }
    }

    pub(super) fn observe(&self, labels: &TeamLabels, time: Duration) {
        let time_s = time.as_secs_f64();
        self.series.get_or_create(labels).observe(time_s);
        let bucket = BUCKETS_S.partition_point(|bound_s| *bound_s < time_s);
        let mut counts = self.counts.borrow_mut();
        counts.entry(labels.clone()).or_default()[bucket] += 1;
    }

    /// Removes the series and counts of a team that no longer has its own series.
    pub(super) fn remove_team(&self, team: &str) {
        self.counts.borrow_mut().retain(|labels, _| {
            let is_kept = labels.team != team;
            if !is_kept {
                self.series.remove(labels);
            }
            is_kept
        });
    }

    /// Histograms by team and class.
    pub(super) fn histograms(&self) -> Vec<LatencyHistogram> {
        let counts = self.counts.borrow();
        let histogram = |(labels, counts): (&TeamLabels, &Counts)| LatencyHistogram {
            measure: self.measure,
            team: labels.team.clone(),
            class: Priority(labels.class),
            buckets: buckets(counts),
        };
        counts.iter().map(histogram).collect()
    }
}

fn buckets(counts: &Counts) -> Vec<LatencyBucket> {
    let bounds = BUCKETS_S.into_iter().map(Some).chain([None]);
    let bucket = |(up_to_s, count): (Option<f64>, &u64)| LatencyBucket {
        up_to_s,
        count: *count,
    };
    bounds.zip(counts).map(bucket).collect()
}

#[cfg(test)]
#[path = "latencies_tests.rs"]
mod tests;
