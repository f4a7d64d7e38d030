//! Reads the platform's configuration service by long polling.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{Document, RpcClient};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, select},
};
use serde::Deserialize;

use super::follower::Follower;

/// How long the service waits for a change before it answers.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Timeout of the head of an answer, in addition to this wait, and idle timeout of its body.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// Pause between two reads, so that several changes come in one answer.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// First pause after a failed or stale read; it doubles up to `MAX_RETRY_PAUSE`.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum pause after failed or stale reads.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// How often a process that does not read the service checks whether its plan has changed.
const PLAN_POLL_PERIOD: Duration = Duration::from_millis(250);

#[derive(Deserialize)]
struct Changes {
    revision: u64,
    documents: Vec<Document>,
}

/// Reads the service while this process's plan makes it a reader, until shutdown.
pub(super) async fn read_service(follower: Rc<Follower>, service: SocketAddr) {
    let mut after = 0;
    let mut retry_pause = RETRY_PAUSE;
    while !follower.stop.is_called() {
        if !follower.plan().reads_service {
            follower.pause(PLAN_POLL_PERIOD).await;
            continue;
        }
        let queried_at = Instant::now();
        let read = read(&follower, service, after).boxed_local();
        let changes = match select(read, follower.stop.called().boxed_local()).await {
            Either::Left((changes, _)) => changes,
            Either::Right(_) => return,
        };
        match changes {
            // A replica that is behind answers at once, with nothing newer; the pause avoids a busy loop.
            Ok(changes) if changes.revision < after => {
                tracing::info!(event = "configuration_stale", %service, revision = changes.revision, after);
                follower.pause(retry_pause).await;
                retry_pause = (2 * retry_pause).min(MAX_RETRY_PAUSE);
            }
            Ok(changes) => {
                after = changes.revision;
                retry_pause = RETRY_PAUSE;
                let answered_at = earliest_answer_time(
                    queried_at,
                    changes.documents.is_empty(),
                    queried_at.elapsed(),
                );
                follower.store.apply(changes.documents);
                follower.store.note_read(answered_at);
                follower.pause(READ_PAUSE).await;
            }
            Err(error) => {
                tracing::warn!(event = "configuration_unreadable", %service, error);
                follower.pause(retry_pause).await;
                retry_pause = (2 * retry_pause).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Earliest time at which the service can have made an answer. An answer without changes comes after the full wait; any
/// other may have been made at once and then have been delayed by the network or in the buffers of a paused process.
fn earliest_answer_time(queried_at: Instant, is_empty: bool, elapsed: Duration) -> Instant {
    if is_empty && elapsed >= WATCH_WAIT {
        queried_at + WATCH_WAIT
    } else {
        queried_at
    }
}

async fn read(follower: &Follower, service: SocketAddr, after: u64) -> Result<Changes, String> {
    let path = format!(
        "/v1/documents?after={after}&wait_ms={}",
        WATCH_WAIT.as_millis()
    );
    let timeouts = AnswerTimeouts {
        head: WATCH_WAIT + WATCH_MARGIN,
        silence: WATCH_MARGIN,
    };
    let bytes = read_answer(&follower.client, service, &path, timeouts).await?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Time limits of an answer. There is none for the whole, since its size grows with the documents.
#[derive(Clone, Copy, Debug)]
struct AnswerTimeouts {
    head: Duration,
    /// Maximum time without further bytes.
    silence: Duration,
}

async fn read_answer(
    client: &RpcClient,
    service: SocketAddr,
    path: &str,
    timeouts: AnswerTimeouts,
) -> Result<Vec<u8>, String> {
    let response = compio::time::timeout(timeouts.head, Box::pin(client.get(service, path))).await;
    let response =
        response.map_err(|_| "no answer from the configuration service in time".to_owned())?;
    let mut chunks = response.map_err(|error| error.to_string())?.bytes_stream();
    let mut bytes = Vec::new();
    loop {
        let next = compio::time::timeout(timeouts.silence, chunks.next()).await;
        let next = next.map_err(|_| {
            let received = bytes.len();
            format!("the configuration service stopped sending after {received} bytes")
        })?;
        let Some(chunk) = next else { return Ok(bytes) };
        bytes.extend_from_slice(&chunk.map_err(|error| error.to_string())?);
    }
}

#[cfg(test)]
#[path = "reader_tests.rs"]
mod tests;
