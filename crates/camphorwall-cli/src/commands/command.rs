//! Parses the command line and runs the command that it names.

use std::process::ExitCode;

use camphorwall::{IdError, PeerAuth, RpcClient, read_secret_file};
use getopts::Matches;

use super::{
    config_check, config_status, drain, explain, histograms, losses, published_check,
    quarantine_lift, quarantine_list, settings_check, status, teams,
};

/// Exit code for an invalid command line or invalid input files.
const EXIT_USAGE: u8 = 2;

/// Sender name under which the tool signs its calls.
const OPERATOR: &str = "operator";

/// Failure of a command; the message contains the remedy.
#[derive(Debug, snafu::Snafu)]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[snafu(display("{message}; see --help"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file is not valid.
    #[snafu(display("{message}"))]
    Invalid {
        /// Each fault with its location and remedy.
        message: String,
    },
    /// A call to an instance failed.
    #[snafu(display("{message}"))]
    Unreachable {
        /// Cause and remedy.
        message: String,
    },
}

/// One command of the tool.
pub(crate) struct Command {
    /// Name of the command, one or more words.
    pub(crate) name: &'static str,
    /// Arguments after the name, as shown in the help.
    pub(crate) arguments: &'static str,
    /// Summary in one line, as shown in the help.
    pub(crate) summary: &'static str,
    /// Runs the command and returns its output.
    pub(crate) run: fn(&Matches) -> Result<String, CommandError>,
}

/// All commands, sorted by name.
pub(crate) const COMMANDS: [Command; 12] = [
    config_check::COMMAND,
    config_status::COMMAND,
    drain::COMMAND,
    explain::COMMAND,
    histograms::COMMAND,
    losses::COMMAND,
    published_check::COMMAND,
    quarantine_lift::COMMAND,
    quarantine_list::COMMAND,
    settings_check::COMMAND,
    status::COMMAND,
    teams::COMMAND,
];

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optmulti(
        "a",
        "address",
        "peer address of the instance to query; some commands take several",
        "IP:PORT",
    );
    options.optflag("h", "help", "show this help");
    options.optopt(
        "",
        "in-force",
        "configuration document in force, to compare a new one with",
        "FILE",
    );
    options.optopt(
        "s",
        "secret-file",
        "file with the secret that the system's processes share",
        "FILE",
    );
    options.optmulti(
        "l",
        "log",
        "saved log to read instead of querying an instance",
        "FILE",
    );
    options.optflag("j", "json", "write JSON for machines");
    options.optflag("V", "version", "show the version");
    options
}

fn usage() -> String {
    let lines = COMMANDS.iter().map(|command| {
        let call = format!("{} {}", command.name, command.arguments);
        format!("    {call:40} {}\n", command.summary)
    });
    let brief = format!(
        "Usage: camphorwall COMMAND [OPTIONS]\n\nCommands:\n{}",
        lines.collect::<String>()
    );
    options().usage(&brief)
}

/// Runs the command that the arguments name.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    match try_run(arguments) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("camphorwall: {error}");
            match error {
                CommandError::Usage { .. } | CommandError::Invalid { .. } => {
                    ExitCode::from(EXIT_USAGE)
                }
                CommandError::Unreachable { .. } => ExitCode::FAILURE,
            }
        }
    }
}

fn try_run(arguments: &[String]) -> Result<String, CommandError> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| CommandError::Usage {
            message: error.to_string(),
        })?;
    let words = matches.free.join(" ");
    let is_named = |command: &&Command| {
        words == command.name
            || words
                .strip_prefix(command.name)
                .is_some_and(|rest| rest.starts_with(' '))
    };
    match COMMANDS.iter().find(is_named) {
        _ if matches.opt_present("version") => {
            Ok(format!("camphorwall {}", env!("CARGO_PKG_VERSION")))
        }
        Some(command) if matches.opt_present("help") => Ok(format!(
            "camphorwall {} {}\n\n{}",
            command.name, command.arguments, command.summary
        )),
        Some(command) => (command.run)(&matches),
        None if matches.opt_present("help") => Ok(usage()),
        None => Err(CommandError::Usage {
            message: unknown_command_message(&words),
        }),
    }
}

/// Error message for an unknown command, which suggests the command with the most similar name.
fn unknown_command_message(words: &str) -> String {
    let distance = |command: &&Command| strsim::damerau_levenshtein(words, command.name);
    match COMMANDS.iter().min_by_key(distance) {
        Some(nearest) if !words.is_empty() => {
            format!(
                "there is no command {words:?}; did you mean {:?}?",
                nearest.name
            )
        }
        Some(_) | None => "no command given".into(),
    }
}

/// Creates an RPC client that signs its calls with the secret from `--secret-file`; without the option, calls are
/// unsigned.
pub(crate) fn peer_client(matches: &Matches) -> Result<RpcClient, CommandError> {
    let usage = |message: String| CommandError::Usage { message };
    let Some(path) = matches.opt_str("secret-file") else {
        return Ok(RpcClient::new());
    };
    let secret = read_secret_file(path.as_ref()).map_err(|error| usage(error.to_string()))?;
    let sender = OPERATOR
        .parse()
        .map_err(|error: IdError| usage(error.to_string()))?;
    Ok(RpcClient::authenticated(PeerAuth::new(&[secret]), sender))
}

/// Positional arguments after the command's name.
pub(crate) fn operands<'a>(matches: &'a Matches, command: &Command) -> &'a [String] {
    let words = command.name.split(' ').count();
    &matches.free[words.min(matches.free.len())..]
}

#[cfg(test)]
#[path = "command_tests.rs"]
mod tests;
