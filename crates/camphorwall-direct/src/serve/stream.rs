//! Opens the stream of a model request: waits for a decode placement, runs the prefill, then sends the request.

use std::{cell::Cell, future::Future, pin::pin, rc::Rc, time::Duration};

use camphorwall::{BoxedBody, RequestEnd};
use futures_util::FutureExt as _;
use hyper::Response;

use crate::{
    balance::{
        choice::choose_plain,
        loads::{ForecastRun, Run, Work},
        placement::{Placement, PlacementRequest, QueueRank, candidates},
        return_queue::{holds_off, note_passed_over, retry_after_refusals, returns_at},
    },
    clock::Moment,
    configuration::{Endpoint, Stage},
    endpoints::{
        cold_limit::no_endpoint,
        stall::{Pauses, has_stood_still},
    },
    entry::Entry,
    request::Admitted,
    request_log::RequestLog,
    serve::{
        outcome::{AttemptOutcome, Progress, attempt_on},
        prefill::{Prefilled, drop_closed_cache, free_kv_cache, prefill},
        refusal::Refusal,
        relay::relay,
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

/// Maximum number of times that one request is sent again after an endpoint refused it.
const MAX_REFUSALS: u32 = 3;

/// A stream whose response head has arrived.
pub(crate) struct OpenStream {
    /// When the request was sent to the endpoint.
    pub(crate) sent_at: Moment,
    pub(crate) placement: Placement,
    pub(crate) parts: http::response::Parts,
    pub(crate) body: AnswerBody,
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
pub(crate) async fn open(
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
        let reason = RequestEnd::LargerThanAnyEndpoint;
        return Err(progress.give_up(reason, OVERSIZED_RETRY_AFTER));
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
