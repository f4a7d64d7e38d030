//! Published configuration: the documents in force at this process, and how it receives them.
//!
//! Two entries of each data centre read the configuration service; all other processes follow peers, so that the
//! service's load grows with the data centres and not with the instances. A starting process queries several peers
//! before it serves.

mod follower;
mod pulse;
mod reader;
mod relay;
mod sources;
mod startup;
mod store;

pub(crate) use follower::Follower;
pub(crate) use sources::instance_at;
pub(crate) use store::PublishedStore;

#[cfg(test)]
#[path = "history_tests.rs"]
mod history_tests;
