//! Server of the JSON-RPC methods that a process offers to its peers.

use std::{future::Future, sync::Arc, time::Instant};

use hyper::Response;
use jsonrpsee::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use send_wrapper::SendWrapper;
use serde::{Serialize, de::DeserializeOwned};

use super::MAX_MESSAGE_BYTES;
use crate::{BoxedBody, auth::PeerRequest};

/// JSON-RPC methods of one process.
pub struct RpcServer {
    module: RpcModule<()>,
}

impl Default for RpcServer {
    fn default() -> Self {
        Self {
            module: RpcModule::new(()),
        }
    }
}

impl RpcServer {
    /// Adds a method.
    ///
    /// # Panics
    /// When the method was already added.
    pub fn add<P, R, H, F>(&mut self, method: &'static str, handler: H)
    where
        P: DeserializeOwned + 'static,
        R: Serialize + Clone + 'static,
        H: Fn(P) -> F + 'static,
        F: Future<Output = R> + 'static,
    {
        // The runtime has one thread; the wrapper only satisfies jsonrpsee's bounds.
        let handler = Arc::new(SendWrapper::new(handler));
        let callback = move |params: jsonrpsee_types::Params<'static>, _, _| {
            let parsed: Result<P, ErrorObjectOwned> = params.one().or_else(|_| params.parse());
            let result = parsed.map(|parsed| handler(parsed));
            SendWrapper::new(async move {
                match result {
                    Ok(result) => Ok(result.await),
                    Err(error) => Err(error),
                }
            })
        };
        self.module
            .register_async_method(method, callback)
            .expect("each method is added once");
    }

    /// Answers one call from another process.
    pub async fn answer(&self, request: PeerRequest) -> Response<BoxedBody> {
        let (body, signer) = request.into_parts();
        let body = body.collect(MAX_MESSAGE_BYTES).await;
        let (status, answer) = match body.as_deref().map(std::str::from_utf8) {
            None => (
                413,
                format!("a message has at most {MAX_MESSAGE_BYTES} bytes and the signed digest"),
            ),
            Some(Err(_)) => (400, "a message is JSON in UTF-8".into()),
            Some(Ok(text)) => match self.module.raw_json_request(text, 1).await {
                Ok((answer, _)) => (200, String::from(Box::<str>::from(answer))),
                Err(error) => (400, error.to_string()),
            },
        };
        signer.full_response(status, answer, Instant::now())
    }
}
