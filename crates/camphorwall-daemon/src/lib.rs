//! The camphorwall daemon. It runs in one of two roles: an entry admits callers' requests and routes them; an endpoint
//! daemon runs beside one endpoint and is the only access to it.

#[doc(hidden)]
pub mod bench;
mod budget;
mod daemon;
mod datagrams;
mod deployment;
mod endpoint;
mod entry;
#[cfg(test)]
mod histories;
mod ledger;
mod membership;
mod metrics;
mod operator;
mod published;
mod quarantine;
mod request;
mod routing;

pub use daemon::{Daemon, StartError};
