//! `engine`: serves a model engine.

use std::process::ExitCode;

use camphorwall_standin::{Engine, EngineOptions};

use super::serve::{address, block_on, parse, serve_forever};

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("a", "address", "address to listen on", "IP:PORT");
    let brief = "Usage: camphorwall-standin engine --address IP:PORT";
    let address = match parse(arguments, brief, options).and_then(|matches| address(&matches)) {
        Ok(address) => address,
        Err(code) => return code,
    };
    let engine = Engine::new(EngineOptions::default());
    block_on(async { serve_forever("engine", engine.serve(address).await).await })
}
