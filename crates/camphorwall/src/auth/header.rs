//! Header fields that carry MACs.

use std::{fmt, str::FromStr};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use snafu::Snafu;

use crate::InstanceId;

/// Header of a call.
pub(crate) const CALL_HEADER: &str = "camphorwall-call";

/// Header of an answer.
pub(crate) const PROOF_HEADER: &str = "camphorwall-proof";

/// Header of a refusal, with the epoch that the call must name.
pub(crate) const CHALLENGE_HEADER: &str = "camphorwall-epoch";

/// Length of a MAC in bytes, the left half of an HMAC-SHA256.
pub(super) const MAC_LENGTH_BYTES: usize = 16;

/// Version of the headers.
const VERSION: &str = "1";

/// A malformed header.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the header is malformed; check that both processes run compatible versions"))]
pub struct HeaderError;

/// Header that authenticates a call: `1;SENDER;EPOCH;NONCE;DIGEST;MAC`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeader {
    /// Instance that sends the call.
    pub sender: InstanceId,
    /// Epoch of the receiver.
    pub epoch: u64,
    /// Random number that the sender uses once.
    pub nonce: u64,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// MAC over the call.
    pub mac: [u8; MAC_LENGTH_BYTES],
}

impl fmt::Display for CallHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digest = URL_SAFE_NO_PAD.encode(self.digest);
        let mac = URL_SAFE_NO_PAD.encode(self.mac);
        write!(
            f,
            "{VERSION};{};{:x};{:x};{digest};{mac}",
            self.sender, self.epoch, self.nonce
        )
    }
}

impl FromStr for CallHeader {
    type Err = HeaderError;

    fn from_str(text: &str) -> Result<Self, HeaderError> {
        let mut parts = text.split(';');
        let mut next = || parts.next().ok_or(HeaderError);
        if next()? != VERSION {
            return Err(HeaderError);
        }
        let header = Self {
            sender: next()?.parse().map_err(|_| HeaderError)?,
            epoch: number(next()?)?,
            nonce: number(next()?)?,
            digest: bytes(next()?)?,
            mac: bytes(next()?)?,
        };
        match parts.next() {
            None => Ok(header),
            Some(_) => Err(HeaderError),
        }
    }
}

/// Header that proves that an answer comes from a holder of a secret: `1;EPOCH;whole|records;MAC`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProofHeader {
    /// Epoch for the next call.
    pub epoch: u64,
    /// Whether the MAC covers the body; otherwise the body consists of records with MACs of their own.
    pub covers_body: bool,
    /// MAC over the answer and the MAC of its call.
    pub mac: [u8; MAC_LENGTH_BYTES],
}

impl fmt::Display for ProofHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cover = if self.covers_body { "whole" } else { "records" };
        let mac = URL_SAFE_NO_PAD.encode(self.mac);
        write!(f, "{VERSION};{:x};{cover};{mac}", self.epoch)
    }
}

impl FromStr for ProofHeader {
    type Err = HeaderError;

    fn from_str(text: &str) -> Result<Self, HeaderError> {
        let parts: Vec<_> = text.split(';').collect();
        let [VERSION, epoch, cover, mac] = parts[..] else {
            return Err(HeaderError);
        };
        Ok(Self {
            epoch: number(epoch)?,
            covers_body: match cover {
                "whole" => true,
                "records" => false,
                _ => return Err(HeaderError),
            },
            mac: bytes(mac)?,
        })
    }
}

fn number(text: &str) -> Result<u64, HeaderError> {
    u64::from_str_radix(text, 16).map_err(|_| HeaderError)
}

fn bytes<const N: usize>(text: &str) -> Result<[u8; N], HeaderError> {
    let decoded = URL_SAFE_NO_PAD.decode(text).map_err(|_| HeaderError)?;
    decoded.try_into().map_err(|_| HeaderError)
}
