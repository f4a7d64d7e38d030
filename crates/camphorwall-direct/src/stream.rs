//! Serves a streamed request of a model: a decode place, a prefill, then the stream.

use std::{cell::Cell, io, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::{BoxedBody, RequestEnd, stream_body};
use futures_util::stream;
use http::StatusCode;
use hyper::Response;

use crate::{
    choice::choose_plain,
    clock::Moment,
    configuration::Stage,
    connection_headers::remove_connection_headers,
    entry::Entry,
    events::EventSplitter,
    loads::{ForecastRun, Run, Work},
    outcome::{Outcome, Progress, attempt},
    placement::{Placement, PlacementRequest, candidates},
    prefill::{Prefilled, free, prefill},
    refusal::Refusal,
    request::Admitted,
    trail::Trail,
    upstream::{Answer, AnswerBody},
};

/// Time that a prefill and the transfer of its KV cache are expected to take; a place that is given later than this
/// before the target can't bring the first event in time.
const PREPARATION: Duration = Duration::from_millis(250);

/// When a caller may come back whose request found no place: engines free some within a second.
pub(crate) const SOON_FREE: Duration = Duration::from_secs(1);

/// When a caller may come back whose request no endpoint can hold.
const NEVER: Duration = Duration::from_secs(60);

/// Sends after refusals that one request may cause.
const MAX_REFUSALS: u32 = 3;

/// A stream that has begun.
struct Opened {
    place: Placement,
    parts: http::response::Parts,
    body: AnswerBody,
}

/// Serves a request; the stream goes on after this returns.
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
    let opened =
        opened.unwrap_or_else(|_| Err(progress.time_out(RequestEnd::NoPlaceInTime, SOON_FREE)));
    Ok(relay(entry, admitted, progress, opened?))
}

/// The run that a request will be after some of its tokens were delivered.
fn expected(entry: &Entry, admitted: &Admitted, delivered_tokens: u64) -> ForecastRun {
    let facts = &admitted.facts;
    let most = facts.max_output_tokens.unwrap_or(u64::from(u32::MAX));
    let lengths = entry.lengths.borrow();
    let outlook = lengths.forecast(&admitted.service, facts.output_estimate_tokens, most);
    let delivered = u32::try_from(delivered_tokens).unwrap_or(u32::MAX / 4);
    ForecastRun::new(admitted.prompt_tokens(), delivered, outlook)
}

/// Finds a place, has the prompt read and opens the stream.
async fn open(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    last_event_id: Option<u64>,
) -> Result<Opened, Refusal> {
    let mut prefilled: Option<Prefilled> = None;
    loop {
        let mut place = find_place(entry, admitted, progress, last_event_id).await?;
        if prefilled.is_none() && admitted.service_facts.engine.is_some() {
            prefilled = prefill(entry, admitted, progress, &place.endpoint).await?;
        }
        if !entry
            .registry
            .borrow()
            .takes_work(&place.endpoint, Moment::now())
        {
            // It began to leave while the prompt was read.
            progress.excluded.push(place.endpoint.id.clone());
            place = find_place(entry, admitted, progress, last_event_id).await?;
        }
        let source = prefilled.as_ref();
        let source = source.map(|held| (held.endpoint.address, held.handle.clone()));
        let stage = admitted.stage();
        let request = admitted.to_endpoint(entry, &place.endpoint, stage, source, last_event_id);
        progress.begin(admitted, &place.endpoint.id);
        let outcome = attempt(entry, admitted, &place.endpoint, request).await;
        match outcome {
            Outcome::Answered(Answer { parts, body }) => {
                admitted.trail.note_first();
                return Ok(Opened { place, parts, body });
            }
            Outcome::NotRun => {
                // A KV cache that was offered twice in vain is lost; its endpoint is avoided for a while.
                if let Some(held) = prefilled.take() {
                    prefilled = held.offered_in_vain(entry);
                }
                if !progress.note_refused(entry, admitted, MAX_REFUSALS) {
                    free(entry, prefilled);
                    return Err(progress.give_up(RequestEnd::EndpointsFull, SOON_FREE));
                }
            }
            Outcome::NotSent => progress.take_back(admitted),
            Outcome::Lost => {
                prefilled = None;
                if !progress.may_repeat(admitted) || !entry.take_retry(&admitted.service) {
                    return Err(Refusal::may_have_run(RequestEnd::NoWholeAnswer));
                }
            }
        }
    }
}

