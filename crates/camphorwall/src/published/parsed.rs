//! Parses a document item by item, so that an invalid item does not invalidate the others.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    rc::Rc,
};

use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Document, DocumentError, Item, ItemId, KeptItem,
    item::{claimed_id, main_table, tables},
};
use crate::Revision;

/// Table whose refused items don't keep their previous value, so that no key works unless it is published.
const KEYS: &str = "keys";

/// One item in force.
#[derive(Clone)]
pub(super) struct HeldItem {
    pub(super) item: Rc<Item>,
    pub(super) hash: u64,
}

/// Content of one revision of a document.
#[derive(Default)]
pub(super) struct ParsedDocument {
    pub(super) items: BTreeMap<ItemId, HeldItem>,
    /// Refused items, with the earlier revision whose value (or absence) stays in force.
    pub(super) kept: BTreeMap<ItemId, Revision>,
    /// Refused items, with the reason.
    pub(super) refused: BTreeMap<ItemId, String>,
}

impl HeldItem {
    fn new(item: Item) -> Self {
        Self {
            hash: item.hash(),
            item: Rc::new(item),
        }
    }

    pub(super) fn text(&self) -> Option<Box<RawValue>> {
        serde_json::value::to_raw_value(self.item.as_ref()).ok()
    }
}

impl ParsedDocument {
    /// Adds the items of a table; invalid ones are refused.
    pub(super) fn add(&mut self, table: &str, texts: &[Box<RawValue>]) {
        for (position, text) in texts.iter().enumerate() {
            match Item::parse(table, text) {
                Ok(item) => self.insert(position, item),
                Err(reason) => {
                    self.refused
                        .insert(claimed_id(table, position, text), reason);
                }
            }
        }
    }

    /// Inserts an item. Of two items with one identity, the second is refused.
    fn insert(&mut self, position: usize, item: Item) {
        let id = item.id();
        let duplicate = ItemId::by_position(id.table(), position);
        match self.items.entry(id) {
            Entry::Occupied(first) => {
                let id = first.key();
                let reason =
                    format!("{id} appears twice and the first one is in force; remove one");
                self.refused.insert(duplicate, reason);
            }
            Entry::Vacant(free) => {
                free.insert(HeldItem::new(item));
            }
        }
    }

    /// Keeps the value that a refused item had at an earlier revision.
    fn keep(&mut self, id: &ItemId, revision: Revision, held: Option<HeldItem>) {
        self.kept.insert(id.clone(), revision);
        match held {
            Some(held) => self.items.insert(id.clone(), held),
            None => self.items.remove(id),
        };
    }

    /// Keeps the earlier values of the refused items; `before` returns the newest earlier revision known of an item,
    /// and its value there.
    pub(super) fn keep_refused(
        &mut self,
        before: impl Fn(&ItemId) -> (Revision, Option<HeldItem>),
    ) {
        let is_kept = |id: &&ItemId| id.table() != KEYS && !self.items.contains_key(*id);
        let ids: Vec<_> = self.refused.keys().filter(is_kept).cloned().collect();
        for id in ids {
            let (revision, held) = before(&id);
            self.keep(&id, revision, held);
        }
    }

    /// Adopts offered values of refused items that are from a newer revision than the kept ones. Returns whether any
    /// value changed.
    pub(super) fn merge_kept(&mut self, offered: &[KeptItem]) -> bool {
        let mut is_changed = false;
        for one in offered {
            let local = self.kept.get(&one.id);
            let is_newer = local.is_some_and(|local| *local < one.revision);
            if let (true, Ok(item)) = (is_newer, one.read()) {
                self.keep(&one.id, one.revision, item.map(HeldItem::new));
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns the digest over the items and the revisions of the kept ones.
    pub(super) fn digest(&self) -> u64 {
        let kept = |(id, revision): (&ItemId, &Revision)| {
            xxh3_64_with_seed(id.to_string().as_bytes(), revision.get())
        };
        let items = self.items.values().map(|held| held.hash);
        let hashes = items.chain(self.kept.iter().map(kept));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}

/// Parses a document; an invalid item is refused, and the others are not affected.
pub(super) fn parse(document: &Document) -> Result<ParsedDocument, DocumentError> {
    let invalid = |message: String| DocumentError::Invalid {
        name: document.name.to_string(),
        revision: document.revision,
        message,
    };
    let kind = document.name.kind();
    let body: BTreeMap<String, Vec<Box<RawValue>>> =
        serde_json::from_str(document.body.get()).map_err(|error| invalid(error.to_string()))?;
    if !body.contains_key(main_table(kind)) {
        return Err(invalid(format!("field {}: missing", main_table(kind))));
    }
    let mut parsed = ParsedDocument::default();
    for (table, texts) in &body {
        if !tables(kind).contains(&table.as_str()) {
            return Err(invalid(format!("field {table}: unknown, remove it")));
        }
        parsed.add(table, texts);
    }
    Ok(parsed)
}
