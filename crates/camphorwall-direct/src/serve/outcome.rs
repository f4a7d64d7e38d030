//! Sends a request to an endpoint, classifies the result and counts the request's attempts.

use std::{rc::Rc, time::Duration};

use camphorwall::RequestEnd;
use http::{Request, StatusCode, header};

use crate::{
    balance::{choice::Expectation, return_queue::reject_hopeless, speeds::ms},
    blocks::Blocks,
    clock::Moment,
    configuration::{Endpoint, Stage},
    dialect::AnswerFacts,
    endpoints::{cold_limit::no_endpoint, registry::Closure, trials::retry_after},
    entry::Entry,
    metrics::Notice,
    names::EndpointName,
    request::Admitted,
    serve::refusal::Refusal,
    upstream::{Answer, Connection, SendError},
};

/// Minimum Retry-After of a request that may be sent to no endpoint.
const CLOSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum Retry-After of such a request, so that callers notice the end of a long evacuation.
const MAX_CLOSED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Maximum number of characters of an unreadable load that are logged.
const MAX_LOGGED_CHARS: usize = 64;

/// The attempts that one request has made so far.
#[derive(Clone, Default)]
pub(crate) struct Progress {
    /// Endpoints that were tried or that are draining; they are not chosen again.
    pub(crate) excluded: Vec<EndpointName>,
    pub(crate) prefills: u32,
    /// Attempts that may have run.
    runs: u32,
    refusals: u32,
}

impl Progress {
    /// Counts an attempt. A request that is sent counts as one that may have run until the endpoint states otherwise.
    pub(crate) fn begin(&mut self, admitted: &Admitted, endpoint: &EndpointName) {
        self.excluded.push(endpoint.clone());
        admitted
            .request_log
            .endpoint
            .replace(Some(endpoint.clone()));
        self.runs += 1;
        admitted.note_runs(self.runs);
    }

    /// Uncounts the last attempt, which certainly has not run.
    pub(crate) fn uncount_attempt(&mut self, admitted: &Admitted) {
        self.runs -= 1;
        admitted.note_runs(self.runs);
    }

    /// Uncounts the last attempt, which the endpoint refused; returns whether the request may be sent again.
    pub(crate) fn note_refused(
        &mut self,
        entry: &Entry,
        admitted: &Admitted,
        max_refusals: u32,
    ) -> bool {
        self.uncount_attempt(admitted);
        self.refusals += 1;
        admitted.request_log.refusals.set(self.refusals);
        self.refusals <= max_refusals && entry.take_retry(&admitted.service)
    }

    /// Removes an endpoint from the excluded ones if it refused the request with a Retry-After.
    pub(crate) fn readmit_if_held_off(&mut self, entry: &Entry, endpoint: &Endpoint) {
        let notices = entry.notices.borrow();
        if notices.holds_off(endpoint.incarnation(), Moment::now()) {
            self.excluded.retain(|excluded| *excluded != endpoint.id);
        }
    }

    /// Removes an endpoint from the excluded ones if the request was not sent because the endpoint is cold.
    pub(crate) fn readmit_if_cold(&mut self, entry: &Entry, endpoint: &Endpoint) {
        if entry.is_cold_denied(endpoint, Moment::now()) {
            self.excluded.retain(|excluded| *excluded != endpoint.id);
        }
    }

    /// Whether the request may be sent again although its last attempt may have run.
    pub(crate) fn may_retry(&self, admitted: &Admitted) -> bool {
        admitted.trial.is_none()
            && admitted.route.kind.may_retry()
            && self.runs < admitted.route.max_attempts
    }

    /// Refuses a request that evacuations or its homes keep from all endpoints that answer callers.
    pub(crate) fn check_open(&self, entry: &Entry, admitted: &Admitted) -> Result<(), Refusal> {
        let closure = entry.closure(&admitted.service, admitted.stage(), &admitted.homes);
        closure.map_or(Ok(()), |closure| {
            let (reason, retry_after) = closed(closure);
            Err(self.give_up(reason, retry_after))
        })
    }

    /// Refuses to send a request again whose content has turned out to crash endpoints, once that is known.
    pub(crate) async fn check_next_run(
        &self,
        entry: &Entry,
        admitted: &Admitted,
    ) -> Result<(), Refusal> {
        let fingerprint = admitted.content.fingerprint;
        entry.await_crash_checks(fingerprint).await;
        self.check_harmless(entry, admitted)
    }

    /// Refuses to send a request again whose content has turned out to crash endpoints.
    pub(crate) fn check_harmless(&self, entry: &Entry, admitted: &Admitted) -> Result<(), Refusal> {
        admitted.block(entry).map_or(Ok(()), |block| {
            let retry_after = retry_after(&block, Moment::now());
            Err(self.give_up(RequestEnd::CrashesEndpoints, retry_after))
        })
    }

    /// The refusal of a request whose deadline has passed.
    pub(crate) fn time_out(&self, reason: RequestEnd, retry_after: Duration) -> Refusal {
        if self.runs > 0 {
            Refusal::timed_out()
        } else {
            Refusal::not_run(reason, retry_after)
        }
    }

