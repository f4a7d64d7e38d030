//! What the published documents say that an engine shall run.

use camphorwall::{
    EngineRole, EngineSetup, InstanceId, Published, Revision, ServiceId, TeamId, Tokens,
};

/// What the documents know an engine by.
#[derive(Clone, Debug)]
pub(crate) struct EngineId {
    pub(crate) instance: InstanceId,
    pub(crate) service: ServiceId,
    /// Role from the settings.
    pub(crate) role: EngineRole,
}

/// Price of one load in the weight store's budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LoadPrice {
    pub(super) store: TeamId,
    pub(super) cost: Tokens,
}

/// What an engine shall run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct DesiredEngine {
    /// Fencing number of an order.
    pub(super) revision: Revision,
    pub(super) setup: EngineSetup,
    /// Absent where loads are not paced.
    pub(super) price: Option<LoadPrice>,
}

impl DesiredEngine {
    /// What the documents in force want of an engine; `None` without a deployment.
    pub(super) fn of(published: &Published, name: &EngineId) -> Option<Self> {
        let deployment = published.deployment(&name.instance, &name.service, name.role)?;
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
