//! Demo: runs the main use cases from end to end and checks every outcome.

use std::{fmt, time::Instant};

use camphorwall::EngineRole;
use http::Method;

use crate::{Caller, Engine, Event, Fleet, FleetOptions, documents, wait_until};

/// Length of each answer.
const ANSWER_TOKENS: u64 = 40;

/// Number of times that the demo sends the same order.
const ORDER_CALLS: usize = 3;

/// One outcome that the demo checked.
#[derive(Clone, Debug)]
pub struct DemoRow {
    /// What was done.
    pub action: &'static str,
    /// What should happen.
    pub expected: &'static str,
    /// What happened.
    pub seen: String,
    /// Whether the outcome is as expected.
    pub is_right: bool,
}

impl fmt::Display for DemoRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_right { "right" } else { "WRONG" };
        write!(
            f,
            "{verdict:5}  {:34}  {:38}  {}",
            self.action, self.expected, self.seen
        )
    }
}

fn row(action: &'static str, expected: &'static str, seen: String, is_right: bool) -> DemoRow {
    DemoRow {
        action,
        expected,
        seen,
        is_right,
    }
}

/// Runs the demo and returns all outcomes.
pub async fn run_demo() -> Vec<DemoRow> {
    let mut fleet = Fleet::start(&FleetOptions {
        entries: 2,
        ..FleetOptions::default()
    })
    .await;
    let mut rows = vec![
        show_stream(&fleet).await,
        show_unstreamed(&fleet).await,
        show_invoice_number(&fleet).await,
        show_order(&fleet).await,
        show_unknown_key(&fleet).await,
        show_disconnected_caller(&fleet).await,
        show_withdrawn_key(&fleet).await,
        show_refusal_over_rate(&fleet).await,
    ];
    rows.push(show_killed_engine(&mut fleet).await);
    rows.push(show_hidden_keys(&fleet));
    rows.push(show_freed_memory(&fleet).await);
    fleet.stop().await;
    rows
}

async fn show_stream(fleet: &Fleet) -> DemoRow {
    let prompt = documents::ledger("marousi", 1, 120);
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let started_at = Instant::now();
    let (seen, is_right) = match caller.stream(&prompt, ANSWER_TOKENS).await {
        Ok(Ok(mut events)) => {
            let (text, last) = events.read_to_end().await;
            let is_complete = text == Engine::complete_answer(&prompt, ANSWER_TOKENS);
            let seen = format!("{ANSWER_TOKENS} tokens in {:?}", started_at.elapsed());
            (seen, is_complete && last == Some(Event::Done))
        }
        Ok(Err(answer)) => (answer.json().to_string(), false),
        Err(error) => (error.to_string(), false),
    };
    row(
        "stream a ledger's summary",
        "whole answer, then [DONE]",
        seen,
        is_right,
    )
}

