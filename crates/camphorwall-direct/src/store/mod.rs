//! Keeps the configuration and the endpoints' registrations up to date. A few entries of each data centre read the
//! configuration store, and the others follow these.

mod call;
mod follow;
mod mirror;
mod readers;
mod relay;

#[cfg(test)]
mod follow_tests;
#[cfg(test)]
mod mirror_tests;
#[cfg(test)]
mod readers_tests;
#[cfg(test)]
mod relay_tests;

pub(crate) use follow::follow;
pub(crate) use mirror::StoreMirror;
pub(crate) use readers::{CentreKey, Neighbour, centre_key};
pub(crate) use relay::answer_follower;
