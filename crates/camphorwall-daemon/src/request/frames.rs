//! Reads the frames of started work and resumes the stream over a new connection when one breaks.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    time::{Duration, Instant},
};

use camphorwall::{Frame, PeerResponse, RESUME_PATH, RequestId, Resume, RpcClient, RpcError};
use futures_util::{Stream, StreamExt as _};

use super::attempt::AttemptError;
use crate::endpoint::json_lines;

/// A connection that carries no frame, not even a heartbeat, for this long is abandoned.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// How long contact may be lost before the attempt is given up. Must be shorter than the lease of running work.
const CONTACT_LIMIT: Duration = Duration::from_secs(4);

/// Time-out of one attempt to resume the stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after an attempt to resume that failed at once.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

type Lines = Pin<Box<dyn Stream<Item = io::Result<Frame>>>>;

/// Identifies an attempt and the endpoint daemon at which it runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptId {
    pub(crate) address: SocketAddr,
    pub(crate) request_id: RequestId,
    pub(crate) attempt: u32,
}

/// Reader of the frames of started work.
pub(crate) struct FrameReader {
    id: AttemptId,
    client: RpcClient,
    next_frame: u64,
    contact_lost_since: Option<Instant>,
    lines: Option<Lines>,
}

fn lines_of(response: PeerResponse) -> Lines {
    Box::pin(json_lines(response.bytes_stream().boxed_local()))
}

impl FrameReader {
    /// Reads frames from the response to a start; without a response, it first requests them over a new connection.
    pub(crate) fn new(id: AttemptId, client: RpcClient, response: Option<PeerResponse>) -> Self {
        Self {
            id,
            client,
            next_frame: 0,
            contact_lost_since: None,
            lines: response.map(lines_of),
        }
    }

    /// Next frame that is not a heartbeat.
    pub(crate) async fn next(&mut self) -> Result<Frame, AttemptError> {
        loop {
            let Some(lines) = &mut self.lines else {
                self.resume("no answer to the start").await?;
                continue;
            };
            let cause = match compio::time::timeout(SILENCE_LIMIT, lines.next()).await {
                Ok(Some(Ok(Frame::Heartbeat))) => {
                    self.contact_lost_since = None;
                    continue;
                }
                Ok(Some(Ok(frame))) => {
                    self.contact_lost_since = None;
                    self.next_frame += 1;
                    return match frame {
                        Frame::Failed(failed) => Err(AttemptError::Failed { failed }),
                        frame => Ok(frame),
                    };
                }
                Ok(Some(Err(error))) => error.to_string(),
                Ok(None) => "the stream ended early".into(),
                Err(_) => "the stream went silent".into(),
            };
            self.resume(&cause).await?;
        }
    }

    /// Requests the remaining frames over a new connection.
    async fn resume(&mut self, cause: &str) -> Result<(), AttemptError> {
        // Dropping the old stream also discards frames that arrive late on the abandoned connection.
        self.lines = None;
        self.client.abandon_pool();
        let AttemptId {
            address,
            request_id,
            attempt,
        } = self.id;
        tracing::info!(
            event = "stream_abandoned", %request_id, attempt, %address, next_frame = self.next_frame, cause,
        );
        let resume = Resume {
            request_id,
            attempt,
            from_frame: self.next_frame,
        };
        let contact_lost = |message: String| AttemptError::ContactLost { message };
        let body = serde_json::to_vec(&resume).map_err(|error| contact_lost(error.to_string()))?;
        let contact_lost_since = *self.contact_lost_since.get_or_insert_with(Instant::now);
        loop {
            let client = self.client.reconnected();
            let posting = client.post_peer(address, RESUME_PATH, body.clone());
            match compio::time::timeout(RESUME_TIMEOUT, posting).await {
                Ok(Ok(response)) if response.status().is_success() => {
                    self.lines = Some(lines_of(response));
                    return Ok(());
                }
                Ok(Err(error @ RpcError::NotSent { .. })) => {
                    return Err(contact_lost(error.to_string()));
                }
                _ if contact_lost_since.elapsed() >= CONTACT_LIMIT => {
                    return Err(contact_lost(cause.into()));
                }
                _ => compio::time::sleep(RESUME_PAUSE).await,
            }
        }
    }
}