    /// The refusal of a request for which no endpoint is left.
    pub(crate) fn no_endpoint(
        &self,
        entry: &Entry,
        admitted: &Admitted,
        stage: Stage,
        usual: Duration,
    ) -> Refusal {
        match entry.closure(&admitted.service, stage, &admitted.homes) {
            Some(closure) => {
                let (reason, retry_after) = closed(closure);
                self.give_up(reason, retry_after)
            }
            None => no_endpoint(entry, admitted, self, RequestEnd::NoEndpoint, usual),
        }
    }

    /// The refusal of a request that won't be sent again.
    pub(crate) fn give_up(&self, reason: RequestEnd, retry_after: Duration) -> Refusal {
        if self.runs > 0 {
            Refusal::may_have_run(RequestEnd::NoWholeAnswer)
        } else {
            Refusal::not_run(reason, retry_after)
        }
    }
}

/// Reason and Retry-After of the refusal of a request that may be sent to no endpoint.
pub(crate) fn closed(closure: Closure) -> (RequestEnd, Duration) {
    match closure {
        // When an evacuation ends is not published; one that has lasted for a time is likely to last as long again.
        Closure::Evacuated(lasted) => (
            RequestEnd::EndpointsEvacuated,
            lasted.clamp(CLOSED_RETRY_AFTER, MAX_CLOSED_RETRY_AFTER),
        ),
        // Endpoints may start in an allowed region at any time.
        Closure::OutsideHomes => (RequestEnd::NoAllowedRegion, CLOSED_RETRY_AFTER),
        // Only another configuration, or other settings, can help.
        Closure::NoRegion => (RequestEnd::NoAllowedRegion, MAX_CLOSED_RETRY_AFTER),
    }
}

/// Result of one attempt.
pub(crate) enum AttemptOutcome {
    /// The endpoint answered; the body is still to be read.
    Answered(Answer),
    /// The endpoint refused the request, which has not run and won't; otherwise than for lack of capacity if another one
    /// answers at its address.
    NotRun { is_full: bool },
    /// The request never reached the endpoint.
    NotSent,
    /// The request may have run, and there is no usable answer.
    Failed,
}

/// Records that another endpoint listens at an endpoint's address: the store has not reported yet that the intended one
/// has left.
pub(crate) fn note_replaced(entry: &Entry, endpoint: &Endpoint) {
    let mut suspicions = entry.suspicions.borrow_mut();
    suspicions.note_unreachable(&endpoint.id, Moment::now());
}

/// Connects to an endpoint, sends it a request and classifies the head of the answer.
pub(crate) async fn attempt(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    request: Request<Blocks>,
) -> AttemptOutcome {
    match Connection::open(endpoint.address).await {
        Ok(connection) => attempt_on(connection, entry, admitted, endpoint, request).await,
        Err(error) => classify(entry, admitted, endpoint, Moment::now(), Err(error)),
    }
}

/// Sends a request over an open connection and classifies the head of the answer.
pub(crate) async fn attempt_on(
    connection: Connection,
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    request: Request<Blocks>,
) -> AttemptOutcome {
    if !entry.may_send(endpoint, &admitted.homes) {
        // The endpoint said so while the connection was opened.
        return AttemptOutcome::NotSent;
    }
    let sent_at = Moment::now();
    if !entry.begin_send(endpoint, sent_at) {
        return AttemptOutcome::NotSent;
    }
    let sent = connection.send(request).await;
    classify(entry, admitted, endpoint, sent_at, sent)
}

/// Records what an endpoint says of itself in the head of an answer, to whichever request.
pub(crate) fn note_answer_head(
    entry: &Entry,
    endpoint: &Endpoint,
    status: StatusCode,
    facts: &AnswerFacts,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint answers at this address.
        return;
    }
    let now = Moment::now();
    entry.note_cold_answer(endpoint, facts, now);
    let incarnation = endpoint.incarnation();
    note_stated_load(entry, endpoint, facts, now);
    let mut notices = entry.notices.borrow_mut();
    if facts.is_leaving && notices.note_leaving(incarnation, now) {
        tracing::info!(event = "endpoint_leaving", endpoint = %endpoint.id, status = status.as_u16());
        entry.metrics.count_notice(Notice::Leaving);
        entry.work_changes.notify();
    }
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    match &facts.retry_after {
        Some(Ok(duration)) if is_unavailable && !duration.is_zero() => {
            let was_held_off = notices.holds_off(incarnation, now);
            let until = notices.note_hold_off(incarnation, *duration, now);
            drop(notices);
            if !was_held_off {
                tracing::info!(
                    event = "endpoint_holds_off",
                    endpoint = %endpoint.id,
                    retry_after_s = duration.as_secs_f64(),
                    for_s = until.since(now).as_secs_f64(),
                );
                entry.metrics.count_notice(Notice::HoldOff);
            }
            reject_hopeless(entry, &endpoint.service);
        }
        Some(Err(value)) if is_unavailable => {
            if notices.note_unreadable_time(incarnation, now) {
                let value = &**value;
                tracing::info!(event = "retry_after_unreadable", endpoint = %endpoint.id, value);
                entry.metrics.count_notice(Notice::UnreadableTime);
            }
        }
        _ if is_unavailable => {}
        _ => {
            if notices.note_taken(incarnation, now) {
                entry.placement_queue.notify();
            }
        }
    }
}

