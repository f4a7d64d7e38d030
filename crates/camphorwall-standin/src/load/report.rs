//! Figures of the runs, as a table, JSON lines and a plot.

use std::{collections::BTreeMap, fmt::Write as _, fs, io, path::Path};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{arrivals::Arrival, drive::RequestOutcome, plain::PlainRow, scenario::Scenario};
use crate::EngineCounts;

/// Load and policy of a run, and the bounds to which its results are compared.
pub(super) struct Reference<'a> {
    pub(super) load: f64,
    pub(super) policy: &'a str,
    pub(super) bound_tokens: f64,
    pub(super) shares: &'a [f64],
    pub(super) within_rate: &'a [bool],
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Summary {
    scenario: String,
    load: f64,
    policy: String,
    requests: usize,
    good: usize,
    good_tokens: u64,
    bound_tokens: f64,
    /// Output tokens of answers within both targets, divided by the bound.
    goodput_over_bound: f64,
    /// Prefilled prompt tokens of answers that missed a target or did not arrive, divided by all prefilled tokens.
    wasted_prefill: f64,
    /// Smallest of the ratios in `teams`.
    worst_team: f64,
    /// Output tokens of each team within both targets, divided by its fair share of the bound.
    teams: BTreeMap<String, f64>,
    /// Requests refused although within their team's rate, divided by all requests.
    refused_within_rate: f64,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    /// Time to the first token less the engines' own time.
    added_p50_ms: f64,
    /// 95th percentile over requests of the mean time between tokens.
    gap_p95_ms: f64,
    problems: BTreeMap<String, usize>,
    /// Figures of the calls of the plain service, by team.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) plain: Vec<PlainRow>,
}

fn is_good(scenario: &Scenario, outcome: &RequestOutcome) -> bool {
    let target_s = scenario.first_token_target_ms as f64 / 1e3;
    let is_timely = outcome.first_token_s.is_some_and(|first| first <= target_s);
    outcome.is_complete && is_timely && gap_ms(outcome) <= scenario.token_gap_target_ms as f64
}

fn gap_ms(outcome: &RequestOutcome) -> f64 {
    let gaps = outcome.tokens.saturating_sub(1).max(1);
    outcome.first_to_last_token_s * 1e3 / gaps as f64
}

pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("valid bounds")
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run are small; negative ones count as none"
)]
pub(super) fn record(histogram: &mut Histogram<u64>, milliseconds: f64) {
    histogram.saturating_record((milliseconds * 1e3).max(1.0) as u64);
}

pub(super) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Computes the figures of one run.
pub(super) fn summarise(
    scenario: &Scenario,
    reference: &Reference<'_>,
    arrivals: &[Arrival],
    outcomes: &[RequestOutcome],
    engines: &[EngineCounts],
) -> Summary {
    let (mut first, mut added, mut gaps) = (histogram(), histogram(), histogram());
    let mut problems: BTreeMap<String, usize> = BTreeMap::new();
    let mut by_team = vec![0_u64; scenario.teams.len()];
    let (mut good, mut good_prompt_tokens, mut refused_within_rate) = (0, 0, 0);
    for ((arrival, outcome), within_rate) in
        arrivals.iter().zip(outcomes).zip(reference.within_rate)
    {
        if let Some(first_token_s) = outcome.first_token_s {
            let engine_us = arrival.prompt_tokens * scenario.engine.prefill_us_per_token
                + scenario.engine.token_gap_us;
            record(&mut first, first_token_s * 1e3);
            record(&mut added, first_token_s * 1e3 - engine_us as f64 / 1e3);
            record(&mut gaps, gap_ms(outcome));
        }
        if let Some(problem) = &outcome.problem {
            *problems.entry(problem.clone()).or_default() += 1;
            let is_refused = outcome.first_token_s.is_none() && problem != "lost";
            refused_within_rate += usize::from(*within_rate && is_refused);
        }
        if is_good(scenario, outcome) {
            good += 1;
            good_prompt_tokens += arrival.prompt_tokens;
            by_team[arrival.team] += arrival.output_tokens;
        }
    }
    let prefilled_tokens: u64 = engines.iter().map(|counts| counts.prefill_tokens).sum();
    let wasted_tokens = prefilled_tokens.saturating_sub(good_prompt_tokens);
    let good_tokens: u64 = by_team.iter().sum();
    let tokens_and_shares = by_team.iter().zip(reference.shares);
    let ratio = |(tokens, share): (&u64, &f64)| *tokens as f64 / share.max(1.0);
    let ratios = tokens_and_shares.map(ratio);
    let names = scenario.teams.iter().map(|team| team.team.clone());
    let teams: BTreeMap<String, f64> = names.zip(ratios).collect();
    Summary {
        scenario: scenario.name.clone(),
        load: reference.load,
        policy: reference.policy.to_owned(),
        requests: arrivals.len(),
        good,
        good_tokens,
        bound_tokens: reference.bound_tokens,
        goodput_over_bound: good_tokens as f64 / reference.bound_tokens,
        wasted_prefill: wasted_tokens as f64 / prefilled_tokens.max(1) as f64,
        worst_team: teams.values().copied().fold(f64::INFINITY, f64::min),
        teams,
        refused_within_rate: refused_within_rate as f64 / arrivals.len().max(1) as f64,
        first_token_p50_ms: quantile_ms(&first, 0.5),
        first_token_p95_ms: quantile_ms(&first, 0.95),
        added_p50_ms: quantile_ms(&added, 0.5),
        gap_p95_ms: quantile_ms(&gaps, 0.95),
        problems,
        plain: Vec::new(),
    }
}

