//! Messages of calls that run at most once: offer, start, hand-over and recall of recorded outcomes.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{PlainCall, Reserve};
use crate::{InstanceId, Outcome, ProblemKind, ReservationId, RouteId, ServiceId, TeamId};

/// JSON-RPC method of [`LedgerOffer`].
pub const METHOD_LEDGER_OFFER: &str = "ledger_offer";
/// JSON-RPC method of [`LedgerHandOver`].
pub const METHOD_LEDGER_HAND_OVER: &str = "ledger_hand_over";
/// JSON-RPC method that returns the [`LedgerRecord`] of a [`LedgerKey`], if there is one.
pub const METHOD_LEDGER_RECALL: &str = "ledger_recall";

/// Path that starts an offered call; the body is a [`LedgerStart`], the answer a stream of
/// [`Frame`](super::Frame)s.
pub const LEDGER_START_PATH: &str = "/ledger/start";

/// Header that marks an answer replayed from the ledger instead of a new run.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Identity of a call that runs at most once. The same idempotency key of another team is another identity.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LedgerKey {
    /// Service of the call.
    pub service: ServiceId,
    /// Team whose budget is charged; absent on open routes.
    pub team: Option<TeamId>,
    /// Route of the call.
    pub route: RouteId,
    /// The caller's idempotency key.
    pub key: String,
}

impl fmt::Display for LedgerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let team = self.team.as_ref().map_or("", TeamId::as_str);
        write!(f, "{}/{team}/{}/{}", self.service, self.route, self.key)
    }
}

/// Offers a call to the ledger's owner, which replies whether the call can be started. Runs nothing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LedgerOffer {
    /// The call's identity.
    pub key: LedgerKey,
    /// When the caller issued the idempotency key, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub issued_ms: u64,
    /// Reservation that the call needs at an endpoint.
    pub reserve: Reserve,
}

/// Answer to [`LedgerOffer`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerOfferReply {
    /// The call can be started within the lease.
    Held {
        /// Reservation to name in [`LedgerStart`].
        reservation: ReservationId,
        /// Time after the receipt of the offer during which a start is accepted.
        lease_ms: u64,
    },
    /// Another instance owns the key; nothing ran at the receiver.
    NotOwner {
        /// Address of the owner, if the receiver knows it.
        owner: Option<SocketAddr>,
    },
    /// The call is refused.
    Refused(LedgerRefused),
}

/// A refusal of the ledger's owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LedgerRefused {
    /// Kind of the problem that the caller gets.
    pub kind: ProblemKind,
    /// What is known of the call's effect.
    pub outcome: Outcome,
    /// Cause and remedy.
    pub detail: String,
    /// Time after which a retry can succeed.
    pub retry_after_ms: Option<u64>,
}

/// Starts an offered call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LedgerStart {
    /// The reservation from [`LedgerOfferReply::Held`].
    pub reservation: ReservationId,
    /// The call.
    pub call: PlainCall,
}

/// Outcome of a call that was permitted to run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerOutcome {
    /// The call ran and this is its answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<(String, String)>,
        /// Body.
        #[serde(with = "super::base64_bytes")]
        body: Vec<u8>,
    },
    /// The call ran; its answer was too large to be kept or did not arrive completely.
    Ran,
    /// It is unknown whether the call ran, and no later information will decide it.
    MayHaveRun,
}

/// Record of one call in a ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// The call's identity.
    pub key: LedgerKey,
    /// When the caller issued the idempotency key, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub issued_ms: u64,
    /// Digest of the call's content, in hexadecimal digits.
    pub content: String,
    /// The outcome.
    pub outcome: LedgerOutcome,
    /// Time since the outcome was recorded.
    pub age_ms: u64,
}

/// Hands records of a leaving owner over to their next owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LedgerHandOver {
    /// The leaving owner.
    pub from: InstanceId,
    /// The sender's records are complete for keys issued after this time, in milliseconds of Unix time.
    pub complete_from_ms: u64,
    /// The records.
    pub records: Vec<LedgerRecord>,
    /// Whether this is the last message: the receiver then has all records for its keys, and the sender permits no
    /// further call.
    pub is_last: bool,
}

/// Answer to [`LedgerHandOver`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerHandOverReply {
    /// Whether the receiver stored the records.
    pub is_kept: bool,
}
