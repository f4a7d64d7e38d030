//! Label sets of the metrics, and the team and class under which a request is counted.

use camphorwall::{Contract, Priority, TeamId};
use prometheus_client::encoding::EncodeLabelSet;

/// Team label of requests on open routes, which belong to no team.
pub(super) const OPEN_TEAM: &str = "open";

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RequestLabels {
    pub(super) route: String,
    pub(super) result: String,
}

/// Labels of a request that was not answered completely.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct OutcomeLabels {
    pub(super) kind: String,
    pub(super) outcome: String,
}

/// Labels of an order to the engine.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct OrderLabels {
    pub(super) result: String,
}

/// Labels of a retry.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RetryLabels {
    pub(super) result: String,
}

/// Labels of a team and its class, which is the priority of its contract.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct TeamLabels {
    pub(super) team: String,
    pub(super) class: u8,
}

/// Labels of a refused call between the system's processes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct PeerRefusalLabels {
    pub(super) reason: String,
}

/// Team and class under which a request is counted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Requester {
    pub(super) team: Option<TeamId>,
    pub(super) class: Priority,
}

impl Requester {
    /// Requester of a request; one on an open route has no contract.
    pub(crate) fn of(contract: Option<&Contract>) -> Self {
        Self {
            team: contract.map(|contract| contract.team.clone()),
            class: contract
                .map(|contract| contract.priority)
                .unwrap_or_default(),
        }
    }
}
