//! Relays a stream to the caller, and resumes it at another endpoint when it breaks.

use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::{BoxedBody, RequestEnd, stream_body};
use futures_util::stream;
use http::{StatusCode, header};
use hyper::Response;

use crate::{
    balance::{placement::Placement, speeds::ms},
    clock::Moment,
    configuration::{Endpoint, Stage},
    connection_headers::remove_connection_headers,
    endpoints::{
        crash_evidence::BEGUN_EVENTS,
        stall::{Pauses, has_stood_still},
    },
    entry::Entry,
    memory_pool::MemoryShare,
    request::Admitted,
    serve::{
        completeness::{AnswerEnd, BreakReason, StopPoint},
        decode_timer::DecodeTimer,
        events::EventSplitter,
        outcome::Progress,
        refusal::Refusal,
        stream::{OpenStream, open},
    },
    upstream::AnswerBody,
};

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Size up to which an incomplete event is held even if the memory is full; token events have some hundred bytes.
const USUAL_EVENT_BYTES: usize = 4 * 1024;

/// What followed the end of an endpoint's answer.
enum RunEnd {
    /// The stream is complete.
    Complete,
    /// Another endpoint continues it.
    Resumed,
}

/// Passes a stream on to the caller, and resumes it at another endpoint when it breaks.
struct StreamRelay {
    entry: Rc<Entry>,
    admitted: Admitted,
    progress: Progress,
    status: StatusCode,
    is_event_stream: bool,
    splitter: EventSplitter,
    /// Memory of the largest incomplete event so far.
    event_memory: MemoryShare,
    event_tokens: u32,
    last_event_id: Option<u64>,
    /// Events that have reached the caller.
    events: u32,
    /// When the request was sent to the present endpoint, and the events since.
    sent_at: Moment,
    run_events: u32,
    pauses: Pauses,
    decode_timer: DecodeTimer,
    /// Whether the stream stalled when no retry was left, so that nothing can be done but wait.
    waits_out_stall: bool,
    opened: Option<(Placement, AnswerBody)>,
}

