//! How long endpoints stay cold, and the requests that were sent to them recently.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::Moment,
    configuration::{Endpoint, EndpointIncarnation},
    endpoints::cold::PERMIT_PERIOD,
};

/// Time for which an answer's cold time is reported to the peers; each full heartbeat of that time carries it.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a request for which an endpoint was chosen no longer counts as one that will be sent: a prefill call
/// before it is given up earlier.
const CHOICE_TIME: Duration = Duration::from_millis(1_500);

/// Maximum number of cold times in one heartbeat.
const MAX_REPORTS: usize = 32;

/// Maximum number of changes that are logged at once; the others follow.
const MAX_LOGGED: usize = 32;

/// Number of endpoints at which those that are no longer registered are dropped.
const MAX_STATES: usize = 8_192;

/// How long an endpoint stays cold, as reported to peers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedColdTime {
    incarnation: EndpointIncarnation,
    /// Time left, zero if the endpoint is warm.
    left_ms: u32,
    /// Age of the answer that said so.
    age_ms: u32,
}

/// What is known of an endpoint's cold time.
#[derive(Clone, Copy, Debug)]
enum ColdTime {
    /// It didn't say; it is cold for the service's time after its start.
    FromStart(Moment),
    /// It said so.
    Until(Moment),
}

#[derive(Debug)]
struct State {
    cold: ColdTime,
    /// When the endpoint said so, as far as is known.
    said_at: Moment,
    /// When an answer to this entry said so.
    answered_at: Option<Moment>,
    /// Requests that may have arrived, by the time at which they were sent.
    sent: VecDeque<Moment>,
    /// Requests for which the endpoint was chosen and that have not been sent, by the time of the choice.
    chosen: VecDeque<Moment>,
    is_logged_cold: bool,
    has_unreadable_time: bool,
}

impl State {
    fn cold_until(&self, cold_after_start: Duration) -> Moment {
        match self.cold {
            ColdTime::FromStart(at) => at + cold_after_start,
            ColdTime::Until(at) => at,
        }
    }
}

/// A change that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Change {
    Cold { left: Duration },
    Warm,
}

/// Cold times and sends, by the incarnation of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct ColdTimes(HashMap<EndpointIncarnation, State>);

impl ColdTimes {
    /// Records a registration. `unix_now` is the present Unix time.
    pub(crate) fn note_registration(
        &mut self,
        endpoint: &Endpoint,
        unix_now: Duration,
        now: Moment,
    ) {
        let cold = if let Some(Ok(left)) = &endpoint.cold_time {
            ColdTime::Until(now + *left)
        } else {
            let age = unix_now.saturating_sub(Duration::from_millis(endpoint.started_ms));
            ColdTime::FromStart(now - age)
        };
        let state = self.0.entry(endpoint.incarnation()).or_insert(State {
            cold,
            said_at: now,
            answered_at: None,
            sent: VecDeque::new(),
            chosen: VecDeque::new(),
            is_logged_cold: false,
            has_unreadable_time: false,
        });
        // A registration without a time says nothing new of an endpoint that said more in an answer.
        if matches!(cold, ColdTime::Until(_)) || matches!(state.cold, ColdTime::FromStart(_)) {
            state.cold = cold;
            state.said_at = now;
        }
    }

    /// Records what an endpoint said in an answer.
    pub(crate) fn note_answer(
        &mut self,
        incarnation: EndpointIncarnation,
        left: Duration,
        now: Moment,
    ) {
        if let Some(state) = self.0.get_mut(&incarnation) {
            state.cold = ColdTime::Until(now + left);
            state.said_at = now;
            state.answered_at = Some(now);
        }
    }

    /// Records a time in an answer that can't be read; returns whether it is the endpoint's first.
    pub(crate) fn note_unreadable(&mut self, incarnation: EndpointIncarnation) -> bool {
        let state = self.0.get_mut(&incarnation);
        state.is_some_and(|state| !std::mem::replace(&mut state.has_unreadable_time, true))
    }

    /// Records what a peer heard.
    pub(crate) fn note_peer(&mut self, reported: ReportedColdTime, now: Moment) {
        let said_at = now - Duration::from_millis(reported.age_ms.into());
        let Some(state) = self.0.get_mut(&reported.incarnation) else {
            return;
        };
        if said_at > state.said_at {
            state.cold = ColdTime::Until(now + Duration::from_millis(reported.left_ms.into()));
            state.said_at = said_at;
        }
    }

