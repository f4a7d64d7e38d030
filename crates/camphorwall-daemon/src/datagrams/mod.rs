//! Asks and replies of one datagram each, beside the heartbeats at the same socket.

mod query_client;
mod query_responder;
mod receive;

pub(crate) use query_client::{QueryClient, RetryPolicy};
pub(crate) use query_responder::{QueryResponder, query_responder};
pub(crate) use receive::DatagramReceiver;
#[cfg(test)]
mod bytes_tests;
