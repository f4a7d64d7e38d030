//! Serves a streamed request of a model: waits for a decode placement, runs the prefill, then relays the stream.

use std::{cell::Cell, future::Future, io, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::{BoxedBody, RequestEnd, stream_body};
use futures_util::{FutureExt as _, stream};
use http::{StatusCode, header};
use hyper::Response;

use crate::{
    balance::{
        choice::choose_plain,
        loads::{ForecastRun, Run, Work},
        placement::{Placement, PlacementRequest, QueueRank, candidates},
        return_queue::{holds_off, note_passed_over, retry_after_refusals, returns_at},
        speeds::ms,
    },
    clock::Moment,
    configuration::{Endpoint, Stage},
    connection_headers::remove_connection_headers,
    endpoints::{
        cold_limit::no_endpoint,
        crash_evidence::BEGUN_EVENTS,
        stall::{Pauses, has_stood_still},
    },
    entry::Entry,
    memory_pool::MemoryShare,
    request::Admitted,
    request_log::RequestLog,
    serve::{
        decode_timer::DecodeTimer,
        events::EventSplitter,
        outcome::{AttemptOutcome, Progress, attempt_on},
        prefill::{Prefilled, drop_closed_cache, free_kv_cache, prefill},
        refusal::Refusal,
    },
    upstream::{Answer, AnswerBody, Connection},
};

/// Expected time of a prefill and of the transfer of its KV cache. A request that is placed with less time than this
/// left before its target can't get its first event in time.
const PREFILL_AND_TRANSFER_TIME: Duration = Duration::from_millis(250);

/// Retry-After of a request that found no free capacity: engines free some within a second.
pub(crate) const CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry-After of a request that is larger than the KV cache of any endpoint.
const OVERSIZED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Maximum number of times that one request is sent again after an endpoint refused it.
const MAX_REFUSALS: u32 = 3;

/// A stream whose response head has arrived.
struct OpenStream {
    /// When the request was sent to the endpoint.
    sent_at: Moment,
    placement: Placement,
    parts: http::response::Parts,
    body: AnswerBody,
}

/// Serves a request. Returns with the head of the response; the stream continues after that.
pub(crate) async fn serve(
    entry: &Rc<Entry>,
    admitted: Admitted,
) -> Result<Response<BoxedBody>, Refusal> {
    if let Some(estimate) = admitted.facts.output_estimate_tokens {
        let mut lengths = entry.lengths.borrow_mut();
        lengths.note_estimate(&admitted.service, estimate);
    }
    let mut progress = Progress::default();
    let opening = open(entry, &admitted, &mut progress, None);
    let opened = compio::time::timeout(admitted.time_left(), opening).await;
    let opened = opened.unwrap_or_else(|_| {
        Err(progress.time_out(RequestEnd::NoPlaceInTime, CAPACITY_RETRY_AFTER))
    });
    Ok(relay(entry, admitted, progress, opened?))
}

/// The expected engine run of a request of which `delivered_tokens` have reached the caller.
fn expected_run(entry: &Entry, admitted: &Admitted, delivered_tokens: u64) -> ForecastRun {
    let facts = &admitted.facts;
    let max_output = facts.max_output_tokens.unwrap_or(u64::from(u32::MAX));
    let lengths = entry.lengths.borrow();
    let forecast = lengths.forecast(&admitted.service, facts.output_estimate_tokens, max_output);
    let delivered = u32::try_from(delivered_tokens).unwrap_or(u32::MAX / 4);
    ForecastRun::new(admitted.prompt_tokens(), delivered, forecast)
}

/// A placement with an open connection to its endpoint.
struct ConnectedPlacement {
    placement: Placement,
    connection: Connection,
}

/// Connects to the endpoint of a placement; when it can't be reached, finds another placement.
async fn connect(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    last_event_id: Option<u64>,
    cache_until: Option<Moment>,
    mut placement: Placement,
) -> Result<ConnectedPlacement, Refusal> {
    loop {
        let error = match Connection::open(placement.endpoint.address).await {
            Ok(connection) => {
                return Ok(ConnectedPlacement {
                    placement,
                    connection,
                });
            }
            Err(error) => error,
        };
        let endpoint = &placement.endpoint;
        tracing::info!(event = "connect_failed", request_id = admitted.id(), endpoint = %endpoint.id, %error);
        entry.note_send_error(endpoint, admitted, Moment::now(), &error);
        progress.excluded.push(endpoint.id.clone());
        drop(placement);
        placement = find_placement(entry, admitted, progress, last_event_id, cache_until).await?;
    }
}

/// Runs the prefill and meanwhile connects to the decode endpoint.
///
/// A KV cache lives for a fraction of a second. If the connection were opened after the prefill, an endpoint that went
/// dark would be noticed only when the cache has expired, and the prefill would be wasted.
async fn prefill_and_connect(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    last_event_id: Option<u64>,
    placement: Placement,
) -> Result<(Option<Prefilled>, ConnectedPlacement), Refusal> {
    let decode = Rc::clone(&placement.endpoint);
    let mut connect_progress = progress.clone();
    let prefilling = prefill(entry, admitted, progress, &decode);
    let connecting = connect(
        entry,
        admitted,
        &mut connect_progress,
        last_event_id,
        None,
        placement,
    );
    // Boxed, since the state of both would make that of every request large.
    let (prefilled, connected) =
        futures_util::join!(prefilling.boxed_local(), connecting.boxed_local());
    progress.excluded = connect_progress.excluded;
    let prefilled = prefilled?;
    match connected {
        Ok(connected) => Ok((prefilled, connected)),
        Err(refusal) => {
            free_kv_cache(entry, prefilled);
            Err(refusal)
        }
    }
}

/// Finds a placement with a connection to its endpoint, and has the prompt prefilled unless its KV cache is ready.
async fn prepare(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    last_event_id: Option<u64>,
    prefilled: &mut Option<Prefilled>,
) -> Result<ConnectedPlacement, Refusal> {
    loop {
        let cache_until = prefilled.as_ref().map(Prefilled::offer_until);
        let placement =
            find_placement(entry, admitted, progress, last_event_id, cache_until).await?;
        if cache_until.is_some_and(|until| until < Moment::now()) {
            free_kv_cache(entry, prefilled.take());
        }
        let connected = if prefilled.is_none() && admitted.service_facts.engine.is_some() {
            let (finished, connected) =
                prefill_and_connect(entry, admitted, progress, last_event_id, placement).await?;
            *prefilled = finished;
            connected
        } else {
            let connecting = connect(
                entry,
                admitted,
                progress,
                last_event_id,
                cache_until,
                placement,
            );
            connecting.await?
        };
        let endpoint = &connected.placement.endpoint;
        let is_cache_lost = drop_closed_cache(entry, admitted, prefilled);
        if entry.may_send(endpoint, &admitted.homes) {
            if is_cache_lost {
                continue;
            }
            return Ok(connected);
        }
        // The endpoint began to drain or to hold requests off during the prefill.
        progress.excluded.push(endpoint.id.clone());
        progress.readmit_if_held_off(entry, endpoint);
    }
}

/// Finds a placement, runs the prefill and opens the stream.
async fn open(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    last_event_id: Option<u64>,
) -> Result<OpenStream, Refusal> {
    let mut prefilled: Option<Prefilled> = None;
    loop {
        let preparing = prepare(entry, admitted, progress, last_event_id, &mut prefilled);
        let prepared = preparing.await;
        let checked = progress.check_next_run(entry, admitted).await;
        let prepared = prepared.and_then(|ready| checked.map(|()| ready));
        let ConnectedPlacement {
            placement,
            connection,
        } = match prepared {
            Ok(ready) => ready,
            Err(refusal) => {
                free_kv_cache(entry, prefilled);
                return Err(refusal);
            }
        };
        let source = prefilled.as_ref();
        let source = source.map(|held| (held.endpoint.address, held.handle.clone()));
        let stage = admitted.stage();
        let request =
            admitted.endpoint_request(entry, &placement.endpoint, stage, source, last_event_id);
        progress.begin(admitted, &placement.endpoint.id);
        let sent_at = Moment::now();
        let attempting = attempt_on(connection, entry, admitted, &placement.endpoint, request);
        let outcome = if progress.may_retry(admitted) {
            abandon_if_stalled(entry, admitted, &placement.endpoint, attempting).await
        } else {
            attempting.await
        };
        match outcome {
            AttemptOutcome::Answered(Answer { parts, body }) => {
                admitted.request_log.note_response_head();
                return Ok(OpenStream {
                    sent_at,
                    placement,
                    parts,
                    body,
                });
            }
            AttemptOutcome::NotRun { .. } => {
                // A KV cache that two decode endpoints refused counts as lost and as a failure of its prefill endpoint,
                // which is avoided for a while.
                if let Some(held) = prefilled.take() {
                    prefilled = held.retain_after_refusal(entry);
                }
                progress.readmit_if_held_off(entry, &placement.endpoint);
                if !progress.note_refused(entry, admitted, MAX_REFUSALS) {
                    free_kv_cache(entry, prefilled);
                    let usual = CAPACITY_RETRY_AFTER;
                    let retry_after = retry_after_refusals(entry, admitted, progress, usual);
                    return Err(progress.give_up(RequestEnd::EndpointsFull, retry_after));
                }
            }
            AttemptOutcome::NotSent => {
                progress.readmit_if_held_off(entry, &placement.endpoint);
                progress.readmit_if_cold(entry, &placement.endpoint);
                progress.uncount_attempt(admitted);
            }
            AttemptOutcome::Failed => {
                prefilled = None;
                if !progress.may_retry(admitted) || !entry.take_retry(&admitted.service) {
                    return Err(Refusal::may_have_run(RequestEnd::NoWholeAnswer));
                }
            }
        }
    }
}

/// Waits for the head of an answer that another endpoint can give as well, and abandons an attempt whose endpoint is
/// silent for so long that its caller would soon leave.
async fn abandon_if_stalled(
    entry: &Entry,
    admitted: &Admitted,
    endpoint: &Endpoint,
    attempting: impl Future<Output = AttemptOutcome>,
) -> AttemptOutcome {
    let mut attempting = pin!(attempting);
    loop {
        let now = Moment::now();
        let stalled_at = admitted.stalled_at(&Pauses::new(None, now));
        let waiting = compio::time::timeout(stalled_at.since(now), &mut attempting);
        match waiting.await {
            Ok(outcome) => return outcome,
            Err(_) if has_stood_still(stalled_at, Moment::now()) => {}
            Err(_) => break,
        }
    }
    tracing::info!(event = "attempt_slow", request_id = admitted.id(), endpoint = %endpoint.id);
    let mut suspicions = entry.suspicions.borrow_mut();
    suspicions.note_unresponsive(&endpoint.id, Moment::now());
    AttemptOutcome::Failed
}

/// Waits for a placement: first among the requests that can meet their target, then, once this one can't, behind them
/// for as long as its caller waits.
///
/// The late phase serves bursts for which the engines have free capacity some seconds later. Callers wait for four
/// targets; a caller that is refused earlier would be late with its retry too, and might be refused again.
async fn find_placement(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    last_event_id: Option<u64>,
    cache_until: Option<Moment>,
) -> Result<Placement, Refusal> {
    let Some(limits) = admitted.service_facts.engine else {
        return find_plain_placement(entry, admitted, progress);
    };
    let delivered = last_event_id.map_or(0, |id| id.saturating_mul(limits.event_tokens));
    let expected = expected_run(entry, admitted, delivered);
    if u64::from(expected.run.held_tokens) > limits.kv_capacity_tokens {
        return Err(Refusal::not_run(
            RequestEnd::LargerThanAnyEndpoint,
            OVERSIZED_RETRY_AFTER,
        ));
    }
    let has_endpoints = {
        let registry = entry.registry.borrow();
        let is_home = entry.homes_filter(&admitted.homes);
        let mut endpoints = registry.endpoints(&admitted.service, Stage::Decode, Moment::now());
        endpoints.any(|endpoint| {
            !progress.excluded.contains(&endpoint.id) && is_home(&endpoint.data_centre)
        })
    };
    if !has_endpoints {
        return Err(progress.no_endpoint(entry, admitted, Stage::Decode, CAPACITY_RETRY_AFTER));
    }
    let wait_phases = wait_phases(
        admitted,
        last_event_id.is_some(),
        cache_until,
        Moment::now(),
    );
    let last_phase = wait_phases.last();
    let start_by = last_phase.map_or(admitted.start_by, |(_, until)| *until);
    let request = |rank| PlacementRequest {
        service: admitted.service.clone(),
        capacity_tokens: limits.kv_capacity_tokens,
        forecast: expected,
        rank,
        start_by,
        content: Rc::clone(&admitted.content),
        homes: Rc::clone(&admitted.homes),
        excluded: progress.excluded.clone(),
        is_reported: Cell::new(false),
    };
    let since = Moment::now();
    let mut placement = None;
    for (rank, until) in wait_phases {
        progress.check_harmless(entry, admitted)?;
        progress.check_open(entry, admitted)?;
        check_return(entry, admitted, progress, start_by)?;
        let left = until.since(Moment::now());
        if placement.is_none() && !left.is_zero() {
            let waiting = entry.placement_queue.place(request(rank));
            placement = compio::time::timeout(left, waiting).await.ok().flatten();
        }
    }
    RequestLog::add_elapsed(&admitted.request_log.placement_wait, since);
    note_passed_over(entry, admitted, Stage::Decode);
    progress.check_harmless(entry, admitted)?;
    if placement.is_none() {
        progress.check_open(entry, admitted)?;
        check_return(entry, admitted, progress, start_by)?;
    }
    placement.ok_or_else(|| {
        let retry_after = retry_after_wait(Moment::now().since(since));
        let usual = RequestEnd::NoPlaceInTime;
        no_endpoint(entry, admitted, progress, usual, retry_after)
    })
}

/// Refuses a request if all decode endpoints hold requests off until after the last moment at which it can start.
fn check_return(
    entry: &Entry,
    admitted: &Admitted,
    progress: &Progress,
    start_by: Moment,
) -> Result<(), Refusal> {
    let now = Moment::now();
    let excluded = &progress.excluded;
    let homes = &admitted.homes;
    let returns_at = returns_at(
        entry,
        &admitted.service,
        Stage::Decode,
        homes,
        excluded,
        now,
    );
    match returns_at {
        Some(at) if at > start_by => Err(holds_off(progress, at, now)),
        _ => Ok(()),
    }
}

/// Retry-After of a request that waited for a place in vain.
///
/// An overload that has lasted for a time is likely to last as long again. A caller that comes back sooner waits in vain
/// once more, and most callers retry only once.
pub(crate) fn retry_after_wait(waited: Duration) -> Duration {
    waited.max(CAPACITY_RETRY_AFTER)
}

/// The phases in which a request waits: its rank and the end of the phase.
///
/// A request whose KV cache is ready goes first while the cache lives. A stream that is resumed keeps its arrival time
/// and waits among the on-time requests throughout, ahead of all that arrived after it. This keeps its pause short; its
/// caller waits for the next event as long as it did for the first.
fn wait_phases(
    admitted: &Admitted,
    is_resumption: bool,
    cache_until: Option<Moment>,
    now: Moment,
) -> Vec<(QueueRank, Moment)> {
    let mut phases = Vec::new();
    let on_time = admitted.rank(false);
    if let Some(until) = cache_until {
        let rank = QueueRank {
            needs_prefill: false,
            ..on_time
        };
        phases.push((rank, until));
    }
    if is_resumption {
        let until = now + admitted.route.start_within(admitted.facts.deadline);
        phases.push((on_time, until));
    } else {
        let target = Duration::from_millis(admitted.route.target_ms);
        let on_time_wait = target.saturating_sub(PREFILL_AND_TRANSFER_TIME);
        phases.push((on_time, admitted.arrived_at + on_time_wait));
        phases.push((admitted.rank(true), admitted.start_by));
    }
    phases
}

/// Chooses an endpoint of a service without engines, whose streams need no KV cache.
fn find_plain_placement(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
) -> Result<Placement, Refusal> {
    let local = &entry.settings().data_centre;
    let (endpoints, candidates) = candidates(
        entry,
        &admitted.service,
        Stage::Whole,
        local,
        &admitted.homes,
        &progress.excluded,
    );
    let chosen = choose_plain(&candidates)
        .ok_or_else(|| progress.no_endpoint(entry, admitted, Stage::Whole, CAPACITY_RETRY_AFTER))?;
    Ok(Placement::new(
        entry,
        Rc::clone(&endpoints[chosen]),
        Work::Fixed(Run::default()),
    ))
}

/// Size up to which an incomplete event is held even if the memory is full; token events have some hundred bytes.
const USUAL_EVENT_BYTES: usize = 4 * 1024;

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

fn relay(
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
    let engine = admitted.service_facts.engine;
    let event_tokens = engine.and_then(|limits| u32::try_from(limits.event_tokens).ok());
    let relay = StreamRelay {
        entry: Rc::clone(entry),
        admitted,
        progress,
        status: parts.status,
        is_event_stream: is_event_stream(&parts),
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
                        // Empty lines are passed on, but show no progress.
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
                Ok(Ok(None)) if self.has_ended_early() => {
                    let error =
                        io::Error::other("it ended inside an event or before the first one");
                    if let Err(refusal) = self.resume(&error).await {
                        return Some(Err(self.cut(refusal.reason)));
                    }
                }
                Ok(Ok(None)) => {
                    self.note_complete();
                    self.opened = None;
                    let rest = self.splitter.take_rest();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Ok(Err(error)) => {
                    if let Err(refusal) = self.resume(&error).await {
                        return Some(Err(self.cut(refusal.reason)));
                    }
                }
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
                Err(_) => return Some(Err(self.cut(RequestEnd::TimedOut))),
            }
        }
    }

    /// Moment from which the endpoint is given up if it sends nothing; `None` if no other endpoint may continue.
    fn stalled_at(&self) -> Option<Moment> {
        let can_resume = !self.waits_out_stall && self.progress.may_retry(&self.admitted);
        can_resume.then(|| self.admitted.stalled_at(&self.pauses))
    }

    /// Whether a stream that ended was broken off. An answer without an announced length ends with its connection, so its
    /// framing doesn't show this.
    fn has_ended_early(&self) -> bool {
        let resumed_after = self.last_event_id.or(self.admitted.facts.last_event_id);
        let is_empty = self.run_events == 0 && resumed_after.is_none();
        self.is_event_stream && (is_empty || self.splitter.is_inside_event())
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

    fn note_complete(&mut self) {
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
        if let Some((placement, _)) = &self.opened {
            let mut suspicions = self.entry.suspicions.borrow_mut();
            suspicions.note_success(&placement.endpoint.id, Moment::now());
        }
        let content = &self.admitted.content;
        let mut poison = self.entry.poison.borrow_mut();
        let outcome = if self.status.is_success() {
            poison.note_answer(content, self.run_events);
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
            let mut suspicions = self.entry.suspicions.borrow_mut();
            suspicions.note_failure(endpoint, Moment::now());
        }
        self.cut(RequestEnd::BrokeOff)
    }

    fn cut(&mut self, reason: RequestEnd) -> io::Error {
        self.log_end(reason);
        self.opened = None;
        io::Error::other(reason.label())
    }

    /// Continues a stream whose connection broke.
    async fn resume(&mut self, error: &io::Error) -> Result<(), Refusal> {
        let Some(endpoint) = self.leave_endpoint(error) else {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        };
        let now = Moment::now();
        self.entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
        self.entry
            .check_for_crash(&endpoint, &self.admitted, self.sent_at, self.run_events);
        let can_retry = self.progress.may_retry(&self.admitted);
        let fingerprint = self.admitted.content.fingerprint;
        self.entry.await_crash_checks(fingerprint).await;
        let is_blocked = self.admitted.block(&self.entry).is_some();
        if !can_retry || is_blocked || !self.entry.take_retry(&self.admitted.service) {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        }
        self.reopen().await
    }

    /// Continues a stream whose endpoint sends nothing, with a retry that has been taken.
    async fn resume_stalled(&mut self) -> Result<(), Refusal> {
        let Some(endpoint) = self.leave_endpoint(&"no event for too long") else {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        };
        self.entry
            .suspicions
            .borrow_mut()
            .note_unresponsive(&endpoint.id, Moment::now());
        self.reopen().await
    }

    /// Closes the connection to the stream's endpoint and excludes it.
    fn leave_endpoint(&mut self, error: &dyn std::fmt::Display) -> Option<Rc<Endpoint>> {
        let (placement, _) = self.opened.take()?;
        let endpoint = Rc::clone(&placement.endpoint);
        tracing::info!(
            event = "stream_broke",
            request_id = self.admitted.id(),
            endpoint = %endpoint.id,
            events = self.events,
            %error,
        );
        self.splitter = EventSplitter::default();
        self.progress.excluded.push(endpoint.id.clone());
        Some(endpoint)
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
