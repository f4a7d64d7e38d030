//! `drain`: makes an instance take no new work.

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
    summary: "make an instance take no new work, found by the list of the asked one",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let [instance] = operands(matches, &COMMAND) else {
        return Err(CommandError::Usage {
            message: "name one instance of the list".into(),
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

/// Looks an instance up in the list that the asked instance has in force.
fn find_instance(matches: &Matches, instance: &str) -> Result<SocketAddr, CommandError> {
    let mut published = Published::default();
    loop {
        let query = DocumentsQuery {
            held: Some(published.held()),
            ..DocumentsQuery::default()
        };
        let reply: DocumentsReply =
            call_instance(matches, address(matches)?, METHOD_DOCUMENTS, &query)?;
        // A document that this version can't read is not needed here.
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
            message: format!("the list has no instance {instance:?}"),
        })
}
