//! Copy of the endpoints' registrations in the store, kept by a reader for the entries that follow it.

use std::{collections::HashMap, time::Duration};

use futures_channel::oneshot;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Moment,
    dialect::{StoreItem, StoreRevision},
};

/// Maximum number of removals that are kept. A follower that lacks an older one gets all registrations.
const MAX_REMOVALS: usize = 256;

/// One registration as it was written, or its removal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangedItem {
    pub(crate) key: Box<str>,
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) revision: StoreRevision,
}

/// The endpoints' registrations as they are in the store.
#[derive(Debug, Default)]
pub(crate) struct StoreMirror {
    registrations: HashMap<Box<str>, ChangedItem>,
    /// Revision of the store up to which all changes are known.
    revision: StoreRevision,
    /// Moment up to which all changes are known.
    known_to: Option<Moment>,
    /// Removals up to this revision may have been dropped.
    dropped_revision: StoreRevision,
    waiting: Vec<oneshot::Sender<()>>,
}

impl StoreMirror {
    /// Records a registration or its removal, unless a newer revision is known.
    pub(crate) fn note_registration(&mut self, item: &StoreItem) {
        let known = self.registrations.get(&item.key);
        if known.is_none_or(|known| known.revision < item.revision) {
            let changed = ChangedItem {
                key: item.key.clone(),
                value: item.value.as_ref().map(|value| value.to_vec()),
                revision: item.revision,
            };
            self.registrations.insert(item.key.clone(), changed);
        }
    }

    /// Applies a complete list: registrations missing from it were removed by its revision.
    pub(crate) fn keep_only(&mut self, listed: &[Box<str>], revision: impl Into<StoreRevision>) {
        let revision = revision.into();
        for item in self.registrations.values_mut() {
            if item.value.is_some() && item.revision < revision && !listed.contains(&item.key) {
                item.value = None;
                item.revision = revision;
            }
        }
    }

    pub(crate) const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Age of the newest knowledge of the store.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.known_to.map(|known_to| now.since(known_to))
    }

    /// Records that all changes up to a revision and a moment are known, and wakes waiting followers, even if neither is
    /// newer.
    pub(crate) fn advance(&mut self, revision: impl Into<StoreRevision>, known_to: Option<Moment>) {
        let revision = revision.into();
        self.known_to = self.known_to.max(known_to);
        if revision > self.revision {
            self.revision = revision;
            self.drop_old_removals();
        }
        self.wake_followers();
    }

    /// Wakes waiting followers.
    pub(crate) fn wake_followers(&mut self) {
        for waiting in self.waiting.drain(..) {
            // The follower may have closed its call.
            let _ = waiting.send(());
        }
    }

    /// Returns a receiver that resolves at the store's next answer, whether it contains changes or not.
    pub(crate) fn next_update(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.retain(|waiting| !waiting.is_canceled());
        self.waiting.push(sender);
        receiver
    }

    /// The registrations that changed after a revision; `None` if removals since then have been dropped.
    pub(crate) fn changes(&self, after: impl Into<StoreRevision>) -> Option<Vec<ChangedItem>> {
        let after = after.into();
        let all = self.registrations.values();
        let changed = all.filter(|item| item.revision > after);
        (after >= self.dropped_revision).then(|| changed.cloned().collect())
    }

    /// All registrations of the present era. Of those that were lost with the era before, nothing is known.
    pub(crate) fn registered(&self) -> Vec<ChangedItem> {
        let all = self.registrations.values();
        let present =
            all.filter(|item| item.value.is_some() && item.revision.era == self.revision.era);
        present.cloned().collect()
    }

    fn drop_old_removals(&mut self) {
        let all = self.registrations.values();
        let removed = all.filter(|item| item.value.is_none());
        let mut removed: Vec<StoreRevision> = removed.map(|item| item.revision).collect();
        if removed.len() <= MAX_REMOVALS {
            return;
        }
        removed.sort_unstable();
        let dropped_revision = removed[removed.len() - MAX_REMOVALS / 2];
        self.registrations
            .retain(|_, item| item.value.is_some() || item.revision > dropped_revision);
        self.dropped_revision = self.dropped_revision.max(dropped_revision);
    }
}
