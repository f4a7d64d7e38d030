//! API handler for callers: reads a request, serves it and logs its outcome.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    BoxedBody, Problem, ProblemKind, RequestBody, RequestId, RouteKind, collect_body,
};
use http::{HeaderValue, header::CONNECTION, request::Parts};
use hyper::{Request, Response};

use super::{
    admission::{Admission, admit},
    answer::{complete_answer, problem_response, stream_answer},
    completion::parse_completion,
    model::{ModelRequest, open_answer},
    plain::{PlainRequest, serve_plain},
    timing::AnswerTiming,
};
use crate::{entry::Entry, metrics::Requester};

/// Header with the request's id, set on every response.
const REQUEST_ID_HEADER: &str = "camphorwall-request-id";

/// `Retry-After` of requests that are refused because this instance is still starting.
const START_RETRY: Duration = Duration::from_millis(500);

/// Serves one request of a caller and records its outcome.
pub(crate) async fn answer_caller(
    entry: Rc<Entry>,
    request: Request<RequestBody>,
) -> Response<BoxedBody> {
    let request_id = RequestId::generate();
    let (head, body) = request.into_parts();
    let admitted = admit_head(&entry, &head);
    let route = admitted
        .as_ref()
        .map(|admission| admission.route.route.to_string())
        .unwrap_or_default();
    let result = match admitted {
        Ok(admission) => serve(&entry, request_id, admission, head, body).await,
        Err(problem) => Err(problem),
    };
    let now = Instant::now();
    let mut response = match result {
        Ok(response) => {
            let detail = format!("status {}", response.status().as_u16());
            entry.decisions.note(request_id, "answered", detail, now);
            entry.metrics.count_request(&route, "answered");
            tracing::info!(event = "request_answered", %request_id, route, status = response.status().as_u16());
            response
        }
        Err(problem) => {
            let problem = problem.with_request_id(request_id);
            let detail = format!("{}, {}: {}", problem.kind, problem.outcome, problem.detail);
            entry.decisions.note(request_id, "refused", detail, now);
            entry.metrics.count_request(&route, problem.kind.into());
            entry.metrics.count_outcome(problem.kind, problem.outcome);
            tracing::info!(
                event = "request_refused", %request_id, route, kind = %problem.kind, outcome = %problem.outcome,
                detail = problem.detail,
            );
            problem_response(&problem)
        }
    };
    if entry.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Ok(value) = HeaderValue::try_from(request_id.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn admit_head(entry: &Entry, head: &Parts) -> Result<Admission, Problem> {
    if entry.rejects_requests() {
        let detail = "this instance is shutting down; repeat at another one";
        return Err(
            Problem::not_run(ProblemKind::ShuttingDown, detail).with_retry_after(Duration::ZERO)
        );
    }
    if !entry.published.is_ready() {
        let detail = "this instance is starting and asks for its configuration; use another";
        let problem = Problem::not_run(ProblemKind::Unavailable, detail);
        return Err(problem.with_retry_after(START_RETRY));
    }
    admit(
        &entry.published.get(),
        head.method.as_str(),
        head.uri.path(),
        &head.headers,
    )
}

fn note_admission(entry: &Entry, request_id: RequestId, admission: &Admission, now: Instant) {
    let contract = admission.contract.as_ref();
    let team = contract.map_or("no team, open route", |contract| contract.team.as_str());
    let detail = format!("route {}, {team}", admission.route.route);
    entry.decisions.note(request_id, "admitted", detail, now);
}

async fn serve(
    entry: &Rc<Entry>,
    request_id: RequestId,
    admission: Admission,
    head: Parts,
    body: RequestBody,
) -> Result<Response<BoxedBody>, Problem> {
    let arrived_at = Instant::now();
    note_admission(entry, request_id, &admission, arrived_at);
    let max_bytes = entry.section.max_body_bytes;
    let body_timeout = Duration::from_millis(entry.section.body_timeout_ms);
    let collecting = compio::time::timeout(body_timeout, collect_body(body, max_bytes)).await;
    let Ok(body) = collecting else {
        let detail = format!("the body took more than {body_timeout:?}; send it faster");
        return Err(Problem::not_run(ProblemKind::BodyTimeout, detail));
    };
    let Some(body) = body else {
        let detail = format!("the body is over {max_bytes} bytes or broke off; send less");
        return Err(Problem::not_run(ProblemKind::BodyTooLarge, detail));
    };
    let kind = admission.route.kind;
    if kind == RouteKind::Plain {
        let path = head
            .uri
            .path_and_query()
            .map(ToString::to_string)
            .unwrap_or_default();
        let request = PlainRequest {
            request_id,
            admission,
            path,
            headers: head.headers,
            body,
            arrived_at,
        };
        return serve_plain(entry, &request).await;
    }
    let completion = parse_completion(kind, &body)?;
    let is_stream = completion.stream;
    let requester = Requester::of(admission.contract.as_ref());
    entry.metrics.count_traffic(&requester, arrived_at);
    let request = ModelRequest::new(request_id, admission, completion, arrived_at);
    let mut answer = open_answer(entry, request).await?;
    let first = answer.next_token().await?;
    let timing = AnswerTiming::new(Rc::clone(entry), requester, arrived_at);
    if is_stream {
        Ok(stream_answer(kind, answer, first, timing))
    } else {
        complete_answer(kind, answer, first, timing).await
    }
}
