//! Answers of other processes: read completely up to a limit, or streamed with each part verified.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use http::StatusCode;

use super::{MAX_MESSAGE_BYTES, RpcError};
use crate::auth::RecordOpener;

/// A streamed answer of another process. Only parts that were made by a holder of the secret are returned.
pub struct PeerResponse {
    response: cyper::Response,
    opener: Option<RecordOpener>,
}

impl PeerResponse {
    pub(super) const fn unsigned(response: cyper::Response) -> Self {
        Self {
            response,
            opener: None,
        }
    }

    pub(super) const fn signed(response: cyper::Response, opener: RecordOpener) -> Self {
        Self {
            response,
            opener: Some(opener),
        }
    }

    /// Returns the status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the parts of the body. A part that was altered in transit, or a truncation, is an error and the last
    /// item.
    pub fn bytes_stream(self) -> impl Stream<Item = cyper::Result<Bytes>> {
        let chunks = self.response.bytes_stream();
        match self.opener {
            Some(opener) => opened(chunks, opener).left_stream(),
            None => chunks.right_stream(),
        }
    }
}

fn opened(
    chunks: impl Stream<Item = cyper::Result<Bytes>> + Unpin,
    opener: RecordOpener,
) -> impl Stream<Item = cyper::Result<Bytes>> {
    let state = Some((chunks, opener));
    futures_util::stream::unfold(state, |state| async move {
        let (mut chunks, mut opener) = state?;
        loop {
            match opener.next_content() {
                Ok(Some(content)) => return Some((Ok(content), Some((chunks, opener)))),
                Ok(None) => {}
                Err(error) => return Some((Err(error.into()), None)),
            }
            match chunks.next().await {
                Some(Ok(chunk)) => opener.push(&chunk),
                Some(Err(error)) => return Some((Err(error), None)),
                None => {
                    let end = opener.finish().err();
                    return end.map(|error| (Err(error.into()), None));
                }
            }
        }
    })
}

pub(super) async fn read_limited(
    address: SocketAddr,
    response: cyper::Response,
) -> Result<Bytes, RpcError> {
    let broken = |message: String| RpcError::Broken { address, message };
    let mut collected = BytesMut::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| broken(error.to_string()))?;
        if collected.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(broken(format!(
                "the answer has over {MAX_MESSAGE_BYTES} bytes"
            )));
        }
        collected.extend_from_slice(&chunk);
    }
    Ok(collected.freeze())
}
