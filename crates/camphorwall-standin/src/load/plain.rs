//! Calls of a plain service during the model requests: arrivals, callers and figures.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};

use super::{
    fleet::{LoadFleet, team_key},
    report::{histogram, quantile_ms, record},
    scenario::{PlainLoad, Scenario},
};
use crate::Caller;

/// Route of the calls.
pub(super) const PLAIN_ROUTE: &str = "look-ups";

/// Request path of the calls.
const PATH: &str = "/invoices/1";

/// Offset of the seeds for plain calls, so that they differ from those for model requests.
const SEED_OFFSET: u64 = 1_000;

/// A call that takes longer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Problem of a call without an answer from the entry.
const LOST: &str = "lost";

/// One scheduled call of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) at_s: f64,
    /// Position of the team in the scenario.
    pub(super) team: usize,
    pub(super) entry: usize,
}

/// Time that a call took, or the kind of the refusal or failure.
pub(super) type CallOutcome = Result<Duration, String>;

/// Figures of one team's calls.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PlainRow {
    pub(super) team: String,
    pub(super) priority: u8,
    pub(super) calls: usize,
    pub(super) answered: usize,
    pub(super) p50_ms: f64,
    pub(super) p95_ms: f64,
    pub(super) problems: BTreeMap<String, usize>,
}

/// Poisson arrivals of all teams, sorted by time.
pub(super) fn generate_calls(scenario: &Scenario, plain: &PlainLoad) -> Vec<Call> {
    let mut all = Vec::new();
    for (team, team_load) in plain.teams.iter().enumerate() {
        let stream = scenario.seed.wrapping_add(SEED_OFFSET + team as u64);
        let mut random = ChaCha8Rng::seed_from_u64(stream);
        let mut at_s = 0.0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at_s += -uniform.ln() / plain.calls_per_s(team_load);
            if at_s >= scenario.duration_s {
                break;
            }
            let entry = random.random_range(0..scenario.entries);
            all.push(Call { at_s, team, entry });
        }
    }
    all.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    all
}

/// Starts a thread that sends all calls at their times.
pub(super) fn start_calls(
    plain: &PlainLoad,
    fleet: &LoadFleet,
    calls: Vec<Call>,
) -> JoinHandle<Vec<CallOutcome>> {
    let keys: Vec<String> = plain
        .teams
        .iter()
        .map(|team| team_key(&team.team))
        .collect();
    let (addresses, started_at) = (fleet.caller_addresses.clone(), fleet.started_at);
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(replay_calls(&calls, &keys, &addresses, started_at))
    })
}

async fn replay_calls(
    calls: &[Call],
    keys: &[String],
    addresses: &[SocketAddr],
    started_at: Instant,
) -> Vec<CallOutcome> {
    let callers_of = |address: &SocketAddr| {
        let caller = |key: &String| Caller::new(*address, Some(key));
        keys.iter().map(caller).collect::<Vec<_>>()
    };
    let callers: Vec<_> = addresses.iter().map(callers_of).collect();
    let mut tasks = Vec::new();
    for call in calls {
        let due_at = started_at + Duration::from_secs_f64(call.at_s);
        compio::time::sleep_until(due_at).await;
        let caller = callers[call.entry][call.team].clone();
        tasks.push(compio::runtime::spawn(async move {
            let call = send_call(&caller, due_at);
            let outcome = compio::time::timeout(CALL_TIMEOUT, call).await;
            outcome.unwrap_or_else(|_| Err(LOST.into()))
        }));
    }
    let joined = join_all(tasks).await;
    let outcome = |one: Result<CallOutcome, _>| one.unwrap_or_else(|_| Err(LOST.into()));
    joined.into_iter().map(outcome).collect()
}

async fn send_call(caller: &Caller, due_at: Instant) -> CallOutcome {
    let answer = caller.call(http::Method::GET, PATH, &[], Vec::new()).await;
    match answer {
        Ok(answer) => match answer.json()["type"].as_str() {
            Some(kind) => Err(kind.into()),
            None => Ok(due_at.elapsed()),
        },
        Err(_) => Err(LOST.into()),
    }
}

/// Computes the figures of each team's calls.
pub(super) fn summarise_calls(
    plain: &PlainLoad,
    calls: &[Call],
    outcomes: &[CallOutcome],
) -> Vec<PlainRow> {
    let row = |(team, team_load): (usize, &super::scenario::PlainTeam)| {
        let team_calls = calls.iter().zip(outcomes);
        let team_calls = team_calls.filter(|(call, _)| call.team == team);
        let mut times: Histogram<u64> = histogram();
        let mut problems: BTreeMap<String, usize> = BTreeMap::new();
        let mut count = 0;
        for (_, outcome) in team_calls {
            count += 1;
            match outcome {
                Ok(elapsed) => record(&mut times, elapsed.as_secs_f64() * 1e3),
                Err(kind) => *problems.entry(kind.clone()).or_default() += 1,
            }
        }
        PlainRow {
            team: team_load.team.clone(),
            priority: team_load.priority,
            calls: count,
            answered: count - problems.values().sum::<usize>(),
            p50_ms: quantile_ms(&times, 0.5),
            p95_ms: quantile_ms(&times, 0.95),
            problems,
        }
    };
    plain.teams.iter().enumerate().map(row).collect()
}

impl PlainLoad {
    /// Item of the service in the document `services`.
    pub(super) fn service_document(&self) -> Value {
        json!({"service": self.service})
    }

    /// Item of the route in the document `routes`.
    pub(super) fn route_document(&self) -> Value {
        json!({
            "route": PLAIN_ROUTE, "method": "GET", "path": "/invoices/", "service": self.service, "kind": "plain",
            "idempotent": true, "deadline_ms": self.deadline_ms, "cost_tokens": 1,
        })
    }

    /// Contracts with four times the offered rates, so that only priority protects a team.
    pub(super) fn contract_documents(&self) -> impl Iterator<Item = Value> + '_ {
        self.teams.iter().map(|team| {
            let rate = super::fleet::rounded(self.calls_per_s(team) * 4.0).max(1);
            json!({
                "team": team.team, "weight": 1, "priority": team.priority, "routes": [PLAIN_ROUTE],
                "rate_tokens_per_s": rate, "burst_tokens": rate * 4,
            })
        })
    }
}

#[cfg(test)]
#[path = "plain_tests.rs"]
mod tests;
