//! Server side of the authentication between processes: verifies calls before it reads their bodies, and signs the
//! answers.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use http::HeaderValue;
use hyper::{Request, Response};
use strum::{Display, IntoStaticStr};

use super::records::{RecordSealer, SealedBody};
use super::{
    CALL_HEADER, CHALLENGE_HEADER, CallHeader, CallTarget, EpochLimits, Epochs, PROOF_HEADER,
    PeerAuth, ReplayError, body_digest,
};
use crate::{BoxedBody, RequestBody, collect_body, full_body, json_response};

/// Reason for which a call was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum PeerRefusal {
    /// Its header is missing or malformed.
    Unsigned,
    /// It is not signed with a known secret for this receiver.
    BadSignature,
    /// It does not name the current or previous epoch; the first call of each sender can't, since it doesn't know one.
    OtherEpoch,
    /// Its nonce was already used.
    Replayed,
}

/// Verifies calls of other processes.
pub struct PeerGuard {
    auth: PeerAuth,
    address: SocketAddr,
    listed_address: Box<dyn Fn() -> Option<SocketAddr>>,
    epochs: Rc<RefCell<Epochs>>,
    on_refused: Box<dyn Fn(PeerRefusal)>,
}

impl PeerGuard {
    /// Makes the guard of a process whose bound address for its peers is `address`.
    pub fn new(
        auth: PeerAuth,
        address: SocketAddr,
        now: Instant,
        on_refused: impl Fn(PeerRefusal) + 'static,
    ) -> Self {
        let epochs = Epochs::new(EpochLimits::default(), now, rand::random::<u64>);
        Self {
            auth,
            address,
            listed_address: Box::new(|| None),
            epochs: Rc::new(RefCell::new(epochs)),
            on_refused: Box::new(on_refused),
        }
    }

    /// Also accepts calls to the address of the process in the instance list, which differs from the bound one behind
    /// a relay. Since each listed address belongs to one process, a call is still valid for one receiver only.
    #[must_use]
    pub fn listed_at(self, listed_address: impl Fn() -> Option<SocketAddr> + 'static) -> Self {
        Self {
            listed_address: Box::new(listed_address),
            ..self
        }
    }

    /// Accepts a call whose sender holds a secret.
    ///
    /// # Errors
    /// For any other call, with the answer to send; the body stays unread.
    #[allow(clippy::result_large_err, reason = "the answer is sent at once")]
    pub fn admit(
        &self,
        request: Request<RequestBody>,
        now: Instant,
    ) -> Result<PeerRequest, Response<BoxedBody>> {
        match self.check(&request, now) {
            Ok(call) => Ok(PeerRequest {
                request,
                signer: ReplySigner {
                    auth: self.auth.clone(),
                    call,
                    epochs: Rc::clone(&self.epochs),
                },
            }),
            Err(refusal) => Err(self.refuse(refusal, now)),
        }
    }

    fn check(
        &self,
        request: &Request<RequestBody>,
        now: Instant,
    ) -> Result<Option<CallHeader>, PeerRefusal> {
        if !self.auth.is_enabled() {
            return Ok(None);
        }
        let value = request.headers().get(CALL_HEADER);
        let text = value.and_then(|value| value.to_str().ok());
        let header: Option<CallHeader> = text.and_then(|text| text.parse().ok());
        let header = header.ok_or(PeerRefusal::Unsigned)?;
        let path_and_query = request.uri().path_and_query();
        let is_for = |receiver: SocketAddr| {
            let target = CallTarget {
                method: request.method().as_str(),
                path: path_and_query.map_or("/", |all| all.as_str()),
                receiver,
            };
            self.auth.verify_call(target, &header)
        };
        if !is_for(self.address) && !(self.listed_address)().is_some_and(is_for) {
            return Err(PeerRefusal::BadSignature);
        }
        let accepted = self
            .epochs
            .borrow_mut()
            .accept(header.epoch, header.nonce, now);
        match accepted {
            Ok(()) => Ok(Some(header)),
            Err(ReplayError::OtherEpoch) => Err(PeerRefusal::OtherEpoch),
            Err(ReplayError::NonceUsed) => Err(PeerRefusal::Replayed),
        }
    }

