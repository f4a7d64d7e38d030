//! What an entry knows of the newest configuration in the store.

use std::time::Duration;

use crate::{
    clock::Moment,
    dialect::{StoreRevision, UnreadableConfiguration},
};

/// What an entry knows of the newest configuration in the store. Revisions are those of the store.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTracker {
    /// Revision of the configuration that was read last.
    read_revision: StoreRevision,
    /// Revision up to which there is no configuration newer than the one that came last, whether it could be read or not;
    /// `None` before the first read.
    confirmed_to: Option<StoreRevision>,
    /// A newer configuration that is known to have been written.
    change: Option<KnownChange>,
    /// Moment before which a configuration may have been written unnoticed.
    doubted_at: Option<Moment>,
    /// When the first sign of the known newer configuration came.
    outdated_since: Option<Moment>,
    /// A configuration newer than the one that was read last that can't be put in force.
    stuck: Option<StuckConfiguration>,
    /// Era in which the store answers.
    era: u64,
    /// Newest version that was read in this era.
    read_version: Option<u64>,
    /// Newest version that the store had in this era, whether it could be read or not.
    known_version: u64,
    /// Newest version that the store had in an earlier era.
    earlier_version: u64,
}

/// A configuration that was written and has not come yet.
#[derive(Clone, Copy, Debug)]
struct KnownChange {
    /// It was written after this revision.
    after: StoreRevision,
    /// It was written before this moment.
    noted_at: Moment,
}

/// A configuration that came from the store and can't be put in force.
#[derive(Debug)]
pub(crate) struct StuckConfiguration {
    revision: StoreRevision,
    pub(crate) since: Moment,
    pub(crate) cause: UnreadableConfiguration,
}

impl StuckConfiguration {
    /// Its version, or its revision in the store if the version could not be read.
    pub(crate) fn version(&self) -> u64 {
        self.cause.version.unwrap_or(self.revision.number)
    }
}

impl ConfigurationTracker {
    pub(crate) const fn read_revision(&self) -> StoreRevision {
        self.read_revision
    }

    /// Revision up to which the configuration that was read last is known to be the newest.
    pub(crate) fn confirmed_to(&self) -> Option<StoreRevision> {
        let before_stuck = self.stuck.as_ref().map(|stuck| stuck.revision.before());
        let confirmed_to = self.confirmed_to?;
        Some(before_stuck.map_or(confirmed_to, |before| before.min(confirmed_to)))
    }

    /// The newer configuration that can't be put in force.
    pub(crate) const fn stuck(&self) -> Option<&StuckConfiguration> {
        self.stuck.as_ref()
    }

    /// Revision up to which no newer configuration has to be read; `None` while one must be.
    pub(crate) fn newest_to(&self) -> Option<StoreRevision> {
        self.confirmed_to.filter(|_| !self.needs_read())
    }

    /// Revision after which a configuration was written that is not in force.
    pub(crate) fn changed_after(&self) -> Option<StoreRevision> {
        let stuck = self.stuck.as_ref().map(|stuck| stuck.revision.before());
        stuck.max(self.unread_change().map(|change| change.after))
    }

    /// Records that a configuration was read. It is the newest one at least up to its own revision.
    pub(crate) fn note_read(&mut self, revision: impl Into<StoreRevision>) {
        let revision = revision.into();
        self.read_revision = self.read_revision.max(revision);
        self.stuck = self.stuck.take().filter(|stuck| stuck.revision > revision);
        self.confirm_to(revision);
    }

    /// Records that a configuration came that can't be put in force. Until a newer one is, what is in force is not the
    /// newest, however often the store confirms that nothing has changed since. Returns whether this was not known.
    pub(crate) fn note_stuck(
        &mut self,
        revision: impl Into<StoreRevision>,
        cause: UnreadableConfiguration,
        now: Moment,
    ) -> bool {
        let revision = revision.into();
        let known = self.stuck.as_ref().map(|stuck| stuck.revision);
        let known = known.unwrap_or_default();
        if revision <= known.max(self.read_revision) {
            return false;
        }
        self.known_version = self.known_version.max(cause.version.unwrap_or(0));
        let since = *self.outdated_since.get_or_insert(now);
        self.stuck = Some(StuckConfiguration {
            revision,
            since,
            cause,
        });
        self.confirm_to(revision);
        true
    }

