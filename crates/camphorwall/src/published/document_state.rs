//! Items of one document that are in force at this process.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{
    Document, DocumentError, DocumentName, DocumentUpdate, Item, ItemId, KeptItem,
    item::tables,
    parsed::{HeldItem, ParsedDocument, parse},
};
use crate::Revision;

/// Maximum number of deltas that are kept, for peers that are a few revisions behind.
const MAX_DELTAS: usize = 64;

/// A revision that changes more items than this is relayed as a full document instead of a delta.
const MAX_DELTA_ITEMS: usize = 1_024;

/// Digest over the items of one document in force; equal digests mean equal contents.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DocumentDigest(pub u64);

/// Items that changed between revision `from` and the next one.
struct Delta {
    from: Revision,
    changed: Vec<ItemId>,
}

/// Items of one document in force, with the recent deltas that peers may lack.
#[derive(Default)]
pub(super) struct DocumentState {
    pub(super) revision: Revision,
    items: BTreeMap<ItemId, HeldItem>,
    /// Earlier revisions of items whose value in this revision is refused, so that the earlier value stays in force.
    kept: BTreeMap<ItemId, Revision>,
    refused: BTreeMap<ItemId, String>,
    digest: u64,
    deltas: VecDeque<Delta>,
    /// Changed items that were not applied to the tables yet, with their previous values.
    changed: Vec<ChangedItem>,
}

/// A changed item, with its previous value.
pub(super) type ChangedItem = (ItemId, Option<Rc<Item>>);

impl DocumentState {
    pub(super) const fn digest(&self) -> DocumentDigest {
        DocumentDigest(self.digest)
    }

    pub(super) fn item(&self, id: &ItemId) -> Option<Rc<Item>> {
        self.items.get(id).map(|held| Rc::clone(&held.item))
    }

