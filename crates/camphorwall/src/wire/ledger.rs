//! Messages of calls that run at most once: offer, start, hand-over and recall.

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

/// Path that starts an offered call; the body is a [`LedgerStart`], the answer a stream of frames.
pub const LEDGER_START_PATH: &str = "/ledger/start";

/// Header of an answer that was kept from an earlier run.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Identity of a call that runs at most once. The same key of another team is another identity.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LedgerKey {
    /// Service of the call.
    pub service: ServiceId,
    /// Team that pays, absent on open routes.
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

/// Asks the ledger's owner whether it can take a call. Has no effect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LedgerOffer {
    /// The call's identity.
    pub key: LedgerKey,
    /// When the caller made the key, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub issued_ms: u64,
    /// What the call asks of the endpoint that runs it.
    pub reserve: Reserve,
}

/// Answer to [`LedgerOffer`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerOfferReply {
    /// The call can be started within the lease.
    Held {
        /// To be named in [`LedgerStart`].
        reservation: ReservationId,
        /// How long a start is accepted from the receipt of the offer.
        lease_ms: u64,
    },
    /// Another instance owns the key; nothing ran here.
    NotOwner {
        /// Address of the owner as known here.
        owner: Option<SocketAddr>,
    },
    /// The call is refused.
    Refused(LedgerRefused),
}

/// A refusal of the ledger's owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LedgerRefused {
    /// Kind for the caller.
    pub kind: ProblemKind,
    /// What is known of the call's effect.
    pub outcome: Outcome,
    /// Cause and remedy.
    pub detail: String,
    /// When a repeat can succeed.
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
    /// It ran and this is its answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Vec<(String, String)>,
        /// Body.
        #[serde(with = "super::base64_bytes")]
        body: Vec<u8>,
    },
    /// It ran; its answer was too large to be kept, or did not arrive whole.
    Ran,
    /// It is unknown whether it ran, and stays so.
    MayHaveRun,
}

/// One call that a ledger knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// The call's identity.
    pub key: LedgerKey,
    /// When the caller made the key, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub issued_ms: u64,
    /// Digest of the call's content, in hexadecimal digits.
    pub content: String,
    /// The outcome.
    pub outcome: LedgerOutcome,
    /// Time since the outcome was recorded.
    pub age_ms: u64,
}

/// Gives records of a leaving owner to their next owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LedgerHandOver {
    /// The leaving owner.
    pub from: InstanceId,
    /// The sender knows every call of its keys that were made after this time, in milliseconds of Unix time.
    pub complete_from_ms: u64,
    /// Records.
    pub records: Vec<LedgerRecord>,
    /// Whether the receiver now has all records meant for it, and the sender will permit no further call.
    pub is_last: bool,
}

/// Answer to [`LedgerHandOver`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerHandOverReply {
    /// Whether the records were kept.
    pub is_kept: bool,
}
