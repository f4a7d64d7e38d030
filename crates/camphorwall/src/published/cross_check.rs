//! Checks across the documents for content that is accepted but probably a mistake.

use std::fmt;

use super::{Deployment, DeploymentTarget, EngineRole, InstanceRole, Published};
use crate::{ServiceId, TeamId, Tokens};

/// A probable mistake in the published documents, for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Identity of the item.
    pub item: String,
    /// Field of the item.
    pub field: &'static str,
    /// The problem and its remedy.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: field {}: {}", self.item, self.field, self.message)
    }
}

fn finding(table: &str, key: impl fmt::Display, field: &'static str, message: String) -> Finding {
    Finding {
        item: format!("{table}/{key}"),
        field,
        message,
    }
}

/// Finds references to unpublished items, and values that make an item useless.
#[must_use]
pub fn cross_check(published: &Published) -> Vec<Finding> {
    let mut findings = check_contracts(published);
    findings.extend(check_keys(published));
    findings.extend(check_routes(published));
    findings.extend(check_topology(published));
    findings.extend(check_deployments(published));
    findings
}

fn check_contracts(published: &Published) -> Vec<Finding> {
    let mut findings = Vec::new();
    for contract in published.contracts.values() {
        let team = &contract.team;
        for route in &contract.routes {
            if !published.routes.iter().any(|one| one.route == *route) {
                let message = format!("route {route} is not published; publish or remove it");
                findings.push(finding("contracts", team, "routes", message));
            }
        }
        if contract.burst_tokens == Tokens(0) {
            let message = "0 refuses every keyed request; write the largest request's cost or more";
            findings.push(finding("contracts", team, "burst_tokens", message.into()));
        }
        let has_key = published.keys.values().any(|holder| holder == team);
        if !has_key && !is_weight_store(published, team) {
            let message = "the team has no key; publish one in keys";
            findings.push(finding("contracts", team, "team", message.into()));
        }
        let above_burst = published.routes.iter().filter(|one| {
            contract.routes.contains(&one.route) && one.cost_tokens > contract.burst_tokens
        });
        for route in above_burst {
            let message = format!(
                "one call of route {} costs {}; write at least that",
                route.route, route.cost_tokens
            );
            findings.push(finding("contracts", team, "burst_tokens", message));
        }
    }
    findings
}

/// Whether a contract is the budget of a weight store, which needs no key since no caller uses it.
fn is_weight_store(published: &Published, team: &TeamId) -> bool {
    let mut deployments = published.deployments.values();
    deployments.any(|one| one.weight_store.as_ref() == Some(team))
}

fn check_deployments(published: &Published) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (target, deployment) in &published.deployments {
        let faults = deployment_faults(published, target, deployment);
        let of_target = |(field, message)| finding("deployments", target, field, message);
        findings.extend(faults.into_iter().map(of_target));
    }
    findings
}

/// Finds a deployment for prefill without one for decode, or the reverse: a KV cache is transferred only between
/// engines that are known to run the same weights.
fn unpaired_role(
    published: &Published,
    target: &DeploymentTarget,
) -> Option<(&'static str, String)> {
    let DeploymentTarget::Service(service, role) = target else {
        return None;
    };
    let other = match role {
        EngineRole::Decode => EngineRole::Prefill,
        EngineRole::Prefill => EngineRole::Decode,
        EngineRole::Plain => return None,
    };
    let paired = DeploymentTarget::Service(service.clone(), other);
    let is_paired = published.deployments.contains_key(&paired);
    let message = format!("service {service} has none for {other}; publish both roles");
    (!is_paired).then_some(("engine_role", message))
}

