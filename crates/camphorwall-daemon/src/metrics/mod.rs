//! Metrics in `OpenMetrics` text, with a bounded number of series.

mod labels;
mod latencies;
mod registry;
mod team_names;

pub(crate) use labels::Requester;
pub(crate) use registry::{METRICS_PATH, Metrics};

#[cfg(test)]
#[path = "reference_tests.rs"]
mod reference_tests;
