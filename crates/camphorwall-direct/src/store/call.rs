//! Calls to the store and to the entries that read it.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode, header};
use strum::Display;

use super::era::enter_era;
use crate::{clock::Moment, entry::Entry, memory_pool::MemoryShare, upstream};

/// Timeout of the store's own work on a call, beyond the wait for changes, and of each further part of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a reader's own work on a follower's call, beyond the wait for changes, and of each further part of its
/// answer.
pub(super) const READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum rate of an answer's body on average, beyond its first silence timeout. The slowest links of an instance are
/// over a hundred times as fast; a sender of single bytes would never be silent.
const MIN_BYTES_PER_S: u32 = 8 * 1024;

/// Maximum size of an answer that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Size above which the transfer of an answer is logged.
const LOGGED_ANSWER_BYTES: usize = 32 * 1024;

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub(super) enum StoreError {
    /// The store has discarded the changes since the revision.
    #[strum(to_string = "the store has discarded these changes")]
    HistoryDiscarded,
    /// The store has been restored from a copy since this entry last heard of it, so the answer can't be combined with
    /// what is known.
    #[strum(to_string = "the store has been restored from a copy")]
    Restored,
    #[strum(to_string = "{0}")]
    Failed(String),
    /// Nothing came in time, so that what was last heard is from before the call.
    #[strum(to_string = "{0}")]
    Silent(String),
}

