//! `config status`: shows the documents in force at one or more instances, and those that they refused.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use camphorwall::{DeploymentStatus, InstanceId, METHOD_STATUS, Revision, Status};
use getopts::Matches;
use serde::Serialize;

use super::{
    command::{Command, CommandError},
    instance::{addresses, call_instance, format_output},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "config status",
    arguments: "--address IP:PORT ...",
    summary: "show documents in force and refused at one or more instances",
    run,
};

/// Answers of the queried instances.
#[derive(Serialize)]
struct ConfigStatus {
    instances: Vec<InstanceConfig>,
    /// Addresses that did not answer, with the reason.
    unreachable: BTreeMap<SocketAddr, String>,
}

/// Configuration of one instance.
#[derive(Serialize)]
struct InstanceConfig {
    instance: InstanceId,
    revisions: BTreeMap<String, Revision>,
    /// Documents whose revision is below the highest that any queried instance has in force.
    behind: Vec<String>,
    /// Refused documents and items, with the reason.
    refused: BTreeMap<String, String>,
    reads_service: bool,
    confirmed_ago_ms: Option<u64>,
    /// Desired and actual setup of the engine, for endpoint daemons with a deployment.
    deployment: Option<DeploymentStatus>,
}

fn run(matches: &Matches) -> Result<String, CommandError> {
    let mut answers = Vec::new();
    let mut unreachable = BTreeMap::new();
    for address in addresses(matches)? {
        match call_instance::<_, Status>(matches, address, METHOD_STATUS, &()) {
            Ok(status) => answers.push(status),
            Err(CommandError::Unreachable { message }) => {
                unreachable.insert(address, message);
            }
            Err(error) => return Err(error),
        }
    }
    if answers.is_empty() {
        let messages: Vec<_> = unreachable.into_values().collect();
        let message = messages.join("\n");
        return Err(CommandError::Unreachable { message });
    }
    format_output(matches, &compare(answers, unreachable), describe)
}

fn compare(answers: Vec<Status>, unreachable: BTreeMap<SocketAddr, String>) -> ConfigStatus {
    let mut highest: BTreeMap<String, Revision> = BTreeMap::new();
    for (name, revision) in answers.iter().flat_map(|status| &status.revisions) {
        let known = highest.entry(name.clone()).or_default();
        *known = (*known).max(*revision);
    }
    let instance = |status: Status| {
        let is_behind = |(name, newest): &(&String, &Revision)| {
            status.revisions.get(*name).copied().unwrap_or_default() < **newest
        };
        let behind = highest.iter().filter(is_behind);
        InstanceConfig {
            behind: behind.map(|(name, _)| name.clone()).collect(),
            instance: status.instance,
            revisions: status.revisions,
            refused: status.refused_documents,
            reads_service: status.reads_configuration,
            confirmed_ago_ms: status.configuration_confirmed_ago_ms,
            deployment: status.deployment,
        }
    };
    ConfigStatus {
        instances: answers.into_iter().map(instance).collect(),
        unreachable,
    }
}

fn describe(status: &ConfigStatus) -> String {
    let mut lines = Vec::new();
    for one in &status.instances {
        let source = if one.reads_service {
            "reads the service"
        } else {
            "follows peers"
        };
        let confirmed = one.confirmed_ago_ms.map_or_else(
            || "never confirmed by the service".to_owned(),
            |ago_ms| {
                format!(
                    "confirmed by the service {:?} ago",
                    Duration::from_millis(ago_ms)
                )
            },
        );
        lines.push(format!("{}: {source}, {confirmed}", one.instance));
        for (name, revision) in &one.revisions {
            let note = if one.behind.contains(name) {
                "  behind"
            } else {
                ""
            };
            lines.push(format!("    {name:16} revision {revision}{note}"));
        }
        let missing = one
            .behind
            .iter()
            .filter(|name| !one.revisions.contains_key(*name));
        lines.extend(missing.map(|name| format!("    {name:16} missing")));
        let refused = one.refused.iter();
        lines.extend(one.deployment.iter().flat_map(deployment_lines));
        lines.extend(refused.map(|(name, reason)| format!("    {name:16} refused: {reason}")));
    }
    lines.extend(status.unreachable.values().cloned());
    lines.join("\n")
}

/// Lines with the engine's desired setup, how its actual setup differs, and the reason if it is closed.
fn deployment_lines(deployment: &DeploymentStatus) -> Vec<String> {
    let wanted = &deployment.wanted;
    let difference = match &deployment.running {
        Some(running) if running == wanted => "running".to_owned(),
        Some(running) => format!("runs {running} still"),
        None => "not read back".to_owned(),
    };
    let revision = deployment.revision;
    let engine = format!(
        "    {:16} revision {revision} {wanted}, {difference}",
        "engine"
    );
    let closed = deployment.closed.iter();
    let closed = closed.map(|reason| format!("    {:16} closed: {reason}", "engine"));
    std::iter::once(engine).chain(closed).collect()
}

#[cfg(test)]
#[path = "config_status_tests.rs"]
mod tests;
