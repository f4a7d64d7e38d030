//! `plain`: serves a plain service that counts its runs.

use std::process::ExitCode;

use camphorwall_standin::PlainService;

use super::serve::{address, block_on, parse, serve_forever};

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("a", "address", "address to listen on", "IP:PORT");
    let brief = "Usage: camphorwall-standin plain --address IP:PORT";
    let address = match parse(arguments, brief, options).and_then(|matches| address(&matches)) {
        Ok(address) => address,
        Err(code) => return code,
    };
    let service = PlainService::default();
    block_on(async { serve_forever("plain service", service.serve(address).await).await })
}
