//! Runs prefills at prefill endpoints, and keeps track of the KV caches until a decode endpoint takes them.

use std::{cell::Cell, rc::Rc, time::Duration};

use camphorwall::RequestEnd;
use http::StatusCode;

use crate::{
    balance::{
        choice::{CacheEvidence, Expectation, choose_prefill, expect_prefill},
        loads::{Run, Work},
        placement::{Placement, candidates, note_held_prefixes},
        return_queue::choose_in_turn,
        speeds::ms,
    },
    blocks::Blocks,
    clock::Moment,
    configuration::{Endpoint, Stage},
    dialect::KvHandle,
    entry::Entry,
    request::Admitted,
    request_log::RequestLog,
    serve::{
        outcome::{Progress, is_for_request, note_actual_time, note_answer_head, note_replaced},
        refusal::Refusal,
        stream::CAPACITY_RETRY_AFTER,
    },
    upstream::{Connection, SendError},
};

/// Timeout of a prefill call; a prefill usually takes a tenth of it.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum size of a prefill's answer that is read.
const MAX_PREFILL_BYTES: usize = 64 * 1024;

/// Maximum number of decode endpoints to which one KV cache is offered.
const MAX_OFFERS: u32 = 2;

/// Maximum age at which a refused KV cache is offered to another endpoint; engines keep it for a fraction of a second.
const MAX_OFFER_AGE: Duration = Duration::from_millis(350);

/// A KV cache at a prefill endpoint that no decode endpoint has taken yet.
pub(crate) struct Prefilled {
    pub(crate) endpoint: Rc<Endpoint>,
    pub(crate) handle: KvHandle,
    finished_at: Moment,
    /// Number of decode endpoints that refused it.
    refusals: u32,
}

impl Prefilled {
    /// Last moment at which the cache is offered to a decode endpoint.
    pub(crate) fn offer_until(&self) -> Moment {
        self.finished_at + MAX_OFFER_AGE
    }

    /// Records that a decode endpoint refused the request, and returns the cache if it can be offered to another one. A
    /// refusal doesn't state whether the endpoint was full or the cache had expired.
    pub(crate) fn retain_after_refusal(mut self, entry: &Rc<Entry>) -> Option<Self> {
        self.refusals += 1;
        let now = Moment::now();
        if self.refusals < MAX_OFFERS && now < self.offer_until() {
            return Some(self);
        }
        if self.refusals >= MAX_OFFERS {
            let mut suspicions = entry.suspicions.borrow_mut();
            suspicions.note_failure(&self.endpoint.id, now);
        }
        free_kv_cache(entry, Some(self));
        None
    }
}

