//! `configuration`: serves the documents of a directory, and publishes files that change.

use std::{
    path::Path,
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use camphorwall::Revision;
use camphorwall_standin::{ConfigurationService, publish_directory};
use futures_util::{
    FutureExt as _,
    future::{Either, select},
};

use super::serve::{address, block_on, parse, serve_forever, usage_error};

/// Interval at which the files are read again.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("a", "address", "address to listen on", "IP:PORT");
    options.optopt("d", "directory", "directory of the documents", "DIR");
    let brief = "Usage: camphorwall-standin configuration --address IP:PORT --directory DIR";
    let matches = match parse(arguments, brief, options) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let address = match address(&matches) {
        Ok(address) => address,
        Err(code) => return code,
    };
    let Some(directory) = matches.opt_str("directory") else {
        return usage_error("no directory; use --directory DIR");
    };
    let directory = Path::new(&directory);
    let service = ConfigurationService::default();
    service.start_revisions_above(revision_from_clock());
    if let Err(error) = publish_directory(&service, directory) {
        return usage_error(&error.to_string());
    }
    block_on(async {
        let serving = serve_forever("configuration", service.serve(address).await).boxed_local();
        match select(serving, publish_changes(&service, directory).boxed_local()).await {
            Either::Left((code, _)) | Either::Right((code, _)) => code,
        }
    })
}

/// Current time in milliseconds as a revision. Revisions that start there increase across restarts of the stand-in.
fn revision_from_clock() -> Revision {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis();
    Revision(u64::try_from(milliseconds).unwrap_or_default())
}

/// Publishes changed files until the process ends. If a file is unreadable, prints the error once and publishes nothing.
async fn publish_changes(service: &ConfigurationService, directory: &Path) -> ExitCode {
    let mut last_error = None;
    loop {
        compio::time::sleep(POLL_PERIOD).await;
        let error = publish_directory(service, directory).err();
        let error = error.map(|error| error.to_string());
        if let Some(text) = error.as_ref().filter(|_| error != last_error) {
            eprintln!("camphorwall-standin: {text}");
        }
        last_error = error;
    }
}
