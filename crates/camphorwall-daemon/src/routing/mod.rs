//! Chooses endpoints for requests, by reported load, data centre and cached prefixes.

mod endpoint_state;
mod index;
mod prefixes;
mod router;

pub(crate) use prefixes::{PIECE_TOKENS, pieces};
pub(crate) use router::{Router, RoutingRequest};
