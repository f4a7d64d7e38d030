//! `load`: runs a scenario with each of its routing policies and reports the figures.

use std::{path::Path, process::ExitCode};

use camphorwall_standin::{Scenario, run_scenario};
use getopts::Options;

use super::command::EXIT_USAGE;

/// Default directory of the results.
const DEFAULT_OUTPUT: &str = "target/load";

/// Runs the command with the arguments after its name.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("o", "output", "directory of the results", "DIR");
    let usage = options.usage("Usage: camphorwall-standin load [-o DIR] SCENARIO.jsonc");
    let Ok(matches) = options.parse(arguments) else {
        eprintln!("{usage}");
        return ExitCode::from(EXIT_USAGE);
    };
    let [path] = matches.free.as_slice() else {
        eprintln!("{usage}");
        return ExitCode::from(EXIT_USAGE);
    };
    let output = matches
        .opt_str("output")
        .unwrap_or_else(|| DEFAULT_OUTPUT.into());
    match Scenario::read(Path::new(path)) {
        Ok(scenario) => match run_scenario(&scenario, Path::new(&output)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("camphorwall-standin: can't write to {output}: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => {
            eprintln!("camphorwall-standin: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
