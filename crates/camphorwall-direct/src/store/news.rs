//! Decides how old the news of a reader may become, and how long the reader may be behind what peers report, before its follower
//! turns to another source.
//!
//! A reader gets an answer of the store at least once in each [`WATCH_WAIT`], and passes it on at once. If none has come for
//! longer, the reader has lost its way to the store, or the follower its way to the reader, whichever of its calls still waits.

use std::{collections::VecDeque, time::Duration};

use super::follow::{CHANGES_PAUSE, WATCH_WAIT};
use crate::{clock::Moment, dialect::StoreRevision, endpoints::registry::STALE_PROOF_AGE};

/// Number of answers from which the usual delay of news is taken, that of the freshest.
const RECENT_ANSWERS: usize = 3;

/// Maximum delay of news beyond the usual.
const MAX_EXTRA_DELAY: Duration = Duration::from_millis(100);

/// Time after which a reported revision that no source has confirmed is ignored. It may come from a store that has been replaced.
const REPORT_EXPIRY: Duration = Duration::from_secs(3);

/// First revision reported by peers that this entry lacks, and the moment at which it was noticed.
#[derive(Debug, Default)]
pub(crate) struct RevisionLag(Option<(StoreRevision, Moment)>);

impl RevisionLag {
    /// Time for which a reported revision has been missing, given the known and the highest reported revision; zero if
    /// none is, or if the report has expired.
    pub(crate) fn update(
        &mut self,
        known: StoreRevision,
        reported: StoreRevision,
        now: Moment,
    ) -> Duration {
        self.0 = self.0.filter(|(missing, _)| *missing > known);
        if reported > known {
            self.0.get_or_insert((reported, now));
        }
        let lag = self.0.map_or(Duration::ZERO, |(_, since)| now.since(since));
        if lag < REPORT_EXPIRY {
            lag
        } else {
            Duration::ZERO
        }
    }
}

/// Ages of a follower's last news at their arrival.
#[derive(Debug, Default)]
pub(crate) struct NewsAges(VecDeque<Duration>);

impl NewsAges {
    /// Records the age that news had when they arrived.
    pub(crate) fn note(&mut self, age: Duration) {
        if self.0.len() == RECENT_ANSWERS {
            self.0.pop_front();
        }
        self.0.push_back(age);
    }

    /// Age at which news are overdue. It follows the store's delay, so that a slow store isn't called by the followers too. Since
    /// the last news count, the next are overdue no later after their arrival than if the store had no delay.
    pub(crate) fn limit(&self) -> Duration {
        let usual = self.0.iter().min().copied().unwrap_or_default();
        let limit = WATCH_WAIT + CHANGES_PAUSE + usual + MAX_EXTRA_DELAY;
        limit.min(STALE_PROOF_AGE)
    }
}
