//! Messages by which processes relay published documents to each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DocumentName, DocumentUpdate, HeldDocument};

/// JSON-RPC method of [`DocumentsQuery`].
pub const METHOD_DOCUMENTS: &str = "documents";

/// Requests the documents that the receiver has in force and the sender lacks. While there are none, the receiver
/// delays its answer (long polling).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DocumentsQuery {
    /// Digest in the receiver's last answer; 0 in the first query.
    #[serde(default)]
    pub known: u64,
    /// Documents that the sender has in force; absent when it has everything up to `known`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<BTreeMap<DocumentName, HeldDocument>>,
    /// Maximum time that the receiver may wait for a change before it answers.
    pub wait_ms: u64,
    /// Address of the sender if it is an entry, for receivers that can no longer reach any other entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry_address: Option<std::net::SocketAddr>,
}

/// Answer to [`DocumentsQuery`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DocumentsReply {
    /// Digest over all documents that the receiver has in force.
    pub digest: u64,
    /// Whether `known` is too old to compute the changes since then; the sender must repeat the query with `held`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unknown: bool,
    /// Whether the changes exceed one answer; the sender must repeat the query with `held`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_more: bool,
    /// Documents whose revision is higher, or whose content differs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<DocumentUpdate>,
    /// Time since the configuration service last confirmed these documents, as far as the receiver knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed_ago_ms: Option<u64>,
    /// Time since the receiver itself last read the configuration service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_ago_ms: Option<u64>,
}
