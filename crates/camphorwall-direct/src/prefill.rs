//! Has prompts read at prefill endpoints, and keeps track of the KV caches.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::RequestEnd;

use crate::{
    choice::choose_prefill,
    clock::Moment,
    configuration::{Endpoint, Stage},
    dialect::KvHandle,
    entry::Entry,
    loads::{Run, Work},
    outcome::Progress,
    placing::{Place, candidates},
    refusal::Refusal,
    request::Admitted,
    request_log::RequestLog,
    stream::CAPACITY_RETRY_AFTER,
    upstream,
};

/// Longest time that a prefill may take; its endpoint is usually busy for a tenth of it.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Most tokens of a prefill's answer that is read.
const MAX_PREFILL_BYTES: usize = 64 * 1024;

/// Decode endpoints to which one KV cache is offered.
const MAX_OFFERS: u32 = 2;

/// Age up to which a KV cache is offered once more; engines keep it for a fraction of a second.
const KV_LIFE: Duration = Duration::from_millis(350);

/// A KV cache that waits for its decode endpoint.
pub(crate) struct Prefilled {
    pub(crate) endpoint: Rc<Endpoint>,
    pub(crate) handle: KvHandle,
    read_at: Moment,
    /// Decode endpoints that refused it.
    refusals: u32,
}

impl Prefilled {
    /// Notes that a decode endpoint refused the request; `None` when the cache is not worth another offer. Whether
    /// the endpoint was full or the cache was gone isn't told.
    pub(crate) fn retain_after_refusal(mut self, entry: &Rc<Entry>) -> Option<Self> {
        self.refusals += 1;
        let now = Moment::now();
        if self.refusals < MAX_OFFERS && now.since(self.read_at) < KV_LIFE {
            return Some(self);
        }
        if self.refusals >= MAX_OFFERS {
            let mut suspicions = entry.suspicions.borrow_mut();
            suspicions.note_failure(&self.endpoint.id, now);
        }
        free(entry, Some(self));
        None
    }
}

/// Has the prompt read; `None` where the service has no endpoints that only prefill.
pub(crate) async fn prefill(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &mut Progress,
    decode: &Endpoint,
) -> Result<Option<Prefilled>, Refusal> {
    let prompt_tokens = admitted.prompt_tokens();
    let mut excluded = Vec::new();
    loop {
        let (endpoints, candidates) = candidates(
            entry,
            &admitted.service,
            Stage::Prefill,
            &decode.data_centre,
            &excluded,
        );
        let Some(chosen) = choose_prefill(&candidates, prompt_tokens) else {
            if excluded.is_empty() {
                return Ok(None);
            }
            return Err(progress.give_up(RequestEnd::NoPrefill, CAPACITY_RETRY_AFTER));
        };
        let endpoint = Rc::clone(&endpoints[chosen]);
        let run = Run {
            held_tokens: prompt_tokens,
            left_tokens: 0,
        };
        let place = Place::take(entry, Rc::clone(&endpoint), Work::Fixed(run));
        if progress.prefills > 0 && !entry.take_retry(&admitted.service) {
            return Err(progress.give_up(RequestEnd::RetryBudget, CAPACITY_RETRY_AFTER));
        }
        progress.prefills += 1;
        let request = admitted.to_endpoint(entry, &endpoint, Stage::Prefill, None, None);
        let reading = read_prefill(entry, admitted, &endpoint, request);
        let since = Moment::now();
        let handle = compio::time::timeout(PREFILL_TIMEOUT, reading).await;
        RequestLog::add_elapsed(&admitted.request_log.prefill, since);
        let id = endpoint.id.clone();
        admitted.request_log.prefill_endpoint.replace(Some(id));
        drop(place);
        match handle {
            Ok(Some(handle)) => {
                return Ok(Some(Prefilled {
                    endpoint,
                    handle,
                    read_at: Moment::now(),
                    refusals: 0,
                }));
            }
            Ok(None) => {}
            Err(_) => {
                let now = Moment::now();
                let mut suspicions = entry.suspicions.borrow_mut();
                suspicions.note_unreachable(&endpoint.id, now);
            }
        }
        excluded.push(endpoint.id.clone());
    }
}

async fn read_prefill(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    endpoint: &Endpoint,
    request: http::Request<Bytes>,
) -> Option<KvHandle> {
    let sent = upstream::send(endpoint.address, request).await;
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(event = "prefill_failed", request_id = admitted.id(), endpoint = %endpoint.id, %error);
            entry.note_send_error(endpoint, admitted.fingerprint, &error);
            return None;
        }
    };
    let body = answer.body.collect(MAX_PREFILL_BYTES).await;
    let handle = body.ok().and_then(|body| (entry.dialect.prefilled)(&body));
    match handle {
        Some(handle) if answer.parts.status.is_success() => {
            let now = Moment::now();
            entry
                .suspicions
                .borrow_mut()
                .note_success(&endpoint.id, now);
            Some(handle)
        }
        _ => {
            tracing::info!(
                event = "prefill_refused",
                request_id = admitted.id(),
                endpoint = %endpoint.id,
                status = answer.parts.status.as_u16(),
            );
            None
        }
    }
}

/// Frees a KV cache that nobody will take.
pub(crate) fn free(entry: &Rc<Entry>, prefilled: Option<Prefilled>) {
    let Some(held) = prefilled else { return };
    let request = (entry.dialect.free_kv)(&held.handle);
    entry.tasks.spawn(async move {
        // A cache that can't be freed lapses by itself.
        let freeing = upstream::send(held.endpoint.address, request);
        let _ = compio::time::timeout(Duration::from_secs(1), freeing).await;
    });
}
