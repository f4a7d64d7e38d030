//! What an entry knows of the store's items, for the entries that follow it.

use std::collections::HashMap;

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};

use crate::dialect::StoreItem;

/// Removals that are remembered. A follower that lacks an older one lists the store.
const MAX_REMOVALS: usize = 256;

/// One registration as it was written, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangedItem {
    pub(crate) key: Box<str>,
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) revision: u64,
}

/// The endpoints' registrations as the store has them, and how new the configuration is. Configurations are large and
/// seldom, so followers read them from the store themselves.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    registrations: HashMap<Box<str>, ChangedItem>,
    configuration_revision: u64,
    /// Store's revision up to which all changes are known.
    revision: u64,
    /// Removals up to this revision may be forgotten.
    forgotten: u64,
    waiting: Vec<oneshot::Sender<()>>,
}

impl StoreMirror {
    /// Takes a registration over, or its removal.
    pub(crate) fn note_registration(&mut self, item: &StoreItem) {
        let known = self.registrations.get(&item.key);
        if known.is_none_or(|known| known.revision < item.revision) {
            let told = ChangedItem {
                key: item.key.clone(),
                value: item.value.clone(),
                revision: item.revision,
            };
            self.registrations.insert(item.key.clone(), told);
        }
    }

    /// Takes a whole list over: registrations that it lacks were removed by then.
    pub(crate) fn keep_only(&mut self, listed: &[Box<str>], revision: u64) {
        for held in self.registrations.values_mut() {
            if held.value.is_some() && held.revision < revision && !listed.contains(&held.key) {
                held.value = None;
                held.revision = revision;
            }
        }
    }

    /// Notes a revision of the configuration.
    pub(crate) fn note_configuration(&mut self, revision: u64) {
        self.configuration_revision = self.configuration_revision.max(revision);
    }

    pub(crate) const fn configuration_revision(&self) -> u64 {
        self.configuration_revision
    }

    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that all changes up to a revision are known, and wakes those who wait for this.
    pub(crate) fn advance(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.forget_removals();
        }
        for waiting in self.waiting.drain(..) {
            // A follower that has left needs no word.
            let _ = waiting.send(());
        }
    }

    /// Resolves when the store has answered anew, with changes or without.
    pub(crate) fn next_update(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.retain(|waiting| !waiting.is_canceled());
        self.waiting.push(sender);
        receiver
    }

    /// The registrations that changed after a revision; `None` where removals since then are forgotten.
    pub(crate) fn changes(&self, after: u64) -> Option<Vec<ChangedItem>> {
        let all = self.registrations.values();
        let changed = all.filter(|held| held.revision > after);
        (after >= self.forgotten).then(|| changed.cloned().collect())
    }

    fn forget_removals(&mut self) {
        let all = self.registrations.values();
        let removed = all.filter(|held| held.value.is_none());
        let mut removed: Vec<u64> = removed.map(|held| held.revision).collect();
        if removed.len() <= MAX_REMOVALS {
            return;
        }
        removed.sort_unstable();
        let forgotten = removed[removed.len() - MAX_REMOVALS / 2];
        self.registrations
            .retain(|_, held| held.value.is_some() || held.revision > forgotten);
        self.forgotten = self.forgotten.max(forgotten);
    }
}
