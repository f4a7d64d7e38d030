//! `explain`: shows the decisions by which an entry served or refused a request.

use camphorwall::{Explain, Explanation, METHOD_EXPLAIN};
use getopts::Matches;

use super::{
    command::{Command, CommandError, operands},
    explain_log::explain_logs,
    instance::{address, call_instance, format_output},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "explain",
    arguments: "REQUEST-ID (--address IP:PORT | --log FILE)",
    summary: "show an entry's decisions on a request, or its lines in saved logs",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let usage = |message: String| CommandError::Usage { message };
    let [request_id] = operands(matches, &COMMAND) else {
        return Err(usage(
            "give one request id, as in the response header camphorwall-request-id".into(),
        ));
    };
    let logs = matches.opt_strs("log");
    if !logs.is_empty() {
        return explain_logs(&logs, request_id);
    }
    let request_id = request_id
        .parse()
        .map_err(|error| usage(format!("{error}")))?;
    let explanation = call_instance(
        matches,
        address(matches)?,
        METHOD_EXPLAIN,
        &Explain { request_id },
    )?;
    format_output(matches, &explanation, describe)
}

fn describe(explanation: &Explanation) -> String {
    if explanation.decisions.is_empty() {
        return "the entry does not remember this request; ask the entry that served it".into();
    }
    let line = |one: &camphorwall::Decision| {
        format!("{:>10} us  {:10} {}", one.after_us, one.step, one.detail)
    };
    explanation
        .decisions
        .iter()
        .map(line)
        .collect::<Vec<_>>()
        .join("\n")
}
