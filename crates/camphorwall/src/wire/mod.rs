//! Messages between the processes of the system.
//!
//! Calls are JSON-RPC over HTTP (`POST /rpc`). The answer to a started request (`POST /start`) is a stream of
//! frames, one JSON object per line. Times are sent as durations in milliseconds, so that clocks need not agree.

mod base64_bytes;
mod budget;
mod datagram;
mod documents;
mod heartbeat;
mod latency;
mod ledger;
mod operator;
mod quarantine;
mod work;

pub use budget::{
    Grant, GrantClose, GrantReply, GrantRequest, METHOD_GRANT, METHOD_TEAMS, OwnerReply,
    TeamBudgetStatus,
};
pub use datagram::{
    DatagramQuery, DatagramReply, GrantQuery, MAX_QUERY_BYTES, MAX_RENEWED, QUERY_MARK,
    QueryDatagram, REPLY_MARK, ReplyDatagram, RequestIdPrefix,
};
pub use documents::{DocumentsQuery, DocumentsReply, METHOD_DOCUMENTS};
pub use heartbeat::{Counted, CountedMember, Heartbeat, HeartbeatBody, MAX_HEARTBEAT_BYTES};
pub use latency::{LatencyBucket, LatencyHistogram, LatencyMeasure, METHOD_HISTOGRAMS};
pub use ledger::{
    LEDGER_START_PATH, LedgerHandOver, LedgerHandOverReply, LedgerKey, LedgerOffer,
    LedgerOfferReply, LedgerOutcome, LedgerRecord, LedgerRefused, LedgerStart,
    METHOD_LEDGER_HAND_OVER, METHOD_LEDGER_OFFER, METHOD_LEDGER_RECALL, REPLAYED_HEADER,
};
pub use operator::{
    Decision, DeploymentStatus, Drained, Explain, Explanation, METHOD_DRAIN, METHOD_EXPLAIN,
    METHOD_STATUS, Status,
};
pub use quarantine::{
    CrashId, METHOD_QUARANTINE_LIFT, METHOD_QUARANTINE_LIST, METHOD_SUSPECTS, QuarantineEntry,
    QuarantineLift, ReportedCrash, ReportedSuspects, SuspectRecord,
};
pub use work::{
    Cancel, CancelReply, Failed, Frame, KV_PATH, KvSource, Load, METHOD_CANCEL, METHOD_RENEW,
    METHOD_RESERVE, PlainCall, RESUME_PATH, RPC_PATH, Refused, Renew, RenewReply, Reserve,
    ReserveReply, Reserved, Resume, START_PATH, Start, Work,
};

#[cfg(test)]
#[path = "reference_tests.rs"]
mod reference_tests;
