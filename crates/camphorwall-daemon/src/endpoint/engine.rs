//! Client of the model engine beside this daemon.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use camphorwall::{RequestId, RpcClient, RpcError, Tokens};
use futures_util::{Stream, StreamExt as _};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::json;
use snafu::Snafu;

use super::{
    cache_view::{CacheEvents, CacheSnapshot},
    frames::json_lines,
};

/// How long an engine may take to answer a call that needs no model computation.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A failed call to the engine.
#[derive(Debug, Snafu)]
pub(super) enum EngineError {
    /// The engine can't be reached or broke the connection.
    #[snafu(transparent)]
    Unreachable { source: RpcError },
    /// The engine answered with an error status.
    #[snafu(display("the engine refused {path} with status {status}"))]
    Refused { path: String, status: u16 },
    /// The engine did not answer in time.
    #[snafu(display("the engine did not answer {path} in time"))]
    TimedOut { path: String },
    /// The engine's answer can't be read.
    #[snafu(display("the engine's answer to {path} can't be read: {message}"))]
    Unreadable { path: String, message: String },
}

/// One line of the engine's decode stream.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum EngineLine {
    Token { offset: u64, text: String },
    End { end: EngineEnd },
}

/// End of the engine's decode stream.
#[derive(Debug, Deserialize)]
pub(super) struct EngineEnd {
    pub(super) output_tokens: u64,
}

#[derive(Deserialize)]
struct HeldRequests {
    requests: Vec<String>,
}

/// The engine's reply to a prefill.
#[derive(Deserialize)]
pub(super) struct Prefilled {
    tokens: u64,
    /// Names of the prompt's complete pieces in cache events; empty for engines that publish no events.
    #[serde(default)]
    pub(super) pieces: Vec<String>,
}

impl Prefilled {
    /// Number of tokens of the prompt.
    pub(super) const fn tokens(&self) -> Tokens {
        Tokens(self.tokens)
    }
}

#[derive(Deserialize)]
struct Incarnation {
    /// 0 for engines that report none.
    #[serde(default)]
    incarnation: u64,
}

/// Client of one engine.
#[derive(Clone)]
pub(super) struct EngineClient {
    address: SocketAddr,
    client: RpcClient,
}

impl EngineClient {
    pub(super) const fn new(address: SocketAddr, client: RpcClient) -> Self {
        Self { address, client }
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<cyper::Response, EngineError> {
        let response = self.client.post(self.address, path, body).await?;
        check(path, response)
    }

    /// Prefills a prompt; its KV cache can be exported for a short time.
    pub(super) async fn prefill(
        &self,
        request_id: RequestId,
        prompt: &str,
    ) -> Result<Prefilled, EngineError> {
        let path = "/v1/prefill";
        let body = json!({"request_id": request_id, "prompt": prompt}).to_string();
        let bytes = read_body(path, self.post(path, body.into_bytes()).await?).await?;
        parse(path, &bytes)
    }

    /// Fetches the exported KV cache of a request from the engine.
    pub(super) async fn export_kv(
        &self,
        request_id: RequestId,
    ) -> Result<impl Stream<Item = cyper::Result<Bytes>> + Unpin + use<>, EngineError> {
        let path = format!("/v1/kv/{request_id}");
        let response = check(&path, self.client.get(self.address, &path).await?)?;
        Ok(response.bytes_stream().boxed_local())
    }

    /// Imports the KV cache of a request into the engine.
    pub(super) async fn import_kv(
        &self,
        request_id: RequestId,
        cache: cyper::Body,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/kv/{request_id}");
        let response = check(&path, self.client.post(self.address, &path, cache).await?)?;
        read_body(&path, response).await?;
        Ok(())
    }

    /// Decodes from an imported KV cache, or resumes the decode.
    pub(super) async fn decode(
        &self,
        request_id: RequestId,
        max_output_tokens: Tokens,
        from_offset: u64,
    ) -> Result<impl Stream<Item = io::Result<EngineLine>> + Unpin + use<>, EngineError> {
        let body = json!({
            "request_id": request_id,
            "max_output_tokens": max_output_tokens,
            "from_offset": from_offset,
        });
        let response = self
            .post("/v1/decode", body.to_string().into_bytes())
            .await?;
        Ok(json_lines(response.bytes_stream().boxed_local()))
    }

    /// The engine's current incarnation, which changes with each restart.
    pub(super) async fn incarnation(&self) -> Result<u64, EngineError> {
        let path = "/v1/load";
        let response = check(path, self.client.get(self.address, path).await?)?;
        let bytes = read_body(path, response).await?;
        let reply: Incarnation =
            serde_json::from_slice(&bytes).map_err(|error| EngineError::Unreadable {
                path: path.into(),
                message: error.to_string(),
            })?;
        Ok(reply.incarnation)
    }

    /// A client of the same engine without the pooled connections, some of which may be dead.
    pub(super) fn reconnected(&self) -> Self {
        self.client.abandon_pool();
        Self::new(self.address, RpcClient::new())
    }

    /// Frees everything that the engine holds for a request.
    pub(super) async fn cancel(&self, request_id: &str) -> Result<(), EngineError> {
        let path = "/v1/cancel";
        let body = json!({"request_id": request_id}).to_string();
        let cancelling = async { read_body(path, self.post(path, body.into_bytes()).await?).await };
        with_timeout(path, cancelling).await?;
        Ok(())
    }

    /// Events of the prefix cache after a sequence number.
    pub(super) async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.read_json(&format!("/v1/cache/events?after={after}"))
            .await
    }

    /// Snapshot of the prefix cache.
    pub(super) async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError> {
        self.read_json("/v1/cache").await
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let call = async {
            let response = check(path, self.client.get(self.address, path).await?)?;
            read_body(path, response).await
        };
        parse(path, &with_timeout(path, call).await?)
    }

    /// Requests for which the engine holds memory.
    pub(super) async fn held_requests(&self) -> Result<Vec<String>, EngineError> {
        let path = "/v1/running";
        let call = async {
            let response = check(path, self.client.get(self.address, path).await?)?;
            read_body(path, response).await
        };
        let bytes = with_timeout(path, call).await?;
        let held: HeldRequests =
            serde_json::from_slice(&bytes).map_err(|error| EngineError::Unreadable {
                path: path.into(),
                message: error.to_string(),
            })?;
        Ok(held.requests)
    }
}

fn parse<T: DeserializeOwned>(path: &str, bytes: &Bytes) -> Result<T, EngineError> {
    serde_json::from_slice(bytes).map_err(|error| EngineError::Unreadable {
        path: path.into(),
        message: error.to_string(),
    })
}

async fn with_timeout(
    path: &str,
    call: impl Future<Output = Result<Bytes, EngineError>>,
) -> Result<Bytes, EngineError> {
    compio::time::timeout(SHORT_CALL_TIMEOUT, Box::pin(call))
        .await
        .unwrap_or_else(|_| Err(EngineError::TimedOut { path: path.into() }))
}

fn check(path: &str, response: cyper::Response) -> Result<cyper::Response, EngineError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        status => Err(EngineError::Refused {
            path: path.into(),
            status: status.as_u16(),
        }),
    }
}

async fn read_body(path: &str, response: cyper::Response) -> Result<Bytes, EngineError> {
    let unreadable = |error: cyper::Error| EngineError::Unreadable {
        path: path.into(),
        message: error.to_string(),
    };
    response.bytes().await.map_err(unreadable)
}