    /// Records that there was no configuration newer than the one that came last, up to a revision and at a moment.
    pub(crate) fn confirm(&mut self, revision: impl Into<StoreRevision>, proved_at: Moment) {
        let revision = revision.into();
        if revision.era == self.era {
            // Whatever was written before the moment has come, whatever its revision.
            self.doubted_at = self.doubted_at.filter(|doubted| proved_at < *doubted);
            self.change = self.change.filter(|change| proved_at < change.noted_at);
        }
        self.confirm_to(revision);
    }

    fn confirm_to(&mut self, revision: impl Into<StoreRevision>) {
        self.confirmed_to = self.confirmed_to.max(Some(revision.into()));
        if !self.knows_newer() {
            self.outdated_since = None;
        }
    }

    /// Records that a configuration was written after a revision.
    pub(crate) fn note_change(&mut self, after: impl Into<StoreRevision>, now: Moment) {
        let known = self.unread_change().map(|change| change.after);
        let change = KnownChange {
            after: known.max(Some(after.into())).unwrap_or_default(),
            noted_at: now,
        };
        self.change = Some(change);
        if self.knows_newer() {
            self.outdated_since.get_or_insert(now);
        }
    }

    /// Records that a configuration may have been written unnoticed. None need have been, so a read that began later
    /// rules it out, even if the store's revision has not changed.
    pub(crate) fn doubt(&mut self, now: Moment) {
        self.doubted_at = Some(now);
    }

    /// Records the era in which an entry that has just started finds the store.
    pub(crate) fn start_in_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Records that the store has been restored. What was known of its configuration proves nothing any more.
    pub(crate) fn begin_era(&mut self, era: u64, now: Moment) {
        self.earlier_version = self.earlier_version.max(self.known_version);
        self.era = era;
        self.read_version = None;
        self.known_version = 0;
        self.note_change(StoreRevision { era, number: 0 }, now);
    }

    /// Records the version of a configuration that was read.
    pub(crate) fn note_version(&mut self, version: u64, revision: StoreRevision) {
        if revision.era == self.era {
            self.read_version = self.read_version.max(Some(version));
            self.known_version = self.known_version.max(version);
        }
        self.note_published(version, revision);
    }

    /// Records a configuration that an entry has in force, which counts if it is of an earlier era.
    pub(crate) fn note_published(&mut self, version: u64, revision: StoreRevision) {
        if revision.era < self.era {
            self.earlier_version = self.earlier_version.max(version);
        }
    }

    /// Whether a store that has been restored lacks a configuration that was published before. The keys that it withdrew
    /// are in the older one again.
    pub(crate) fn is_behind(&self) -> bool {
        self.read_version
            .is_some_and(|read| read < self.earlier_version)
    }

    /// Whether a version is older than one that a store that has been restored lacks.
    pub(crate) fn is_before_lost(&self, version: u64) -> bool {
        self.is_behind() && version < self.earlier_version
    }

    /// Whether an answer of the store can prove that the configuration in force is the newest.
    pub(crate) fn may_prove(&self) -> bool {
        !self.is_outdated() && !self.is_behind()
    }

    /// Whether there may be a newer configuration than the one that was read last.
    pub(crate) fn is_outdated(&self) -> bool {
        self.knows_newer() || self.doubted_at.is_some()
    }

    /// Whether there is a newer configuration than the one that was read last.
    fn knows_newer(&self) -> bool {
        self.stuck.is_some() || self.unread_change().is_some()
    }

    /// The newer configuration that has not come yet.
    fn unread_change(&self) -> Option<KnownChange> {
        let confirmed_to = self.confirmed_to;
        self.change
            .filter(|change| confirmed_to.is_none_or(|known| known <= change.after))
    }

    /// Time since the first sign of a newer configuration that hasn't been read yet.
    pub(crate) fn outdated_for(&self, now: Moment) -> Option<Duration> {
        self.outdated_since.map(|since| now.since(since))
    }

    /// Whether the configuration must be read.
    pub(crate) fn needs_read(&self) -> bool {
        self.confirmed_to.is_none() || self.unread_change().is_some() || self.doubted_at.is_some()
    }
}
