//! What is in force of one document.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{
    Document, DocumentError, DocumentName, DocumentUpdate, Item, ItemId, KeptItem,
    item::tables,
    parsed::{Held, Parsed, parse},
};
use crate::Revision;

/// Changes remembered for those who are a little behind.
const MAX_STEPS: usize = 64;

/// A change of more items than this is sent whole.
const MAX_STEP_ITEMS: usize = 1_024;

/// Digest over the items in force; equal ones mean equal contents.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DocumentDigest(pub u64);

struct Step {
    from: Revision,
    changed: Vec<ItemId>,
}

/// Items in force of one document, with what is needed to tell others of its changes.
#[derive(Default)]
pub(super) struct Part {
    pub(super) revision: Revision,
    items: BTreeMap<ItemId, Held>,
    /// Items of an earlier revision that stay in force, since the one of this revision is refused.
    kept: BTreeMap<ItemId, Revision>,
    refused: BTreeMap<ItemId, String>,
    digest: u64,
    steps: VecDeque<Step>,
    /// Items that changed and are not in the tables yet, with their values before.
    changed: Vec<ChangedItem>,
}

/// An item that changed, with its value before.
pub(super) type ChangedItem = (ItemId, Option<Rc<Item>>);

impl Part {
    pub(super) const fn digest(&self) -> DocumentDigest {
        DocumentDigest(self.digest)
    }

    pub(super) fn item(&self, id: &ItemId) -> Option<Rc<Item>> {
        self.items.get(id).map(|held| Rc::clone(&held.item))
    }

    /// Items that changed since this was last asked.
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

    /// Takes a published document with a higher revision into force.
    pub(super) fn apply(&mut self, document: &Document) -> Result<(), DocumentError> {
        let parsed = parse(document)?;
        let next = self.keep_refused(parsed, &[]);
        self.commit(document.revision, next);
        Ok(())
    }

    /// Takes what another process has in force. Returns `false` when nothing changed, or a delta does not fit.
    pub(super) fn apply_update(&mut self, update: &DocumentUpdate) -> Result<bool, String> {
        let kind_tables = tables(update.name.kind());
        let mut parsed = Parsed {
            refused: update.refused.clone(),
            ..Parsed::default()
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
            Some(from) => Err(format!("the change starts from revision {from}")),
        }
    }

    fn apply_delta(&mut self, update: &DocumentUpdate, mut parsed: Parsed) -> Result<bool, String> {
        let mut items = self.items.clone();
        items.retain(|id, _| !parsed.refused.contains_key(id) && !update.removed.contains(id));
        items.extend(std::mem::take(&mut parsed.items));
        let next = Parsed { items, ..parsed };
        let next = self.keep_refused(next, &update.kept);
        if next.digest() != update.digest.0 {
            return Err("the change does not lead to the sender's content".into());
        }
        self.commit(update.revision, next);
        Ok(true)
    }

    /// Adds the newest earlier values of refused items: the own ones and those that another process offers.
    fn keep_refused(&self, mut next: Parsed, offered: &[KeptItem]) -> Parsed {
        next.keep_refused(|id| (self.known_before(id), self.items.get(id).cloned()));
        next.merge_kept(offered);
        next
    }

    /// Newest revision of which this process knows what an item was.
    fn known_before(&self, id: &ItemId) -> Revision {
        self.kept.get(id).copied().unwrap_or(self.revision)
    }

    fn commit(&mut self, revision: Revision, next: Parsed) {
        let changed = changed_ids(&self.items, &next.items);
        let before = |id: &ItemId| (id.clone(), self.item(id));
        self.changed = changed.iter().map(before).collect();
        self.note_step(changed);
        self.digest = next.digest();
        self.items = next.items;
        self.refused = next.refused;
        self.kept = next.kept;
        self.revision = revision;
    }

    /// Takes newer values of refused items that another process still has.
    fn merge_kept(&mut self, offered: &[KeptItem]) -> bool {
        let mut next = Parsed {
            items: self.items.clone(),
            kept: self.kept.clone(),
            refused: self.refused.clone(),
        };
        if !next.merge_kept(offered) {
            return false;
        }
        self.commit(self.revision, next);
        // A delta within one revision can't be told.
        self.steps.clear();
        true
    }

    fn note_step(&mut self, changed: Vec<ItemId>) {
        if changed.len() > MAX_STEP_ITEMS {
            self.steps.clear();
            return;
        }
        self.steps.push_back(Step {
            from: self.revision,
            changed,
        });
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
    }

    /// What one who holds revision `from` lacks; whole when it is too far behind.
    pub(super) fn update(&self, name: &DocumentName, from: Option<Revision>) -> DocumentUpdate {
        let from = from.filter(|from| *from > Revision(0));
        let start = from.and_then(|from| self.steps.iter().position(|step| step.from == from));
        let from = start.and(from);
        let changed: BTreeSet<&ItemId> = match start {
            Some(start) => self
                .steps
                .range(start..)
                .flat_map(|step| &step.changed)
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
            item: self.items.get(id).and_then(Held::text),
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

fn changed_ids(old: &BTreeMap<ItemId, Held>, new: &BTreeMap<ItemId, Held>) -> Vec<ItemId> {
    let is_other = |id: &ItemId, held: &Held| old.get(id).is_none_or(|old| old.hash != held.hash);
    let set = new.iter().filter(|(id, held)| is_other(id, held));
    let removed = old.iter().filter(|(id, _)| !new.contains_key(*id));
    set.chain(removed).map(|(id, _)| id.clone()).collect()
}
