//! Calls to the store and to the entries that read it.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode, header};
use strum::Display;

use crate::{clock::Moment, upstream};

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
    #[strum(to_string = "{0}")]
    Failed(String),
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

/// Time limits of a call. There is none for the whole answer, since its size grows with the fleet and the configuration:
/// an answer that takes longer than any fixed time would be requested anew for ever.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeouts {
    /// Maximum time until the head of the answer, the wait for changes included.
    pub(super) head: Duration,
    /// Maximum time without further bytes of the body.
    pub(super) silence: Duration,
}

/// Body of an answer, or its beginning if it is larger than the call allows.
pub(super) struct CallBody {
    pub(super) bytes: Bytes,
    pub(super) is_complete: bool,
}

/// Calls the store, or an entry that reads it, and returns the body of the answer. Reads no further than `max_bytes`.
pub(super) async fn call(
    store: SocketAddr,
    path: &str,
    timeouts: CallTimeouts,
    max_bytes: usize,
) -> Result<CallBody, StoreError> {
    let began_at = Moment::now();
    let mut answer = answer_head(store, path, timeouts.head).await?;
    let announced = announced_bytes(&answer.parts.headers);
    let mut body = BytesMut::new();
    loop {
        if body.len().max(announced.unwrap_or(0)) > max_bytes {
            return Ok(CallBody {
                bytes: body.freeze(),
                is_complete: false,
            });
        }
        let next = compio::time::timeout(timeouts.silence, answer.body.next()).await;
        let next = next.map_err(|_| {
            let (received, silence) = (body.len(), timeouts.silence);
            StoreError::Failed(format!(
                "the answer of {store} stopped after {received} of {announced:?} bytes: nothing for {silence:?}"
            ))
        })?;
        let Some(data) = next? else { break };
        body.extend_from_slice(&data);
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
        bytes: body.freeze(),
        is_complete: true,
    })
}

/// Sends a call and returns its answer once the head of a successful one has arrived.
async fn answer_head(
    store: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<upstream::Answer, StoreError> {
    let request = Request::get(path)
        .header(header::HOST, store.to_string())
        .body(Bytes::new())
        .map_err(|error| StoreError::Failed(error.to_string()))?;
    let answer = compio::time::timeout(timeout, upstream::send(store, request)).await;
    let answer = answer
        .map_err(|_| StoreError::Failed(format!("no answer of {store} within {timeout:?}")))??;
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
