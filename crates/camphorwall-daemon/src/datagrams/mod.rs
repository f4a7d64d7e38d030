//! Queries and replies between processes, one datagram each, on the socket that also carries heartbeats.

mod query_client;
mod query_responder;
mod receive;

pub(crate) use query_client::{QueryClient, RetryPolicy};
pub(crate) use query_responder::{QueryResponder, query_responder};
pub(crate) use receive::DatagramReceiver;
#[cfg(test)]
mod bytes_tests;
