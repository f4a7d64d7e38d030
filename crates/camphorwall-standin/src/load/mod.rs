//! The load tool: sends the same seeded arrivals to a real fleet on loopback, once for each routing policy.

mod arrivals;
mod bound;
mod drive;
mod fleet;
mod plain;
mod report;
mod scenario;

use std::{io, path::Path};

pub use scenario::{Burst, PlainLoad, PlainTeam, Scenario, SizeRange, TeamLoad};

use self::{
    arrivals::{Arrival, generate, within_rate},
    bound::{fair_shares, upper_bound_tokens},
    drive::RequestOutcome,
    plain::{PlainRow, generate_calls, start_calls, summarise_calls},
    report::{Summary, summarise, write_results},
};
use crate::EngineCounts;

/// Runs all loads and policies of a scenario, prints a table and writes JSON lines and a plot.
///
/// # Errors
/// When the results can't be written.
///
/// # Panics
/// When the fleet can't start.
pub fn run_scenario(scenario: &Scenario, output: &Path) -> io::Result<()> {
    let mut summaries: Vec<Summary> = Vec::new();
    report::print_header();
    for load in &scenario.loads {
        let arrivals = generate(scenario, *load);
        let within_rate = within_rate(scenario, &arrivals);
        let bound_tokens = upper_bound_tokens(scenario, &arrivals, &within_rate);
        let shares = fair_shares(scenario, &arrivals, &within_rate, bound_tokens);
        for policy in &scenario.policies {
            let run = run_once(scenario, policy, &arrivals);
            let reference = report::Reference {
                load: *load,
                policy,
                bound_tokens,
                shares: &shares,
                within_rate: &within_rate,
            };
            let mut summary =
                summarise(scenario, &reference, &arrivals, &run.outcomes, &run.engines);
            summary.plain = run.plain;
            report::print_row(&summary);
            summaries.push(summary);
        }
    }
    report::print_plain(&summaries);
    write_results(scenario, &summaries, output)
}

/// Measurements of one run.
struct Measurements {
    /// Outcomes of the requests, in the order of the arrivals.
    outcomes: Vec<RequestOutcome>,
    /// Counters of the engines.
    engines: Vec<EngineCounts>,
    /// Figures of the calls of the plain service, by team.
    plain: Vec<PlainRow>,
}

/// Sends the arrivals, and the plain service's calls, to a new fleet with one routing policy.
fn run_once(scenario: &Scenario, policy: &str, arrivals: &[Arrival]) -> Measurements {
    let fleet = fleet::LoadFleet::start(scenario, policy);
    let calls = scenario.plain.as_ref().map(|plain| {
        let calls = generate_calls(scenario, plain);
        (plain, start_calls(plain, &fleet, calls.clone()), calls)
    });
    let outcomes = drive::replay(scenario, &fleet, arrivals);
    let plain = calls.map_or_else(Vec::new, |(plain, running, calls)| {
        let outcomes = running.join().expect("callers don't panic");
        summarise_calls(plain, &calls, &outcomes)
    });
    Measurements {
        outcomes,
        engines: fleet.stop(),
        plain,
    }
}

#[cfg(test)]
#[path = "smoke_tests.rs"]
mod smoke_tests;
