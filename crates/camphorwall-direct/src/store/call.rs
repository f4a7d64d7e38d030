//! Calls to the store and to the entries that read it.

use std::{cell::Cell, io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode, header};

use crate::{clock::Moment, upstream};

/// Maximum size of an answer that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Size above which the transfer of an answer is logged.
const LOGGED_ANSWER_BYTES: usize = 32 * 1024;

/// Why a call to the store failed.
pub(super) enum StoreError {
    /// The store has discarded the changes since the revision.
    HistoryDiscarded,
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

/// How much of an answer has arrived.
#[derive(Default)]
struct Progress {
    received_bytes: Cell<usize>,
    /// Size that the head announced.
    announced_bytes: Cell<Option<usize>>,
}

/// Calls the store, or an entry that reads it, and returns the body of the answer.
pub(super) async fn call(
    store: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, StoreError> {
    let began_at = Moment::now();
    let progress = Progress::default();
    let timed = compio::time::timeout(timeout, read(store, path, &progress)).await;
    let elapsed_ms = Moment::now().since(began_at).as_millis();
    let body = timed.map_err(|_| {
        StoreError::Failed(format!(
            "no complete answer from {store} within {elapsed_ms} ms: {} of {:?} bytes have arrived",
            progress.received_bytes.get(),
            progress.announced_bytes.get(),
        ))
    })??;
    if body.len() > LOGGED_ANSWER_BYTES {
        tracing::info!(
            event = "large_answer_read",
            from = %store,
            bytes = body.len(),
            elapsed_ms,
        );
    }
    Ok(body)
}

async fn read(store: SocketAddr, path: &str, progress: &Progress) -> Result<Bytes, StoreError> {
    let request = Request::get(path)
        .header(header::HOST, store.to_string())
        .body(Bytes::new())
        .map_err(|error| StoreError::Failed(error.to_string()))?;
    let mut answer = upstream::send(store, request).await?;
    match answer.parts.status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(StoreError::HistoryDiscarded),
        status => return Err(StoreError::Failed(format!("the store answered {status}"))),
    }
    let length = answer.parts.headers.get(header::CONTENT_LENGTH);
    let announced = length.and_then(|value| value.to_str().ok()?.parse().ok());
    progress.announced_bytes.set(announced);
    let mut body = BytesMut::new();
    while let Some(data) = answer.body.next().await? {
        body.extend_from_slice(&data);
        progress.received_bytes.set(body.len());
        if body.len() > MAX_ANSWER_BYTES {
            let error = format!("the answer is larger than {MAX_ANSWER_BYTES} bytes");
            return Err(StoreError::Failed(error));
        }
    }
    Ok(body.freeze())
}
