//! Calls an instance's RPC methods and formats the results.

use std::{net::SocketAddr, time::Duration};

use getopts::Matches;
use serde::{Serialize, de::DeserializeOwned};

use super::command::{CommandError, peer_client};

/// Maximum time that an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses given with `--address`, at least one.
pub(crate) fn addresses(matches: &Matches) -> Result<Vec<SocketAddr>, CommandError> {
    let usage = |message: String| CommandError::Usage { message };
    let texts = matches.opt_strs("address");
    if texts.is_empty() {
        return Err(usage("no instance address; use --address IP:PORT".into()));
    }
    let parse = |text: &String| {
        let address = text.parse();
        address.map_err(|_| {
            usage(format!(
                "{text:?} is not a valid address; write it as IP:PORT"
            ))
        })
    };
    texts.iter().map(parse).collect()
}

/// The only address given with `--address`.
pub(crate) fn address(matches: &Matches) -> Result<SocketAddr, CommandError> {
    match addresses(matches)?.as_slice() {
        [address] => Ok(*address),
        _ => Err(CommandError::Usage {
            message: "this command takes exactly one --address".into(),
        }),
    }
}

/// Calls an RPC method of an instance.
pub(crate) fn call_instance<P: Serialize, R: DeserializeOwned>(
    matches: &Matches,
    address: SocketAddr,
    method: &str,
    params: &P,
) -> Result<R, CommandError> {
    let unreachable = |message: String| CommandError::Unreachable { message };
    let runtime = compio::runtime::Runtime::new();
    let runtime = runtime.map_err(|error| {
        unreachable(format!(
            "can't start the async runtime: {error}; check the limit on open files"
        ))
    })?;
    let client = peer_client(matches)?;
    let call = async { client.call(address, method, params, TIMEOUT).await };
    runtime
        .block_on(call)
        .map_err(|error| unreachable(error.to_string()))
}

/// Formats a value as JSON with `--json`, else with `describe`.
pub(crate) fn format_output<T: Serialize>(
    matches: &Matches,
    value: &T,
    describe: impl Fn(&T) -> String,
) -> Result<String, CommandError> {
    if !matches.opt_present("json") {
        return Ok(describe(value));
    }
    serde_json::to_string_pretty(value).map_err(|error| CommandError::Invalid {
        message: error.to_string(),
    })
}
