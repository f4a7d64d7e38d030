//! Signs calls and checks the proofs in the heads of their answers.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use http::{Method, StatusCode};

use super::{RpcError, error::UnauthenticatedSnafu};
use crate::{
    InstanceId,
    auth::{CHALLENGE_HEADER, CallHeader, CallTarget, PROOF_HEADER, PeerAuth, ProofHeader},
};

/// Secrets, name and known epochs with which a client signs its calls.
pub(super) struct Credentials {
    pub(super) auth: PeerAuth,
    sender: InstanceId,
    /// Epochs of the receivers, as reported in their answers.
    epochs: RefCell<HashMap<SocketAddr, u64>>,
}

impl Credentials {
    pub(super) fn new(auth: PeerAuth, sender: InstanceId) -> Self {
        Self {
            auth,
            sender,
            epochs: RefCell::default(),
        }
    }

    /// Records the epoch that a receiver requires.
    pub(super) fn note_epoch(&self, receiver: SocketAddr, epoch: u64) {
        self.epochs.borrow_mut().insert(receiver, epoch);
    }

    pub(super) fn sign(
        &self,
        method: &Method,
        receiver: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Option<CallHeader> {
        let target = CallTarget {
            method: method.as_str(),
            path,
            receiver,
        };
        let epoch = self.epochs.borrow().get(&receiver).copied().unwrap_or(0);
        self.auth
            .sign_call(target, &self.sender, epoch, rand::random(), body)
    }

    /// Records the epoch of a verified answer; fails without a verified proof.
    pub(super) fn note_proof(
        &self,
        address: SocketAddr,
        status: StatusCode,
        proof: Option<&ProofHeader>,
    ) -> Result<(), RpcError> {
        let Some(proof) = proof else {
            return UnauthenticatedSnafu {
                address,
                message: format!("status {status} without a valid proof"),
            }
            .fail();
        };
        self.note_epoch(address, proof.epoch);
        Ok(())
    }
}

pub(super) fn proof_of(response: &cyper::Response) -> Option<ProofHeader> {
    let value = response.headers().get(PROOF_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the epoch that a refused call must name; `None` when the answer is not a refusal that states one.
pub(super) fn challenge_of(response: &cyper::Response) -> Option<u64> {
    if response.status() != StatusCode::UNAUTHORIZED {
        return None;
    }
    let value = response.headers().get(CHALLENGE_HEADER)?;
    u64::from_str_radix(value.to_str().ok()?, 16).ok()
}
