//! What an entry knows of the newest configuration in the store.

use std::time::Duration;

use crate::{clock::Moment, dialect::UnreadableConfiguration};

/// What an entry knows of the newest configuration in the store. Revisions are those of the store.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTracker {
    /// Revision of the configuration that was read last.
    read_revision: u64,
    /// Revision up to which there is no configuration newer than the one that came last, whether it could be read or not;
    /// `None` before the first read.
    confirmed_to: Option<u64>,
    /// A newer configuration was written after this revision.
    changed_after: Option<u64>,
    /// When the first sign of the newer configuration came.
    outdated_since: Option<Moment>,
    /// A configuration newer than the one that was read last that can't be put in force.
    stuck: Option<StuckConfiguration>,
}

/// A configuration that came from the store and can't be put in force.
#[derive(Debug)]
pub(crate) struct StuckConfiguration {
    revision: u64,
    pub(crate) since: Moment,
    pub(crate) cause: UnreadableConfiguration,
}

impl StuckConfiguration {
    /// Its version, or its revision in the store if the version could not be read.
    pub(crate) fn version(&self) -> u64 {
        self.cause.version.unwrap_or(self.revision)
    }
}

impl ConfigurationTracker {
    pub(crate) const fn read_revision(&self) -> u64 {
        self.read_revision
    }

    /// Revision up to which the configuration that was read last is known to be the newest.
    pub(crate) fn confirmed_to(&self) -> Option<u64> {
        let before_stuck = self.stuck.as_ref().map(|stuck| stuck.revision - 1);
        let confirmed_to = self.confirmed_to?;
        Some(before_stuck.map_or(confirmed_to, |before| before.min(confirmed_to)))
    }

    /// The newer configuration that can't be put in force.
    pub(crate) const fn stuck(&self) -> Option<&StuckConfiguration> {
        self.stuck.as_ref()
    }

    /// Revision up to which no newer configuration has to be read; `None` while one must be.
    pub(crate) fn newest_to(&self) -> Option<u64> {
        self.confirmed_to.filter(|_| !self.needs_read())
    }

    /// Revision after which a configuration was written that is not in force.
    pub(crate) fn changed_after(&self) -> Option<u64> {
        let stuck = self.stuck.as_ref().map(|stuck| stuck.revision - 1);
        let unread = self.changed_after.filter(|_| self.is_unread());
        stuck.max(unread)
    }

    /// Records that a configuration was read. It is the newest one at least up to its own revision.
    pub(crate) fn note_read(&mut self, revision: u64) {
        self.read_revision = self.read_revision.max(revision);
        self.stuck = self.stuck.take().filter(|stuck| stuck.revision > revision);
        self.confirm(revision);
    }

    /// Records that a configuration came that can't be put in force. Until a newer one is, what is in force is not the
    /// newest, however often the store confirms that nothing has changed since. Returns whether this was not known.
    pub(crate) fn note_stuck(
        &mut self,
        revision: u64,
        cause: UnreadableConfiguration,
        now: Moment,
    ) -> bool {
        let known = self.stuck.as_ref().map_or(0, |stuck| stuck.revision);
        if revision <= known.max(self.read_revision) {
            return false;
        }
        let since = *self.outdated_since.get_or_insert(now);
        self.stuck = Some(StuckConfiguration {
            revision,
            since,
            cause,
        });
        self.confirm(revision);
        true
    }

    /// Records that there is no configuration newer than the one that came last, up to a revision.
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
        self.stuck.is_some() || self.is_unread()
    }

    /// Whether there is a newer configuration that has not come yet.
    fn is_unread(&self) -> bool {
        self.changed_after
            .is_some_and(|after| self.confirmed_to.is_none_or(|known| known <= after))
    }

    /// Time since the first sign of a newer configuration that hasn't been read yet.
    pub(crate) fn outdated_for(&self, now: Moment) -> Option<Duration> {
        self.outdated_since.map(|since| now.since(since))
    }

    /// Whether the configuration must be read.
    pub(crate) fn needs_read(&self) -> bool {
        self.confirmed_to.is_none() || self.is_unread()
    }
}