/// Prints the header of the table.
pub(super) fn print_header() {
    println!(
        "| scenario | load | policy | requests | goodput/bound | wasted prefill | worst team | refused in rate | \
         first p50 ms | first p95 ms | added p50 ms | gap p95 ms | problems |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints one row of the table.
pub(super) fn print_row(summary: &Summary) {
    println!(
        "| {} | {:.1} | {} | {} | {:.3} | {:.4} | {:.3} | {:.4} | {:.0} | {:.0} | {:.1} | {:.2} | {} |",
        summary.scenario,
        summary.load,
        summary.policy,
        summary.requests,
        summary.goodput_over_bound,
        summary.wasted_prefill,
        summary.worst_team,
        summary.refused_within_rate,
        summary.first_token_p50_ms,
        summary.first_token_p95_ms,
        summary.added_p50_ms,
        summary.gap_p95_ms,
        problem_text(&summary.problems),
    );
}

/// Prints a second table with the plain calls of all runs.
pub(super) fn print_plain(summaries: &[Summary]) {
    if summaries.iter().all(|summary| summary.plain.is_empty()) {
        return;
    }
    println!();
    println!(
        "| scenario | load | policy | team | priority | calls | answered | p50 ms | p95 ms | problems |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for summary in summaries {
        for row in &summary.plain {
            println!(
                "| {} | {:.1} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {} |",
                summary.scenario,
                summary.load,
                summary.policy,
                row.team,
                row.priority,
                row.calls,
                row.answered,
                row.p50_ms,
                row.p95_ms,
                problem_text(&row.problems),
            );
        }
    }
}

fn problem_text(problems: &BTreeMap<String, usize>) -> String {
    let problem = |(kind, count): (&String, &usize)| format!("{kind} {count}");
    let problems: Vec<String> = problems.iter().map(problem).collect();
    problems.join(", ")
}

/// Writes the JSON lines and the plot to files.
pub(super) fn write_results(
    scenario: &Scenario,
    summaries: &[Summary],
    output: &Path,
) -> io::Result<()> {
    fs::create_dir_all(output)?;
    let mut lines = String::new();
    for summary in summaries {
        lines.push_str(&serde_json::to_string(summary)?);
        lines.push('\n');
    }
    fs::write(output.join(format!("{}.jsonl", scenario.name)), lines)?;
    fs::write(
        output.join(format!("{}.svg", scenario.name)),
        plot(&scenario.name, summaries),
    )
}

/// Height of one row of the plot, in pixels.
const BAR_HEIGHT_PX: usize = 22;

/// Length of a bar that reaches the bound, in pixels.
const BAR_LENGTH_PX: f64 = 500.0;

/// Bars of goodput over the bound, one for each run.
fn plot(name: &str, summaries: &[Summary]) -> String {
    let height = (summaries.len() + 2) * BAR_HEIGHT_PX;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"800\" height=\"{height}\" font-family=\"sans-serif\" \
         font-size=\"12\"><text x=\"4\" y=\"16\">{name}: goodput over bound</text>\n"
    );
    for (position, summary) in summaries.iter().enumerate() {
        let y = (position + 1) * BAR_HEIGHT_PX;
        let length = summary.goodput_over_bound * BAR_LENGTH_PX;
        // Writing to a string cannot fail.
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{}\">{:.1} {}</text><rect x=\"200\" y=\"{y}\" width=\"{length:.0}\" height=\"16\" \
             fill=\"#4477aa\"/><text x=\"{:.0}\" y=\"{}\">{:.3}</text>",
            y + 13,
            summary.load,
            summary.policy,
            length + 206.0,
            y + 13,
            summary.goodput_over_bound,
        );
    }
    svg.push_str("</svg>\n");
    svg
}
