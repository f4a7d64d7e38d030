//! Reads the log lines of a request from saved logs, for `explain --log`.

use std::collections::BTreeMap;

use camphorwall::RequestEnd;

use super::{
    command::CommandError,
    log_lines::{field, read_logs},
};

/// A log line of a request.
struct LogLine<'a> {
    /// Timestamp as in the log, which sorts as text.
    at: &'a str,
    /// Text before the timestamp, which is the instance if logs of several were collected.
    origin: &'a str,
    /// Text after the timestamp.
    fields: &'a str,
}

/// Reads saved logs and returns a request's log lines in order of time, with the meaning of each outcome.
///
/// # Errors
/// When a file can't be read or no line contains the request id.
pub(crate) fn explain_logs(files: &[String], request_id: &str) -> Result<String, CommandError> {
    let texts = read_logs(files)?;
    let lines = texts.iter().flat_map(|text| text.lines());
    let history = request_history(lines, request_id);
    history.ok_or_else(|| CommandError::Invalid {
        message: format!(
            "no line contains request {request_id}; under load only a sample of the served requests is logged, but \
             all failures are: check whether log_lines_dropped counts dropped lines, and read the other entries' logs"
        ),
    })
}

fn request_history<'a>(lines: impl Iterator<Item = &'a str>, request_id: &str) -> Option<String> {
    let mut matching: Vec<LogLine<'a>> = lines
        .filter(|line| field(line, "request_id") == Some(request_id))
        .filter_map(parse)
        .collect();
    matching.sort_by_key(|line| line.at);
    if matching.is_empty() {
        return None;
    }
    let events = matching
        .iter()
        .map(|line| format!("{} {} {}\n", line.at, line.origin, line.fields));
    let outcomes = matching
        .iter()
        .filter_map(|line| field(line.fields, "outcome"));
    let ends: BTreeMap<&str, &str> = outcomes
        .filter_map(|outcome| outcome.parse::<RequestEnd>().ok())
        .map(|end| (end.label(), end.meaning()))
        .collect();
    let meanings = ends
        .iter()
        .map(|(label, meaning)| format!("\n{label}: {meaning}"));
    Some(events.chain(meanings).collect())
}

/// Splits a line at its timestamp, the first word with the shape of one.
fn parse(line: &str) -> Option<LogLine<'_>> {
    let is_time =
        |word: &&str| word.len() > 19 && word.as_bytes()[10] == b'T' && word.ends_with('Z');
    let at = line.split_whitespace().find(is_time)?;
    let start = line.find(at)?;
    Some(LogLine {
        at,
        origin: line[..start].trim(),
        fields: line[start + at.len()..].trim(),
    })
}

#[cfg(test)]
#[path = "explain_log_tests.rs"]
mod tests;
