//! What an entry knows of the newest configuration in the store.

use std::time::Duration;

use crate::clock::Moment;

/// What an entry knows of the newest configuration in the store. Revisions are those of the store.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTracker {
    /// Revision of the configuration that was read last.
    read_revision: u64,
    /// Revision up to which there is no configuration newer than the one that was read last; `None` before the first
    /// read.
    confirmed_to: Option<u64>,
    /// A newer configuration was written after this revision.
    changed_after: Option<u64>,
    /// When the first sign of the newer configuration came.
    outdated_since: Option<Moment>,
}

impl ConfigurationTracker {
    pub(crate) const fn read_revision(&self) -> u64 {
        self.read_revision
    }

    pub(crate) const fn confirmed_to(&self) -> Option<u64> {
        self.confirmed_to
    }

    /// Revision up to which the configuration that was read last is the newest; `None` while a newer one must be read.
    pub(crate) fn newest_to(&self) -> Option<u64> {
        self.confirmed_to.filter(|_| !self.needs_read())
    }

    /// Revision after which a configuration was written that hasn't been read yet.
    pub(crate) fn changed_after(&self) -> Option<u64> {
        self.changed_after.filter(|_| self.is_outdated())
    }

    /// Records that a configuration was read. It is the newest one at least up to its own revision.
    pub(crate) fn note_read(&mut self, revision: u64) {
        self.read_revision = self.read_revision.max(revision);
        self.confirm(revision);
    }

    /// Records that the configuration that was read last is the newest one up to a revision.
    pub(crate) fn confirm(&mut self, revision: u64) {
        self.confirmed_to = self.confirmed_to.max(Some(revision));
        if !self.is_outdated() {
            self.outdated_since = None;
        }
    }

    /// Records that a configuration was written after a revision.
    pub(crate) fn note_change(&mut self, after: u64, now: Moment) {
        self.changed_after = self.changed_after.max(Some(after));
        if self.is_outdated() {
            self.outdated_since.get_or_insert(now);
        }
    }

    /// Records that a configuration may have been written since the last confirmation.
    pub(crate) fn suspect_change(&mut self, now: Moment) {
        self.note_change(self.confirmed_to.unwrap_or(0), now);
    }

    /// Whether there is a newer configuration than the one that was read last, as far as is known.
    pub(crate) fn is_outdated(&self) -> bool {
        self.changed_after
            .is_some_and(|after| self.confirmed_to.is_none_or(|known| known <= after))
    }

    /// Time since the first sign of a newer configuration that hasn't been read yet.
    pub(crate) fn outdated_for(&self, now: Moment) -> Option<Duration> {
        self.outdated_since.map(|since| now.since(since))
    }

    /// Whether the configuration must be read.
    pub(crate) fn needs_read(&self) -> bool {
        self.confirmed_to.is_none() || self.is_outdated()
    }
}
