//! Serves a call of a plain service.
//!
//! Idempotent calls may be retried within their deadline; all others run at most once.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use camphorwall::{
    BoxedBody, EngineRole, Frame, Instance, LedgerKey, Outcome, PlainCall, Problem, ProblemKind,
    RequestId, Reserve, Tokens, Work, full_body,
};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use hyper::Response;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    active::ActiveGuard,
    admission::Admission,
    attempt::{Attempt, AttemptError},
    ledger_call::{LedgerCall, serve_ledger_call},
    model::{attempt_problem, charge, unexpected_frame},
};
use crate::{
    entry::Entry,
    ledger::{KEY_HEADER, KeyError, key_and_issue_time},
    routing::RoutingRequest,
};

/// Header fields that are forwarded to the service, besides the idempotency key. All others are dropped, so that no API
/// key leaves the entry.
const FORWARDED_HEADERS: [HeaderName; 3] =
    [header::ACCEPT, header::CONTENT_TYPE, header::USER_AGENT];

/// Maximum attempts of an idempotent call.
const MAX_ATTEMPTS: u32 = 4;

/// Pause between two attempts of an idempotent call.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// One call of a plain service.
pub(crate) struct PlainRequest {
    pub(crate) request_id: RequestId,
    pub(crate) admission: Admission,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived_at: Instant,
}

impl PlainRequest {
    fn deadline(&self) -> Instant {
        self.arrived_at + Duration::from_millis(self.admission.route.deadline_ms)
    }

    fn call(&self) -> PlainCall {
        let forwarded = |name: HeaderName| {
            Some((
                name.to_string(),
                self.headers.get(&name)?.to_str().ok()?.to_owned(),
            ))
        };
        let key_header = HeaderName::from_static(KEY_HEADER);
        let key = self.headers.get(&key_header);
        PlainCall {
            method: self.admission.route.method.clone(),
            path: self.path.clone(),
            idempotency_key: key.and_then(|key| key.to_str().ok()).map(str::to_owned),
            headers: FORWARDED_HEADERS
                .into_iter()
                .chain([key_header])
                .filter_map(forwarded)
                .collect(),
            body: self.body.to_vec(),
        }
    }

    fn reserve(&self, entry: &Entry, attempt: u32) -> Reserve {
        let admission = &self.admission;
        Reserve {
            fingerprint: xxh3_64(&self.body),
            ..admission.reserve(entry, self.request_id, attempt, self.deadline())
        }
    }

    /// Builds the call that the ledger runs at most once.
    fn ledger_call(&self, entry: &Entry) -> Result<LedgerCall, KeyError> {
        let (key, issued_ms) = key_and_issue_time(&self.headers)?;
        let route = &self.admission.route;
        let contract = self.admission.contract.as_ref();
        Ok(LedgerCall {
            key: LedgerKey {
                service: route.service.clone(),
                team: contract.map(|contract| contract.team.clone()),
                route: route.route.clone(),
                key,
            },
            issued_ms,
            reserve: self.reserve(entry, 1),
            call: self.call(),
            deadline: self.deadline(),
        })
    }
}

/// Charges the budget and serves a call; returns its complete answer.
pub(crate) async fn serve_plain(
    entry: &Rc<Entry>,
    request: &PlainRequest,
) -> Result<Response<BoxedBody>, Problem> {
    let ledger_call = if request.admission.route.idempotent {
        None
    } else {
        let ledger_call = request.ledger_call(entry);
        Some(ledger_call.map_err(|error| key_problem(&error))?)
    };
    let cost = request.admission.route.cost_tokens;
    let charge = charge(entry, &request.admission, cost, request.deadline()).await?;
    let result = match ledger_call {
        Some(ledger_call) => serve_ledger_call(entry, ledger_call).await,
        None => serve_idempotent(entry, request).await,
    };
    match (&result, &charge) {
        (Err(problem), Some(charge)) if problem.outcome == Outcome::NotRun => {
            entry.budgets.settle(charge, Tokens(0));
        }
        (_, Some(charge)) => entry.budgets.settle(charge, cost),
        (_, None) => {}
    }
    match result? {
        Frame::Answer {
            status,
            headers,
            body,
        } => Ok(service_response(status, &headers, body)),
        frame => Err(unexpected_frame(&frame)),
    }
}

