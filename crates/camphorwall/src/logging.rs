//! Sets up logging: one line of key=value pairs for each event.

use std::io::IsTerminal as _;

use tracing_subscriber::EnvFilter;

use crate::LogRing;

/// Environment variable that sets the log level.
const LOG_LEVEL_VARIABLE: &str = "CAMPHORWALL_LOG";

/// Maximum size of the log lines that wait for their reader, in bytes.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Starts logging to standard output through a [`LogRing`], so that a reader that stops reading does not block the
/// process. The level comes from `CAMPHORWALL_LOG` (default `info`).
pub fn init_bounded_logging() -> LogRing {
    let ring = LogRing::new(MAX_WAITING_BYTES);
    let writer = ring.clone();
    let started = tracing_subscriber::fmt()
        .with_env_filter(level())
        .with_writer(move || writer.clone())
        .with_ansi(false)
        .with_target(false)
        .try_init();
    ring.write_to(std::io::stdout());
    if started.is_err() {
        tracing::debug!(event = "logging_already_started");
    }
    ring
}

fn level() -> EnvFilter {
    EnvFilter::try_from_env(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging to standard error. The level comes from `CAMPHORWALL_LOG` (default `info`).
pub fn init_logging() {
    let started = tracing_subscriber::fmt()
        .with_env_filter(level())
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false)
        .try_init();
    if started.is_err() {
        tracing::debug!(event = "logging_already_started");
    }
}
