//! Deployments: the model, adapter, version and role that each engine should have.

use serde::{Deserialize, Serialize};

use super::{EngineRole, Instance, Published};
use crate::{AdapterId, InstanceId, ModelId, ModelVersion, Revision, ServiceId, TeamId, Tokens};

/// Actual or desired setup of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineSetup {
    /// The model.
    pub model: ModelId,
    /// Adapter on top of the model.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Role of the engine.
    pub engine_role: EngineRole,
}

impl std::fmt::Display for EngineSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.model, self.version)?;
        if let Some(adapter) = &self.adapter {
            write!(f, " with {adapter}")?;
        }
        write!(f, " for {}", self.engine_role)
    }
}

/// One deployment: of one instance, or of all engines of a service with one role that have no deployment of their
/// own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The instance; absent for a deployment of a service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// The service; absent for a deployment of one instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Desired role of the instance, or the role by which the engines of the service are selected.
    pub engine_role: EngineRole,
    /// Model to load.
    pub model: ModelId,
    /// Adapter to load on top of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Team whose contract is the budget of the weight store; without a team, loads are not paced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store: Option<TeamId>,
    /// Cost of one load of weights, charged to that budget.
    #[serde(default)]
    pub load_cost_tokens: Tokens,
}

/// Engines that a deployment applies to.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DeploymentTarget {
    /// One instance.
    Instance(InstanceId),
    /// All engines of a service with one role.
    Service(ServiceId, EngineRole),
}

impl std::fmt::Display for DeploymentTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Instance(instance) => instance.fmt(f),
            Self::Service(service, role) => write!(f, "{service}/{role}"),
        }
    }
}

impl Deployment {
    /// Returns what the deployment applies to; `None` unless exactly one of instance and service is set.
    #[must_use]
    pub fn target(&self) -> Option<DeploymentTarget> {
        match (&self.instance, &self.service) {
            (Some(instance), None) => Some(DeploymentTarget::Instance(instance.clone())),
            (None, Some(service)) => {
                Some(DeploymentTarget::Service(service.clone(), self.engine_role))
            }
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    /// Returns the desired setup of the engine.
    #[must_use]
    pub fn setup(&self) -> EngineSetup {
        EngineSetup {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            version: self.version.clone(),
            engine_role: self.engine_role,
        }
    }

    pub(super) fn check(&self) -> Result<(), String> {
        match self {
            Self {
                instance: Some(_),
                service: Some(_),
                ..
            } => Err("field service: an instance is named too; remove one of them".into()),
            Self {
                instance: None,
                service: None,
                ..
            } => Err("field instance: missing; name an instance or a service".into()),
            Self {
                engine_role: EngineRole::Plain,
                ..
            } => Err(
                "field engine_role: plain services load nothing; write prefill or decode".into(),
            ),
            Self {
                weight_store: None,
                load_cost_tokens: Tokens(1..),
                ..
            } => {
                Err("field weight_store: missing; name the team whose budget pays the load".into())
            }
            Self { .. } => Ok(()),
        }
    }
}

impl Published {
    /// Returns the deployment of an engine: its own, or else that of its service for the role in the engine's settings.
    #[must_use]
    pub fn deployment(
        &self,
        instance: &InstanceId,
        service: &ServiceId,
        role: EngineRole,
    ) -> Option<&Deployment> {
        let own = DeploymentTarget::Instance(instance.clone());
        let shared = || DeploymentTarget::Service(service.clone(), role);
        let own = self.deployments.get(&own);
        own.or_else(|| self.deployments.get(&shared()))
    }

    /// Returns the fencing number of orders: the sum of the revisions of all deployment documents. It rises with each
    /// change of any of them, and equals the revision where there is one document.
    #[must_use]
    pub fn deployments_revision(&self) -> Revision {
        let documents = self.revisions();
        let revisions = documents
            .filter(|(name, _)| name.kind() == super::DocumentKind::Deployments)
            .map(|(_, revision)| revision.get());
        Revision(revisions.sum())
    }

    /// Returns the role in which an endpoint gets work; `None` when its deployment loads a model other than that of its
    /// service.
    #[must_use]
    pub fn offered_role(&self, instance: &Instance) -> Option<EngineRole> {
        let (service, listed) = (instance.service.as_ref()?, instance.engine_role?);
        let Some(deployment) = self.deployment(&instance.instance, service, listed) else {
            return Some(listed);
        };
        let model = self
            .services
            .get(service)
            .and_then(|one| one.model.as_ref());
        let is_of_service = model.is_none_or(|model| *model == deployment.model);
        is_of_service.then_some(deployment.engine_role)
    }
}

#[cfg(test)]
#[path = "deployments_tests.rs"]
mod tests;