    /// What endpoints said in recent answers to this entry, the newest first.
    pub(crate) fn report(&self, now: Moment) -> Vec<ReportedColdTime> {
        let mut recent: Vec<_> = self
            .0
            .iter()
            .filter_map(|(incarnation, state)| {
                let answered_at = state.answered_at?;
                let ColdTime::Until(until) = state.cold else {
                    return None;
                };
                let age = now.since(answered_at);
                (age <= REPORT_TIME).then_some((age, *incarnation, until))
            })
            .collect();
        recent.sort_unstable_by_key(|(age, incarnation, _)| (*age, incarnation.0));
        let milliseconds = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let reports = recent.into_iter().take(MAX_REPORTS);
        reports
            .map(|(age, incarnation, until)| ReportedColdTime {
                incarnation,
                left_ms: milliseconds(until.since(now)),
                age_ms: milliseconds(age),
            })
            .collect()
    }

    /// How long an endpoint stays cold; zero if it is warm.
    pub(crate) fn cold_for(
        &self,
        incarnation: EndpointIncarnation,
        cold_after_start: Duration,
        now: Moment,
    ) -> Duration {
        let state = self.0.get(&incarnation);
        state.map_or(Duration::ZERO, |state| {
            state.cold_until(cold_after_start).since(now)
        })
    }

    /// Requests that were sent within the time for which they count.
    pub(crate) fn recent_sends(&self, incarnation: EndpointIncarnation, now: Moment) -> usize {
        let state = self.0.get(&incarnation);
        state.map_or(0, |state| {
            let sent = state.sent.iter();
            sent.filter(|at| now.since(**at) < PERMIT_PERIOD).count()
        })
    }

    /// Requests for which the endpoint was chosen and that are still to be sent.
    pub(crate) fn unsent(&self, incarnation: EndpointIncarnation, now: Moment) -> usize {
        let state = self.0.get(&incarnation);
        state.map_or(0, |state| {
            let chosen = state.chosen.iter();
            chosen.filter(|at| now.since(**at) < CHOICE_TIME).count()
        })
    }

    /// Counts a request for which the endpoint was chosen.
    pub(crate) fn count_choice(&mut self, incarnation: EndpointIncarnation, now: Moment) {
        if let Some(state) = self.0.get_mut(&incarnation) {
            while let Some(first) = state.chosen.front()
                && now.since(*first) >= CHOICE_TIME
            {
                state.chosen.pop_front();
            }
            state.chosen.push_back(now);
        }
    }

    /// Uncounts a request for which the endpoint was chosen, since it is sent now.
    pub(crate) fn end_choice(&mut self, incarnation: EndpointIncarnation) {
        if let Some(state) = self.0.get_mut(&incarnation) {
            state.chosen.pop_front();
        }
    }

    /// When the oldest request that still counts no longer does.
    pub(crate) fn next_send_at(
        &self,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Option<Moment> {
        let sent = self.0.get(&incarnation)?.sent.iter();
        let counts = |at: &&Moment| now.since(**at) < PERMIT_PERIOD;
        sent.filter(counts).min().map(|at| *at + PERMIT_PERIOD)
    }

    /// Counts a request that is about to be sent.
    pub(crate) fn count_send(&mut self, incarnation: EndpointIncarnation, now: Moment) {
        if let Some(state) = self.0.get_mut(&incarnation) {
            while let Some(first) = state.sent.front()
                && now.since(*first) >= PERMIT_PERIOD
            {
                state.sent.pop_front();
            }
            state.sent.push_back(now);
        }
    }

    /// Uncounts a request that did not reach the endpoint.
    pub(crate) fn uncount_send(&mut self, incarnation: EndpointIncarnation, sent_at: Moment) {
        if let Some(state) = self.0.get_mut(&incarnation)
            && let Some(position) = state.sent.iter().position(|at| *at == sent_at)
        {
            state.sent.remove(position);
        }
    }

    /// Records whether an endpoint is cold now; returns what has not been logged yet.
    pub(crate) fn note_state(
        &mut self,
        incarnation: EndpointIncarnation,
        cold_for: Duration,
    ) -> Option<Change> {
        let state = self.0.get_mut(&incarnation)?;
        let is_cold = !cold_for.is_zero();
        if std::mem::replace(&mut state.is_logged_cold, is_cold) == is_cold {
            return None;
        }
        Some(if is_cold {
            Change::Cold { left: cold_for }
        } else {
            Change::Warm
        })
    }

    /// Drops endpoints that are no longer registered.
    pub(crate) fn keep_only(&mut self, registered: &HashSet<EndpointIncarnation>) {
        self.0
            .retain(|incarnation, _| registered.contains(incarnation));
    }

    /// Whether endpoints that have left should be dropped.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_STATES
    }

    /// Number of changes that may be logged at once.
    pub(crate) const fn max_logged() -> usize {
        MAX_LOGGED
    }
}
