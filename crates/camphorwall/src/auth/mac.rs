//! MACs over calls, answers and datagrams.

use std::{net::SocketAddr, rc::Rc};

use hmac::{Hmac, KeyInit as _, Mac as _};
use sha2::{Digest as _, Sha256};

use super::{CallHeader, PeerSecret, ProofHeader, header::MAC_LENGTH_BYTES};
use crate::InstanceId;

/// Domain of the MAC of a call.
const DOMAIN_CALL: &[u8] = b"camphorwall call 1";

/// Domain of the MAC of an answer.
const DOMAIN_ANSWER: &[u8] = b"camphorwall answer 1";

/// Domain of the MAC of a datagram.
const DOMAIN_DATAGRAM: &[u8] = b"camphorwall datagram 1";

type CallMac = [u8; MAC_LENGTH_BYTES];

/// Digest that a call's or answer's MAC covers in place of the body.
pub(crate) fn body_digest(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

/// Method, path and receiver of a call, which decide its effect together with the body.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Address that the sender called.
    pub receiver: SocketAddr,
}

/// Signs and verifies with the shared secrets; cheap to clone.
///
/// The first secret signs and all of them verify, so that a secret can be replaced without an interruption.
#[derive(Clone, Default)]
pub struct PeerAuth(Rc<Vec<Hmac<Sha256>>>);

impl PeerAuth {
    /// Makes it from the secrets. Without secrets, nothing is signed and everything verifies.
    ///
    /// # Panics
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(secrets: &[PeerSecret]) -> Self {
        let key = |secret: &PeerSecret| {
            Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length")
        };
        Self(Rc::new(secrets.iter().map(key).collect()))
    }

    /// Whether there is a secret.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        !self.0.is_empty()
    }

    /// Prepends a MAC to a datagram. The MAC doesn't prevent replay, so the message itself must.
    #[must_use]
    pub fn seal(&self, bytes: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(MAC_LENGTH_BYTES + bytes.len());
        if let Some(mac) = self.sign(&[DOMAIN_DATAGRAM, bytes]) {
            sealed.extend_from_slice(&mac);
        }
        sealed.extend_from_slice(bytes);
        sealed
    }

    /// Returns the content of a datagram that a holder of a secret sealed.
    #[must_use]
    pub fn open(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        if !self.is_enabled() {
            return Some(bytes.to_vec());
        }
        let (mac, content) = bytes.split_first_chunk::<MAC_LENGTH_BYTES>()?;
        self.verifies(&[DOMAIN_DATAGRAM, content], mac)
            .then(|| content.to_vec())
    }

    /// Signs a call; `None` without a secret.
    #[must_use]
    pub fn sign_call(
        &self,
        target: CallTarget<'_>,
        sender: &InstanceId,
        epoch: u64,
        nonce: u64,
        body: &[u8],
    ) -> Option<CallHeader> {
        let mut header = CallHeader {
            sender: sender.clone(),
            epoch,
            nonce,
            digest: body_digest(body),
            mac: [0; MAC_LENGTH_BYTES],
        };
        header.mac = self.sign(&call_fields(target, &header).each_ref().map(Vec::as_slice))?;
        Some(header)
    }

    /// Whether a holder of a secret signed the call.
    #[must_use]
    pub fn verify_call(&self, target: CallTarget<'_>, header: &CallHeader) -> bool {
        let fields = call_fields(target, header);
        self.verifies(&fields.each_ref().map(Vec::as_slice), &header.mac)
    }

    /// Signs an answer to a call; `body` is absent for a stream, whose head alone is covered.
    #[must_use]
    pub fn sign_answer(
        &self,
        call: &CallHeader,
        status: u16,
        epoch: u64,
        body: Option<&[u8]>,
    ) -> Option<ProofHeader> {
        let fields = answer_fields(&call.mac, status, epoch, body);
        let mac = self.sign(&fields.each_ref().map(Vec::as_slice))?;
        Some(ProofHeader {
            epoch,
            covers_body: body.is_some(),
            mac,
        })
    }

    /// Whether a holder of a secret signed the answer to this call.
    #[must_use]
    pub fn verify_answer(
        &self,
        call: &CallHeader,
        status: u16,
        proof: &ProofHeader,
        body: Option<&[u8]>,
    ) -> bool {
        let fields = answer_fields(&call.mac, status, proof.epoch, body);
        proof.covers_body == body.is_some()
            && self.verifies(&fields.each_ref().map(Vec::as_slice), &proof.mac)
    }

    pub(super) fn sign(&self, fields: &[&[u8]]) -> Option<CallMac> {
        let key = self.0.first()?;
        let full = feed(key.clone(), fields).finalize().into_bytes();
        let mut mac = [0; MAC_LENGTH_BYTES];
        mac.copy_from_slice(&full[..MAC_LENGTH_BYTES]);
        Some(mac)
    }

    /// Compares in constant time.
    pub(super) fn verifies<const N: usize>(&self, fields: &[&[u8]], mac: &[u8; N]) -> bool {
        let matches =
            |key: &Hmac<Sha256>| feed(key.clone(), fields).verify_truncated_left(mac).is_ok();
        self.0.iter().any(matches)
    }
}

/// Feeds the fields with their lengths, so that no two lists of fields give the same input.
fn feed(mut mac: Hmac<Sha256>, fields: &[&[u8]]) -> Hmac<Sha256> {
    for field in fields {
        mac.update(&(field.len() as u64).to_le_bytes());
        mac.update(field);
    }
    mac
}

fn call_fields(target: CallTarget<'_>, header: &CallHeader) -> [Vec<u8>; 8] {
    [
        DOMAIN_CALL.to_vec(),
        target.method.as_bytes().to_vec(),
        target.path.as_bytes().to_vec(),
        target.receiver.to_string().into_bytes(),
        header.sender.as_str().as_bytes().to_vec(),
        header.epoch.to_le_bytes().to_vec(),
        header.nonce.to_le_bytes().to_vec(),
        header.digest.to_vec(),
    ]
}

fn answer_fields(call_mac: &CallMac, status: u16, epoch: u64, body: Option<&[u8]>) -> [Vec<u8>; 5] {
    let digest = body.map_or_else(Vec::new, |body| body_digest(body).to_vec());
    [
        DOMAIN_ANSWER.to_vec(),
        call_mac.to_vec(),
        status.to_le_bytes().to_vec(),
        epoch.to_le_bytes().to_vec(),
        digest,
    ]
}

#[cfg(test)]
#[path = "mac_tests.rs"]
mod tests;
