//! JSON-RPC between the processes of the system.
//!
//! jsonrpsee's own servers and clients need another async runtime, so this module uses its core and types over
//! HTTP/1.1 on compio.

mod answer;
mod client;
mod credentials;
mod error;
mod server;

pub use answer::PeerResponse;
pub use client::RpcClient;
pub use error::RpcError;
pub use server::RpcServer;

/// Maximum size of a JSON-RPC message in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
