//! `status`: shows one instance's status.

use camphorwall::{DeploymentStatus, METHOD_STATUS, Status};
use getopts::Matches;

use super::{
    command::{Command, CommandError},
    instance::{address, call_instance, format_output},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "status",
    arguments: "--address IP:PORT",
    summary: "show an instance's status",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let status: Status = call_instance(matches, address(matches)?, METHOD_STATUS, &())?;
    format_output(matches, &status, describe)
}

fn describe(status: &Status) -> String {
    let mut lines = vec![
        format!("instance      {}", status.instance),
        format!("role          {}", status.role),
        format!("data centre   {}", status.data_centre),
        format!("ready         {}", status.ready),
        format!("lease left    {} ms", status.lease_left_ms),
        format!("requests      {}", status.requests),
    ];
    lines.extend(
        status
            .load
            .map(|load| format!("load          {} of {} running", load.running, load.slots)),
    );
    lines.extend(status.deployment.iter().flat_map(describe_deployment));
    let revision = |(name, revision): (&String, _)| format!("{name:13} revision {revision}");
    lines.extend(status.revisions.iter().map(revision));
    let refused = |(name, reason): (&String, &String)| format!("{name:13} refused: {reason}");
    lines.extend(status.refused_documents.iter().map(refused));
    lines.join("\n")
}

fn describe_deployment(deployment: &DeploymentStatus) -> Vec<String> {
    let unknown = "unknown, the engine does not answer";
    let running = deployment.running.as_ref();
    let running = running.map_or(unknown.into(), ToString::to_string);
    let ordered = deployment.ordered_revision;
    let ordered = ordered.map_or("none".into(), |one| format!("revision {one}"));
    let wanted = format!("{}, revision {}", deployment.wanted, deployment.revision);
    let mut lines = vec![
        format!("engine wanted {wanted}"),
        format!("engine runs   {running}"),
        format!("last order    {ordered}"),
    ];
    let closed = deployment.closed.iter();
    lines.extend(closed.map(|reason| format!("engine closed {reason}")));
    lines
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