    fn refuse(&self, refusal: PeerRefusal, now: Instant) -> Response<BoxedBody> {
        (self.on_refused)(refusal);
        let epoch = self.epochs.borrow_mut().current(now);
        let mut response = json_response(
            401,
            &"calls between own processes need the shared secret of 'peer_secrets'",
        );
        if let Ok(value) = HeaderValue::from_str(&format!("{epoch:x}")) {
            response.headers_mut().insert(CHALLENGE_HEADER, value);
        }
        response
    }
}

/// A call whose sender holds a secret.
pub struct PeerRequest {
    request: Request<RequestBody>,
    signer: ReplySigner,
}

impl PeerRequest {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.request.uri().path()
    }

    /// Splits the call, so that the answer can be signed after the body was read.
    #[must_use]
    pub fn into_parts(self) -> (PeerBody, ReplySigner) {
        let digest = self.signer.call.as_ref().map(|call| call.digest);
        let body = PeerBody {
            body: self.request.into_body(),
            digest,
        };
        (body, self.signer)
    }
}

/// Body of a call that was not read yet.
pub struct PeerBody {
    body: RequestBody,
    digest: Option<[u8; 32]>,
}

impl PeerBody {
    /// Reads a body of at most `max_bytes`. Returns `None` when it is larger, incomplete, or not the one that the
    /// sender signed.
    pub async fn collect(self, max_bytes: usize) -> Option<Bytes> {
        let bytes = collect_body(self.body, max_bytes).await?;
        match self.digest {
            Some(digest) if digest != body_digest(&bytes) => None,
            Some(_) | None => Some(bytes),
        }
    }
}

/// Signs the answer to one call.
#[derive(Clone)]
pub struct ReplySigner {
    auth: PeerAuth,
    call: Option<CallHeader>,
    epochs: Rc<RefCell<Epochs>>,
}

impl ReplySigner {
    /// Returns the instance that sent the call; `None` where no secret is set.
    #[must_use]
    pub fn sender(&self) -> Option<&crate::InstanceId> {
        self.call.as_ref().map(|call| &call.sender)
    }

    /// Makes an answer with a known body, which the MAC in the head covers.
    #[must_use]
    pub fn full_response(
        &self,
        status: u16,
        body: impl Into<Bytes>,
        now: Instant,
    ) -> Response<BoxedBody> {
        let body = body.into();
        let proof = self.prove(status, Some(&body), now);
        let mut response = Response::new(full_body(body));
        *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
        insert_proof(&mut response, proof);
        response
    }

    /// Signs an answer whose body is streamed: adds the MAC of the head, and turns the body into records.
    #[must_use]
    pub fn stream(&self, mut response: Response<BoxedBody>, now: Instant) -> Response<BoxedBody> {
        let proof = self.prove(response.status().as_u16(), None, now);
        insert_proof(&mut response, proof);
        let Some(call) = self.call.clone() else {
            return response;
        };
        let sealer = RecordSealer::new(self.auth.clone(), call);
        response.map(|body| Box::pin(SealedBody::new(body, sealer)) as BoxedBody)
    }

    fn prove(&self, status: u16, body: Option<&[u8]>, now: Instant) -> Option<String> {
        let call = self.call.as_ref()?;
        let epoch = self.epochs.borrow_mut().current(now);
        let proof = self.auth.sign_answer(call, status, epoch, body)?;
        Some(proof.to_string())
    }
}

fn insert_proof(response: &mut Response<BoxedBody>, proof: Option<String>) {
    if let Some(value) = proof.and_then(|proof| HeaderValue::from_str(&proof).ok()) {
        response.headers_mut().insert(PROOF_HEADER, value);
    }
}
