//! Transfer of KV caches from prefill daemons to decode daemons.
//!
//! A cache is streamed in segments from engine to engine; a daemon buffers only a few segments, so it never holds a
//! large cache completely. The sender keeps to the published rate of the link; the receiver aborts a transfer that
//! stalls and tries once more.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use camphorwall::{
    BoxedBody, BytesPerSecond, DataCentreId, KV_PATH, KvSource, Published, RequestId, RpcClient,
    RpcError, json_response, stream_body,
};
use futures_channel::mpsc;
use futures_util::{FutureExt as _, SinkExt as _, Stream, StreamExt as _, future::join};
use hyper::Response;
use snafu::Snafu;

use super::{
    engine::{EngineClient, EngineError},
    link_pacer::{LinkPacer, segment_bytes},
};

/// A transfer without a segment for this long has stalled.
const STALL_LIMIT: Duration = Duration::from_millis(500);

/// Maximum number of tries of one transfer.
const MAX_TRIES: usize = 2;

/// Maximum number of segments buffered in this daemon.
const SEGMENT_BUFFER: usize = 4;

/// Caches below this size are sent to the engine in one write.
const SMALL_CACHE_BYTES: usize = 64 * 1024;

/// Failure to bring a KV cache to the engine.
#[derive(Debug, Snafu)]
pub(super) enum TransferError {
    /// The engine did not accept the cache.
    #[snafu(transparent)]
    Engine { source: EngineError },
    /// The prefill daemon can't be reached.
    #[snafu(transparent)]
    Unreachable { source: RpcError },
    /// The prefill daemon did not send the complete cache.
    #[snafu(display("the KV cache could not be fetched: {message}"))]
    FetchFailed { message: String },
    /// No segment arrived for too long.
    #[snafu(display("the transfer of the KV cache stalled"))]
    Stalled,
}

/// Receiving side of transfers.
#[derive(Clone)]
pub(super) struct KvReceiver {
    pub(super) client: RpcClient,
    pub(super) engine: EngineClient,
    /// Data centre of this daemon, by which the sender selects the link.
    pub(super) data_centre: DataCentreId,
}

impl KvReceiver {
    /// Fetches the KV cache of a request and imports it into the engine.
    pub(super) async fn fetch_kv(
        &self,
        request_id: RequestId,
        kv: &KvSource,
    ) -> Result<(), TransferError> {
        let mut tries_left = MAX_TRIES;
        loop {
            tries_left -= 1;
            match self.fetch_once(request_id, kv).await {
                Err(TransferError::Stalled) if tries_left > 0 => {
                    tracing::info!(event = "transfer_cut", %request_id, from = %kv.instance);
                    // The next try must not reuse the same dead connection.
                    self.client.abandon_pool();
                }
                result => return result,
            }
        }
    }

    async fn fetch_once(&self, request_id: RequestId, kv: &KvSource) -> Result<(), TransferError> {
        let path = format!("{KV_PATH}{request_id}/{}", self.data_centre);
        let fetching = self.client.get_peer(kv.address, &path).boxed_local();
        let response = compio::time::timeout(STALL_LIMIT, fetching)
            .await
            .map_err(|_| TransferError::Stalled)??;
        if !response.status().is_success() {
            let message = format!("{} answered {}", kv.instance, response.status());
            return Err(TransferError::FetchFailed { message });
        }
        let mut segments = response.bytes_stream().boxed_local();
        let beginning = collect_first_bytes(&mut segments).await?;
        if beginning.len() < SMALL_CACHE_BYTES {
            let cache = cyper::Body::from(beginning);
            return Ok(self.engine.import_kv(request_id, cache).await?);
        }
        let (mut sender, received) = mpsc::channel(SEGMENT_BUFFER);
        // The channel is new and has free capacity.
        let _ = sender.try_send(Ok(beginning));
        let cache = cyper::Body::stream(received);
        let importing = self.engine.import_kv(request_id, cache).boxed_local();
        let (imported, forwarded) =
            join(importing, forward_segments(segments, sender).boxed_local()).await;
        // The import of an aborted transfer fails too; the error of the transfer is the cause.
        forwarded?;
        Ok(imported?)
    }
}

/// Next segment of a transfer, `None` after the last.
async fn next_segment(
    from: &mut (impl Stream<Item = Segment> + Unpin),
) -> Result<Option<Bytes>, TransferError> {
    match compio::time::timeout(STALL_LIMIT, from.next()).await {
        Ok(Some(Ok(segment))) => Ok(Some(segment)),
        Ok(Some(Err(error))) => {
            let message = error.to_string();
            Err(TransferError::FetchFailed { message })
        }
        Ok(None) => Ok(None),
        Err(_) => Err(TransferError::Stalled),
    }
}

