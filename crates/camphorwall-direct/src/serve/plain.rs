//! Serves a request whose answer is not a stream.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::{BoxedBody, RequestEnd, full_body, stream_body};
use futures_util::stream;
use http::{StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::Response;

use crate::{
    balance::{
        choice::{Expectation, choose_plain, expect_plain},
        loads::{Run, Work},
        placement::{Placement, candidates},
        plain_queue::{self, Place},
        return_queue::{choose_in_turn, note_passed_over, retry_after_refusals, returns_at},
    },
    clock::Moment,
    configuration::{Endpoint, Stage},
    connection_headers::remove_connection_headers,
    entry::Entry,
    memory_pool::MemoryShare,
    request::{Admitted, TRANSIENT_RETRY_AFTER},
    request_log::RequestLog,
    serve::{
        completeness::{AnswerEnd, BreakReason, StopPoint},
        outcome::{AttemptOutcome, Progress, attempt, note_actual_time},
        refusal::Refusal,
    },
    upstream::{Answer, AnswerBody, Framing},
};

/// Maximum size of an answer that is read completely before it is passed on. A larger one, or any while answers fill their
/// part of the memory, is passed on as it arrives; its request can't be retried when the answer breaks off.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Maximum number of times that one request is sent again after an endpoint refused it.
const MAX_REFUSALS: u32 = 2;

/// Events that count as sent of a plain answer that breaks off in its body.
const BROKEN_ANSWER_EVENTS: u32 = 1;

/// Multiple of the route's target after which an attempt that can be retried is abandoned.
const SLOW_FACTOR: u32 = 2;

/// Serves a request until its answer is complete or, if large, has begun.
pub(crate) async fn serve(
    entry: &Rc<Entry>,
    admitted: Admitted,
) -> Result<Response<BoxedBody>, Refusal> {
    let admitted = Rc::new(admitted);
    let mut progress = Progress::default();
    let serving = try_endpoints(entry, &admitted, &mut progress);
    let result = compio::time::timeout(admitted.time_left(), serving).await;
    result.unwrap_or_else(|_| {
        if let Some(endpoint) = progress.excluded.last() {
            let now = Moment::now();
            entry
                .suspicions
                .borrow_mut()
                .note_unresponsive(endpoint, now);
        }
        Err(progress.time_out(RequestEnd::NoEndpoint, TRANSIENT_RETRY_AFTER))
    })
}

async fn try_endpoints(
    entry: &Rc<Entry>,
    admitted: &Rc<Admitted>,
    progress: &mut Progress,
) -> Result<Response<BoxedBody>, Refusal> {
    let expectation = Cell::new(None);
    let mut failure: Option<Delivery> = None;
    loop {
        let next = next_place(entry, admitted, progress, &expectation);
        let Some(placement) = next.await? else {
            if let Some(failure) = failure {
                return Ok(failure.finish(admitted));
            }
            let stage = admitted.stage();
            return Err(progress.no_endpoint(entry, admitted, stage, TRANSIENT_RETRY_AFTER));
        };
        let endpoint = Rc::clone(&placement.endpoint);
        progress.check_next_run(entry, admitted).await?;
        let sent_at = Moment::now();
        progress.begin(admitted, &endpoint.id);
        let can_retry = progress.may_retry(admitted);
        let outcome = if can_retry {
            attempt_with_timeout(entry, admitted, &endpoint).await
        } else {
            attempt_once(entry, admitted, &endpoint).await
        };
        note_outcome(entry, admitted, &endpoint, sent_at, &outcome);
        failure = match outcome {
            AttemptOutcome::Answered(answer) => {
                let is_failure = answer.parts.status.is_server_error();
                let is_success = answer.parts.status.is_success();
                match deliver(entry, admitted, placement, answer, sent_at).await {
                    Ok(delivery) if is_failure && can_retry => Some(delivery),
                    Ok(delivery) => {
                        if let Some(read_at) = delivery.read_at.filter(|_| is_success) {
                            let (expected, took) = (expectation.get(), read_at.since(sent_at));
                            note_actual_time(entry, admitted, &endpoint, expected, took);
                        }
                        return Ok(delivery.finish(admitted));
                    }
                    Err(_) => None,
                }
            }
            AttemptOutcome::NotRun { .. } => {
                progress.readmit_if_held_off(entry, &endpoint);
                if !progress.note_refused(entry, admitted, MAX_REFUSALS) {
                    let usual = TRANSIENT_RETRY_AFTER;
                    let retry_after = retry_after_refusals(entry, admitted, progress, usual);
                    return Err(progress.give_up(RequestEnd::EndpointsFull, retry_after));
                }
                continue;
            }
            AttemptOutcome::NotSent => {
                progress.readmit_if_held_off(entry, &endpoint);
                progress.readmit_if_cold(entry, &endpoint);
                progress.uncount_attempt(admitted);
                continue;
            }
            AttemptOutcome::Failed => None,
        };
        if !can_retry || !entry.take_retry(&admitted.service) {
            let failure = failure.map(|delivery| delivery.finish(admitted));
            return failure.ok_or_else(|| Refusal::may_have_run(RequestEnd::NoWholeAnswer));
        }
        tracing::debug!(
            event = "sent_again",
            request_id = admitted.id(),
            runs = admitted.request_log.runs.get()
        );
    }
}

async fn attempt_once(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
) -> AttemptOutcome {
    let request = admitted.endpoint_request(entry, endpoint, Stage::Whole, None, None);
    attempt(entry, admitted, endpoint, request).await
}

/// Sends a request to an endpoint, and abandons an attempt that takes far longer than the target, so that another
/// endpoint can answer in time.
async fn attempt_with_timeout(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
) -> AttemptOutcome {
    let timeout = Duration::from_millis(admitted.route.target_ms) * SLOW_FACTOR;
    let attempting = attempt_once(entry, admitted, endpoint);
    let outcome = compio::time::timeout(timeout, attempting).await;
    outcome.unwrap_or_else(|_| {
        tracing::info!(event = "attempt_slow", request_id = admitted.id(), endpoint = %endpoint.id);
        let now = Moment::now();
        entry
            .suspicions
            .borrow_mut()
            .note_unresponsive(&endpoint.id, now);
        AttemptOutcome::Failed
    })
}

/// Records what the result of an attempt says of the room at its endpoint.
fn note_outcome(
    entry: &Entry,
    admitted: &Admitted,
    endpoint: &Endpoint,
    sent_at: Moment,
    outcome: &AttemptOutcome,
) {
    if !entry.queues_plain_calls(&admitted.service) {
        return;
    }
    let target = Duration::from_millis(admitted.route.target_ms);
    let queue = &entry.plain_queue;
    match outcome {
        AttemptOutcome::Answered(answer) if answer.parts.status.is_server_error() => {}
        AttemptOutcome::Answered(_) => queue.note_answered(endpoint, sent_at, target),
        AttemptOutcome::NotRun { is_full: true } => queue.note_refused(endpoint, sent_at),
        // An endpoint that is dead, was replaced or leaves is not full.
        AttemptOutcome::NotRun { is_full: false } | AttemptOutcome::NotSent => {}
        AttemptOutcome::Failed => queue.note_failed(endpoint, sent_at),
    }
}

/// A place for the next attempt; waits for one where calls are queued.
async fn next_place(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    expectation: &Cell<Option<Expectation>>,
) -> Result<Option<Placement>, Refusal> {
    let has_hold_offs = || {
        let now = Moment::now();
        let (service, excluded) = (&admitted.service, &progress.excluded);
        returns_at(
            entry,
            service,
            admitted.stage(),
            &admitted.homes,
            excluded,
            now,
        )
        .is_some()
    };
    if !entry.queues_plain_calls(&admitted.service) || has_hold_offs() {
        let endpoint = next_endpoint(entry, admitted, progress, expectation).await?;
        let placement =
            endpoint.map(|endpoint| Placement::new(entry, endpoint, Work::Fixed(Run::default())));
        return Ok(placement);
    }
    let since = Moment::now();
    let place = plain_queue::place(entry, admitted, &progress.excluded).await;
    RequestLog::add_elapsed(&admitted.request_log.placement_wait, since);
    note_passed_over(entry, admitted, admitted.stage());
    match place {
        Place::Given(placement, expected) => {
            expectation.set(expected);
            Ok(Some(placement))
        }
        // The endpoints may have begun to hold requests off meanwhile.
        Place::NoEndpoint if has_hold_offs() => {
            let endpoint = next_endpoint(entry, admitted, progress, expectation).await?;
            Ok(endpoint
                .map(|endpoint| Placement::new(entry, endpoint, Work::Fixed(Run::default()))))
        }
        Place::NoEndpoint => Ok(None),
        Place::Refused(retry_after) => {
            Err(progress.give_up(RequestEnd::EndpointsFull, retry_after))
        }
    }
}

async fn next_endpoint(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    expectation: &Cell<Option<Expectation>>,
) -> Result<Option<Rc<Endpoint>>, Refusal> {
    let local = &entry.settings().data_centre;
    let stage = admitted.stage();
    let excluded = &progress.excluded;
    let choose = || {
        let (endpoints, candidates) = candidates(
            entry,
            &admitted.service,
            stage,
            local,
            &admitted.homes,
            excluded,
        );
        let chosen = choose_plain(&candidates)?;
        expectation.set(expect_plain(&candidates[chosen]));
        Some(Rc::clone(&endpoints[chosen]))
    };
    choose_in_turn(entry, admitted, progress, stage, excluded, choose).await
}

/// An answer that is ready to be passed on to the caller.
struct Delivery {
    response: Response<BoxedBody>,
    /// When the body had been read completely; otherwise the body stream records the request's end.
    read_at: Option<Moment>,
}

impl Delivery {
    /// Returns the answer as the final one, and records the request's end if the body is complete.
    fn finish(self, admitted: &Admitted) -> Response<BoxedBody> {
        if self.read_at.is_some() {
            let status = self.response.status();
            admitted
                .request_log
                .end(status.as_u16(), answer_outcome(status), 0);
        }
        self.response
    }
}

/// Reads an answer completely, so that the request can be retried if it breaks off; passes a large one on as it
/// arrives.
async fn deliver(
    entry: &Rc<Entry>,
    admitted: &Rc<Admitted>,
    placement: Placement,
    answer: Answer,
    sent_at: Moment,
) -> io::Result<Delivery> {
    let Answer {
        mut parts,
        mut body,
    } = answer;
    let endpoint = placement.endpoint.id.clone();
    let mut memory = entry.memory.share();
    let start = body
        .read_start(|bytes| bytes <= MAX_BUFFERED_BYTES && memory.grow_answer_to(bytes))
        .await;
    let read_at = Moment::now();
    let source = AnswerSource {
        entry: Rc::clone(entry),
        admitted: Rc::clone(admitted),
        placement,
        sent_at,
    };
    let start = match start {
        Ok(start) if !start.is_complete => start,
        read => {
            source
                .check_end(body.framing(), read.as_ref().err())
                .await?;
            read?
        }
    };
    if !parts.status.is_server_error() {
        let mut suspicions = entry.suspicions.borrow_mut();
        suspicions.note_success(&endpoint, Moment::now());
        drop(suspicions);
        if start.is_complete {
            note_answered(entry, admitted);
        }
    }
    remove_connection_headers(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    admitted.request_log.note_response_head();
    if start.is_complete {
        parts.headers.remove(header::CONTENT_LENGTH);
        return Ok(Delivery {
            response: Response::from_parts(parts, held_body(start.bytes, memory)),
            read_at: Some(read_at),
        });
    }
    let passed_on = PassedOnAnswer {
        source,
        is_success: !parts.status.is_server_error(),
        start: Some((start.bytes, memory)),
        body,
    };
    let body = stream::unfold(passed_on, |mut answer| async move {
        let chunk = answer.next().await?;
        Some((chunk, answer))
    });
    Ok(Delivery {
        response: Response::from_parts(parts, stream_body(body)),
        read_at: None,
    })
}

/// Outcome of a request that an endpoint answered with a status.
fn answer_outcome(status: StatusCode) -> RequestEnd {
    if status.is_server_error() {
        RequestEnd::EndpointFailed
    } else {
        RequestEnd::Answered
    }
}

/// Records a whole answer, which shows that the request is harmless.
fn note_answered(entry: &Entry, admitted: &Admitted) {
    let mut poison = entry.poison.borrow_mut();
    poison.note_answer(&admitted.content, BROKEN_ANSWER_EVENTS);
}

/// A body that keeps its memory reserved until it has been sent.
fn held_body(bytes: Bytes, memory: MemoryShare) -> BoxedBody {
    // The closure only holds the reservation; a complete body has no errors.
    Box::pin(full_body(bytes).map_err(move |error| {
        let _held = &memory;
        error
    }))
}

/// The attempt that an answer came from.
struct AnswerSource {
    entry: Rc<Entry>,
    admitted: Rc<Admitted>,
    placement: Placement,
    sent_at: Moment,
}

impl AnswerSource {
    /// Checks whether an answer that ended, perhaps with an error, is complete, and records it if not.
    async fn check_end(&self, framing: Framing, error: Option<&io::Error>) -> io::Result<()> {
        let end = AnswerEnd {
            framing,
            has_framed_end: error.is_none(),
            stop_point: StopPoint::InBody,
            is_resumed: false,
        };
        let (endpoint, events) = (&self.placement.endpoint, BROKEN_ANSWER_EVENTS);
        let is_reachable =
            self.entry
                .is_still_reachable(endpoint, &self.admitted, self.sent_at, events);
        let checked = end.check(is_reachable).await;
        checked.map_err(|reason| self.note_broken(reason, error))
    }

    /// Records an incomplete answer.
    fn note_broken(&self, reason: BreakReason, error: Option<&io::Error>) -> io::Error {
        let (entry, admitted) = (&self.entry, &self.admitted);
        let endpoint = &self.placement.endpoint;
        tracing::info!(
            event = "answer_broke",
            request_id = admitted.id(),
            endpoint = %endpoint.id,
            reason = reason.label(),
            error = error.map(tracing::field::display),
        );
        entry.metrics.count_broken_answer(reason);
        // An unreachable endpoint has been checked, and its crash recorded.
        if reason != BreakReason::EndpointUnreachable {
            let mut suspicions = entry.suspicions.borrow_mut();
            suspicions.note_failure(&endpoint.id, Moment::now());
        }
        if reason == BreakReason::ConnectionBroke {
            let (sent_at, events) = (self.sent_at, BROKEN_ANSWER_EVENTS);
            entry.check_for_crash(endpoint, admitted, sent_at, events);
        }
        io::Error::other(reason.label())
    }
}

/// An answer that is passed on as it arrives.
struct PassedOnAnswer {
    source: AnswerSource,
    is_success: bool,
    /// What has been read, until it is passed on, with its memory.
    start: Option<(Bytes, MemoryShare)>,
    body: AnswerBody,
}

impl PassedOnAnswer {
    /// The next bytes; `None` at the end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some((bytes, _)) = self.start.take() {
            return Some(Ok(bytes));
        }
        let AnswerSource {
            entry, admitted, ..
        } = &self.source;
        let next = compio::time::timeout(admitted.time_left(), self.body.next()).await;
        let checked = match next {
            Ok(Ok(Some(bytes))) => return Some(Ok(bytes)),
            Ok(end) => {
                let framing = self.body.framing();
                self.source.check_end(framing, end.err().as_ref()).await
            }
            Err(_) => Err(self.source.note_broken(BreakReason::DeadlinePassed, None)),
        };
        match checked {
            Ok(()) => {
                if self.is_success {
                    note_answered(entry, admitted);
                }
                admitted.request_log.end(200, RequestEnd::Answered, 0);
                None
            }
            Err(error) => {
                admitted.request_log.end(200, RequestEnd::BrokeOff, 0);
                Some(Err(error))
            }
        }
    }
}
