//! Checks the records of callers, engines and services against the guarantees that hold for every request.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use strum::Display;

use crate::{Engine, Run};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The answer was marked complete.
    Complete,
    /// The answer ended with this problem.
    Problem(Value),
    /// The connection broke without an explicit end.
    Cut,
    /// The test killed the caller's entry, so that no process could send an explicit end.
    EntryKilled,
    /// The caller disconnected.
    Disconnected,
}

/// Record that a caller keeps of one model request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRecord {
    /// Id from the response; empty if there was none.
    pub request_id: String,
    /// Prompt of the request.
    pub prompt: String,
    /// Maximum number of output tokens of the request.
    pub max_tokens: u64,
    /// Text that the caller received.
    pub text: String,
    /// How the request ended.
    pub ending: Ending,
}

/// All records of a test run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Records of callers.
    pub callers: Vec<CallerRecord>,
    /// Requests that any engine computed for.
    pub ran: BTreeSet<String>,
    /// Runs at plain services.
    pub runs: Vec<Run>,
    /// Number of generations and KV caches in the memory of all engines after the run.
    pub requests_in_memory: usize,
}

/// A guarantee that was not kept.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// A request was reported as not run although an engine computed for it.
    #[strum(to_string = "request {0} was called not run and ran")]
    NotRunButRan(String),
    /// A request ended without a complete answer and without an explicit failure.
    #[strum(to_string = "request {0} ended without a word")]
    NoEnding(String),
    /// Tokens were lost, repeated or out of order.
    #[strum(to_string = "request {0} has lost, repeated or reordered tokens")]
    WrongTokens(String),
    /// A failure does not state whether the request may have run.
    #[strum(to_string = "request {0} failed without an outcome")]
    NoOutcome(String),
    /// Calls with one idempotency key ran more than once.
    #[strum(to_string = "idempotency key {0} ran more than once")]
    RanTwice(String),
    /// Engines still hold memory of ended requests.
    #[strum(to_string = "{0} requests still hold engine memory")]
    MemoryHeld(usize),
}

/// Returns all guarantees that were not kept.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut violations: Vec<Violation> = evidence
        .callers
        .iter()
        .flat_map(|record| check_caller(record, &evidence.ran))
        .collect();
    let mut runs_by_key: BTreeMap<&str, u32> = BTreeMap::new();
    for run in &evidence.runs {
        *runs_by_key.entry(&run.idempotency_key).or_default() += 1;
    }
    let run_twice = runs_by_key.into_iter().filter(|(_, count)| *count > 1);
    violations.extend(run_twice.map(|(key, _)| Violation::RanTwice(key.to_owned())));
    if evidence.requests_in_memory > 0 {
        violations.push(Violation::MemoryHeld(evidence.requests_in_memory));
    }
    violations
}

fn check_caller(record: &CallerRecord, ran: &BTreeSet<String>) -> Vec<Violation> {
    let id = || record.request_id.clone();
    let expected = Engine::complete_answer(&record.prompt, record.max_tokens);
    let mut violations = Vec::new();
    match &record.ending {
        Ending::Complete if record.text != expected => {
            violations.push(Violation::WrongTokens(id()));
        }
        _ if !expected.starts_with(&record.text) => violations.push(Violation::WrongTokens(id())),
        _ => {}
    }
    match &record.ending {
        Ending::Cut => violations.push(Violation::NoEnding(id())),
        Ending::Problem(problem) => match problem["outcome"].as_str() {
            None => violations.push(Violation::NoOutcome(id())),
            Some("not_run") if ran.contains(&record.request_id) => {
                violations.push(Violation::NotRunButRan(id()));
            }
            Some(_) => {}
        },
        Ending::EntryKilled | Ending::Disconnected | Ending::Complete => {}
    }
    violations
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
