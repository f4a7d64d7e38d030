//! Membership and ownership of keys within a group of processes.

mod group;
mod heartbeats;
mod lease;
mod member;
mod promises;

pub(crate) use group::{Group, Ownership};
pub(crate) use heartbeats::{answer_heartbeat, send_goodbyes, send_heartbeats};
#[cfg(test)]
pub(crate) use member::{DropRule, PromiseAges, are_promises_expired};
#[cfg(test)]
pub(crate) use promises::{Identity, Outgoing, PromiseRules, Promises};