fn deployment_faults(
    published: &Published,
    target: &DeploymentTarget,
    deployment: &Deployment,
) -> Vec<(&'static str, String)> {
    let mut faults = Vec::new();
    let service: Option<&ServiceId> = match target {
        DeploymentTarget::Instance(instance) => {
            let listed = published.instances.get(instance);
            if listed.is_none() {
                let message = format!("instance {instance} is not published; publish it");
                faults.push(("instance", message));
            }
            listed.and_then(|listed| listed.service.as_ref())
        }
        DeploymentTarget::Service(service, _) => {
            if !published.services.contains_key(service) {
                let message = format!("service {service} is not published; publish it");
                faults.push(("service", message));
            }
            faults.extend(unpaired_role(published, target));
            Some(service)
        }
    };
    let served = service.and_then(|service| published.services.get(service)?.model.as_ref());
    if let Some(served) = served.filter(|served| **served != deployment.model) {
        let message = format!("the service's model is {served}; its engine would get no work");
        faults.push(("model", message));
    }
    let Some(team) = &deployment.weight_store else {
        return faults;
    };
    match published.contracts.get(team) {
        None => {
            let message = format!("team {team} has no contract; publish the store's budget");
            faults.push(("weight_store", message));
        }
        Some(contract) if contract.burst_tokens < deployment.load_cost_tokens => {
            let message = format!(
                "{} is over the burst of {team}, so the load never starts; write at most {}",
                deployment.load_cost_tokens, contract.burst_tokens
            );
            faults.push(("load_cost_tokens", message));
        }
        Some(_) if deployment.load_cost_tokens == Tokens(0) => {
            let message = "0 does not pace loads; write the cost of one load in the store's budget";
            faults.push(("load_cost_tokens", message.into()));
        }
        Some(_) => {}
    }
    faults
}

fn check_keys(published: &Published) -> Vec<Finding> {
    let unknown = published
        .keys
        .iter()
        .filter(|(_, team)| !published.contracts.contains_key(team));
    let mut findings: Vec<_> = unknown
        .map(|(digest, team)| {
            let message = format!("team {team} has no contract; publish one or remove the key");
            finding("keys", digest, "team", message)
        })
        .collect();
    findings.sort_by(|a, b| a.item.cmp(&b.item));
    findings
}

fn check_routes(published: &Published) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (position, route) in published.routes.iter().enumerate() {
        if !published.services.contains_key(&route.service) {
            let message = format!("service {} is not published; publish it", route.service);
            findings.push(finding("routes", &route.route, "service", message));
        }
        let same = published.routes[..position]
            .iter()
            .find(|one| one.method == route.method && one.path == route.path);
        if let Some(same) = same {
            let message = format!(
                "route {} has the same method and path; this one is never used",
                same.route
            );
            findings.push(finding("routes", &route.route, "path", message));
        }
    }
    findings
}

fn check_topology(published: &Published) -> Vec<Finding> {
    let mut findings = Vec::new();
    for instance in published.instances.values() {
        let name = &instance.instance;
        if !published.data_centres.contains_key(&instance.data_centre) {
            let message = format!("{} is not published; publish it", instance.data_centre);
            findings.push(finding("instances", name, "data_centre", message));
        }
        let unknown = instance
            .service
            .iter()
            .find(|service| !published.services.contains_key(*service));
        if let Some(service) = unknown {
            let message = format!("service {service} is not published; publish it");
            findings.push(finding("instances", name, "service", message));
        }
        let same = published
            .instances
            .values()
            .find(|other| other.instance < *name && other.peer_address == instance.peer_address);
        if let Some(same) = same {
            let message = format!(
                "{} has the same address; correct one of them",
                same.instance
            );
            findings.push(finding("instances", name, "peer_address", message));
        }
    }
    for data_centre in published.data_centres.values() {
        let has_entry = published.instances.values().any(|one| {
            one.role == InstanceRole::Entry && one.data_centre == data_centre.data_centre
        });
        if data_centre.budget_weight == 0 && has_entry {
            let message = "0 gives its entries no share of any budget; write 1 or more";
            let name = &data_centre.data_centre;
            findings.push(finding(
                "data_centres",
                name,
                "budget_weight",
                message.into(),
            ));
        }
    }
    findings
}