/// Runs the prefill. Returns `None` if the service has no prefill endpoints; the decode endpoint then prefills itself.
pub(crate) async fn prefill(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    decode: &Endpoint,
) -> Result<Option<Prefilled>, Refusal> {
    let prompt_tokens = admitted.prompt_tokens();
    let mut excluded = Vec::new();
    let expectation: Cell<Option<Expectation>> = Cell::new(None);
    let parts = &admitted.facts.prompt_parts;
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared_tokens = shared.iter().map(|part| part.tokens);
    let shared_tokens = shared_tokens.fold(0, u32::saturating_add);
    let engine = admitted.service_facts.engine;
    let capacity_tokens = engine.map_or(0, |limits| limits.kv_capacity_tokens);
    loop {
        let choose = || {
            let (endpoints, mut candidates) = candidates(
                entry,
                &admitted.service,
                Stage::Prefill,
                &decode.data_centre,
                &admitted.homes,
                &excluded,
            );
            note_held_prefixes(entry, parts, capacity_tokens, &endpoints, &mut candidates);
            let chosen = choose_prefill(&candidates, prompt_tokens)?;
            let expected = expect_prefill(&candidates[chosen], prompt_tokens, shared_tokens);
            expectation.set(expected);
            Some(Rc::clone(&endpoints[chosen]))
        };
        let stage = Stage::Prefill;
        let choosing = choose_in_turn(entry, admitted, progress, stage, &excluded, choose);
        let Some(endpoint) = choosing.await? else {
            if excluded.is_empty() {
                return Ok(None);
            }
            return Err(progress.give_up(RequestEnd::NoPrefill, CAPACITY_RETRY_AFTER));
        };
        let held_tokens = expectation.get().map_or(0, |expected| expected.held_tokens);
        let run = Run {
            held_tokens: prompt_tokens - held_tokens,
            left_tokens: 0,
        };
        let placement = Placement::new(entry, Rc::clone(&endpoint), Work::Fixed(run));
        progress.check_next_run(entry, admitted).await?;
        let is_retry = progress.prefills > 0;
        let may_retry = || admitted.trial.is_none() && entry.take_retry(&admitted.service);
        if is_retry && !may_retry() {
            return Err(progress.give_up(RequestEnd::RetryBudget, CAPACITY_RETRY_AFTER));
        }
        let request = admitted.endpoint_request(entry, &endpoint, Stage::Prefill, None, None);
        let requesting = request_prefill(entry, admitted, &endpoint, request);
        let since = Moment::now();
        progress.prefills += 1;
        if expectation.get().is_some() {
            let placed_tokens = entry.loads.borrow().placed_tokens(&endpoint.id);
            let mut prefixes = entry.prefixes.borrow_mut();
            prefixes.note_sent(endpoint.incarnation(), parts, placed_tokens, since);
        }
        let result = compio::time::timeout(PREFILL_TIMEOUT, requesting).await;
        RequestLog::add_elapsed(&admitted.request_log.prefill, since);
        let id = endpoint.id.clone();
        admitted.request_log.prefill_endpoint.replace(Some(id));
        drop(placement);
        match result {
            Ok(PrefillOutcome::Finished(handle)) => {
                note_actual_prefill(entry, admitted, &endpoint, expectation.get(), since);
                return Ok(Some(Prefilled {
                    endpoint,
                    handle,
                    finished_at: Moment::now(),
                    refusals: 0,
                }));
            }
            Ok(PrefillOutcome::Failed) => {}
            // Only calls that reach an endpoint count as retries.
            Ok(PrefillOutcome::NotSent) if is_retry => entry.return_retry(&admitted.service),
            Ok(PrefillOutcome::NotSent) => progress.prefills = 0,
            Err(_) => {
                let now = Moment::now();
                let mut suspicions = entry.suspicions.borrow_mut();
                suspicions.note_unresponsive(&endpoint.id, now);
            }
        }
        let mut prefixes = entry.prefixes.borrow_mut();
        prefixes.forget(endpoint.incarnation(), parts);
        drop(prefixes);
        // An endpoint that only asked for time, or is cold, may be asked again after it.
        let now = Moment::now();
        let notices = entry.notices.borrow();
        if !notices.holds_off(endpoint.incarnation(), now) && !entry.is_cold_denied(&endpoint, now)
        {
            excluded.push(endpoint.id.clone());
        }
    }
}

/// Records how long a prefill took, and what this shows of the engine's cache.
fn note_actual_prefill(
    entry: &Entry,
    admitted: &Admitted,
    endpoint: &Endpoint,
    expectation: Option<Expectation>,
    since: Moment,
) {
    let Some(expected) = expectation else { return };
    let took = Moment::now().since(since);
    let evidence = expected.cache_evidence(ms(took));
    admitted.request_log.held_tokens.set(expected.held_tokens);
    if expected.held_tokens > 0 {
        let was_held = evidence != CacheEvidence::Missed;
        entry.metrics.count_prefix(expected.held_tokens, was_held);
        let mut prefixes = entry.prefixes.borrow_mut();
        prefixes.note_evidence(endpoint.incarnation(), was_held);
    }
    if evidence == CacheEvidence::Expected {
        note_actual_time(entry, admitted, endpoint, expectation, took);
    }
}

/// Result of one prefill call.
enum PrefillOutcome {
    Finished(KvHandle),
    /// The endpoint refused the call, or its answer was lost.
    Failed,
    /// The call never reached the endpoint.
    NotSent,
}

