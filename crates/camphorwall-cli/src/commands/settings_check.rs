//! `settings check`: checks a settings file as the daemon would.

use std::path::Path;

use camphorwall::Settings;
use getopts::Matches;

use super::command::{Command, CommandError, operands};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "settings check",
    arguments: "FILE",
    summary: "check a daemon's settings file",
    run,
};

fn run(matches: &Matches) -> Result<String, CommandError> {
    let [path] = operands(matches, &COMMAND) else {
        return Err(CommandError::Usage {
            message: "give one settings file".into(),
        });
    };
    match Settings::read(Path::new(path)) {
        Ok(settings) => Ok(format!(
            "{path}: valid settings of {} {}",
            settings.role, settings.instance
        )),
        Err(error) => Err(CommandError::Invalid {
            message: error.to_string(),
        }),
    }
}
