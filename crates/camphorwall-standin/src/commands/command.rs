//! Runs the command that is named on the command line.

use std::process::ExitCode;

use super::{configuration, demo, engine, load, plain};

/// Exit code for an invalid command line.
pub(crate) const EXIT_USAGE: u8 = 2;

struct Command {
    name: &'static str,
    summary: &'static str,
    run: fn(&[String]) -> ExitCode,
}

/// All commands, sorted by name.
const COMMANDS: [Command; 5] = [
    Command {
        name: "configuration",
        summary: "serve published documents from a directory",
        run: configuration::run,
    },
    Command {
        name: "demo",
        summary: "run a whole fleet on loopback and check its outcomes",
        run: demo::run,
    },
    Command {
        name: "engine",
        summary: "serve a model engine",
        run: engine::run,
    },
    Command {
        name: "load",
        summary: "measure the routing policies under a scenario's load",
        run: load::run,
    },
    Command {
        name: "plain",
        summary: "serve a plain service that counts its runs",
        run: plain::run,
    },
];

fn usage() -> String {
    let line = |command: &Command| format!("    {:15} {}\n", command.name, command.summary);
    let lines: String = COMMANDS.iter().map(line).collect();
    format!("Usage: camphorwall-standin COMMAND [OPTIONS]\n\nCommands:\n{lines}")
}

/// Runs the command that the first argument names.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let (name, rest) = match arguments.split_first() {
        Some((name, rest)) => (name.as_str(), rest),
        None => ("", arguments),
    };
    match COMMANDS.iter().find(|command| command.name == name) {
        Some(command) => (command.run)(rest),
        None if matches!(name, "-h" | "--help") => {
            print!("{}", usage());
            ExitCode::SUCCESS
        }
        None if matches!(name, "-V" | "--version") => {
            println!("camphorwall-standin {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        None => {
            eprintln!(
                "camphorwall-standin: there is no command {name:?}\n\n{}",
                usage()
            );
            ExitCode::from(EXIT_USAGE)
        }
    }
}
