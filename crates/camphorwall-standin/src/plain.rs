//! Stand-in for a plain service: issues invoice numbers, places orders, and counts each run.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use camphorwall::{BoxedBody, RequestBody, collect_body, json_response};
use hyper::{Request, Response};
use serde::Serialize;
use serde_json::json;

use crate::RunningServer;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// One run of a call that has an effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Idempotency key that came with the call.
    pub idempotency_key: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
    /// Invoice or order number that the run issued.
    pub number: u64,
}

#[derive(Default)]
struct State {
    runs: RefCell<Vec<Run>>,
    numbers: RefCell<BTreeMap<String, u64>>,
    received: RefCell<Vec<String>>,
    answer_delay: Cell<Duration>,
    look_up_delay: Cell<Duration>,
}

/// Stand-in for a plain service; clones share their state, as the replicas of a real service share its database.
#[derive(Clone, Default)]
pub struct PlainService(Rc<State>);

impl PlainService {
    /// All runs so far, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.borrow().clone()
    }

    /// Received requests as text: each with its head and body.
    #[must_use]
    pub fn received(&self) -> Vec<String> {
        self.0.received.borrow().clone()
    }

    /// Delays each answer to a call with an effect by this time after its run.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.0.answer_delay.set(delay);
    }

    /// Delays each look-up by this time.
    pub fn set_look_up_delay(&self, delay: Duration) {
        self.0.look_up_delay.set(delay);
    }

    /// Serves one replica at an address.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let service = self.clone();
        RunningServer::start(address, move |request| {
            let service = service.clone();
            async move { service.respond(request).await }
        })
        .await
    }

    async fn respond(&self, request: Request<RequestBody>) -> Response<BoxedBody> {
        let (head, body) = request.into_parts();
        let Some(body) = collect_body(body, MAX_BODY_BYTES).await else {
            return json_response(413, &json!({"error": "body too large"}));
        };
        let text = String::from_utf8_lossy(&body);
        self.0.received.borrow_mut().push(format!(
            "{} {} {:?} {text}",
            head.method, head.uri, head.headers
        ));
        match (head.method.as_str(), head.uri.path()) {
            ("POST", path) => self.run(path, &head.headers, &body).await,
            ("GET", "/records") => json_response(200, &self.runs()),
            ("GET", path) => {
                compio::time::sleep(self.0.look_up_delay.get()).await;
                self.look_up(path)
            }
            _ => json_response(405, &json!({"error": "use POST or GET"})),
        }
    }

    async fn run(
        &self,
        path: &str,
        headers: &http::HeaderMap,
        body: &Bytes,
    ) -> Response<BoxedBody> {
        let key = headers
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let number = self.0.runs.borrow().len() as u64 + 1;
        let body = String::from_utf8_lossy(body).into_owned();
        self.0.numbers.borrow_mut().insert(body.clone(), number);
        self.0.runs.borrow_mut().push(Run {
            idempotency_key: key.into(),
            path: path.into(),
            body,
            number,
        });
        compio::time::sleep(self.0.answer_delay.get()).await;
        json_response(201, &json!({"number": number}))
    }

    fn look_up(&self, path: &str) -> Response<BoxedBody> {
        let sale = path.rsplit('/').next().unwrap_or_default();
        let numbers = self.0.numbers.borrow();
        let found = numbers.iter().find(|(body, _)| body.contains(sale));
        match found {
            Some((_, number)) => json_response(200, &json!({"number": number})),
            None => json_response(404, &json!({"error": "no such sale"})),
        }
    }
}
