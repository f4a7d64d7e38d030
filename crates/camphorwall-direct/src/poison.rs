//! Blocks requests that repeatedly crash the endpoints which run them.

use std::{collections::HashMap, time::Duration};

use crate::clock::Moment;

/// Number of crashes during a request after which it is no longer sent.
const MAX_CRASHES: u32 = 3;

/// Time after a request's last crash for which its crashes count.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of records from which on old ones are removed early, to bound the memory used.
const MAX_RECORDS: usize = 4_096;

/// Identifies a request; it is the same for every retry by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Fingerprint(pub u64);

/// Crash counts of requests, with the time of the last crash.
#[derive(Debug, Default)]
pub(crate) struct Poison(HashMap<Fingerprint, (u32, Moment)>);

impl Poison {
    /// Records that an endpoint crashed while it ran the request; returns the number of crashes so far.
    pub(crate) fn note_crash(&mut self, fingerprint: Fingerprint, now: Moment) -> u32 {
        if self.0.len() >= MAX_RECORDS {
            self.0.retain(|_, (_, at)| now.since(*at) < RETENTION / 4);
        }
        let (count, at) = self.0.entry(fingerprint).or_insert((0, now));
        if now.since(*at) > RETENTION {
            *count = 0;
        }
        *count += 1;
        *at = now;
        *count
    }

    /// Clears a request that was answered completely: another request must have crashed its endpoints.
    pub(crate) fn note_answer(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Number of requests with a record.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the request must not be sent.
    #[must_use]
    pub(crate) fn is_blocked(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.0
            .get(&fingerprint)
            .is_some_and(|(count, at)| *count >= MAX_CRASHES && now.since(*at) <= RETENTION)
    }
}
