//! Checks what callers, engines and services recorded against what every request is promised.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use strum::Display;

use crate::{Engine, Run};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// The answer was marked whole.
    Complete,
    /// The answer ended with this problem.
    Problem(Value),
    /// The connection broke without a word.
    Cut,
    /// The caller's entry was killed by the test; nobody could say a word.
    EntryKilled,
    /// The caller left.
    Left,
}

/// What a caller recorded of one model request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRecord {
    /// Id that came with the answer; empty if none came.
    pub request_id: String,
    /// Prompt that was sent.
    pub prompt: String,
    /// Most tokens that were asked for.
    pub max_tokens: u64,
    /// Text that arrived.
    pub text: String,
    /// How it ended.
    pub ending: Ending,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Records of callers.
    pub callers: Vec<CallerRecord>,
    /// Requests that any engine computed for.
    pub ran: BTreeSet<String>,
    /// Runs at plain services.
    pub runs: Vec<Run>,
    /// Requests that hold memory at any engine after the run.
    pub held: usize,
}

/// A broken promise.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// A request was called not run and ran.
    #[strum(to_string = "request {0} was called not run and ran")]
    NotRunButRan(String),
    /// A request ended without a whole answer and without an explicit failure.
    #[strum(to_string = "request {0} ended without a word")]
    NoEnding(String),
    /// Tokens were lost, repeated or out of order.
    #[strum(to_string = "request {0} has lost, repeated or reordered tokens")]
    WrongTokens(String),
    /// A refusal does not say what is known of the effect.
    #[strum(to_string = "request {0} failed without an outcome")]
    NoOutcome(String),
    /// An idempotency key ran more than once.
    #[strum(to_string = "idempotency key {0} ran more than once")]
    RanTwice(String),
    /// Engines still hold memory.
    #[strum(to_string = "{0} requests still hold engine memory")]
    MemoryHeld(usize),
}

/// Finds all broken promises.
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
    let repeated = runs_by_key.into_iter().filter(|(_, count)| *count > 1);
    violations.extend(repeated.map(|(key, _)| Violation::RanTwice(key.to_owned())));
    if evidence.held > 0 {
        violations.push(Violation::MemoryHeld(evidence.held));
    }
    violations
}

fn check_caller(record: &CallerRecord, ran: &BTreeSet<String>) -> Vec<Violation> {
    let id = || record.request_id.clone();
    let whole = Engine::complete_answer(&record.prompt, record.max_tokens);
    let mut violations = Vec::new();
    match &record.ending {
        Ending::Complete if record.text != whole => violations.push(Violation::WrongTokens(id())),
        _ if !whole.starts_with(&record.text) => violations.push(Violation::WrongTokens(id())),
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
        Ending::EntryKilled | Ending::Left | Ending::Complete => {}
    }
    violations
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
