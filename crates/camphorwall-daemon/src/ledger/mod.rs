//! At-most-once execution of calls that are not idempotent.
//!
//! Each idempotency key has one owner among the endpoint daemons of its service. The owner records the key before it
//! permits a replica to run the call, keeps the outcome, and returns it to every repeated call.

mod frames;
mod hand_over;
mod idempotency_key;
mod permit;
mod record_store;
mod service;

pub(crate) use idempotency_key::{KEY_HEADER, KeyError, content_digest, key_and_issue_time};
pub(crate) use service::LedgerService;
