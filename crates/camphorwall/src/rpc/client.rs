//! Client of JSON-RPC calls and streams between processes.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use jsonrpsee_types::{Id, Request as CallRequest, Response as CallResponse, ResponsePayload};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    PeerResponse, RpcError,
    answer::read_limited,
    credentials::{Credentials, challenge_of, proof_of},
    error::{UnauthenticatedSnafu, not_sent_or_broken},
};
use crate::{
    InstanceId, PlainCall, RPC_PATH,
    auth::{CALL_HEADER, CallHeader, PeerAuth, RecordOpener},
};

/// Minimum time between two replacements of a connection pool.
const POOL_REPLACEMENT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum size of a refusal's body that is read to keep the connection.
const MAX_REFUSAL_BYTES: u64 = 1024;

/// Sends calls and opens streams to other processes; cheap to clone.
#[derive(Clone)]
pub struct RpcClient {
    pool: Rc<RefCell<cyper::Client>>,
    pool_made_at: Rc<Cell<Instant>>,
    next_id: Rc<Cell<u64>>,
    credentials: Option<Rc<Credentials>>,
}

fn new_pool() -> cyper::Client {
    cyper::Client::new().expect("a client without TLS can be made")
}

impl Default for RpcClient {
    fn default() -> Self {
        Self::new()
    }
}

