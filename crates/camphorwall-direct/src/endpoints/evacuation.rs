//! The data centres that are evacuated: no request is sent to their endpoints until the evacuation ends.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{clock::Moment, names::DataCentreName};

/// Evacuation of one data centre.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision of the store at which it was written last.
    revision: u64,
    /// When this entry learned of it.
    since: Moment,
}

/// Effect of a change of the evacuations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvacuationChange {
    /// The data centre takes no more work.
    Began,
    /// The data centre takes work again.
    Ended,
}

/// An evacuated data centre, with the revision at which its evacuation was written.
pub(crate) type EvacuatedCentre = (DataCentreName, u64);

/// A data centre whose evacuation began or ended, with the revision at which it did.
pub(crate) type ChangedCentre = (DataCentreName, EvacuationChange, u64);

/// What an entry knows of the evacuations, as it reports it to its followers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedEvacuations {
    /// Revision of the store up to which all changes are contained.
    pub(crate) revision: u64,
    pub(crate) evacuated: Vec<EvacuatedCentre>,
}

/// The evacuated data centres. Changes may come in any order and more than once.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    evacuated: BTreeMap<DataCentreName, Evacuation>,
    /// Ends that are newer than `revision`, so that an older change doesn't begin an evacuation again.
    ended: BTreeMap<DataCentreName, u64>,
    /// Revision up to which all changes are known; `None` before the first list.
    revision: Option<u64>,
    /// Revision of the last change.
    changed_at: u64,
    /// Moment up to which all changes are known.
    known_to: Option<Moment>,
}

impl Evacuations {
    pub(crate) fn is_evacuated(&self, data_centre: &DataCentreName) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Whether the evacuations have been listed once. Before that, any data centre may be evacuated.
    pub(crate) const fn is_listed(&self) -> bool {
        self.revision.is_some()
    }

    /// Revision up to which all changes are known.
    pub(crate) const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Age of the newest knowledge of the store's evacuations.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.known_to.map(|known_to| now.since(known_to))
    }

    /// Whether a follower that knows all changes up to a revision lacks one.
    pub(crate) fn has_change_after(&self, revision: u64) -> bool {
        self.changed_at.min(self.revision.unwrap_or(0)) > revision
    }

    /// The evacuated data centres.
    pub(crate) fn names(&self) -> impl Iterator<Item = &DataCentreName> {
        self.evacuated.keys()
    }

    /// Time since this entry learned of the evacuation of a data centre.
    pub(crate) fn lasted(&self, data_centre: &DataCentreName, now: Moment) -> Option<Duration> {
        let evacuation = self.evacuated.get(data_centre)?;
        Some(now.since(evacuation.since))
    }

    /// Applies one item of the store: an evacuation that was written, or its removal.
    pub(crate) fn apply(
        &mut self,
        name: &DataCentreName,
        is_evacuated: bool,
        revision: u64,
        now: Moment,
    ) -> Option<ChangedCentre> {
        let known = self.evacuated.get(name).map(|known| known.revision);
        let ended = self.ended.get(name).copied();
        if Some(revision) <= known.max(ended).max(self.revision) {
            return None;
        }
        if is_evacuated {
            self.begin(name, revision, now)
        } else {
            self.ended.insert(name.clone(), revision);
            self.end(name, revision)
        }
    }

    /// Applies a complete list of the evacuations: those missing from it ended by its revision.
    pub(crate) fn apply_list(
        &mut self,
        listed: &[EvacuatedCentre],
        revision: u64,
        now: Moment,
    ) -> Vec<ChangedCentre> {
        if self.revision.is_some_and(|known| known > revision) {
            // An older list shows no ends, but may contain items that were written after it began.
            let items = listed.iter();
            let changes = items.filter_map(|(name, at)| self.apply(name, true, *at, now));
            return changes.collect();
        }
        let mut changes = Vec::new();
        for (name, written_at) in listed {
            let known = self.evacuated.get(name).map(|known| known.revision);
            let ended = self.ended.get(name).copied();
            if Some(*written_at) > known.max(ended) {
                changes.extend(self.begin(name, *written_at, now));
            }
        }
        let is_missing = |(name, known): &(&DataCentreName, &Evacuation)| {
            // A list of revision 0 is of a store, or a reader, that knows nothing of its era yet.
            let may_end = revision > 0 && known.revision <= revision;
            may_end && !listed.iter().any(|(listed, _)| listed == *name)
        };
        let missing = self.evacuated.iter().filter(is_missing);
        let missing: Vec<_> = missing.map(|(name, _)| name.clone()).collect();
        for name in missing {
            changes.extend(self.end(&name, revision));
        }
        self.advance(revision, None);
        changes
    }

    /// Records that all changes up to a revision and a moment are known.
    pub(crate) fn advance(&mut self, revision: u64, known_to: Option<Moment>) {
        self.revision = self.revision.max(Some(revision));
        self.known_to = self.known_to.max(known_to);
        self.ended
            .retain(|_, ended_at| Some(*ended_at) > self.revision);
    }

    /// Begins an era of the store in which revisions start again. The evacuations stay in force until a list of the new era
    /// shows that they ended.
    pub(crate) fn begin_era(&mut self) {
        for evacuation in self.evacuated.values_mut() {
            evacuation.revision = 0;
        }
        self.ended.clear();
        self.revision = self.revision.map(|_| 0);
        self.changed_at = 0;
    }

    /// What is reported to followers; `None` before the first list.
    pub(crate) fn report(&self) -> Option<ReportedEvacuations> {
        let evacuated = self.evacuated.iter();
        Some(ReportedEvacuations {
            revision: self.revision?,
            evacuated: evacuated
                .map(|(name, evacuation)| (name.clone(), evacuation.revision))
                .collect(),
        })
    }

    fn begin(
        &mut self,
        name: &DataCentreName,
        revision: u64,
        now: Moment,
    ) -> Option<ChangedCentre> {
        self.changed_at = self.changed_at.max(revision);
        if let Some(known) = self.evacuated.get_mut(name) {
            known.revision = revision;
            return None;
        }
        let evacuation = Evacuation {
            revision,
            since: now,
        };
        self.evacuated.insert(name.clone(), evacuation);
        Some((name.clone(), EvacuationChange::Began, revision))
    }

    fn end(&mut self, name: &DataCentreName, revision: u64) -> Option<ChangedCentre> {
        self.changed_at = self.changed_at.max(revision);
        self.evacuated.remove(name)?;
        Some((name.clone(), EvacuationChange::Ended, revision))
    }
}