/// Waits for a place while the answer can be on time, then behind those that can be for as long as the caller waits.
///
/// The load that this answers: a burst that the engines have room for some seconds later. Its callers wait for four targets;
/// one that is refused before comes back late as well, and may be refused again.
async fn find_place(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    last_event_id: Option<u64>,
) -> Result<Placement, Refusal> {
    let Some(limits) = admitted.service_facts.engine else {
        return find_plain_place(entry, admitted, progress);
    };
    let delivered = last_event_id.map_or(0, |id| id.saturating_mul(limits.event_tokens));
    let expected = expected(entry, admitted, delivered);
    if u64::from(expected.run.held_tokens) > limits.kv_capacity_tokens {
        return Err(Refusal::not_run(RequestEnd::LargerThanAnyEndpoint, NEVER));
    }
    let has_endpoints = {
        let registry = entry.registry.borrow();
        let mut endpoints = registry.endpoints(&admitted.service, Stage::Decode, Moment::now());
        endpoints.any(|endpoint| !progress.excluded.contains(&endpoint.id))
    };
    if !has_endpoints {
        return Err(progress.give_up(RequestEnd::NoEndpoint, SOON_FREE));
    }
    let waits = waits(admitted, last_event_id.is_some(), Moment::now());
    let request = |is_late| PlacementRequest {
        service: admitted.service.clone(),
        capacity_tokens: limits.kv_capacity_tokens,
        forecast: expected,
        rank: admitted.rank(is_late),
        excluded: progress.excluded.clone(),
        is_reported: Cell::new(false),
    };
    let since = Moment::now();
    let mut placed = None;
    for (is_late, until) in waits {
        let left = until.since(Moment::now());
        if placed.is_none() && !left.is_zero() {
            let placing = entry.placed.place(request(is_late));
            placed = compio::time::timeout(left, placing).await.ok().flatten();
        }
    }
    Trail::add(&admitted.trail.place_wait, since);
    placed.ok_or_else(|| progress.give_up(RequestEnd::NoPlaceInTime, SOON_FREE))
}

/// Until when a request waits among those that can be in time, and then among the late ones.
///
/// A stream that broke goes on ahead of all that came after it: only then is its pause short, and its caller waits for the
/// next event as long as it did for the first.
fn waits(admitted: &Admitted, is_broken: bool, now: Moment) -> [(bool, Moment); 2] {
    if is_broken {
        let until = now + admitted.route.start_within(admitted.facts.deadline);
        return [(false, until), (true, until)];
    }
    let target = Duration::from_millis(admitted.route.target_ms);
    let on_time = target.saturating_sub(PREPARATION);
    [
        (false, admitted.arrived_at + on_time),
        (true, admitted.start_by),
    ]
}

/// A place at a service without engines, whose streams need no memory.
fn find_plain_place(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
) -> Result<Placement, Refusal> {
    let near = &entry.settings().data_centre;
    let (endpoints, candidates) = candidates(
        entry,
        &admitted.service,
        Stage::Whole,
        near,
        &progress.excluded,
    );
    let chosen = choose_plain(&candidates)
        .ok_or_else(|| progress.give_up(RequestEnd::NoEndpoint, SOON_FREE))?;
    Ok(Placement::new(
        entry,
        Rc::clone(&endpoints[chosen]),
        Work::Fixed(Run::default()),
    ))
}

/// A stream on its way to the caller.
struct Relay {
    entry: Rc<Entry>,
    admitted: Admitted,
    progress: Progress,
    status: StatusCode,
    splitter: EventSplitter,
    event_tokens: u32,
    last_event_id: Option<u64>,
    events: u32,
    opened: Option<(Placement, AnswerBody)>,
}

