//! `demo`: runs a fleet on loopback and checks its outcomes.

use std::process::ExitCode;

use camphorwall_standin::run_demo;

use super::serve::block_on;

/// Runs the command. It succeeds only if every outcome is as expected.
pub(crate) fn run(_arguments: &[String]) -> ExitCode {
    block_on(async {
        let rows = Box::pin(run_demo()).await;
        for row in &rows {
            println!("{row}");
        }
        if rows.iter().all(|row| row.is_right) {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    })
}