impl From<upstream::SendError> for StoreError {
    fn from(error: upstream::SendError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Limits of a call. There is no timeout for the complete response: its size grows with the fleet and the configuration,
/// so a response that exceeds a fixed timeout once would exceed it at every retry.
#[derive(Clone, Copy, Debug)]
struct CallLimits {
    /// Maximum time until the head of the answer, the wait for changes included.
    head_timeout: Duration,
    /// Maximum time without further bytes of the body.
    silence_timeout: Duration,
    /// Size above which the rest of the body is not read.
    max_bytes: usize,
}

/// Calls the store, which may hold the call for a time. Reads no further than `max_bytes`.
pub(super) async fn call_store(
    entry: &Entry,
    path: &str,
    wait: Duration,
    max_bytes: usize,
) -> Result<CallBody, StoreError> {
    call_store_with(entry, path, wait, max_bytes, || ()).await
}

/// Calls the store as [`call_store`] does; `note_head` is called once the head of the answer has arrived.
pub(super) async fn call_store_with(
    entry: &Entry,
    path: &str,
    wait: Duration,
    max_bytes: usize,
    note_head: impl FnOnce(),
) -> Result<CallBody, StoreError> {
    let limits = CallLimits {
        head_timeout: wait + ANSWER_TIMEOUT,
        silence_timeout: ANSWER_TIMEOUT,
        max_bytes,
    };
    let known = entry.store_era.get();
    let body = call(
        entry,
        entry.settings().store_address,
        path,
        limits,
        note_head,
    )
    .await?;
    let era = (entry.dialect.store.era)(&body.headers).map_err(StoreError::Failed)?;
    enter_era(entry, era.unwrap_or(0))?;
    if known.is_some() && known != entry.store_era.get() {
        return Err(StoreError::Restored);
    }
    Ok(body)
}

/// Calls a reader, which may hold the call for a time that `head_timeout` includes.
pub(super) async fn call_reader(
    entry: &Entry,
    reader: SocketAddr,
    path: &str,
    head_timeout: Duration,
) -> Result<CallBody, StoreError> {
    call_reader_with(entry, reader, path, head_timeout, || ()).await
}

/// Calls a reader as [`call_reader`] does; `note_head` is called once the head of the answer has arrived.
pub(super) async fn call_reader_with(
    entry: &Entry,
    reader: SocketAddr,
    path: &str,
    head_timeout: Duration,
    note_head: impl FnOnce(),
) -> Result<CallBody, StoreError> {
    let limits = CallLimits {
        head_timeout,
        silence_timeout: READER_TIMEOUT,
        max_bytes: usize::MAX,
    };
    call(entry, reader, path, limits, note_head).await
}

/// Body of an answer, or its beginning if it is larger than the call allows.
pub(super) struct CallBody {
    headers: HeaderMap,
    pub(super) bytes: Bytes,
    pub(super) is_complete: bool,
    /// Memory of the bytes.
    _memory: MemoryShare,
}

/// Calls the store, or an entry that reads it, and returns the body of the answer.
async fn call(
    entry: &Entry,
    store: SocketAddr,
    path: &str,
    limits: CallLimits,
    note_head: impl FnOnce(),
) -> Result<CallBody, StoreError> {
    let began_at = Moment::now();
    let mut answer = answer_head(store, path, limits).await?;
    note_head();
    let announced = announced_bytes(&answer.parts.headers);
    let mut body = BytesMut::new();
    let mut memory = entry.memory.share();
    let body_began_at = Moment::now();
    loop {
        if body.len().max(announced.unwrap_or(0)) > limits.max_bytes {
            return Ok(CallBody {
                headers: answer.parts.headers,
                bytes: body.freeze(),
                is_complete: false,
                _memory: memory,
            });
        }
        let elapsed = Moment::now().since(body_began_at);
        let left = time_left(body.len(), elapsed, limits.silence_timeout);
        let next = compio::time::timeout(left, answer.body.next()).await;
        let next = next.map_err(|_| {
            let received = body.len();
            StoreError::Silent(format!(
                "the answer of {store} stopped or is too slow after {received} of {announced:?} bytes in {elapsed:?}: \
                 nothing for {left:?}, at least {MIN_BYTES_PER_S} B/s expected"
            ))
        })?;
        let Some(data) = next? else { break };
        body.extend_from_slice(&data);
        memory.grow_anyway_to(body.capacity(), Moment::now());
        if body.len() > MAX_ANSWER_BYTES {
            let error = format!("the answer of {store} is larger than {MAX_ANSWER_BYTES} bytes");
            return Err(StoreError::Failed(error));
        }
    }
    if body.len() > LOGGED_ANSWER_BYTES {
        let elapsed_ms = Moment::now().since(began_at).as_millis();
        tracing::info!(event = "large_answer_read", from = %store, bytes = body.len(), elapsed_ms);
    }
    Ok(CallBody {
        headers: answer.parts.headers,
        bytes: body.freeze(),
        is_complete: true,
        _memory: memory,
    })
}

/// Time until an answer's further bytes are due, given what has arrived so far.
pub(super) fn time_left(
    received_bytes: usize,
    elapsed: Duration,
    silence_timeout: Duration,
) -> Duration {
    let received_s = received_bytes as f64 / f64::from(MIN_BYTES_PER_S);
    let due = silence_timeout + Duration::from_secs_f64(received_s);
    due.saturating_sub(elapsed).min(silence_timeout)
}

/// Sends a call and returns its answer once the head of a successful one has arrived.
async fn answer_head(
    store: SocketAddr,
    path: &str,
    limits: CallLimits,
) -> Result<upstream::Answer, StoreError> {
    let request = Request::get(path)
        .header(header::HOST, store.to_string())
        .body(Bytes::new())
        .map_err(|error| StoreError::Failed(error.to_string()))?;
    let timeout = limits.head_timeout;
    let answer = compio::time::timeout(timeout, upstream::send(store, request)).await;
    let answer = answer
        .map_err(|_| StoreError::Silent(format!("no answer of {store} within {timeout:?}")))??;
    match answer.parts.status {
        StatusCode::OK => Ok(answer),
        StatusCode::GONE => Err(StoreError::HistoryDiscarded),
        status => Err(StoreError::Failed(format!("{store} answered {status}"))),
    }
}

/// Size of a body that a head announces.
fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    let length = headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
