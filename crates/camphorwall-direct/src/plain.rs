//! Serves a request of a plain service.

use std::rc::Rc;

use bytes::Bytes;
use camphorwall::{BoxedBody, full_body};
use hyper::Response;

use crate::{
    choice::choose_plain,
    clock::Moment,
    configuration::{Endpoint, RouteKind, Stage},
    entry::Entry,
    loads::Run,
    outcome::{Outcome, attempt},
    placing::{Place, candidates},
    refusal::Refusal,
    request::{Admitted, SOON},
};

/// Largest answer that is read whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Sends after refusals that one request may cause.
const MAX_REFUSALS: u32 = 2;

/// Attempts of one request so far.
#[derive(Default)]
struct Progress {
    tried: Vec<camphorwall::EndpointId>,
    /// Attempts that may have run.
    runs: u32,
    refusals: u32,
}

/// Serves a request to its whole answer.
pub(crate) async fn serve(
    entry: &Rc<Entry>,
    admitted: Admitted,
) -> Result<Response<BoxedBody>, Refusal> {
    let mut progress = Progress::default();
    let serving = try_endpoints(entry, &admitted, &mut progress);
    let result = compio::time::timeout(admitted.time_left(), serving).await;
    result.unwrap_or_else(|_| {
        if let Some(endpoint) = progress.tried.last() {
            let now = Moment::now();
            entry.suspicions.borrow_mut().note_failure(endpoint, now);
        }
        Err(Refusal::timed_out())
    })
}

async fn try_endpoints(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
) -> Result<Response<BoxedBody>, Refusal> {
    let may_repeat = admitted.route.kind.may_repeat();
    loop {
        let Some(endpoint) = next_endpoint(entry, admitted, progress) else {
            return Err(give_up(progress, "no_endpoint"));
        };
        progress.tried.push(endpoint.id.clone());
        let place = Place::take(
            entry,
            Rc::clone(&endpoint),
            Run {
                held_tokens: 0,
                left_tokens: 0,
            },
        );
        let request = admitted.to_endpoint(entry, &endpoint, Stage::Whole, None, None);
        // Until the endpoint says otherwise, what was sent may have run.
        progress.runs += 1;
        admitted.charge.note(true);
        let outcome = attempt(entry, admitted, &endpoint, request).await;
        let failed = match outcome {
            Outcome::Answered(answer) => {
                let is_failure = answer.parts.status.is_server_error();
                let delivered = deliver(entry, admitted, answer).await;
                let can_repeat = may_repeat && progress.runs < admitted.route.max_attempts;
                match delivered {
                    Ok(response) if is_failure && can_repeat => Some(response),
                    Ok(response) => return Ok(response),
                    Err(_) => None,
                }
            }
            Outcome::NotRun => {
                progress.runs -= 1;
                admitted.charge.note(progress.runs > 0);
                progress.refusals += 1;
                if progress.refusals > MAX_REFUSALS || !take_retry(entry, admitted) {
                    return Err(give_up(progress, "endpoints_full"));
                }
                continue;
            }
            Outcome::NotSent => {
                progress.runs -= 1;
                admitted.charge.note(progress.runs > 0);
                continue;
            }
            Outcome::Lost => None,
        };
        drop(place);
        let can_repeat = may_repeat && progress.runs < admitted.route.max_attempts;
        if can_repeat && take_retry(entry, admitted) {
            continue;
        }
        return failed.ok_or_else(|| Refusal::may_have_run("no_whole_answer"));
    }
}

/// A refusal after which nothing more is sent.
fn give_up(progress: &Progress, reason: &'static str) -> Refusal {
    if progress.runs > 0 {
        Refusal::may_have_run("no_whole_answer")
    } else {
        Refusal::not_run(reason, SOON)
    }
}

fn take_retry(entry: &Entry, admitted: &Admitted) -> bool {
    let is_taken = entry.take_retry(&admitted.service);
    tracing::debug!(event = "retry", request_id = admitted.id(), is_taken);
    is_taken
}

fn next_endpoint(entry: &Entry, admitted: &Admitted, progress: &Progress) -> Option<Rc<Endpoint>> {
    let stage = match admitted.route.kind {
        RouteKind::Stream { .. } if admitted.service_facts.engine.is_some() => Stage::Decode,
        _ => Stage::Whole,
    };
    let near = &entry.settings.data_centre;
    let (endpoints, candidates) =
        candidates(entry, &admitted.service, stage, near, &progress.tried);
    choose_plain(&candidates).map(|chosen| Rc::clone(&endpoints[chosen]))
}

/// Reads an answer whole, so that one that breaks off can be replaced.
async fn deliver(
    entry: &Entry,
    admitted: &Admitted,
    answer: crate::upstream::Answer,
) -> std::io::Result<Response<BoxedBody>> {
    let crate::upstream::Answer {
        mut parts,
        mut body,
    } = answer;
    let bytes: Bytes = body.collect(MAX_ANSWER_BYTES).await.inspect_err(|error| {
        tracing::info!(event = "answer_broke", request_id = admitted.id(), %error);
    })?;
    crate::entry::remove_connection_headers(&mut parts.headers);
    parts.headers.remove(http::header::CONTENT_LENGTH);
    parts.version = http::Version::HTTP_11;
    let elapsed_ms = Moment::now().since(admitted.arrived_at).as_millis();
    tracing::debug!(
        event = "answered",
        request_id = admitted.id(),
        status = parts.status.as_u16(),
        elapsed_ms
    );
    let _ = entry;
    Ok(Response::from_parts(parts, full_body(bytes)))
}
