//! `camphorwall-standin`: runs the demo, the load tool, or one stand-in as a process.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    commands::run(&arguments)
}
