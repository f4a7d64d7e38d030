//! Messages by which processes relay the documents in force to each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{DocumentDigest, DocumentName, Item, ItemId};
use crate::Revision;

/// Revision and content digest of one document that a process has in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldDocument {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of its items.
    pub digest: DocumentDigest,
}

/// Value that stays in force for an item whose text in the newest revision is refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeptItem {
    /// The item's identity.
    pub id: ItemId,
    /// Newest earlier revision that the sender knows.
    pub revision: Revision,
    /// The item at that revision; absent when the revision did not contain it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Box<RawValue>>,
}

impl DocumentUpdate {
    /// Returns the size of the items in bytes, to limit the size of a message.
    #[must_use]
    pub fn item_bytes(&self) -> usize {
        let items = self.items.values().flatten();
        items.map(|item| item.get().len()).sum()
    }
}

impl KeptItem {
    /// Parses the item; `None` when the revision did not contain it.
    pub(super) fn read(&self) -> Result<Option<Item>, String> {
        let Some(text) = &self.item else {
            return Ok(None);
        };
        let item = Item::parse(self.id.table(), text)?;
        if item.id() == self.id {
            Ok(Some(item))
        } else {
            Err(format!(
                "item {} does not have the identity {}",
                item.id(),
                self.id
            ))
        }
    }
}

/// A document in force at the sender: in full, or as a delta from an earlier revision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentUpdate {
    /// The document.
    pub name: DocumentName,
    /// Revision in force.
    pub revision: Revision,
    /// Revision that the delta starts from; absent when the update is the full document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Revision>,
    /// Items by table: all of them, or the changed ones of a delta.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub items: BTreeMap<String, Vec<Box<RawValue>>>,
    /// Items that were removed since `from`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<ItemId>,
    /// Refused items of this revision, with the reason.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub refused: BTreeMap<ItemId, String>,
    /// Earlier values of refused items.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<KeptItem>,
    /// Digest of the sender's items.
    pub digest: DocumentDigest,
}
