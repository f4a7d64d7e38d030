//! Queries and replies that fit one datagram each: lease renewals, grant requests and checks for new documents.
//!
//! The layout is not self-describing, so each change of it needs new marks. A receiver does not answer a mark that
//! it does not know, and the sender falls back to the JSON-RPC method of the same purpose.

use serde::{Deserialize, Serialize};

use super::{GrantReply, GrantRequest, Load};
use crate::RequestId;

/// First byte of a query.
pub const QUERY_MARK: u8 = 0xC1;
/// First byte of a reply.
pub const REPLY_MARK: u8 = 0xC2;

/// Maximum size of a query or reply in bytes, so that none is fragmented on the network.
pub const MAX_QUERY_BYTES: usize = 1_200;

/// Maximum number of requests that one query renews.
pub const MAX_RENEWED: usize = 128;

/// Length of a [`RequestIdPrefix`] in bytes.
const PREFIX_LENGTH_BYTES: usize = 8;

/// Half the bits of a request's id.
const HALF_ID_BITS: u32 = 64;

/// First half of a request's id: its creation time in milliseconds and 12 random bits.
///
/// Two requests at one endpoint daemon that share a prefix renew each other. At worst, an abandoned one keeps its
/// slot until its deadline.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestIdPrefix([u8; PREFIX_LENGTH_BYTES]);

impl RequestIdPrefix {
    /// Returns the prefix of a request's id.
    #[must_use]
    pub const fn of(request_id: RequestId) -> Self {
        let half = (request_id.as_u128() >> HALF_ID_BITS) as u64;
        Self(half.to_be_bytes())
    }

    /// Returns the lowest and the highest id with this prefix.
    #[must_use]
    pub fn range(self) -> (RequestId, RequestId) {
        let high = u128::from(u64::from_be_bytes(self.0)) << HALF_ID_BITS;
        (
            RequestId::from_u128(high),
            RequestId::from_u128(high | u128::from(u64::MAX)),
        )
    }
}

/// One query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueryDatagram {
    /// Number of the query at its sender; it only rises, so that no two queries share one.
    pub sequence: u64,
    /// Kind and content of the query.
    #[serde(rename = "ask")]
    pub query: DatagramQuery,
}

/// Kinds of queries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, strum::VariantNames)]
pub enum DatagramQuery {
    /// Renews leases, like the method `renew`. A duplicate changes nothing, since the receiver accepts only a higher
    /// sequence number for a request.
    Renew(Vec<RequestIdPrefix>),
    /// Requests tokens, like the method `grant`.
    Grant(GrantQuery),
    /// Queries which documents the receiver has in force, while a call of the method `documents` waits there.
    Pulse,
}

/// A grant request that the receiver executes at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantQuery {
    /// Epoch of the receiver.
    pub epoch: [u8; 8],
    /// Random number of the request. A duplicate with the same nonce gets the same reply.
    pub nonce: [u8; 8],
    /// The request.
    pub request: GrantRequest,
}

/// One reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyDatagram {
    /// Sequence number of the query.
    pub sequence: u64,
    /// The answer.
    pub reply: DatagramReply,
}

/// Answer to a [`DatagramQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum DatagramReply {
    /// The leases are renewed.
    Renewed {
        /// Positions, in the query, of requests that no longer run at the receiver.
        unknown: Vec<u8>,
        /// Load of the endpoint.
        load: Load,
        /// Whether the daemon is draining and accepts no new work.
        leaving: bool,
    },
    /// Answer to a grant request.
    Grant(GrantReply),
    /// The grant request was not executed; it must name this epoch.
    OtherEpoch([u8; 8]),
    /// Documents that the receiver has in force.
    Pulse {
        /// Digest over all documents.
        digest: [u8; 8],
        /// As in [`DocumentsReply`](super::DocumentsReply).
        confirmed_ago_ms: Option<u64>,
        /// As in [`DocumentsReply`](super::DocumentsReply).
        read_ago_ms: Option<u64>,
    },
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message without maps can be encoded")
}

impl QueryDatagram {
    /// Encodes the query.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a query; `None` when it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        decode_all(content)
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
        decode_all(content)
    }
}

/// Decodes a message that must use all bytes of `content`.
fn decode_all<'a, M: Deserialize<'a>>(content: &'a [u8]) -> Option<M> {
    match postcard::take_from_bytes(content) {
        Ok((message, [])) => Some(message),
        Ok(_) | Err(_) => None,
    }
}

#[cfg(test)]
#[path = "datagram_tests.rs"]
mod tests;