    /// Takes the items that changed since the last call.
    pub(super) fn take_changed(&mut self) -> Vec<ChangedItem> {
        std::mem::take(&mut self.changed)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &ItemId> {
        self.items.keys()
    }

    pub(super) fn has(&self, id: &ItemId) -> bool {
        self.items.contains_key(id)
    }

    pub(super) const fn refused(&self) -> &BTreeMap<ItemId, String> {
        &self.refused
    }

    /// Puts a published document with a higher revision into force.
    pub(super) fn apply(&mut self, document: &Document) -> Result<(), DocumentError> {
        let parsed = parse(document)?;
        let next = self.keep_refused(parsed, &[]);
        self.commit(document.revision, next);
        Ok(())
    }

    /// Adopts an update from a peer. Returns `false` when nothing changed.
    ///
    /// # Errors
    /// When the update has an unknown table, or is a delta that does not fit the state of this process.
    pub(super) fn apply_update(&mut self, update: &DocumentUpdate) -> Result<bool, String> {
        let kind_tables = tables(update.name.kind());
        let mut parsed = ParsedDocument {
            refused: update.refused.clone(),
            ..ParsedDocument::default()
        };
        for (table, texts) in &update.items {
            if !kind_tables.contains(&table.as_str()) {
                return Err(format!("there is no table {table:?}"));
            }
            parsed.add(table, texts);
        }
        match update.from {
            _ if update.revision < self.revision => Ok(false),
            _ if update.revision == self.revision => Ok(self.merge_kept(&update.kept)),
            None => {
                let next = self.keep_refused(parsed, &update.kept);
                self.commit(update.revision, next);
                Ok(true)
            }
            Some(from) if from == self.revision => self.apply_delta(update, parsed),
            Some(from) => Err(format!(
                "the change starts from revision {from}, which is not in force"
            )),
        }
    }

    fn apply_delta(
        &mut self,
        update: &DocumentUpdate,
        mut parsed: ParsedDocument,
    ) -> Result<bool, String> {
        let mut items = self.items.clone();
        items.retain(|id, _| !parsed.refused.contains_key(id) && !update.removed.contains(id));
        items.extend(std::mem::take(&mut parsed.items));
        let next = ParsedDocument { items, ..parsed };
        let next = self.keep_refused(next, &update.kept);
        if next.digest() != update.digest.0 {
            return Err("the changed content does not match the sender's digest".into());
        }
        self.commit(update.revision, next);
        Ok(true)
    }

    /// Adds the newest earlier values of refused items, from this process or from those that a peer offers.
    fn keep_refused(&self, mut next: ParsedDocument, offered: &[KeptItem]) -> ParsedDocument {
        next.keep_refused(|id| (self.newest_known_revision(id), self.items.get(id).cloned()));
        next.merge_kept(offered);
        next
    }

    /// Returns the newest earlier revision at which this process knows the value of an item.
    fn newest_known_revision(&self, id: &ItemId) -> Revision {
        self.kept.get(id).copied().unwrap_or(self.revision)
    }

    fn commit(&mut self, revision: Revision, next: ParsedDocument) {
        let changed = changed_ids(&self.items, &next.items);
        let before = |id: &ItemId| (id.clone(), self.item(id));
        self.changed = changed.iter().map(before).collect();
        self.record_delta(changed);
        self.digest = next.digest();
        self.items = next.items;
        self.refused = next.refused;
        self.kept = next.kept;
        self.revision = revision;
    }

    /// Adopts the earlier values of refused items that a peer offers from a newer revision than those kept here.
    fn merge_kept(&mut self, offered: &[KeptItem]) -> bool {
        let mut next = ParsedDocument {
            items: self.items.clone(),
            kept: self.kept.clone(),
            refused: self.refused.clone(),
        };
        if !next.merge_kept(offered) {
            return false;
        }
        self.commit(self.revision, next);
        // A delta starts from a revision, so it can't express a change within one.
        self.deltas.clear();
        true
    }

    fn record_delta(&mut self, changed: Vec<ItemId>) {
        if changed.len() > MAX_DELTA_ITEMS {
            self.deltas.clear();
            return;
        }
        self.deltas.push_back(Delta {
            from: self.revision,
            changed,
        });
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
    }

    /// Returns what a peer with revision `from` lacks: a delta, or the full document when it is too far behind.
    pub(super) fn update(&self, name: &DocumentName, from: Option<Revision>) -> DocumentUpdate {
        let from = from.filter(|from| *from > Revision(0));
        let start = from.and_then(|from| self.deltas.iter().position(|delta| delta.from == from));
        let from = start.and(from);
        let changed: BTreeSet<&ItemId> = match start {
            Some(start) => self
                .deltas
                .range(start..)
                .flat_map(|delta| &delta.changed)
                .collect(),
            None => self.items.keys().collect(),
        };
        let mut items: BTreeMap<String, Vec<Box<RawValue>>> = BTreeMap::new();
        let mut removed = Vec::new();
        for id in changed {
            match self.items.get(id) {
                Some(_) if self.kept.contains_key(id) => {}
                Some(held) => items
                    .entry(id.table().to_owned())
                    .or_default()
                    .extend(held.text()),
                None => removed.push(id.clone()),
            }
        }
        let kept = self.kept.iter().map(|(id, revision)| KeptItem {
            id: id.clone(),
            revision: *revision,
            item: self.items.get(id).and_then(HeldItem::text),
        });
        DocumentUpdate {
            name: name.clone(),
            revision: self.revision,
            from,
            items,
            removed,
            refused: self.refused.clone(),
            kept: kept.collect(),
            digest: self.digest(),
        }
    }
}

fn changed_ids(old: &BTreeMap<ItemId, HeldItem>, new: &BTreeMap<ItemId, HeldItem>) -> Vec<ItemId> {
    let is_changed =
        |id: &ItemId, held: &HeldItem| old.get(id).is_none_or(|old| old.hash != held.hash);
    let set = new.iter().filter(|(id, held)| is_changed(id, held));
    let removed = old.iter().filter(|(id, _)| !new.contains_key(*id));
    set.chain(removed).map(|(id, _)| id.clone()).collect()
}