/// The response to the caller, whose body relays a stream.
pub(crate) fn relay(
    entry: &Rc<Entry>,
    admitted: Admitted,
    progress: Progress,
    opened: OpenStream,
) -> Response<BoxedBody> {
    let OpenStream {
        sent_at,
        placement,
        mut parts,
        body,
    } = opened;
    remove_connection_headers(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    let is_event_stream = is_event_stream(&parts);
    if is_event_stream && progress.may_retry(&admitted) {
        // Another endpoint may send a rest of another size.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let engine = admitted.service_facts.engine;
    let event_tokens = engine.and_then(|limits| u32::try_from(limits.event_tokens).ok());
    let relay = StreamRelay {
        entry: Rc::clone(entry),
        admitted,
        progress,
        status: parts.status,
        is_event_stream,
        splitter: EventSplitter::default(),
        event_memory: entry.memory.share(),
        event_tokens: event_tokens.unwrap_or(0),
        last_event_id: None,
        events: 0,
        sent_at,
        run_events: 0,
        pauses: Pauses::new(entry.usual_pause(event_tokens.unwrap_or(0)), Moment::now()),
        decode_timer: DecodeTimer::default(),
        waits_out_stall: false,
        opened: Some((placement, body)),
    };
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    Response::from_parts(parts, stream_body(chunks))
}

/// Whether an answer is a stream of events; engines may leave out its type.
fn is_event_stream(parts: &http::response::Parts) -> bool {
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let has_type = content_type.is_none_or(|value| {
        let media_type = value.as_bytes().get(..EVENT_STREAM.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    });
    parts.status.is_success() && has_type
}

impl StreamRelay {
    /// The next complete events; `None` at the regular end of the stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let stalled_at = self.stalled_at();
            let (placement, body) = self.opened.as_mut()?;
            let now = Moment::now();
            let left = self.admitted.time_left();
            let wait = stalled_at.map_or(left, |at| at.since(now).min(left));
            let read = compio::time::timeout(wait, body.next()).await;
            match read {
                Ok(Ok(Some(bytes))) => {
                    self.decode_timer.note_wait(Moment::now().since(now));
                    let Ok(events) = self.splitter.push(&bytes) else {
                        return Some(Err(self.cut_oversized_event()));
                    };
                    let held_bytes = self.splitter.held_bytes();
                    if !self.event_memory.grow_answer_to(held_bytes)
                        && held_bytes > USUAL_EVENT_BYTES
                    {
                        return Some(Err(self.cut_oversized_event()));
                    }
                    if events.bytes.is_empty() {
                        continue;
                    }
                    if events.count == 0 {
                        // Empty lines and comments are passed on, but show no progress.
                        return Some(Ok(events.bytes));
                    }
                    placement.advance(events.count.saturating_mul(self.event_tokens));
                    let now = Moment::now();
                    self.pauses.note_events(events.count, now);
                    let earlier_events = self.run_events;
                    self.events = self.events.saturating_add(events.count);
                    self.run_events = self.run_events.saturating_add(events.count);
                    self.note_run(earlier_events);
                    if let Some(time) = self.decode_timer.note_events(events.count, now) {
                        self.note_event_time(time, now);
                    }
                    self.last_event_id = events.last_id.or(self.last_event_id);
                    return Some(Ok(events.bytes));
                }
                Ok(end) => match self.end_run(end.err()).await {
                    Ok(RunEnd::Complete) => {
                        let rest = self.splitter.take_rest();
                        return (!rest.is_empty()).then_some(Ok(rest));
                    }
                    Ok(RunEnd::Resumed) => {}
                    Err(refusal) => return Some(Err(self.cut(refusal.reason))),
                },
                Err(_) if wait < left && has_stood_still(now + wait, Moment::now()) => {
                    self.pauses.restart(Moment::now());
                }
                Err(_) if wait < left => {
                    if !self.entry.take_retry(&self.admitted.service) {
                        self.waits_out_stall = true;
                        continue;
                    }
                    if let Err(refusal) = self.resume_stalled().await {
                        return Some(Err(self.cut(refusal.reason)));
                    }
                }
                Err(_) => {
                    let metrics = &self.entry.metrics;
                    metrics.count_broken_answer(BreakReason::DeadlinePassed);
                    return Some(Err(self.cut(RequestEnd::TimedOut)));
                }
            }
        }
    }

    /// Whether another endpoint may continue the stream. It can't if the events that the caller has are not numbered, or the
    /// answer is something else than events.
    fn can_continue(&self) -> bool {
        let is_numbered = self.events == 0 || self.last_event_id.is_some();
        self.is_event_stream && is_numbered && self.progress.may_retry(&self.admitted)
    }

    /// Moment from which the endpoint is given up if it sends nothing; `None` if no other endpoint may continue.
    fn stalled_at(&self) -> Option<Moment> {
        let can_resume = !self.waits_out_stall && self.can_continue();
        can_resume.then(|| self.admitted.stalled_at(&self.pauses))
    }

    /// Handles the end of the present endpoint's answer: notes that the stream is complete, or resumes it elsewhere.
    async fn end_run(&mut self, error: Option<io::Error>) -> Result<RunEnd, Refusal> {
        let Some((placement, body)) = self.opened.take() else {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        };
        let endpoint = Rc::clone(&placement.endpoint);
        let end = AnswerEnd {
            framing: body.framing(),
            has_framed_end: error.is_none(),
            stop_point: self.stop_point(),
            is_resumed: self
                .last_event_id
                .or(self.admitted.facts.last_event_id)
                .is_some(),
        };
        // Frees the place and closes the connection before the check.
        drop((placement, body));
        let is_reachable =
            self.entry
                .is_still_reachable(&endpoint, &self.admitted, self.sent_at, self.run_events);
        match (end.check(is_reachable).await, error) {
            (Ok(()), _) => {
                self.note_complete(&endpoint);
                Ok(RunEnd::Complete)
            }
            (Err(reason), error) => {
                self.leave_endpoint(&endpoint, reason, error);
                self.resume(&endpoint, reason).await?;
                Ok(RunEnd::Resumed)
            }
        }
    }

    /// Where the present endpoint's answer has come to.
    fn stop_point(&self) -> StopPoint {
        if !self.is_event_stream {
            StopPoint::InBody
        } else if self.splitter.is_inside_event() {
            StopPoint::InsideEvent
        } else if self.run_events == 0 {
            StopPoint::BeforeFirstEvent
        } else {
            StopPoint::BetweenEvents
        }
    }

    /// Records the time that the engine takes for an event, where choices compare expected times.
    fn note_event_time(&self, time: Duration, now: Moment) {
        let Some((placement, _)) = &self.opened else {
            return;
        };
        let (entry, endpoint) = (&self.entry, &placement.endpoint);
        let setting = entry.settings().expected_times;
        let mut speeds = entry.speeds.borrow_mut();
        if endpoint.stage != Stage::Decode || !speeds.is_in_effect(&endpoint.service, setting, now)
        {
            return;
        }
        let runs = entry.loads.borrow().count_at(&endpoint.id) as f64;
        let per_token = time / self.event_tokens.max(1);
        let speed = speeds.expected(endpoint, now);
        let expected_ms = speed.time_ms(speed.usual.at(runs));
        speeds.observe(endpoint, runs, per_token, now);
        let times = (expected_ms, ms(per_token));
        self.admitted
            .request_log
            .expected_token_time
            .set(Some(times));
        entry
            .metrics
            .note_expected_time(Stage::Decode, times.0, times.1);
    }

    /// Clears the request of earlier crashes at the beginning of its answer once the answer has passed that point.
    fn note_run(&self, earlier_events: u32) {
        if (earlier_events..self.run_events).contains(&(BEGUN_EVENTS - 1)) {
            let fingerprint = self.admitted.content.fingerprint;
            let mut poison = self.entry.poison.borrow_mut();
            poison.note_under_way(fingerprint, self.sent_at);
        }
    }

    fn note_complete(&self, endpoint: &Endpoint) {
        let generated = self.events.saturating_mul(self.event_tokens);
        if let Some(estimate) = self.admitted.facts.output_estimate_tokens {
            let mut lengths = self.entry.lengths.borrow_mut();
            let service = &self.admitted.service;
            lengths.note_ended(service, estimate, generated);
            self.entry.metrics.note_estimate(estimate, generated);
        }
        let time_to_head = self
            .admitted
            .request_log
            .time_to_head
            .get()
            .unwrap_or_default();
        let elapsed = Moment::now().since(self.admitted.arrived_at);
        self.entry
            .note_time_per_token(generated, elapsed.saturating_sub(time_to_head));
        let mut suspicions = self.entry.suspicions.borrow_mut();
        suspicions.note_success(&endpoint.id, Moment::now());
        drop(suspicions);
        let content = &self.admitted.content;
        let mut poison = self.entry.poison.borrow_mut();
        let outcome = if self.status.is_success() {
            // An endpoint that had nothing left to send began no answer, which it might have crashed on.
            if !self.is_event_stream || self.run_events > 0 {
                poison.note_answer(content, self.run_events);
            }
            RequestEnd::Answered
        } else {
            poison.note_end(content.fingerprint);
            RequestEnd::EndpointFailed
        };
        drop(poison);
        self.log_end(outcome);
    }

    /// Cuts a stream whose endpoint sends an event above the maximum size.
    fn cut_oversized_event(&mut self) -> io::Error {
        if let Some((placement, _)) = &self.opened {
            let endpoint = &placement.endpoint.id;
            tracing::info!(event = "event_too_large", request_id = self.admitted.id(), %endpoint);
            let entry = &self.entry;
            entry
                .metrics
                .count_broken_answer(BreakReason::EventTooLarge);
            let mut suspicions = entry.suspicions.borrow_mut();
            suspicions.note_failure(endpoint, Moment::now());
        }
        self.cut(RequestEnd::BrokeOff)
    }

    fn cut(&mut self, reason: RequestEnd) -> io::Error {
        self.log_end(reason);
        self.opened = None;
        io::Error::other(reason.label())
    }

    /// Continues a stream whose endpoint broke it off.
    async fn resume(&mut self, endpoint: &Endpoint, reason: BreakReason) -> Result<(), Refusal> {
        // An unreachable endpoint has been checked, and its crash recorded.
        if reason != BreakReason::EndpointUnreachable {
            let mut suspicions = self.entry.suspicions.borrow_mut();
            suspicions.note_failure(&endpoint.id, Moment::now());
            drop(suspicions);
            self.entry
                .check_for_crash(endpoint, &self.admitted, self.sent_at, self.run_events);
        }
        let can_continue = self.can_continue();
        let fingerprint = self.admitted.content.fingerprint;
        self.entry.await_crash_checks(fingerprint).await;
        let is_blocked = self.admitted.block(&self.entry).is_some();
        if !can_continue || is_blocked || !self.entry.take_retry(&self.admitted.service) {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        }
        self.reopen().await
    }

    /// Continues a stream whose endpoint sends nothing, with a retry that has been taken.
    async fn resume_stalled(&mut self) -> Result<(), Refusal> {
        let Some((placement, _)) = self.opened.take() else {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        };
        let endpoint = &placement.endpoint;
        self.leave_endpoint(endpoint, BreakReason::Stalled, None);
        self.entry
            .suspicions
            .borrow_mut()
            .note_unresponsive(&endpoint.id, Moment::now());
        drop(placement);
        self.reopen().await
    }

    /// Excludes an endpoint that broke the stream off.
    fn leave_endpoint(
        &mut self,
        endpoint: &Endpoint,
        reason: BreakReason,
        error: Option<io::Error>,
    ) {
        tracing::info!(
            event = "stream_broke",
            request_id = self.admitted.id(),
            endpoint = %endpoint.id,
            events = self.events,
            run_events = self.run_events,
            reason = reason.label(),
            error = error.map(tracing::field::display),
        );
        self.entry.metrics.count_broken_answer(reason);
        self.splitter = EventSplitter::default();
        self.progress.excluded.push(endpoint.id.clone());
    }

    /// Opens the stream again, after its last complete event.
    async fn reopen(&mut self) -> Result<(), Refusal> {
        let opening = open(
            &self.entry,
            &self.admitted,
            &mut self.progress,
            self.last_event_id,
        );
        let opened = compio::time::timeout(self.admitted.time_left(), opening).await;
        let opened = opened.map_err(|_| Refusal::timed_out())??;
        if !is_event_stream(&opened.parts) {
            return Err(Refusal::may_have_run(RequestEnd::ResumeFailed));
        }
        let usual = self.entry.usual_pause(self.event_tokens);
        self.pauses = Pauses::new(usual, Moment::now());
        self.decode_timer = DecodeTimer::default();
        self.sent_at = opened.sent_at;
        self.run_events = 0;
        self.opened = Some((opened.placement, opened.body));
        Ok(())
    }

    fn log_end(&self, outcome: RequestEnd) {
        let status = self.status.as_u16();
        self.admitted.request_log.end(status, outcome, self.events);
    }
}