impl RpcClient {
    /// Makes a client that does not sign its calls, with a connection pool of its own.
    ///
    /// # Panics
    /// Never: nothing can fail in a client without TLS.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pool: Rc::new(RefCell::new(new_pool())),
            pool_made_at: Rc::new(Cell::new(Instant::now())),
            next_id: Rc::new(Cell::new(1)),
            credentials: None,
        }
    }

    /// Makes a client that signs its calls to processes of the system and accepts only signed answers from them.
    #[must_use]
    pub fn authenticated(auth: PeerAuth, sender: InstanceId) -> Self {
        let credentials = auth
            .is_enabled()
            .then(|| Rc::new(Credentials::new(auth, sender)));
        Self {
            credentials,
            ..Self::new()
        }
    }

    /// Returns a client like this one without its pooled connections, some of which may no longer respond.
    #[must_use]
    pub fn reconnected(&self) -> Self {
        Self {
            pool: Rc::new(RefCell::new(new_pool())),
            ..self.clone()
        }
    }

    fn client(&self) -> cyper::Client {
        self.pool.borrow().clone()
    }

    /// Replaces the connection pool after a timeout, since its idle connections may not respond either. Does nothing
    /// when the pool was just replaced. Running calls continue.
    pub fn abandon_pool(&self) {
        let now = Instant::now();
        if now >= self.pool_made_at.get() + POOL_REPLACEMENT_PERIOD {
            self.pool_made_at.set(now);
            self.pool.replace(new_pool());
        }
    }

    /// Calls a method and waits at most `timeout` for its result.
    ///
    /// # Errors
    /// When there is no result; the kind states whether the call may have had an effect.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError> {
        let params =
            serde_json::value::to_raw_value(params).map_err(|error| RpcError::NotSent {
                address,
                message: error.to_string(),
            })?;
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let request = CallRequest::owned(method.into(), Some(params), Id::Number(id));
        let text = serde_json::to_vec(&request).map_err(|error| RpcError::NotSent {
            address,
            message: error.to_string(),
        })?;
        let answer = compio::time::timeout(timeout, Box::pin(self.exchange(address, text))).await;
        if answer.is_err() {
            self.abandon_pool();
        }
        let answer = answer.map_err(|_| RpcError::Timeout { address, timeout })??;
        let rejected = |message: String| RpcError::Rejected { address, message };
        let response: CallResponse<'_, serde_json::Value> =
            serde_json::from_slice(&answer).map_err(|error| rejected(error.to_string()))?;
        match response.payload {
            ResponsePayload::Success(value) => serde_json::from_value(value.into_owned())
                .map_err(|error| rejected(error.to_string())),
            ResponsePayload::Error(error) => Err(rejected(error.message().to_owned())),
        }
    }

    async fn exchange(&self, address: SocketAddr, text: Vec<u8>) -> Result<Bytes, RpcError> {
        let (response, call) = self
            .send_signed(Method::POST, address, RPC_PATH, text.into())
            .await?;
        let (status, proof) = (response.status(), proof_of(&response));
        let body = read_limited(address, response).await?;
        match call {
            Some((credentials, call)) => {
                let proof = proof.as_ref().filter(|proof| {
                    let auth = &credentials.auth;
                    auth.verify_answer(&call, status.as_u16(), proof, Some(&body))
                });
                credentials.note_proof(address, status, proof)?;
            }
            None if status == StatusCode::UNAUTHORIZED => {
                return UnauthenticatedSnafu {
                    address,
                    message: "it demands a signed call",
                }
                .fail();
            }
            None => {}
        }
        Ok(body)
    }

    /// Posts a body to another process of the system and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response head from a process that holds the shared secret arrives.
    pub async fn post_peer(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<PeerResponse, RpcError> {
        self.stream_signed(Method::POST, address, path, body.into())
            .await
    }

    /// Gets a path of another process of the system and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response head from a process that holds the shared secret arrives.
    pub async fn get_peer(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<PeerResponse, RpcError> {
        self.stream_signed(Method::GET, address, path, Bytes::new())
            .await
    }

    async fn stream_signed(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<PeerResponse, RpcError> {
        let (response, call) = self.send_signed(method, address, path, body).await?;
        let Some((credentials, call)) = call else {
            return Ok(PeerResponse::unsigned(response));
        };
        let auth = &credentials.auth;
        let (status, proof) = (response.status(), proof_of(&response));
        let proof = proof
            .as_ref()
            .filter(|proof| auth.verify_answer(&call, status.as_u16(), proof, None));
        credentials.note_proof(address, status, proof)?;
        let opener = RecordOpener::new(auth.clone(), call);
        Ok(PeerResponse::signed(response, opener))
    }

    /// Sends a signed call. If the receiver refuses it and states an epoch, signs the call for that epoch and sends it
    /// once more; the refused call had no effect.
    async fn send_signed(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<(cyper::Response, Option<(Rc<Credentials>, CallHeader)>), RpcError> {
        let send = |call: Option<CallHeader>| {
            let (method, body) = (method.clone(), body.clone());
            async move { self.send(method, address, path, body, call.as_ref()).await }
        };
        let Some(credentials) = self.credentials.clone() else {
            return Ok((send(None).await?, None));
        };
        let sign = || credentials.sign(&method, address, path, &body);
        let call = sign();
        let response = Box::pin(send(call.clone())).await?;
        let Some(epoch) = challenge_of(&response) else {
            return Ok((response, call.map(|call| (credentials, call))));
        };
        if response
            .content_length()
            .is_some_and(|length| length <= MAX_REFUSAL_BYTES)
        {
            // Reads the body only so that the connection can be reused.
            let _ = response.bytes().await;
        }
        credentials.note_epoch(address, epoch);
        let call = sign();
        let response = Box::pin(send(call.clone())).await?;
        Ok((response, call.map(|call| (credentials, call))))
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        call: Option<&CallHeader>,
    ) -> Result<cyper::Response, RpcError> {
        let url = format!("http://{address}{path}");
        let failed = |error: cyper::Error| not_sent_or_broken(address, &error);
        let mut request = self
            .client()
            .request(method, url.as_str())
            .map_err(failed)?;
        if let Some(call) = call {
            request = request
                .header(CALL_HEADER, call.to_string())
                .map_err(failed)?;
        }
        Box::pin(request.body(body).send()).await.map_err(failed)
    }

    /// Posts a body and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response head arrives.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<cyper::Body>,
    ) -> Result<cyper::Response, RpcError> {
        let url = format!("http://{address}{path}");
        let request = self
            .client()
            .post(url.as_str())
            .map_err(|error| not_sent_or_broken(address, &error))?;
        Box::pin(request.body(body).send())
            .await
            .map_err(|error| not_sent_or_broken(address, &error))
    }

    /// Forwards a call to a plain service.
    ///
    /// # Errors
    /// When no response head arrives; the kind states whether the call may have run.
    pub async fn forward(
        &self,
        address: SocketAddr,
        call: &PlainCall,
    ) -> Result<cyper::Response, RpcError> {
        let not_sent = |message: String| RpcError::NotSent { address, message };
        let url = format!("http://{address}{}", call.path);
        let method: http::Method = call
            .method
            .parse()
            .map_err(|_| not_sent("no such method".into()))?;
        let mut request = self
            .client()
            .request(method, url.as_str())
            .map_err(|error| not_sent(error.to_string()))?;
        for (name, value) in &call.headers {
            request = request
                .header(name.as_str(), value.as_str())
                .map_err(|error| not_sent(error.to_string()))?;
        }
        Box::pin(request.body(call.body.clone()).send())
            .await
            .map_err(|error| not_sent_or_broken(address, &error))
    }

    /// Gets a path and returns the response, whose body can be streamed.
    ///
    /// # Errors
    /// When no response head arrives.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<cyper::Response, RpcError> {
        let url = format!("http://{address}{path}");
        let request = self
            .client()
            .get(url.as_str())
            .map_err(|error| not_sent_or_broken(address, &error))?;
        Box::pin(request.send())
            .await
            .map_err(|error| not_sent_or_broken(address, &error))
    }
}
