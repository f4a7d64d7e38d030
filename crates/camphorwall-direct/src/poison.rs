//! Requests that crash the endpoints which run them.

use std::{collections::HashMap, time::Duration};

use crate::clock::Moment;

/// Crashes during one request after which it is sent no more.
const LIMIT: u32 = 3;

/// How long a request is remembered after its last crash.
const MEMORY: Duration = Duration::from_secs(60);

/// Most requests that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// Name of a request that stays the same when its caller sends it again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Fingerprint(pub u64);

/// Requests during which endpoints crashed.
#[derive(Debug, Default)]
pub(crate) struct Poison(HashMap<Fingerprint, (u32, Moment)>);

impl Poison {
    /// Notes that an endpoint crashed while it ran the request; returns how many have.
    pub(crate) fn note_crash(&mut self, fingerprint: Fingerprint, now: Moment) -> u32 {
        if self.0.len() >= MAX_REMEMBERED {
            self.0.retain(|_, (_, at)| now.since(*at) < MEMORY / 4);
        }
        let (count, at) = self.0.entry(fingerprint).or_insert((0, now));
        if now.since(*at) > MEMORY {
            *count = 0;
        }
        *count += 1;
        *at = now;
        *count
    }

    /// Notes that the request was answered whole: another one crashed the endpoints that it had been at.
    pub(crate) fn note_answer(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Requests that are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the request must not be sent.
    #[must_use]
    pub(crate) fn is_blocked(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.0
            .get(&fingerprint)
            .is_some_and(|(count, at)| *count >= LIMIT && now.since(*at) <= MEMORY)
    }
}
