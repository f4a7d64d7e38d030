//! What processes tell each other of the documents in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{DocumentDigest, DocumentName, Item, ItemId};
use crate::Revision;

/// Revision and content that a process has in force of one document.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldDocument {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of its items.
    pub digest: DocumentDigest,
}

/// What stays in force of an item whose text in the newest revision is refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeptItem {
    /// The item's identity.
    pub id: ItemId,
    /// Newest earlier revision that is known.
    pub revision: Revision,
    /// The item at that revision; absent when it did not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Box<RawValue>>,
}

impl DocumentUpdate {
    /// Bytes of its items, for the limit of a message.
    #[must_use]
    pub fn item_bytes(&self) -> usize {
        let items = self.items.values().flatten();
        items.map(|item| item.get().len()).sum()
    }
}

impl KeptItem {
    /// The item, if it existed.
    pub(super) fn read(&self) -> Result<Option<Item>, String> {
        let Some(text) = &self.item else {
            return Ok(None);
        };
        let item = Item::parse(self.id.table(), text)?;
        if item.id() == self.id {
            Ok(Some(item))
        } else {
            Err(format!("{} is no {}", item.id(), self.id))
        }
    }
}

/// A document as one process has it in force, whole or as the change from an earlier revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentUpdate {
    /// The document.
    pub name: DocumentName,
    /// Revision in force.
    pub revision: Revision,
    /// Revision that the change starts from; absent when the update is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Revision>,
    /// Items by table: all, or the changed ones.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub items: BTreeMap<String, Vec<Box<RawValue>>>,
    /// Items that are gone since `from`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<ItemId>,
    /// Items of this revision that are refused, with the reason.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub refused: BTreeMap<ItemId, String>,
    /// Earlier values of refused items.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<KeptItem>,
    /// Digest of the sender's items.
    pub digest: DocumentDigest,
}
