//! Counts the crashes that a request or a prompt part met, and says how strongly they speak against it.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Moment, configuration::EndpointIncarnation};

/// Number of crashes from which on what they have in common is blocked.
pub(super) const MIN_CRASHES: usize = 3;

/// Number of events from which on an answer is under way. An endpoint that crashes as it begins an answer may have sent one.
pub(crate) const BEGUN_EVENTS: u32 = 2;

/// Divisor of a run's events that gives the difference within which two crashes happened at the same point of a run.
const POINT_PART: u32 = 16;

/// Time within which crashes of several endpoints count as one event.
pub(super) const SAME_MOMENT: Duration = Duration::from_millis(100);

/// Time between two crashes from which on they didn't happen for one reason outside the endpoints, such as a loss of power.
const DISTINCT_CRASHES: Duration = Duration::from_millis(50);

/// Time between two crashes from which on both count against a request although its second run began before the first crash.
const SEPARATE_CRASHES: Duration = Duration::from_millis(500);

/// A crash as its suspects met it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) crashed_at: Moment,
    /// When the last suspect had been sent.
    pub(super) sent_at: Moment,
    /// Events that the suspect that had come furthest had got.
    pub(super) run_events: u32,
    /// Complete answers since then to requests with the prompt part that is considered.
    pub(super) answers: u32,
}

impl Crash {
    /// Whether another crash happened at the same point of the run.
    pub(super) const fn is_at_point_of(&self, other: &Self) -> bool {
        if self.is_at_beginning() {
            return other.is_at_beginning();
        }
        let difference = self.run_events.abs_diff(other.run_events);
        difference <= 1 + self.run_events / POINT_PART
    }

    /// Whether no request had come further than to the beginning of its answer.
    const fn is_at_beginning(&self) -> bool {
        self.run_events < BEGUN_EVENTS
    }
}

/// How strongly its crashes speak against a prompt part.
pub(super) struct PartEvidence {
    /// Whether they are enough to blame it whatever else may explain them.
    pub(super) is_certain: bool,
    /// Number of crashes that didn't happen at the same moment.
    pub(super) crashes: usize,
    /// Complete answers to requests with the part since the first of them.
    pub(super) answers: usize,
}

impl PartEvidence {
    pub(super) fn of(crashes: &BTreeMap<EndpointIncarnation, Crash>) -> Self {
        let all = crashes.values().copied();
        let at_beginning = all.clone().filter(Crash::is_at_beginning);
        Self {
            is_certain: consecutive_crashes(at_beginning) >= MIN_CRASHES,
            crashes: separate_events(all.clone()),
            answers: all.map(|crash| crash.answers).max().unwrap_or(0) as usize,
        }
    }

    pub(super) fn is_stronger_than(&self, other: &Self) -> bool {
        let rank = |one: &Self| (one.is_certain, one.crashes.saturating_sub(one.answers));
        rank(self) > rank(other)
    }
}

/// Number of crashes each of whose suspects was sent after the crash before. Several endpoints that crash together, for
/// another reason, count once: a part that many requests share may be in the requests that begin at all of them.
pub(super) fn consecutive_crashes(crashes: impl Iterator<Item = Crash>) -> usize {
    count_crashes(crashes, |crash, last| crash.sent_at >= last)
}

/// Number of crashes that don't belong to one event, also those of a request that comes again before its last run has crashed.
pub(super) fn separate_crashes(crashes: impl Iterator<Item = Crash>) -> usize {
    count_crashes(crashes, |crash, last| {
        crash.sent_at >= last || crash.crashed_at >= last + SEPARATE_CRASHES
    })
}

/// Number of crashes that didn't happen for one reason outside the endpoints.
pub(super) fn distinct_crashes(crashes: impl Iterator<Item = Crash>) -> usize {
    count_crashes(crashes, |crash, last| {
        crash.crashed_at > last + DISTINCT_CRASHES
    })
}

/// Number of crashes that didn't happen at the same moment.
pub(super) fn separate_events(crashes: impl Iterator<Item = Crash>) -> usize {
    count_crashes(crashes, |crash, last| crash.crashed_at > last + SAME_MOMENT)
}

/// Number of times that crashes began again after a pause.
pub(super) fn crash_rounds(crashes: impl Iterator<Item = Crash>, pause: Duration) -> usize {
    let mut crashes: Vec<_> = crashes.collect();
    crashes.sort_by_key(|crash| crash.crashed_at);
    let pairs = crashes.windows(2);
    let pauses = pairs.filter(|pair| pair[1].sent_at >= pair[0].crashed_at + pause);
    pauses.count() + usize::from(!crashes.is_empty())
}

/// Counts crashes in the order of time, those that count after the last counted one.
fn count_crashes(
    crashes: impl Iterator<Item = Crash>,
    counts_after: impl Fn(&Crash, Moment) -> bool,
) -> usize {
    let mut crashes: Vec<_> = crashes.collect();
    crashes.sort_by_key(|crash| crash.crashed_at);
    let mut last_counted: Option<Moment> = None;
    let mut count = 0;
    for crash in crashes {
        if last_counted.is_none_or(|last| counts_after(&crash, last)) {
            last_counted = Some(crash.crashed_at);
            count += 1;
        }
    }
    count
}