async fn show_unstreamed(fleet: &Fleet) -> DemoRow {
    let prompt = documents::specification(2, 80);
    let caller = Caller::new(fleet.caller_address(1), Some("ledger-key"));
    let (seen, is_right) = match caller.complete(&prompt, ANSWER_TOKENS).await {
        Ok(answer) => {
            let text = answer.json()["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            let is_complete = text == Engine::complete_answer(&prompt, ANSWER_TOKENS);
            (
                format!("status {}, {} bytes", answer.status, text.len()),
                is_complete,
            )
        }
        Err(error) => (error.to_string(), false),
    };
    row(
        "draft a fit check at another entry",
        "whole answer in one object",
        seen,
        is_right,
    )
}

async fn show_invoice_number(fleet: &Fleet) -> DemoRow {
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let key = documents::new_idempotency_key();
    let headers = [("idempotency-key", key.as_str())];
    let issued = caller
        .call(Method::POST, "/invoices", &headers, b"sale-77".to_vec())
        .await;
    let looked_up = caller
        .call(Method::GET, "/invoices/sale-77", &[], Vec::new())
        .await;
    let number = |answer: cyper::Result<crate::Answer>| answer.ok()?.json()["number"].as_u64();
    let (issued, looked_up) = (number(issued), number(looked_up));
    let seen = format!("issued {issued:?}, looked up {looked_up:?}");
    let is_right = issued.is_some() && issued == looked_up;
    row(
        "issue an invoice number, look it up",
        "the same number",
        seen,
        is_right,
    )
}

async fn show_order(fleet: &Fleet) -> DemoRow {
    let key = documents::new_idempotency_key();
    let headers = [("idempotency-key", key.as_str())];
    let order = b"one roof for the Couva cooperative";
    let mut answers = Vec::new();
    for call in 0..ORDER_CALLS {
        let caller = Caller::new(
            fleet.caller_address(call % fleet.entries.len()),
            Some("till-key"),
        );
        let answer = caller
            .call(Method::POST, "/orders", &headers, order.to_vec())
            .await;
        answers.push(
            answer
                .map(|answer| (answer.status, answer.json()["number"].as_u64()))
                .ok(),
        );
    }
    let runs = fleet
        .plain
        .runs()
        .iter()
        .filter(|run| run.idempotency_key == key)
        .count();
    let is_same = answers
        .iter()
        .all(|answer| answer.is_some() && *answer == answers[0]);
    let seen = format!(
        "{runs} run, answers {}",
        if is_same { "alike" } else { "differ" }
    );
    row(
        "send one order three times",
        "runs once, same answer each time",
        seen,
        runs == 1 && is_same,
    )
}

async fn show_unknown_key(fleet: &Fleet) -> DemoRow {
    let caller = Caller::new(fleet.caller_address(0), Some("guessed-key"));
    let answer = caller.complete("anything at all", 1).await;
    let (status, outcome) = answer.map_or_else(
        |error| (0, error.to_string()),
        |answer| (answer.status, answer.json()["outcome"].to_string()),
    );
    let is_right = (status, outcome.as_str()) == (401, "\"not_run\"");
    row(
        "use a key that nobody gave",
        "401, not_run",
        format!("{status}, {outcome}"),
        is_right,
    )
}

async fn show_disconnected_caller(fleet: &Fleet) -> DemoRow {
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let started = caller
        .stream(&documents::ledger("kifisia", 3, 60), 100_000)
        .await;
    let Ok(Ok(mut events)) = started else {
        return row(
            "leave in mid-answer",
            "engine memory freed",
            "no stream".into(),
            false,
        );
    };
    let first = events.next().await;
    drop((events, caller));
    let disconnected_at = Instant::now();
    wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
    let seen = format!("freed after {:?}", disconnected_at.elapsed());
    row(
        "leave in mid-answer",
        "engine memory freed",
        seen,
        matches!(first, Some(Event::Text(_))),
    )
}

async fn show_withdrawn_key(fleet: &Fleet) -> DemoRow {
    let action = "withdraw a key under its stream";
    let expected = "explicit key-withdrawn event, then 401";
    fleet.publish_keys(&[
        ("till-key", "marousi-tills"),
        ("ledger-key", "kifisia-ledgers"),
        ("lent-key", "kifisia-ledgers"),
    ]);
    let caller = Caller::new(fleet.caller_address(0), Some("lent-key"));
    let prompt = documents::ledger("piraeus", 4, 60);
    let stream = async || caller.stream(&prompt, 100_000).await.ok()?.ok();
    let mut events = wait_until(stream).await;
    let withdrawn_at = Instant::now();
    fleet.publish_keys(&[
        ("till-key", "marousi-tills"),
        ("ledger-key", "kifisia-ledgers"),
    ]);
    let (_, last) = events.read_to_end().await;
    let took = withdrawn_at.elapsed();
    let kind = match &last {
        Some(Event::Error(problem)) => problem["type"].to_string(),
        other => format!("{other:?}"),
    };
    let next = caller
        .complete(&prompt, 1)
        .await
        .map(|answer| answer.status)
        .unwrap_or_default();
    let is_right = (kind.as_str(), next) == ("\"key-withdrawn\"", 401);
    row(
        action,
        expected,
        format!("{kind} after {took:?}, then {next}"),
        is_right,
    )
}

async fn show_refusal_over_rate(fleet: &Fleet) -> DemoRow {
    let revision = fleet.publish_contracts(100, 4_000);
    fleet.wait_for_revision("contracts", revision).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let prompt = documents::ledger("marousi", 5, 10);
    let mut refusal = None;
    for _ in 0..200 {
        let answer = caller.complete(&prompt, 200).await;
        if let Ok(answer) = answer
            && answer.status != 200
        {
            refusal = Some(answer);
            break;
        }
    }
    let revision = fleet.publish_contracts(1_000_000, 1_000_000);
    fleet.wait_for_revision("contracts", revision).await;
    let Some(refusal) = refusal else {
        return row(
            "send over the rate",
            "429 with its time, not_run",
            "never refused".into(),
            false,
        );
    };
    let problem = refusal.json();
    let seen = format!(
        "{}, {}, retry after {} ms",
        refusal.status, problem["outcome"], problem["retry_after_ms"]
    );
    let is_right = refusal.status == 429
        && problem["outcome"] == "not_run"
        && problem["retry_after_ms"].is_u64();
    row(
        "send over the rate",
        "429 with its time, not_run",
        seen,
        is_right,
    )
}

async fn show_killed_engine(fleet: &mut Fleet) -> DemoRow {
    let action = "kill a decode engine under a stream";
    let expected = "whole answer, or an explicit end";
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let prompt = documents::ledger("kifisia", 6, 60);
    let Ok(Ok(mut events)) = caller.stream(&prompt, 400).await else {
        return row(action, expected, "no stream".into(), false);
    };
    let first = events.next().await;
    let is_busy = |endpoint: &&mut crate::FleetEndpoint| {
        endpoint.role == EngineRole::Decode
            && endpoint
                .engine
                .as_ref()
                .is_some_and(|engine| engine.requests_in_memory() > 0)
    };
    if let Some(endpoint) = fleet.endpoints.iter_mut().find(is_busy) {
        endpoint.kill_engine();
    }
    let (rest, last) = events.read_to_end().await;
    let text = match first {
        Some(Event::Text(text)) => text + &rest,
        _ => rest,
    };
    let is_complete = text == Engine::complete_answer(&prompt, 400) && last == Some(Event::Done);
    let is_explicit = matches!(last, Some(Event::Error(_)));
    let seen = match &last {
        Some(Event::Error(problem)) => format!("{}, {}", problem["type"], problem["outcome"]),
        _ if is_complete => "whole answer from another engine".into(),
        other => format!("{other:?}"),
    };
    row(action, expected, seen, is_complete || is_explicit)
}

fn show_hidden_keys(fleet: &Fleet) -> DemoRow {
    let engines = fleet
        .endpoints
        .iter()
        .filter_map(|endpoint| endpoint.engine.as_ref());
    let received: Vec<_> = engines
        .flat_map(Engine::received)
        .chain(fleet.plain.received())
        .collect();
    let keys = ["till-key", "ledger-key", "lent-key"];
    let leaks = received
        .iter()
        .filter(|text| keys.iter().any(|key| text.contains(key)))
        .count();
    let seen = format!("{leaks} of {} requests", received.len());
    row(
        "look for keys at the endpoints",
        "in no request",
        seen,
        leaks == 0 && !received.is_empty(),
    )
}

async fn show_freed_memory(fleet: &Fleet) -> DemoRow {
    wait_until(async || (fleet.requests_in_memory() == 0).then_some(())).await;
    row(
        "look for held memory at the end",
        "no engine holds any",
        format!("{} requests", fleet.requests_in_memory()),
        fleet.requests_in_memory() == 0,
    )
}
