//! `camphorwall`: the command-line tool for operators.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    commands::run(&arguments)
}
