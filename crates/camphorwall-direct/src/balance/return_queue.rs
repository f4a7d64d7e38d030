//! Chooses endpoints for plain and prefill calls in turn while all endpoints of a service hold requests off.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use camphorwall::RequestEnd;

use crate::{
    balance::placement::QueueRank,
    clock::Moment,
    configuration::{Endpoint, Stage},
    contract::homes::RequestHomes,
    endpoints::{
        cold_limit::count_denied,
        notices::{Availability, first_return},
    },
    entry::Entry,
    names::{EndpointName, ServiceName},
    notify::Notify,
    request::Admitted,
    request_log::RequestLog,
    serve::{outcome::Progress, refusal::Refusal},
};

/// Longest polling interval while all endpoints hold requests off; a new endpoint may register meanwhile.
const HOLD_OFF_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Polling interval once an endpoint accepts requests again; its limit rises with each answer.
const RETURN_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Identifies the endpoints that a request waits for.
pub(crate) type Pool = (ServiceName, Stage);

/// Position of a waiting request: its pool, its rank there, and a number for those of equal rank.
pub(crate) type Position = (Pool, QueueRank, u64);

struct Waiter {
    /// Endpoints that the request can't use.
    excluded: Box<[EndpointName]>,
    wake: Rc<Notify>,
}

/// Requests that wait for endpoints to return, in the order of their ranks.
#[derive(Default)]
pub(crate) struct ReturnQueue {
    waiting: RefCell<BTreeMap<Position, Waiter>>,
}

impl ReturnQueue {
    /// Whether no waiting request that can use the endpoint goes before the one at a position.
    pub(crate) fn is_in_turn(&self, position: &Position, endpoint: &Endpoint) -> bool {
        let waiting = self.waiting.borrow();
        let mut before = waiting.range(..position);
        !before.any(|((pool, _, _), waiter)| {
            *pool == position.0 && !waiter.excluded.contains(&endpoint.id)
        })
    }

    /// Wakes the first request that waits for a pool.
    fn wake_first(&self, pool: &Pool) {
        let waiting = self.waiting.borrow();
        let first = waiting
            .iter()
            .find(|((waiting_for, _, _), _)| waiting_for == pool);
        if let Some((_, waiter)) = first {
            waiter.wake.notify();
        }
    }
}

/// A place in the queue; dropping it leaves the queue.
pub(crate) struct Turn {
    entry: Rc<Entry>,
    pub(crate) position: Position,
    wake: Rc<Notify>,
}