/// Records how long work took, beside what its choice expected. Choices that did not compare expected times
/// have no expectation.
pub(crate) fn note_actual_time(
    entry: &Entry,
    admitted: &Admitted,
    endpoint: &Endpoint,
    expectation: Option<Expectation>,
    time: Duration,
) {
    let Some(expected) = expectation else { return };
    let mut speeds = entry.speeds.borrow_mut();
    let size_time = time.div_f64(expected.waves);
    speeds.observe(endpoint, expected.size, size_time, Moment::now());
    admitted
        .request_log
        .expected_time
        .set(Some((expected.time_ms, ms(time))));
    entry
        .metrics
        .note_expected_time(endpoint.stage, expected.time_ms, ms(time));
}

/// Records the load that an endpoint states of itself.
fn note_stated_load(entry: &Entry, endpoint: &Endpoint, facts: &AnswerFacts, now: Moment) {
    let mut speeds = entry.speeds.borrow_mut();
    match &facts.load {
        Some(Ok(stated)) => {
            let setting = entry.settings().expected_times;
            let has_use = setting.unwrap_or(stated.pace_percent.is_some())
                || speeds.is_in_effect(&endpoint.service, setting, now);
            if has_use {
                let known_runs = entry.loads.borrow().count_at(&endpoint.id);
                speeds.note_load(endpoint, *stated, known_runs, now);
            }
        }
        Some(Err(text)) if speeds.note_unreadable_load(endpoint, now) => {
            let text: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            tracing::info!(event = "load_unreadable", endpoint = %endpoint.id, text);
        }
        Some(Err(_)) | None => {}
    }
}

/// Whether an answer belongs to the request; one without an id does, as its connection served nothing else.
pub(crate) fn is_for_request(facts: &AnswerFacts, admitted: &Admitted) -> bool {
    match (&facts.request_id, &admitted.facts.request_id) {
        (Some(answered), Some(sent)) => answered == sent,
        _ => true,
    }
}

/// Whether callers take a status for the promise that the request has not run and won't.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn classify(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    sent_at: Moment,
    sent: Result<Answer, SendError>,
) -> AttemptOutcome {
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(
                event = "attempt_failed",
                request_id = admitted.id(),
                endpoint = %endpoint.id,
                %error,
            );
            return if entry.note_send_error(endpoint, admitted, sent_at, &error) {
                AttemptOutcome::Failed
            } else {
                entry.undo_send(endpoint, sent_at);
                AttemptOutcome::NotSent
            };
        }
    };
    let now = Moment::now();
    let facts = (entry.dialect.answer_facts)(&answer.parts);
    note_answer_head(entry, endpoint, answer.parts.status, &facts);
    let is_for_request = is_for_request(&facts, admitted);
    if facts.has_not_run && is_for_request {
        let is_other_endpoint = answer.parts.status == StatusCode::MISDIRECTED_REQUEST;
        if is_other_endpoint {
            entry.undo_send(endpoint, sent_at);
            note_replaced(entry, endpoint);
        }
        tracing::debug!(
            event = "endpoint_refused",
            request_id = admitted.id(),
            endpoint = %endpoint.id,
            is_stranger = is_other_endpoint,
        );
        return AttemptOutcome::NotRun {
            is_full: !is_other_endpoint,
        };
    }
    let status = answer.parts.status;
    if is_refusal(status) && !admitted.route.kind.may_retry() {
        // The caller would take the status for a promise and send the request again.
        tracing::info!(
            event = "refusal_unconfirmed",
            request_id = admitted.id(),
            endpoint = %endpoint.id,
            status = status.as_u16(),
            is_own = is_for_request,
            is_signed = facts.is_signed,
        );
        entry.metrics.count_unconfirmed_refusal(status);
        let mut suspicions = entry.suspicions.borrow_mut();
        suspicions.note_failure(&endpoint.id, now);
        return AttemptOutcome::Failed;
    }
    let is_success = status.is_success();
    let is_encoded = answer.parts.headers.contains_key(header::CONTENT_ENCODING);
    if !is_for_request || is_encoded || (is_success && !facts.is_signed) {
        tracing::info!(
            event = "answer_not_usable",
            request_id = admitted.id(),
            endpoint = %endpoint.id,
            is_own = is_for_request,
            is_signed = facts.is_signed,
        );
        entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
        return AttemptOutcome::Failed;
    }
    if status.is_server_error() {
        entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
    }
    AttemptOutcome::Answered(answer)
}
