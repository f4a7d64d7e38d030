//! Sends the requests of a run from caller threads and measures the answers.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use futures_util::future::join_all;

use super::{
    arrivals::Arrival,
    fleet::{LoadFleet, team_key},
    scenario::Scenario,
};
use crate::{Caller, Event};

/// Number of threads that send requests.
const CALLER_THREADS: usize = 2;

/// A request that takes longer counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Measured outcome of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestOutcome {
    /// Time from the scheduled arrival to the first token.
    pub(super) first_token_s: Option<f64>,
    /// Time from the first to the last token.
    pub(super) first_to_last_token_s: f64,
    pub(super) tokens: u64,
    pub(super) is_complete: bool,
    /// Kind of the refusal or failure; `lost` if the request ended without one.
    pub(super) problem: Option<String>,
}

/// Sends all requests at their arrival times; returns the outcomes in the same order.
pub(super) fn replay(
    scenario: &Scenario,
    fleet: &LoadFleet,
    arrivals: &[Arrival],
) -> Vec<RequestOutcome> {
    let arrivals: Arc<[Arrival]> = arrivals.into();
    let keys: Arc<[String]> = scenario
        .teams
        .iter()
        .map(|team| team_key(&team.team))
        .collect();
    let threads: Vec<_> = (0..CALLER_THREADS)
        .map(|number| {
            let (arrivals, keys) = (Arc::clone(&arrivals), Arc::clone(&keys));
            let (addresses, started_at) = (fleet.caller_addresses.clone(), fleet.started_at);
            thread::spawn(move || {
                let runtime = compio::runtime::Runtime::new().expect("a runtime");
                runtime.block_on(replay_part(
                    number, &arrivals, &keys, &addresses, started_at,
                ))
            })
        })
        .collect();
    let mut outcomes = vec![RequestOutcome::default(); arrivals.len()];
    for thread in threads {
        for (position, outcome) in thread.join().expect("callers don't panic") {
            outcomes[position] = outcome;
        }
    }
    outcomes
}

async fn replay_part(
    number: usize,
    arrivals: &Arc<[Arrival]>,
    keys: &[String],
    addresses: &[std::net::SocketAddr],
    started_at: Instant,
) -> Vec<(usize, RequestOutcome)> {
    let callers: Vec<Vec<Caller>> = addresses
        .iter()
        .map(|address| {
            let caller = |key: &String| Caller::new(*address, Some(key));
            keys.iter().map(caller).collect()
        })
        .collect();
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for position in (number..arrivals.len()).step_by(CALLER_THREADS) {
        let arrival = arrivals[position].clone();
        let due_at = started_at + Duration::from_secs_f64(arrival.at_s);
        compio::time::sleep_until(due_at).await;
        let caller = callers[arrival.entry][arrival.team].clone();
        let outcomes = Rc::clone(&outcomes);
        tasks.push(compio::runtime::spawn(async move {
            let request = send_request(&caller, &arrival, position, due_at);
            let outcome = compio::time::timeout(REQUEST_TIMEOUT, request).await;
            let outcome = outcome.unwrap_or_else(|_| lost_outcome());
            outcomes.borrow_mut().push((position, outcome));
        }));
    }
    join_all(tasks).await;
    outcomes.take()
}

fn lost_outcome() -> RequestOutcome {
    RequestOutcome {
        problem: Some("lost".into()),
        ..RequestOutcome::default()
    }
}

/// Prompt with one word per token, different for each request.
fn prompt(position: usize, tokens: u64) -> String {
    let mut text = format!("r{position}");
    for _ in 1..tokens {
        text.push_str(" w");
    }
    text
}

async fn send_request(
    caller: &Caller,
    arrival: &Arrival,
    position: usize,
    due_at: Instant,
) -> RequestOutcome {
    let prompt = prompt(position, arrival.prompt_tokens);
    let mut events = match caller.stream(&prompt, arrival.output_tokens).await {
        Ok(Ok(events)) => events,
        Ok(Err(refused)) => {
            let kind = refused.json()["type"].as_str().unwrap_or("lost").to_owned();
            return RequestOutcome {
                problem: Some(kind),
                ..RequestOutcome::default()
            };
        }
        Err(_) => return lost_outcome(),
    };
    let mut outcome = lost_outcome();
    let mut first_at = due_at;
    let mut last_at = due_at;
    while let Some(event) = events.next().await {
        match event {
            Event::Text(text) if text.is_empty() => {}
            Event::Text(_) => {
                last_at = Instant::now();
                if outcome.first_token_s.is_none() {
                    first_at = last_at;
                    outcome.first_token_s = Some((first_at - due_at).as_secs_f64());
                }
                outcome.tokens += 1;
            }
            Event::Done => {
                outcome.is_complete = outcome.tokens == arrival.output_tokens;
                outcome.problem = None;
            }
            Event::Error(problem) => {
                outcome.problem = problem["type"].as_str().map(str::to_owned);
            }
        }
    }
    outcome.first_to_last_token_s = (last_at - first_at).as_secs_f64();
    outcome
}