fn key_problem(error: &KeyError) -> Problem {
    Problem::not_run(ProblemKind::IdempotencyKeyMissing, error.to_string())
}

/// Serves an idempotent call; an attempt that brought no answer is retried at another replica.
async fn serve_idempotent(entry: &Rc<Entry>, request: &PlainRequest) -> Result<Frame, Problem> {
    entry.retries.earn();
    let mut may_have_run = false;
    let guard = entry.active.add(request.request_id, request.admission.key);
    let service = &request.admission.route.service;
    let mut problem = Problem::not_run(
        ProblemKind::Unavailable,
        format!("service {service} has no endpoint"),
    );
    let mut tried = Vec::new();
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(instance) = next_replica(entry, request, &mut tried) else {
            break;
        };
        let left = request.deadline().saturating_duration_since(Instant::now());
        let reserve = request.reserve(entry, attempt);
        let trying = Box::pin(try_once(entry, request, &guard, &reserve, instance));
        problem = match compio::time::timeout(left, trying).await {
            Ok(Ok(frame)) => return Ok(frame),
            Ok(Err(error)) => attempt_problem(&error),
            Err(_) => Problem::new(
                ProblemKind::DeadlinePassed,
                Outcome::MayHaveRun,
                "no answer came before the deadline; the call is idempotent, so repeat it",
            ),
        };
        // A refusal cost no work. A failure may have cost some, so its retry is taken from the retry budget.
        let has_failed = problem.outcome != Outcome::NotRun;
        may_have_run |= has_failed;
        let is_late = request.deadline() <= Instant::now() + RETRY_PAUSE;
        if is_late
            || (has_failed && !entry.take_retry(request.request_id, attempt, &problem.detail))
        {
            break;
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
    if may_have_run && problem.outcome == Outcome::NotRun {
        problem.outcome = Outcome::MayHaveRun;
    }
    Err(problem)
}

/// The best replica that was not tried yet, or the best of all if each was tried.
fn next_replica(
    entry: &Entry,
    request: &PlainRequest,
    tried: &mut Vec<Instance>,
) -> Option<Instance> {
    let routing_request = RoutingRequest {
        service: &request.admission.route.service,
        role: EngineRole::Plain,
        near: &entry.settings.data_centre,
        prompt_tokens: 0,
        pieces: &[],
        fingerprint: xxh3_64(&request.body),
    };
    let published = entry.published.get();
    let ranked = entry
        .router
        .candidates(&published, &routing_request, Instant::now());
    let is_untried = |instance: &&Rc<Instance>| {
        !tried.contains(instance) && !entry.leaving.contains(instance.peer_address)
    };
    let untried = ranked.iter().find(is_untried);
    let next = Instance::clone(untried.or(ranked.first())?);
    tried.push(next.clone());
    Some(next)
}

async fn try_once(
    entry: &Rc<Entry>,
    request: &PlainRequest,
    guard: &ActiveGuard,
    reserve: &Reserve,
    instance: Instance,
) -> Result<Frame, AttemptError> {
    let mut attempt = Attempt::reserve(entry, reserve, instance).await?;
    guard.add_endpoint(attempt.instance.peer_address);
    let mut frames = attempt.start(Work::Plain(request.call())).await?;
    let frame = frames.next().await?;
    attempt.mark_ended();
    Ok(frame)
}

fn service_response(
    status: u16,
    headers: &[(String, String)],
    body: Vec<u8>,
) -> Response<BoxedBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
