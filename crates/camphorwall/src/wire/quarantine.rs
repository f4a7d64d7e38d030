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

/// A crash of an engine that was running the suspect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedCrash {
    /// The crash.
    pub crash: CrashId,
    /// Role of the engine.
    pub role: EngineRole,
    /// Time since the crash.
    pub age_ms: u64,
    /// Whether the suspect was cleared of the crash.
    pub is_cleared: bool,
}

/// What a process knows of one suspect request content.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SuspectRecord {
    /// Service of the request.
    pub service: ServiceId,
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
    /// Crashes of engines that were running it.
    pub crashes: Vec<ReportedCrash>,
}

/// Reports suspects to another process. The receiver merges the records, whatever their order and however often they
/// arrive.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReportedSuspects {
    /// The records.
    pub records: Vec<SuspectRecord>,
}

/// One suspect or quarantined request, for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineEntry {
    /// Service of the request.
    pub service: ServiceId,
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
    /// Number of crashes that count towards the quarantine: those neither cleared nor expired.
    pub crashes: usize,
    /// Whether the request is quarantined, that is refused.
    pub is_quarantined: bool,
    /// Time until the record expires.
    pub expires_in_ms: u64,
}

/// Clears a request of its crashes, which lifts its quarantine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QuarantineLift {
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub fingerprint: String,
}
