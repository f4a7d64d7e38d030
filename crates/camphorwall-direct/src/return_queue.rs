//! Chooses endpoints for plain and prefill calls in turn while all endpoints of a service hold requests off.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use camphorwall::{EndpointId, RequestEnd, ServiceId};

use crate::{
    clock::Moment,
    configuration::{Endpoint, Stage},
    entry::Entry,
    notices::{Availability, first_return},
    outcome::Progress,
    placement::QueueRank,
    refusal::Refusal,
    request::Admitted,
    request_log::RequestLog,
};

/// Longest time between two looks at the endpoints while all hold requests off; another one may register meanwhile.
const HOLD_OFF_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Time between two looks at an endpoint that returns; it takes further requests after each answer.
const RETURN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Identifies the endpoints that a request waits for.
type Pool = (ServiceId, Stage);

/// Requests that wait for endpoints to return, in the order of their ranks.
#[derive(Default)]
pub(crate) struct ReturnQueue {
    waiting: RefCell<BTreeSet<(Pool, QueueRank, u64)>>,
}

impl ReturnQueue {
    /// Whether no waiting request goes before one with this rank.
    fn is_first(&self, pool: &Pool, rank: QueueRank, number: Option<u64>) -> bool {
        let waiting = self.waiting.borrow();
        let first = waiting
            .iter()
            .find(|(waiting_for, _, _)| waiting_for == pool);
        first.is_none_or(|(_, first_rank, first_number)| {
            (rank, number.unwrap_or(u64::MAX)) <= (*first_rank, *first_number)
        })
    }
}

/// A place in the queue; dropping it leaves the queue.
struct Turn {
    entry: Rc<Entry>,
    key: (Pool, QueueRank, u64),
}

impl Turn {
    fn join(entry: &Rc<Entry>, pool: &Pool, rank: QueueRank) -> Self {
        let mut waiting = entry.return_queue.waiting.borrow_mut();
        let last = waiting.iter().map(|(_, _, number)| *number).max();
        let key = (pool.clone(), rank, last.map_or(0, |last| last + 1));
        waiting.insert(key.clone());
        drop(waiting);
        Self {
            entry: Rc::clone(entry),
            key,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.entry
            .return_queue
            .waiting
            .borrow_mut()
            .remove(&self.key);
    }
}

/// Chooses an endpoint, or waits for the first one to return if all hold requests off. A request that can't wait so long
/// is refused at once.
pub(crate) async fn choose_in_turn(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    stage: Stage,
    excluded: &[EndpointId],
    choose: impl Fn() -> Option<Rc<Endpoint>>,
) -> Result<Option<Rc<Endpoint>>, Refusal> {
    let pool = (admitted.service.clone(), stage);
    let rank = admitted.rank(false);
    let mut turn: Option<Turn> = None;
    let since = Moment::now();
    let chosen = loop {
        let number = turn.as_ref().map(|turn| turn.key.2);
        let is_first = entry.return_queue.is_first(&pool, rank, number);
        let is_in_turn = |endpoint: &Rc<Endpoint>| {
            let notices = entry.notices.borrow();
            is_first || !notices.is_returning(endpoint.incarnation())
        };
        if let Some(endpoint) = choose().filter(is_in_turn) {
            break Some(endpoint);
        }
        let now = Moment::now();
        let returns_at = match returns_at(entry, &admitted.service, stage, excluded, now) {
            Some(at) => at,
            None if is_first => break None,
            None => now,
        };
        if returns_at > admitted.start_by {
            return Err(holds_off(progress, returns_at, now));
        }
        turn.get_or_insert_with(|| Turn::join(entry, &pool, rank));
        let wait = returns_at.since(now).min(HOLD_OFF_POLL_PERIOD);
        compio::time::sleep(wait.max(RETURN_POLL_PERIOD)).await;
    };
    note_passed_over(entry, admitted, stage);
    if turn.is_some() {
        RequestLog::add_elapsed(&admitted.request_log.hold_off_wait, since);
    }
    Ok(chosen)
}

/// Retry-After of a request that endpoints refused: when the first one returns if all hold requests off, else `usual`.
pub(crate) fn retry_after_refusals(
    entry: &Entry,
    admitted: &Admitted,
    progress: &Progress,
    usual: Duration,
) -> Duration {
    let now = Moment::now();
    let (service, stage) = (&admitted.service, admitted.stage());
    returns_at(entry, service, stage, &progress.excluded, now).map_or(usual, |at| at.since(now))
}

/// Rejects the requests that wait for a decode endpoint if none returns in time for them.
pub(crate) fn reject_hopeless(entry: &Entry, service: &ServiceId) {
    let now = Moment::now();
    entry.placement_queue.reject(|request| {
        let returns_at = returns_at(entry, service, Stage::Decode, &request.excluded, now);
        request.service == *service && returns_at.is_some_and(|at| at > request.start_by)
    });
}

/// Records how many endpoints were not considered because of what they said of themselves.
pub(crate) fn note_passed_over(entry: &Entry, admitted: &Admitted, stage: Stage) {
    let now = Moment::now();
    let registry = entry.registry.borrow();
    let notices = entry.notices.borrow();
    let endpoints = registry.endpoints(&admitted.service, stage, now);
    let passed_over =
        endpoints.filter(|endpoint| notices.availability(endpoint, now) != Availability::Now);
    let count = &admitted.request_log.passed_over;
    count.set(count.get().max(passed_over.count()));
}

/// The refusal of a request for which no endpoint returns in time.
pub(crate) fn holds_off(progress: &Progress, returns_at: Moment, now: Moment) -> Refusal {
    progress.give_up(RequestEnd::EndpointsHoldOff, returns_at.since(now))
}

/// When the first endpoint of a service returns; `None` if one is available, or none is known.
pub(crate) fn returns_at(
    entry: &Entry,
    service: &ServiceId,
    stage: Stage,
    excluded: &[EndpointId],
    now: Moment,
) -> Option<Moment> {
    let registry = entry.registry.borrow();
    let notices = entry.notices.borrow();
    let endpoints = registry.endpoints(service, stage, now);
    let endpoints = endpoints.filter(|endpoint| !excluded.contains(&endpoint.id));
    first_return(endpoints.map(|endpoint| notices.availability(endpoint, now)))
}