impl Turn {
    pub(crate) fn join(
        entry: &Rc<Entry>,
        pool: &Pool,
        rank: QueueRank,
        excluded: &[EndpointName],
    ) -> Self {
        let mut waiting = entry.return_queue.waiting.borrow_mut();
        let last = waiting.keys().map(|(_, _, number)| *number).max();
        let position = (pool.clone(), rank, last.map_or(0, |last| last + 1));
        let wake = Rc::new(Notify::default());
        let waiter = Waiter {
            excluded: excluded.into(),
            wake: Rc::clone(&wake),
        };
        waiting.insert(position.clone(), waiter);
        drop(waiting);
        Self {
            entry: Rc::clone(entry),
            position,
            wake,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let queue = &self.entry.return_queue;
        queue.waiting.borrow_mut().remove(&self.position);
        queue.wake_first(&self.position.0);
    }
}

/// Chooses an endpoint, or waits for the first one to return if all hold requests off. A request that can't wait so long
/// is refused at once.
pub(crate) async fn choose_in_turn(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    progress: &Progress,
    stage: Stage,
    excluded: &[EndpointName],
    choose: impl Fn() -> Option<Rc<Endpoint>>,
) -> Result<Option<Rc<Endpoint>>, Refusal> {
    let pool = (admitted.service.clone(), stage);
    let rank = admitted.rank(false);
    // A request that doesn't wait yet goes behind those of its rank that do.
    let newcomer = (pool.clone(), rank, u64::MAX);
    let mut turn: Option<Turn> = None;
    let since = Moment::now();
    let chosen = loop {
        let position = turn.as_ref().map_or(&newcomer, |turn| &turn.position);
        let chosen = choose();
        let is_in_turn =
            |endpoint: &Rc<Endpoint>| entry.return_queue.is_in_turn(position, endpoint);
        if chosen.as_ref().is_some_and(is_in_turn) {
            break chosen;
        }
        let now = Moment::now();
        let homes = &admitted.homes;
        let returns_at = match returns_at(entry, &admitted.service, stage, homes, excluded, now) {
            Some(at) => at,
            None if chosen.is_none() => break None,
            None => now,
        };
        if returns_at > admitted.start_by {
            return Err(holds_off(progress, returns_at, now));
        }
        let turn = turn.get_or_insert_with(|| {
            let unusable = with_outside(entry, admitted, stage, excluded);
            Turn::join(entry, &pool, rank, &unusable)
        });
        let wait = returns_at.since(now).min(HOLD_OFF_POLL_PERIOD);
        let waking = turn.wake.notified();
        // After a timeout the endpoints are looked at all the same.
        let _ = compio::time::timeout(wait.max(RETURN_POLL_PERIOD), waking).await;
    };
    note_passed_over(entry, admitted, stage);
    if turn.is_some() {
        RequestLog::add_elapsed(&admitted.request_log.hold_off_wait, since);
    }
    Ok(chosen)
}

/// Endpoints that a request can't use: the excluded ones and those outside its homes.
fn with_outside(
    entry: &Entry,
    admitted: &Admitted,
    stage: Stage,
    excluded: &[EndpointName],
) -> Vec<EndpointName> {
    let registry = entry.registry.borrow();
    let endpoints = registry.endpoints(&admitted.service, stage, Moment::now());
    let is_home = entry.homes_filter(&admitted.homes);
    let outside = endpoints.filter(|endpoint| !is_home(&endpoint.data_centre));
    let outside = outside.map(|endpoint| endpoint.id.clone());
    excluded.iter().cloned().chain(outside).collect()
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
    let homes = &admitted.homes;
    let returns_at = returns_at(entry, service, stage, homes, &progress.excluded, now);
    returns_at.map_or(usual, |at| at.since(now))
}

/// Rejects the requests that wait for a decode endpoint if none returns in time for them.
pub(crate) fn reject_hopeless(entry: &Entry, service: &ServiceName) {
    let now = Moment::now();
    entry.placement_queue.reject(|request| {
        let (homes, excluded) = (&request.homes, &request.excluded);
        let returns_at = returns_at(entry, service, Stage::Decode, homes, excluded, now);
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
    let passed_over = passed_over.count();
    let endpoints = registry.endpoints(&admitted.service, stage, now);
    let denied = count_denied(entry, endpoints, now);
    count.set(count.get().max(passed_over + denied));
}

/// The refusal of a request for which no endpoint returns in time.
pub(crate) fn holds_off(progress: &Progress, returns_at: Moment, now: Moment) -> Refusal {
    progress.give_up(RequestEnd::EndpointsHoldOff, returns_at.since(now))
}

/// When the first endpoint of a service returns; `None` if one is available, or none is known.
pub(crate) fn returns_at(
    entry: &Entry,
    service: &ServiceName,
    stage: Stage,
    homes: &RequestHomes,
    excluded: &[EndpointName],
    now: Moment,
) -> Option<Moment> {
    let registry = entry.registry.borrow();
    let notices = entry.notices.borrow();
    let is_home = entry.homes_filter(homes);
    let endpoints = registry.endpoints(service, stage, now);
    let endpoints = endpoints
        .filter(|endpoint| !excluded.contains(&endpoint.id) && is_home(&endpoint.data_centre));
    first_return(endpoints.map(|endpoint| notices.availability(endpoint, now)))
}
