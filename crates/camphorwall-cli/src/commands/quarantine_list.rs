//! `quarantine list`: shows the requests that crashed engines, both suspect and quarantined.

use camphorwall::{METHOD_QUARANTINE_LIST, QuarantineEntry};
use getopts::Matches;

use super::{
    command::{Command, CommandError},
    instance::{address, call_instance, format_output},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "quarantine list",
    arguments: "--address IP:PORT",
    summary: "show the requests that crashed engines",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let entries: Vec<QuarantineEntry> =
        call_instance(matches, address(matches)?, METHOD_QUARANTINE_LIST, &())?;
    format_output(matches, &entries, |entries| describe(entries))
}

fn describe(entries: &[QuarantineEntry]) -> String {
    if entries.is_empty() {
        return "no request is suspected or quarantined".into();
    }
    let line = |entry: &QuarantineEntry| {
        let state = if entry.is_quarantined {
            "quarantined"
        } else {
            "suspect"
        };
        format!(
            "{}  {:11}  {}  {} crashes, forgotten in {} s",
            entry.fingerprint,
            state,
            entry.service,
            entry.crashes,
            entry.expires_in_ms / 1_000
        )
    };
    entries.iter().map(line).collect::<Vec<_>>().join("\n")
}