fn relay(
    entry: &Rc<Entry>,
    admitted: Admitted,
    progress: Progress,
    opened: Opened,
) -> Response<BoxedBody> {
    let Opened {
        place,
        mut parts,
        body,
    } = opened;
    remove_connection_headers(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    let engine = admitted.service_facts.engine;
    let event_tokens = engine.and_then(|limits| u32::try_from(limits.event_tokens).ok());
    let relay = Relay {
        entry: Rc::clone(entry),
        admitted,
        progress,
        status: parts.status,
        splitter: EventSplitter::default(),
        event_tokens: event_tokens.unwrap_or(0),
        last_event_id: None,
        events: 0,
        opened: Some((place, body)),
    };
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    Response::from_parts(parts, stream_body(chunks))
}

impl Relay {
    /// The next whole events; `None` at the stream's whole end.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let (place, body) = self.opened.as_mut()?;
            let left = self.admitted.time_left();
            let read = compio::time::timeout(left, body.next()).await;
            match read {
                Ok(Ok(Some(bytes))) => {
                    let Ok(events) = self.splitter.push(&bytes) else {
                        return Some(Err(self.cut_endless()));
                    };
                    if events.count == 0 {
                        continue;
                    }
                    place.advance(events.count.saturating_mul(self.event_tokens));
                    self.events = self.events.saturating_add(events.count);
                    self.last_event_id = events.last_id.or(self.last_event_id);
                    return Some(Ok(events.bytes));
                }
                Ok(Ok(None)) => {
                    self.note_whole();
                    self.opened = None;
                    let rest = self.splitter.rest();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Ok(Err(error)) => {
                    if let Err(refusal) = self.resume(&error).await {
                        return Some(Err(self.cut(refusal.reason)));
                    }
                }
                Err(_) => return Some(Err(self.cut(RequestEnd::TimedOut))),
            }
        }
    }

    fn note_whole(&mut self) {
        let generated = self.events.saturating_mul(self.event_tokens);
        if let Some(estimate) = self.admitted.facts.output_estimate_tokens {
            let mut lengths = self.entry.lengths.borrow_mut();
            let service = &self.admitted.service;
            lengths.note_ended(service, estimate, generated);
            self.entry.metrics.note_estimate(estimate, generated);
        }
        let first = self.admitted.trail.first.get().unwrap_or_default();
        let whole = Moment::now().since(self.admitted.arrived_at);
        self.entry.note_pace(generated, whole.saturating_sub(first));
        if let Some((place, _)) = &self.opened {
            let mut suspicions = self.entry.suspicions.borrow_mut();
            suspicions.note_success(&place.endpoint.id, Moment::now());
        }
        let mut poison = self.entry.poison.borrow_mut();
        poison.note_answer(self.admitted.fingerprint);
        drop(poison);
        let outcome = if self.status.is_success() {
            RequestEnd::Answered
        } else {
            RequestEnd::EndpointFailed
        };
        self.log_end(outcome);
    }

    /// Ends a stream whose endpoint sends no end of an event.
    fn cut_endless(&mut self) -> io::Error {
        if let Some((place, _)) = &self.opened {
            let endpoint = &place.endpoint.id;
            tracing::info!(event = "event_too_large", request_id = self.admitted.id(), %endpoint);
            let mut suspicions = self.entry.suspicions.borrow_mut();
            suspicions.note_failure(endpoint, Moment::now());
        }
        self.cut(RequestEnd::BrokeOff)
    }

    fn cut(&mut self, reason: RequestEnd) -> io::Error {
        self.log_end(reason);
        self.opened = None;
        io::Error::other(reason.word())
    }

    /// Opens the stream anew after its last whole event.
    async fn resume(&mut self, error: &io::Error) -> Result<(), Refusal> {
        let Some((place, _)) = self.opened.take() else {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        };
        let now = Moment::now();
        let endpoint = Rc::clone(&place.endpoint);
        drop(place);
        self.entry
            .suspicions
            .borrow_mut()
            .note_failure(&endpoint.id, now);
        let fingerprint = self.admitted.fingerprint;
        self.entry.check_for_crash(&endpoint, fingerprint);
        tracing::info!(
            event = "stream_broke",
            request_id = self.admitted.id(),
            endpoint = %endpoint.id,
            events = self.events,
            %error,
        );
        self.splitter = EventSplitter::default();
        self.progress.excluded.push(endpoint.id.clone());
        let can_repeat = self.progress.may_repeat(&self.admitted);
        let is_blocked = {
            let poison = self.entry.poison.borrow();
            poison.is_blocked(self.admitted.fingerprint, now)
        };
        if !can_repeat || is_blocked || !self.entry.take_retry(&self.admitted.service) {
            return Err(Refusal::may_have_run(RequestEnd::BrokeOff));
        }
        let opening = open(
            &self.entry,
            &self.admitted,
            &mut self.progress,
            self.last_event_id,
        );
        let opened = compio::time::timeout(self.admitted.time_left(), opening).await;
        let opened = opened.map_err(|_| Refusal::timed_out())??;
        if !opened.parts.status.is_success() {
            return Err(Refusal::may_have_run(RequestEnd::ResumeFailed));
        }
        self.opened = Some((opened.place, opened.body));
        Ok(())
    }

    fn log_end(&self, outcome: RequestEnd) {
        let status = self.status.as_u16();
        self.admitted.trail.end(status, outcome, self.events);
    }
}
