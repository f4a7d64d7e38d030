//! `quarantine lift`: removes the crash record of a request, so that it may run again.

use camphorwall::{METHOD_QUARANTINE_LIFT, QuarantineLift};
use getopts::Matches;

use super::{
    command::{Command, CommandError, operands},
    instance::{address, call_instance},
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "quarantine lift",
    arguments: "FINGERPRINT --address IP:PORT",
    summary: "let a quarantined request run again",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let usage = |message: String| CommandError::Usage { message };
    let [fingerprint] = operands(matches, &COMMAND) else {
        return Err(usage(
            "give one fingerprint from the output of 'quarantine list'".into(),
        ));
    };
    if u64::from_str_radix(fingerprint, 16).is_err() {
        return Err(usage(format!(
            "{fingerprint:?} is not a fingerprint: use the 16 hexadecimal digits from 'quarantine list'"
        )));
    }
    let lift = QuarantineLift {
        fingerprint: fingerprint.clone(),
    };
    let is_lifted: bool = call_instance(matches, address(matches)?, METHOD_QUARANTINE_LIFT, &lift)?;
    if is_lifted {
        Ok(format!("{fingerprint} may run again"))
    } else {
        Err(usage(format!(
            "the instance has no record of fingerprint {fingerprint}; see 'quarantine list'"
        )))
    }
}
