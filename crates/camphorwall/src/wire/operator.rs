//! Messages for operators.

use serde::{Deserialize, Serialize};

use super::Load;
use crate::{DataCentreId, EngineSetup, InstanceId, RequestId, Revision};

/// JSON-RPC method that returns [`Status`].
pub const METHOD_STATUS: &str = "status";
/// JSON-RPC method that makes an instance accept no new work; returns [`Drained`].
pub const METHOD_DRAIN: &str = "drain";
/// JSON-RPC method of [`Explain`].
pub const METHOD_EXPLAIN: &str = "explain";

/// Status of one instance, for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceId,
    /// Its role.
    pub role: crate::Role,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Time until its lease in its group expires; 0 without a lease, which it needs to own keys.
    #[serde(default)]
    pub lease_left_ms: u64,
    /// Requests in progress.
    pub requests: u64,
    /// Load of the endpoint; present for endpoint daemons only.
    pub load: Option<Load>,
    /// Revision in force of each document.
    pub revisions: std::collections::BTreeMap<String, Revision>,
    /// Reason for each refused document or item.
    pub refused_documents: std::collections::BTreeMap<String, String>,
    /// Whether the instance reads the configuration service itself.
    #[serde(default)]
    pub reads_configuration: bool,
    /// Time since the configuration service last confirmed what is in force, as far as the instance knows.
    #[serde(default)]
    pub configuration_confirmed_ago_ms: Option<u64>,
    /// Desired and actual setup of the engine; present for endpoint daemons with a deployment only.
    #[serde(default)]
    pub deployment: Option<DeploymentStatus>,
}

/// Desired setup of an engine, and the setup that was last observed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DeploymentStatus {
    /// Published revision, which orders to the engine carry as fencing number.
    pub revision: Revision,
    /// Desired setup.
    pub wanted: EngineSetup,
    /// Setup that the engine reported last; absent when it has reported none.
    pub running: Option<EngineSetup>,
    /// Revision of the last order that this daemon sent.
    pub ordered_revision: Option<Revision>,
    /// Why the engine gets no work; absent while it gets work.
    pub closed: Option<String>,
}

/// Answer of an instance to a drain command.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Drained {
    /// The instance.
    pub instance: InstanceId,
    /// Requests in progress, which it still completes.
    pub requests: u64,
}

/// Queries the decisions of an entry about a request, with their reasons.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explain {
    /// The request.
    pub request_id: RequestId,
}

/// Decisions of an entry about a request, in order; empty when the entry has no record of the request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Explanation {
    /// The decisions.
    pub decisions: Vec<Decision>,
}

/// One decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Time since the first decision.
    pub after_us: u64,
    /// What the decision is about.
    pub step: String,
    /// The decision and its reason.
    pub detail: String,
}