async fn request_prefill(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    request: http::Request<Blocks>,
) -> PrefillOutcome {
    let connected = Connection::open(endpoint.address).await;
    if !entry.may_send(endpoint, &admitted.homes) {
        return PrefillOutcome::NotSent;
    }
    let sent_at = Moment::now();
    let sent = match connected {
        Ok(_) if !entry.begin_send(endpoint, sent_at) => return PrefillOutcome::NotSent,
        Ok(connection) => connection.send(request).await,
        Err(error) => Err(error),
    };
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(event = "prefill_failed", request_id = admitted.id(), endpoint = %endpoint.id, %error);
            return if entry.note_send_error(endpoint, admitted, sent_at, &error) {
                PrefillOutcome::Failed
            } else {
                entry.undo_send(endpoint, sent_at);
                PrefillOutcome::NotSent
            };
        }
    };
    let facts = (entry.dialect.answer_facts)(&answer.parts);
    note_answer_head(entry, endpoint, answer.parts.status, &facts);
    if answer.parts.status == StatusCode::MISDIRECTED_REQUEST {
        entry.undo_send(endpoint, sent_at);
    }
    let mut memory = entry.memory.share();
    let body = answer.body.collect(MAX_PREFILL_BYTES, &mut memory).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            tracing::info!(event = "answer_broke", request_id = admitted.id(), endpoint = %endpoint.id, %error);
            let mut suspicions = entry.suspicions.borrow_mut();
            suspicions.note_failure(&endpoint.id, Moment::now());
            drop(suspicions);
            entry.check_for_crash(endpoint, admitted, sent_at, 0);
            return PrefillOutcome::Failed;
        }
    };
    let is_own = is_for_request(&facts, admitted);
    let handle = (entry.dialect.prefilled)(&body);
    match handle {
        Some(handle) if answer.parts.status.is_success() && is_own => {
            let now = Moment::now();
            entry
                .suspicions
                .borrow_mut()
                .note_success(&endpoint.id, now);
            PrefillOutcome::Finished(handle)
        }
        _ => {
            tracing::info!(
                event = "prefill_refused",
                request_id = admitted.id(),
                endpoint = %endpoint.id,
                status = answer.parts.status.as_u16(),
                is_own,
            );
            if answer.parts.status == StatusCode::MISDIRECTED_REQUEST {
                note_replaced(entry, endpoint);
            }
            PrefillOutcome::Failed
        }
    }
}

fn is_evacuated(entry: &Entry, endpoint: &Endpoint) -> bool {
    let registry = entry.registry.borrow();
    registry.evacuations.is_evacuated(&endpoint.data_centre)
}

/// Drops a KV cache whose data centre has been evacuated since the prefill, or is no home of the request any more, since
/// the decode endpoint would fetch it from there; returns whether it did. The prompt is prefilled again elsewhere.
pub(crate) fn drop_closed_cache(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    prefilled: &mut Option<Prefilled>,
) -> bool {
    let is_home = entry.homes_filter(&admitted.homes);
    let held = prefilled.take_if(|held| {
        is_evacuated(entry, &held.endpoint) || !is_home(&held.endpoint.data_centre)
    });
    let is_dropped = held.is_some();
    free_kv_cache(entry, held);
    is_dropped
}

/// Frees a KV cache that no decode endpoint will take.
pub(crate) fn free_kv_cache(entry: &Rc<Entry>, prefilled: Option<Prefilled>) {
    let Some(held) = prefilled else { return };
    let incarnation = held.endpoint.incarnation();
    let is_evacuated = is_evacuated(entry, &held.endpoint);
    if is_evacuated || entry.notices.borrow().holds_off(incarnation, Moment::now()) {
        // The endpoint gets no calls; the cache expires by itself.
        return;
    }
    let request = (entry.dialect.free_kv)(&held.handle);
    let task_entry = Rc::clone(entry);
    entry.tasks.spawn(async move {
        // If this fails, the cache expires at its endpoint.
        let freeing = async {
            let connection = Connection::open(held.endpoint.address).await.ok()?;
            let sent_at = Moment::now();
            if !task_entry.begin_send(&held.endpoint, sent_at) {
                return None;
            }
            let sent = connection.send(request).await;
            let is_uncounted = match &sent {
                Ok(answer) => answer.parts.status == StatusCode::MISDIRECTED_REQUEST,
                Err(error) => matches!(error, SendError::NotSent { .. }),
            };
            if is_uncounted {
                task_entry.undo_send(&held.endpoint, sent_at);
            }
            sent.ok()
        };
        let freed = compio::time::timeout(Duration::from_secs(1), freeing).await;
        if let Ok(Some(answer)) = freed {
            let facts = (task_entry.dialect.answer_facts)(&answer.parts);
            note_answer_head(&task_entry, &held.endpoint, answer.parts.status, &facts);
        }
    });
}
