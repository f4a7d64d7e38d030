//! Admission of plain calls while the endpoints of a service are full.
//!
//! The load: more calls than the endpoints can run for some seconds, because callers come in a burst or an endpoint has left.
//! Without a limit, entries fill the endpoints' queues, so that every answer is late, and spend the retry budget on endpoints
//! that refuse. Here each entry limits its calls at each endpoint by what the endpoint answers, and orders the calls that wait.

use std::{collections::HashMap, time::Duration};

use crate::clock::Moment;

/// Factor of a limit after an endpoint refused a call or answered slowly.
const DECREASE: f64 = 0.7;

/// Share of a route's target above which an answer counts as slow: the rest is for the wait at the entry.
const SLOW_SHARE: f64 = 0.5;

/// Time without refusals and slow answers after which calls are no longer limited.
const CONTENTION_MEMORY: Duration = Duration::from_secs(2);

/// One of so many places goes to the call in time that has waited longest, so that urgent calls don't starve the others.
const OLDEST_EVERY: u64 = 4;

/// Time after a refusal in which an endpoint gets no calls from this entry: its queue needs it to become shorter.
pub(crate) const REFUSAL_PAUSE: Duration = Duration::from_millis(40);

/// Shortest mean Retry-After of a refused call, for when the pace of the places is not known.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Part of its limit that an entry uses while more urgent calls wait at other entries.
const YIELDING_SHARE: f64 = 0.5;

/// Part of a route's target that the usual time of a call takes at most, when it is judged whether a call can be in time.
const MAX_CALL_SHARE: f64 = 0.7;

/// Weight of the newest call in the usual time of a call.
const NEWEST_CALL_WEIGHT: f64 = 0.1;

/// Weight of the newest interval between two places in their average.
const NEWEST_INTERVAL_WEIGHT: f64 = 0.1;

/// Limit of this entry's calls at the endpoints of one service together: with one for each endpoint, tens of entries with one
/// call each would fill them. Calls are unlimited until an endpoint refuses one.
#[derive(Debug, Default)]
pub(crate) struct CallLimit {
    in_flight: u32,
    limit: Option<f64>,
    /// When an endpoint last refused a call or answered slowly.
    contended_at: Option<Moment>,
    reduced_at: Option<Moment>,
    /// Usual time of a call at an endpoint.
    call_time: Option<Duration>,
}

impl CallLimit {
    /// Records a call that is sent.
    pub(crate) fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call, whatever came of it.
    pub(crate) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether another call may be sent; while more urgent ones wait at other entries, only a part of the limit is used. One
    /// call is always allowed, or the endpoints' recovery would not be noticed.
    #[must_use]
    pub(crate) fn has_room(&self, is_yielding: bool, now: Moment) -> bool {
        let share = if is_yielding { YIELDING_SHARE } else { 1.0 };
        let limit = self.limit.filter(|_| self.is_limited(now));
        limit.is_none_or(|limit| f64::from(self.in_flight) < (limit * share).max(1.0))
    }

    /// Whether an endpoint has been full recently.
    #[must_use]
    pub(crate) fn is_limited(&self, now: Moment) -> bool {
        self.contended_at
            .is_some_and(|at| now.since(at) <= CONTENTION_MEMORY)
    }

    /// Records that an endpoint refused a call because it is full.
    pub(crate) fn note_refused(&mut self, sent_at: Moment, now: Moment) {
        if !self.is_limited(now) {
            self.limit = Some(f64::from(self.in_flight.max(1)));
        }
        self.reduce(sent_at, now);
    }

    /// Records an answer to a call with a latency target.
    pub(crate) fn note_answered(&mut self, sent_at: Moment, target: Duration, now: Moment) {
        let elapsed = now.since(sent_at);
        let known = self.call_time.unwrap_or(elapsed);
        self.call_time =
            Some(known.mul_f64(1.0 - NEWEST_CALL_WEIGHT) + elapsed.mul_f64(NEWEST_CALL_WEIGHT));
        if !self.is_limited(now) {
            self.limit = None;
            return;
        }
        if elapsed > target.mul_f64(SLOW_SHARE) {
            self.reduce(sent_at, now);
        } else if let Some(limit) = &mut self.limit {
            *limit += 1.0 / limit.max(1.0);
        }
    }

    /// Time after a call's arrival within which an endpoint must begin it so that its answer is in time.
    #[must_use]
    pub(crate) fn begin_within(&self, target: Duration) -> Duration {
        let call_time = self.call_time.unwrap_or_default();
        target.saturating_sub(call_time.min(target.mul_f64(MAX_CALL_SHARE)))
    }

