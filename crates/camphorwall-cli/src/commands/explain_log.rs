//! Reads the log lines of a request from saved logs, for `explain --log`.

use std::{collections::BTreeMap, path::Path};

use camphorwall::RequestEnd;

use super::command::CommandError;

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
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read(Path::new(file)).map_err(|error| CommandError::Invalid {
            message: format!("{file}: can't be read: {error}; check the path"),
        })?;
        texts.push(String::from_utf8_lossy(&text).into_owned());
    }
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

/// Value of a field in a line, without quotes.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let start = rest.find(name)?;
        let after = &rest[start + name.len()..];
        let is_at_word_start = start == 0 || rest[..start].ends_with(' ');
        match after.strip_prefix('=') {
            Some(value) if is_at_word_start => {
                let quoted = value
                    .strip_prefix('"')
                    .and_then(|value| value.split('"').next());
                return quoted.or_else(|| value.split_whitespace().next());
            }
            _ => rest = after,
        }
    }
}

#[cfg(test)]
#[path = "explain_log_tests.rs"]
mod tests;
