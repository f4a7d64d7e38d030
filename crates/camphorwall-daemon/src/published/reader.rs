//! Watch on the platform's configuration service.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::Document;
use futures_util::{
    FutureExt as _,
    future::{Either, select},
};
use serde::Deserialize;

use super::follower::Follower;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long an answer may take beyond the watch.
const WATCH_MARGIN: Duration = Duration::from_secs(3);

/// Pause between two watches, in which changes gather.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// First pause after a failed call; it doubles up to the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause after failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// How often it is checked whether reading is this process's turn.
const PLAN_POLL_PERIOD: Duration = Duration::from_millis(250);

#[derive(Deserialize)]
struct Changes {
    revision: u64,
    documents: Vec<Document>,
}

/// Reads the service while it is this process's turn, until the stop is called for.
pub(super) async fn read_service(follower: Rc<Follower>, service: SocketAddr) {
    let mut after = 0;
    let mut retry_pause = RETRY_PAUSE;
    while !follower.stop.is_called() {
        if !follower.plan().reads_service {
            follower.pause(PLAN_POLL_PERIOD).await;
            continue;
        }
        let asked_at = Instant::now();
        let read = read(&follower, service, after).boxed_local();
        let changes = match select(read, follower.stop.called().boxed_local()).await {
            Either::Left((changes, _)) => changes,
            Either::Right(_) => return,
        };
        match changes {
            // A replica that is behind answers at once and has nothing to tell.
            Ok(changes) if changes.revision < after => {
                tracing::info!(event = "configuration_stale", %service, revision = changes.revision, after);
                follower.pause(retry_pause).await;
                retry_pause = (2 * retry_pause).min(MAX_RETRY_PAUSE);
            }
            Ok(changes) => {
                after = changes.revision;
                retry_pause = RETRY_PAUSE;
                let answered_at = earliest_answer_time(
                    asked_at,
                    changes.documents.is_empty(),
                    asked_at.elapsed(),
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

/// The earliest time at which the service can have made an answer: an answer without changes ends a whole watch, any other
/// may have been made at once and been on its way since, or waited in the buffers of a paused process.
fn earliest_answer_time(asked_at: Instant, is_empty: bool, elapsed: Duration) -> Instant {
    if is_empty && elapsed >= WATCH_WAIT {
        asked_at + WATCH_WAIT
    } else {
        asked_at
    }
}

async fn read(follower: &Follower, service: SocketAddr, after: u64) -> Result<Changes, String> {
    let path = format!(
        "/v1/documents?after={after}&wait_ms={}",
        WATCH_WAIT.as_millis()
    );
    let exchange = async {
        let response = follower
            .client
            .get(service, &path)
            .await
            .map_err(|error| error.to_string())?;
        let bytes = response.bytes().await.map_err(|error| error.to_string())?;
        serde_json::from_slice(&bytes).map_err(|error| error.to_string())
    };
    let answer = compio::time::timeout(WATCH_WAIT + WATCH_MARGIN, exchange).await;
    answer.map_err(|_| "no answer in time".to_owned())?
}

#[cfg(test)]
#[path = "reader_tests.rs"]
mod tests;
