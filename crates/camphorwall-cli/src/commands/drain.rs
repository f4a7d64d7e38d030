//! `drain`: makes an instance accept no new work.

use std::net::SocketAddr;

use camphorwall::{
    DocumentsQuery, DocumentsReply, Drained, METHOD_DOCUMENTS, METHOD_DRAIN, Published,
};
use getopts::Matches;

use super::{
    command::{Command, CommandError, operands},
    instance::{address, call_instance, format_output},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "drain",
    arguments: "INSTANCE --address IP:PORT",
    summary: "make an instance take no new work; any instance that lists it can be queried",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let [instance] = operands(matches, &COMMAND) else {
        return Err(CommandError::Usage {
            message: "give the name of one listed instance".into(),
        });
    };
    let target = find_instance(matches, instance)?;
    let drained: Drained = call_instance(matches, target, METHOD_DRAIN, &())?;
    format_output(matches, &drained, |drained| {
        format!(
            "{} takes no new work; {} requests run to their end",
            drained.instance, drained.requests
        )
    })
}

/// Looks up an instance's peer address in the list that the queried instance has in force.
fn find_instance(matches: &Matches, instance: &str) -> Result<SocketAddr, CommandError> {
    let mut published = Published::default();
    loop {
        let query = DocumentsQuery {
            held: Some(published.held()),
            ..DocumentsQuery::default()
        };
        let reply: DocumentsReply =
            call_instance(matches, address(matches)?, METHOD_DOCUMENTS, &query)?;
        // Skips documents that this version can't read; they are not needed here.
        let applied = reply.updates.iter();
        let applied = applied.filter(|update| published.apply_update(update) == Ok(true));
        if applied.count() == 0 || !reply.has_more {
            break;
        }
    }
    let found = published
        .instances
        .values()
        .find(|one| one.instance.as_str() == instance);
    found
        .map(|one| one.peer_address)
        .ok_or_else(|| CommandError::Usage {
            message: format!("the published list contains no instance {instance:?}"),
        })
}