    /// Lowers the limit, once for all calls that were under way together.
    fn reduce(&mut self, sent_at: Moment, now: Moment) {
        self.contended_at = Some(now);
        if self.reduced_at.is_none_or(|at| sent_at >= at) {
            self.limit = self.limit.map(|limit| (limit * DECREASE).max(1.0));
            self.reduced_at = Some(now);
        }
    }
}

/// A call that waits at the entry for an endpoint with room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingCall {
    /// Priority of the team, or else of the route; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Hash of the team's name; 0 without a team.
    pub(crate) team: u64,
    pub(crate) since: Moment,
    /// Last moment at which an endpoint can begin it so that its answer is in time.
    pub(crate) in_time_until: Moment,
    /// Last moment at which an endpoint can begin it while its caller still waits.
    pub(crate) start_by: Moment,
}

impl WaitingCall {
    /// Whether its answer can't be in time any more.
    pub(crate) fn is_late(&self, now: Moment) -> bool {
        now > self.in_time_until
    }
}

/// Order in which places are given and how fast, for one service.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Number of places given so far.
    given: u64,
    /// Average time between two places while calls wait.
    interval: Option<Duration>,
    /// When the last place was given while other calls waited.
    others_waited_since: Option<Moment>,
    /// The number of the last place that each team got.
    last_of_team: HashMap<u64, u64>,
}

/// Number of teams whose last place is remembered.
const MAX_TEAMS: usize = 1_024;

impl Turns {
    /// Order in which waiting calls get the next places: those that can be in time first, then by priority, then the team whose
    /// last place is the longest ago, then by arrival. Each [`OLDEST_EVERY`]th place goes to the call in time that has waited
    /// longest.
    pub(crate) fn order(&self, waiting: &[WaitingCall], now: Moment) -> Vec<usize> {
        let mut order: Vec<usize> = (0..waiting.len()).collect();
        order.sort_by_key(|index| {
            let call = &waiting[*index];
            let last = self.last_of_team.get(&call.team).copied().unwrap_or(0);
            (call.is_late(now), call.priority, last, call.since)
        });
        if (self.given + 1).is_multiple_of(OLDEST_EVERY) {
            let in_time = order
                .iter()
                .take_while(|index| !waiting[**index].is_late(now));
            let oldest = in_time
                .enumerate()
                .min_by_key(|(_, index)| waiting[**index].since);
            let oldest = oldest.map(|(position, _)| position);
            if let Some(position) = oldest {
                order[..=position].rotate_right(1);
            }
        }
        order
    }

    /// Records that a call got a place.
    pub(crate) fn note_given(&mut self, team: u64, has_others_waiting: bool, now: Moment) {
        self.given += 1;
        if self.last_of_team.len() >= MAX_TEAMS {
            self.last_of_team.clear();
        }
        self.last_of_team.insert(team, self.given);
        // After a place for the last waiting call, the interval shows how often calls come rather than how fast places
        // become free.
        let others_waited_since = std::mem::replace(
            &mut self.others_waited_since,
            has_others_waiting.then_some(now),
        );
        let Some(since) = others_waited_since else {
            return;
        };
        let interval = now.since(since);
        self.interval = match self.interval {
            _ if interval > CONTENTION_MEMORY => None,
            None => Some(interval),
            Some(known) => Some(
                known.mul_f64(1.0 - NEWEST_INTERVAL_WEIGHT)
                    + interval.mul_f64(NEWEST_INTERVAL_WEIGHT),
            ),
        };
    }

    /// Time after which a call gets a place behind `ahead` others; zero if nothing recent is known.
    fn expected_wait(&self, ahead: usize, now: Moment) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let is_recent = |at: Moment| now.since(at) <= CONTENTION_MEMORY;
        let interval = self
            .interval
            .filter(|_| self.others_waited_since.is_some_and(is_recent));
        interval.unwrap_or_default().saturating_mul(ahead)
    }

    /// Why a call behind `ahead` others can't be served, with its Retry-After; `None` if it may wait. `random` is uniform in
    /// 0..1 and spreads the callers that return.
    #[must_use]
    pub(crate) fn refusal(
        &self,
        call: &WaitingCall,
        ahead: usize,
        random: f64,
        now: Moment,
    ) -> Option<Duration> {
        let wait = self.expected_wait(ahead, now);
        (now + wait > call.start_by).then(|| wait.max(MIN_RETRY_AFTER).mul_f64(0.5 + random))
    }
}
