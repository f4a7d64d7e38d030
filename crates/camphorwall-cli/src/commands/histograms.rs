//! `histograms`: shows the latencies by team and class at an entry.

use camphorwall::{LatencyBucket, LatencyHistogram, METHOD_HISTOGRAMS};
use getopts::Matches;

use super::{
    command::{Command, CommandError},
    instance::{address, call_instance, format_output},
    table::table,
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "histograms",
    arguments: "--address IP:PORT",
    summary: "show the latencies by team and class at an entry",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let histograms: Vec<LatencyHistogram> =
        call_instance(matches, address(matches)?, METHOD_HISTOGRAMS, &())?;
    format_output(matches, &histograms, |histograms| describe(histograms))
}

fn describe(histograms: &[LatencyHistogram]) -> String {
    if histograms.is_empty() {
        return "no request has been measured at this entry".into();
    }
    let head = ["measure", "team", "class", "count", "p50", "p95", "p99"];
    table(head, histograms.iter().map(cells).collect())
}

fn cells(histogram: &LatencyHistogram) -> [String; 7] {
    let quantile = |quantile| histogram.bucket_of(quantile).map_or("-".into(), bound);
    [
        histogram.measure.to_string(),
        histogram.team.clone(),
        histogram.class.to_string(),
        histogram.count().to_string(),
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
    ]
}

fn bound(bucket: LatencyBucket) -> String {
    match bucket.up_to_s {
        Some(up_to_s) => format!("<= {up_to_s} s"),
        None => "over all bounds".into(),
    }
}

#[cfg(test)]
#[path = "histograms_tests.rs"]
mod tests;
