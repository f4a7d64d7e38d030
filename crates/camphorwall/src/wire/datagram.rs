//! Asks and replies that fit one datagram each: lease renewals and draws of budgets.
//!
//! The layout is not self-describing, so each change of it takes other marks; a receiver that does not know a mark
//! stays silent, and the sender falls back to the JSON-RPC method of the same purpose.

use serde::{Deserialize, Serialize};

use super::{GrantReply, GrantRequest, Load};
use crate::RequestId;

/// First byte of an ask.
pub const QUERY_MARK: u8 = 0xC1;
/// First byte of a reply.
pub const REPLY_MARK: u8 = 0xC2;

/// Largest ask or reply in bytes, so that none is split on its way.
pub const MAX_QUERY_BYTES: usize = 1_200;

/// Most requests that one ask renews.
pub const MAX_RENEWED: usize = 128;

/// Length of a request's short name in bytes.
const SHORT_NAME_LENGTH_BYTES: usize = 8;

/// Half the bits of a request's id.
const HALF_ID_BITS: u32 = 64;

/// First half of a request's id: its time of birth in milliseconds and 12 random bits.
///
/// Two requests that share it at one endpoint daemon renew each other, which does no more than hold a place until
/// the deadline.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestIdPrefix([u8; SHORT_NAME_LENGTH_BYTES]);

impl RequestIdPrefix {
    /// Short name of a request.
    #[must_use]
    pub const fn of(request_id: RequestId) -> Self {
        let half = (request_id.as_u128() >> HALF_ID_BITS) as u64;
        Self(half.to_be_bytes())
    }

    /// Lowest and highest id of this name.
    #[must_use]
    pub fn range(self) -> (RequestId, RequestId) {
        let high = u128::from(u64::from_be_bytes(self.0)) << HALF_ID_BITS;
        (
            RequestId::from_u128(high),
            RequestId::from_u128(high | u128::from(u64::MAX)),
        )
    }
}

/// One ask.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueryDatagram {
    /// Number of the ask at its sender; it rises and is never used again for another ask.
    pub sequence: u64,
    /// What is asked.
    #[serde(rename = "ask")]
    pub query: DatagramQuery,
}

/// What a datagram asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, strum::VariantNames)]
pub enum DatagramQuery {
    /// Renews leases, as the method `renew`. A repeated one changes nothing, since a request takes rising sequences.
    Renew(Vec<RequestIdPrefix>),
    /// Draws tokens, as the method `grant`.
    Grant(GrantQuery),
    /// Asks what the receiver has in force, while a call of the method `documents` waits there.
    Pulse,
}

/// A draw that is taken once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantQuery {
    /// Epoch of the receiver.
    pub epoch: [u8; 8],
    /// Random number of the draw. The same one gets the same reply.
    pub nonce: [u8; 8],
    /// The draw.
    pub request: GrantRequest,
}

/// One reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyDatagram {
    /// Sequence of the ask.
    pub sequence: u64,
    /// The answer.
    pub reply: DatagramReply,
}

/// Answer to a [`DatagramQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum DatagramReply {
    /// Leases are renewed.
    Renewed {
        /// Positions in the ask of requests that don't run here any more.
        unknown: Vec<u8>,
        /// Load of the endpoint.
        load: Load,
        /// Whether the daemon takes no new work.
        leaving: bool,
    },
    /// Answer to a draw.
    Grant(GrantReply),
    /// The draw was not taken; it has to name this epoch.
    OtherEpoch([u8; 8]),
    /// What the receiver has in force.
    Pulse {
        /// Digest over all of it.
        digest: [u8; 8],
        /// As in the reply of `documents`.
        confirmed_ago_ms: Option<u64>,
        /// As in the reply of `documents`.
        read_ago_ms: Option<u64>,
    },
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message without maps can be encoded")
}

impl QueryDatagram {
    /// Encodes the ask.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an ask; `None` when it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        whole(content)
    }
}

impl ReplyDatagram {
    /// Encodes the reply.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a reply; `None` when it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        whole(content)
    }
}

/// Decodes a message that takes all the bytes.
fn whole<'a, M: Deserialize<'a>>(content: &'a [u8]) -> Option<M> {
    match postcard::take_from_bytes(content) {
        Ok((message, [])) => Some(message),
        Ok(_) | Err(_) => None,
    }
}

#[cfg(test)]
#[path = "datagram_tests.rs"]
mod tests;
