//! Messages about requests that may crash engines.

use serde::{Deserialize, Serialize};

use crate::{EngineRole, InstanceId, ServiceId};

/// JSON-RPC method of [`ReportedSuspects`].
pub const METHOD_SUSPECTS: &str = "suspects";
/// JSON-RPC method that returns all [`QuarantineEntry`]s of an instance.
pub const METHOD_QUARANTINE_LIST: &str = "quarantine_list";
/// JSON-RPC method of [`QuarantineLift`].
pub const METHOD_QUARANTINE_LIFT: &str = "quarantine_lift";

/// One crash of one engine.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// Endpoint daemon beside the engine.
    pub instance: InstanceId,
    /// Incarnation of the engine that crashed.
    pub incarnation: u64,
}

/// A crash that a suspect took part in.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedCrash {
    /// The crash.
    pub crash: CrashId,
    /// Work of the engine.
    pub role: EngineRole,
    /// Time since the crash.
    pub age_ms: u64,
    /// Whether the suspect was cleared of it.
    pub is_cleared: bool,
}

/// What is known of one request's content.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SuspectRecord {
    /// Service of the request.
    pub service: ServiceId,
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
    /// Crashes that it took part in.
    pub crashes: Vec<ReportedCrash>,
}

/// Tells another process of suspects. Records are merged; their order and repetition don't matter.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedSuspects {
    /// Records.
    pub records: Vec<SuspectRecord>,
}

/// One suspect or quarantined request, for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineEntry {
    /// Service of the request.
    pub service: ServiceId,
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
    /// Crashes that count.
    pub crashes: usize,
    /// Whether it is refused.
    pub is_quarantined: bool,
    /// Time until it is forgotten.
    pub expires_in_ms: u64,
}

/// Clears a request of its crashes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineLift {
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
}
