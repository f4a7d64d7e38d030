//! Heartbeats between the members of a group, one datagram each.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Maximum size of a heartbeat in bytes; it fits one unfragmented jumbo frame and bounds the receive buffer.
pub const MAX_HEARTBEAT_BYTES: usize = 8 * 1024;

/// One heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Hash of the group's name; a process ignores heartbeats of other groups.
    pub group: u64,
    /// The sender.
    pub from: InstanceId,
    /// Incarnation of the sender; a restarted process has a higher one.
    pub incarnation: u64,
    /// The message.
    pub body: HeartbeatBody,
}

/// Messages that a heartbeat carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HeartbeatBody {
    /// Requests that the receiver promise to count the sender for another lease duration.
    Ask {
        /// When the request was sent, on the sender's clock since its start.
        sent_us: u64,
        /// Digest of the set of members that the sender counts; 0 when one of them is not in its instance list.
        counted_digest: u64,
        /// Whether the sender may act as an owner once all members have promised; the receiver then ranks it.
        is_ready: bool,
    },
    /// Promises to count the requester for one lease duration.
    Promise {
        /// `sent_us` of the [`Ask`](Self::Ask).
        sent_us: u64,
        /// Incarnation of the requester.
        to_incarnation: u64,
        /// Members that the sender counts.
        counted: Counted,
    },
    /// The sender is leaving and has stopped acting as an owner.
    Goodbye,
    /// The requester's incarnation is not higher than one that is known to have ended.
    Superseded {
        /// Highest incarnation known for the requester's name.
        incarnation: u64,
    },
}

/// Set of counted members that comes with a promise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Counted {
    /// All members are in the instance list, and the set equals the requester's set with this digest.
    Same(u64),
    /// The members.
    Members(Vec<CountedMember>),
}

/// One member of a counted set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CountedMember {
    /// The member.
    pub instance: InstanceId,
    /// Its address for other processes of the system.
    pub address: SocketAddr,
    /// Its incarnation; 0 when unknown.
    pub incarnation: u64,
    /// Age of the last promise to the member that the sender made or that was reported to it; 0 for members in the
    /// instance list.
    pub age_ms: u64,
}

impl Heartbeat {
    /// Encodes the heartbeat for one datagram.
    ///
    /// # Panics
    /// Never: every heartbeat can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a heartbeat can be encoded")
    }

    /// Decodes a datagram; `None` when it is not a heartbeat.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        postcard::from_bytes(datagram).ok()
    }
}
