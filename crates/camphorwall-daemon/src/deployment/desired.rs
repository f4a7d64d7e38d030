//! Setup that the published documents give an engine.

use camphorwall::{
    EngineRole, EngineSetup, InstanceId, Published, Revision, ServiceId, TeamId, Tokens,
};

/// Identifies an engine in the published documents.
#[derive(Clone, Debug)]
pub(crate) struct EngineId {
    pub(crate) instance: InstanceId,
    pub(crate) service: ServiceId,
    /// Role from the settings.
    pub(crate) role: EngineRole,
}

/// Price of one load of weights, paid from the weight store's budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LoadPrice {
    pub(super) store: TeamId,
    pub(super) cost: Tokens,
}

/// Setup that an engine should run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct DesiredEngine {
    /// Revision of the documents, and fencing number of the order.
    pub(super) revision: Revision,
    pub(super) setup: EngineSetup,
    /// Absent where loads are not limited.
    pub(super) price: Option<LoadPrice>,
}

impl DesiredEngine {
    /// Desired setup of an engine by the documents in force; `None` without a deployment.
    pub(super) fn of(published: &Published, engine_id: &EngineId) -> Option<Self> {
        let deployment =
            published.deployment(&engine_id.instance, &engine_id.service, engine_id.role)?;
        let price = deployment.weight_store.clone().map(|store| LoadPrice {
            store,
            cost: deployment.load_cost_tokens,
        });
        Some(Self {
            revision: published.deployments_revision(),
            setup: deployment.setup(),
            price: price.filter(|price| price.cost > Tokens(0)),
        })
    }
}