/// Collects a small cache completely, or the beginning of a larger one.
///
/// A small cache is sent to the engine in one write, because a body of several writes waits for the delayed TCP
/// acknowledgement of the first.
async fn collect_first_bytes(
    from: &mut (impl Stream<Item = Segment> + Unpin),
) -> Result<Bytes, TransferError> {
    let mut collected = BytesMut::new();
    while collected.len() < SMALL_CACHE_BYTES {
        match next_segment(from).await? {
            Some(segment) => collected.extend_from_slice(&segment),
            None => break,
        }
    }
    Ok(collected.freeze())
}

type Segment = cyper::Result<Bytes>;

/// Forwards segments until the last. An aborted transfer ends with an error, so that the engine discards the incomplete
/// cache.
async fn forward_segments(
    mut from: impl Stream<Item = Segment> + Unpin,
    mut to: mpsc::Sender<Segment>,
) -> Result<(), TransferError> {
    let error = loop {
        match next_segment(&mut from).await {
            // The import call itself reports an engine that has closed the connection.
            Ok(Some(segment)) => drop(to.send(Ok(segment)).await),
            Ok(None) => return Ok(()),
            Err(error) => break error,
        }
    };
    let aborted = io::Error::other(error.to_string());
    // The engine may have closed the connection.
    let _ = to.send(Err(aborted.into())).await;
    Err(error)
}

/// Sending side of transfers.
#[derive(Clone)]
pub(super) struct KvSender {
    pub(super) engine: EngineClient,
    pub(super) data_centre: DataCentreId,
    pub(super) link_pacer: Rc<LinkPacer>,
}

impl KvSender {
    /// Parses the request and the receiver's data centre from a path below [`KV_PATH`].
    pub(super) fn parse(path: &str) -> Option<(RequestId, DataCentreId)> {
        let (request_id, data_centre) = path.split_once('/')?;
        Some((request_id.parse().ok()?, data_centre.parse().ok()?))
    }

    /// Rate of the link to a data centre; `None` within one data centre and when no link is published.
    pub(super) fn rate(&self, published: &Published, to: &DataCentreId) -> Option<BytesPerSecond> {
        let link = published.links.get(&(self.data_centre.clone(), to.clone()));
        link.map(|link| link.rate_bytes_per_s)
    }

    /// Sends an exported KV cache to a decode daemon.
    pub(super) async fn send_kv(
        &self,
        request_id: RequestId,
        to: DataCentreId,
        rate: Option<BytesPerSecond>,
    ) -> Response<BoxedBody> {
        match self.engine.export_kv(request_id).await {
            Ok(chunks) => {
                let chunks = chunks.map(|chunk| chunk.map_err(io::Error::other));
                let link_pacer = Rc::clone(&self.link_pacer);
                match rate {
                    Some(rate) => {
                        Response::new(stream_body(paced_stream(chunks, link_pacer, to, rate)))
                    }
                    None => Response::new(stream_body(chunks)),
                }
            }
            Err(error) => json_response(404, &error.to_string()),
        }
    }
}

/// Splits a stream into segments and delays each until its link is free.
fn paced_stream(
    chunks: impl Stream<Item = io::Result<Bytes>> + Unpin + 'static,
    link_pacer: Rc<LinkPacer>,
    to: DataCentreId,
    rate: BytesPerSecond,
) -> impl Stream<Item = io::Result<Bytes>> + 'static {
    let state = (chunks, Bytes::new());
    futures_util::stream::unfold(state, move |(mut chunks, mut rest)| {
        let (link_pacer, to) = (Rc::clone(&link_pacer), to.clone());
        async move {
            while rest.is_empty() {
                match chunks.next().await? {
                    Ok(chunk) => rest = chunk,
                    Err(error) => return Some((Err(error), (chunks, rest))),
                }
            }
            let segment = rest.split_to(rest.len().min(segment_bytes(rate)));
            let sent_at = link_pacer.schedule(&to, segment.len(), rate, Instant::now());
            compio::time::sleep_until(sent_at).await;
            Some((Ok(segment), (chunks, rest)))
        }
    })
}

#[cfg(test)]
#[path = "transfer_tests.rs"]
mod tests;
