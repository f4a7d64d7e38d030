//! Keeps the decisions on the latest requests for the `explain` command.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use camphorwall::{Decision, Explanation, RequestId};

/// Maximum number of requests whose decisions are kept.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of decisions kept for one request.
const MAX_DECISIONS: usize = 32;

struct RecordedDecision {
    at: Instant,
    step: &'static str,
    detail: String,
}

#[derive(Default)]
struct State {
    by_request: BTreeMap<RequestId, Vec<RecordedDecision>>,
    order: VecDeque<RequestId>,
}

/// Decisions on the latest requests.
#[derive(Default)]
pub(crate) struct Decisions(RefCell<State>);

impl Decisions {
    /// Records a decision. Beyond `MAX_REQUESTS`, the oldest request is removed; beyond `MAX_DECISIONS` for a request,
    /// the decision is dropped.
    pub(crate) fn note(
        &self,
        request_id: RequestId,
        step: &'static str,
        detail: String,
        now: Instant,
    ) {
        let state = &mut *self.0.borrow_mut();
        if !state.by_request.contains_key(&request_id) {
            state.order.push_back(request_id);
        }
        if state.order.len() > MAX_REQUESTS
            && let Some(oldest) = state.order.pop_front()
        {
            state.by_request.remove(&oldest);
        }
        let recorded = state.by_request.entry(request_id).or_default();
        if recorded.len() < MAX_DECISIONS {
            recorded.push(RecordedDecision {
                at: now,
                step,
                detail,
            });
        }
    }

    /// Decisions on a request, with their times since the first; empty if the request is not known.
    pub(crate) fn explain(&self, request_id: RequestId) -> Explanation {
        let state = self.0.borrow();
        let Some(recorded) = state.by_request.get(&request_id) else {
            return Explanation::default();
        };
        let first = recorded.first().map(|first| first.at);
        let decision = |recorded: &RecordedDecision| Decision {
            after_us: first.map_or(0, |first| microseconds(recorded.at - first)),
            step: recorded.step.into(),
            detail: recorded.detail.clone(),
        };
        Explanation {
            decisions: recorded.iter().map(decision).collect(),
        }
    }
}

fn microseconds(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
#[path = "decisions_tests.rs"]
mod tests;
