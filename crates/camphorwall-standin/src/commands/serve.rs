//! Helpers of the commands that serve one stand-in: options, a runtime, and the serving loop.

use std::{future::Future, io, net::SocketAddr, process::ExitCode};

use camphorwall_standin::RunningServer;
use getopts::{Matches, Options};

use super::command::EXIT_USAGE;

/// Parses the options of a command; prints its help on `--help`.
pub(super) fn parse(
    arguments: &[String],
    brief: &str,
    mut options: Options,
) -> Result<Matches, ExitCode> {
    options.optflag("h", "help", "show this help");
    let matches = options
        .parse(arguments)
        .map_err(|error| usage_error(&error.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(brief));
        return Err(ExitCode::SUCCESS);
    }
    Ok(matches)
}

/// Reads the option `--address`.
pub(super) fn address(matches: &Matches) -> Result<SocketAddr, ExitCode> {
    let text = matches.opt_str("address");
    let text = text.ok_or_else(|| usage_error("no address; use --address IP:PORT"))?;
    text.parse().map_err(|_| {
        usage_error(&format!(
            "{text:?} is not a valid address; write it as IP:PORT"
        ))
    })
}

/// Prints an error about the command line; returns its exit code.
pub(super) fn usage_error(message: &str) -> ExitCode {
    eprintln!("camphorwall-standin: {message}; see --help");
    ExitCode::from(EXIT_USAGE)
}

/// Runs a future on a new runtime.
pub(super) fn block_on(task: impl Future<Output = ExitCode>) -> ExitCode {
    match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(task),
        Err(error) => {
            eprintln!(
                "camphorwall-standin: can't start the async runtime: {error}; check the limit on open files"
            );
            ExitCode::FAILURE
        }
    }
}

/// Prints the address of a stand-in and serves it until the process ends.
pub(super) async fn serve_forever(name: &str, started: io::Result<RunningServer>) -> ExitCode {
    match started {
        Ok(running) => {
            println!("{name} listens on {}", running.address);
            std::future::pending().await
        }
        Err(error) => {
            eprintln!("camphorwall-standin: can't listen: {error}; choose a free address");
            ExitCode::FAILURE
        }
    }
}
