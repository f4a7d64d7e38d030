//! Distinguishes removed registrations from those that expired during an outage of the store.
//!
//! A failed call shows that the way of one entry to the store is interrupted, not that the store was away for the endpoints. A
//! removal is in doubt only after an interruption that was long enough for registrations to expire, and only until any entry
//! whose way to the store was sound has seen the same revision.

use std::time::Duration;

use crate::{clock::Moment, dialect::StoreRevision};

/// Time after the end of an outage in which a missing registration counts as expired rather than as removed. A living endpoint
/// registers again within two seconds of the store's return.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2_200);

/// Minimum duration of an outage. Registrations expire after three missed heartbeats, about one per second.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Maximum delay of an answer by a store that works.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Time without an answer or a failure after which this process itself must have stood still. Whether there was an outage
/// meanwhile is not known.
const MAX_ANSWER_GAP: Duration = Duration::from_secs(3);

/// What an entry knows of interruptions of the way to the store, its own and those of the other entries.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    first_answered_at: Option<Moment>,
    /// When the store, or an entry that reads it, last answered.
    answered_at: Option<Moment>,
    /// Earliest moment at which the present interruption may have begun.
    failing_since: Option<Moment>,
    outage_ended_at: Option<Moment>,
    /// Revision up to which an entry with a sound way to the store has seen all changes.
    sound_revision: StoreRevision,
}

impl StoreContact {
    /// Records a failed call that leaves open whether the store worked after `since`.
    pub(crate) fn note_failure(&mut self, since: Moment) {
        self.failing_since.get_or_insert(since);
    }

    /// Records an answer of the store to a call that it could hold for `wait`.
    pub(crate) fn note_answer(&mut self, sent_at: Moment, wait: Duration, now: Moment) {
        if now.since(sent_at) > wait + MAX_DELAY {
            // The store may have been away while it held the call.
            self.note_failure(sent_at);
        }
        let stood_still_since = self
            .answered_at
            .filter(|at| self.failing_since.is_none() && now.since(*at) > MAX_ANSWER_GAP);
        let interrupted_since = self.failing_since.take().or(stood_still_since);
        if interrupted_since.is_some_and(|since| now.since(since) >= MIN_OUTAGE) {
            self.outage_ended_at = Some(now);
        }
        self.first_answered_at.get_or_insert(now);
        self.answered_at = Some(now);
    }

    /// Whether the last call failed. The next one should be answered at once, as the end of the interruption isn't known before.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records an answer of an entry that reads the store, which reports what it knows of outages. Interruptions of this
    /// entry's own way to the store no longer matter.
    pub(crate) fn note_reader_answer(&mut self, outage_ended_at: Option<Moment>, now: Moment) {
        self.failing_since = None;
        self.outage_ended_at = self.outage_ended_at.max(outage_ended_at);
        self.answered_at = Some(now);
    }

    /// Records that the store has been restored from a copy. Registrations that were written since the copy are missing
    /// until their endpoints write them again, as after an outage.
    pub(crate) fn note_restored(&mut self, now: Moment) {
        self.failing_since = None;
        self.outage_ended_at = Some(now);
        self.answered_at = Some(now);
    }

    /// Records that an entry with a sound way to the store has seen all changes up to a revision.
    pub(crate) fn note_sound_revision(&mut self, revision: impl Into<StoreRevision>) {
        self.sound_revision = self.sound_revision.max(revision.into());
    }

    /// Records the revision up to which an answer of the store contains all changes.
    pub(crate) fn note_known_revision(&mut self, revision: impl Into<StoreRevision>, now: Moment) {
        let is_settled = self
            .first_answered_at
            .is_some_and(|at| now.since(at) >= RECOVERY_PERIOD);
        if is_settled && self.failing_since.is_none() && !self.is_recovering(now) {
            self.note_sound_revision(revision);
        }
    }

    /// Highest revision up to which an entry with a sound way to the store has seen all changes.
    pub(crate) const fn sound_revision(&self) -> StoreRevision {
        self.sound_revision
    }

    /// Time since the end of an outage after which registrations may still be missing; 0 during one.
    pub(crate) fn outage_age(&self, now: Moment) -> Option<Duration> {
        if !self.is_recovering(now) {
            return None;
        }
        let ended_at = self
            .outage_ended_at
            .filter(|_| self.failing_since.is_none());
        Some(ended_at.map_or(Duration::ZERO, |at| now.since(at)))
    }

    /// Whether a registration that is missing at a revision may have expired.
    pub(crate) fn is_in_doubt(&self, revision: impl Into<StoreRevision>, now: Moment) -> bool {
        let revision = revision.into();
        let sound = self.sound_revision;
        let is_known = revision.era == sound.era && revision <= sound;
        !is_known && self.is_recovering(now)
    }

    /// Whether there is an outage, or one ended within the recovery period.
    fn is_recovering(&self, now: Moment) -> bool {
        let ends_at = self.outage_ended_at.map(|at| at + RECOVERY_PERIOD);
        let is_interrupted = self.failing_since.is_some_and(|since| {
            // What begins during a recovery may be the next outage.
            now.since(since) >= MIN_OUTAGE || ends_at.is_some_and(|ends_at| since < ends_at)
        });
        is_interrupted || ends_at.is_some_and(|ends_at| now < ends_at)
    }
}
