//! Errors of calls to other processes.

use std::{net::SocketAddr, time::Duration};

use snafu::Snafu;

/// A call to another process that returned no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum RpcError {
    /// No connection could be made; the message was never sent.
    #[snafu(display("{address}: not reachable: {message}; check that the instance runs"))]
    NotSent {
        /// Called address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// No answer came in time; the call may have had its effect.
    #[snafu(display("{address}: no answer within {timeout:?}; the call may have had its effect"))]
    Timeout {
        /// Called address.
        address: SocketAddr,
        /// Time for which the sender waited.
        timeout: Duration,
    },
    /// The connection broke; the call may have had its effect.
    #[snafu(display("{address}: connection broken: {message}; the call may have had its effect"))]
    Broken {
        /// Called address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The answer did not come from a process that holds the shared secret; the call may have had its effect.
    #[snafu(display(
        "{address}: the answer is not signed: {message}; check that both have the same 'peer_secrets', and the \
         command line --secret-file"
    ))]
    Unauthenticated {
        /// Called address.
        address: SocketAddr,
        /// Problem with the answer.
        message: String,
    },
    /// The called process refused the message.
    #[snafu(display("{address}: refused: {message}; check that both run compatible versions"))]
    Rejected {
        /// Called address.
        address: SocketAddr,
        /// Reason that the called process gave.
        message: String,
    },
}

impl RpcError {
    /// Whether the message certainly never reached the called process.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

/// Distinguishes a connection that was refused from one that broke later.
pub(super) fn not_sent_or_broken(
    address: SocketAddr,
    error: &(dyn std::error::Error + 'static),
) -> RpcError {
    let mut message = error.to_string();
    let mut is_connect = false;
    let mut cause = Some(error);
    while let Some(current) = cause {
        if let Some(io_error) = current.downcast_ref::<std::io::Error>() {
            is_connect |= io_error.kind() == std::io::ErrorKind::ConnectionRefused;
            message = io_error.to_string();
        }
        cause = current.source();
    }
    if is_connect {
        RpcError::NotSent { address, message }
    } else {
        RpcError::Broken { address, message }
    }
}
