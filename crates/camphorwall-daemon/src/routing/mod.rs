//! Choice of endpoints.

mod endpoint_state;
mod index;
mod prefixes;
mod router;

pub(crate) use prefixes::{PIECE_TOKENS, pieces};
pub(crate) use router::{Router, RoutingRequest};
