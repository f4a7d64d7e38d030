//! Readiness, status and recorded decisions of an instance, for operators and probes.

mod decisions;
mod peer_handler;
mod status;

pub(crate) use decisions::Decisions;
pub(crate) use peer_handler::peer_handler;
pub(crate) use status::status;
use status::{READY_PATH, ready_response};
