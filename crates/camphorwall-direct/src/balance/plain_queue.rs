//! Queue of plain calls that wait at the entry for an endpoint with room, see [`contention`](super::contention).

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    balance::{
        choice::{Expectation, choose_plain, expect_plain},
        contention::{CallLimit, REFUSAL_PAUSE, Turns, WaitingCall},
        loads::service_key,
        placement::{Placement, QueueRank, ReportedWaiter, candidates},
    },
    clock::Moment,
    configuration::{Configuration, Endpoint, Stage},
    contract::homes::RequestHomes,
    entry::Entry,
    names::{EndpointName, ServiceName},
    notify::Notify,
    request::Admitted,
};

/// Longest time between two attempts to place waiting calls: new endpoints and limits that end send no notification.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of waiting calls for which endpoints are compared at a time. Their restrictions seldom differ.
const MAX_TRIED: usize = 8;

/// Result of a wait for an endpoint.
pub(crate) enum Place {
    Given(Placement, Option<Expectation>),
    /// No endpoint will have room in time; the caller may return after this time.
    Refused(Duration),
    /// No endpoint is known that takes the call at present.
    NoEndpoint,
}

/// Restrictions on the endpoints that a call may use.
#[derive(Clone)]
struct Restrictions {
    homes: Rc<RequestHomes>,
    /// Endpoints that were tried or that are draining.
    excluded: Vec<EndpointName>,
}

struct Waiter {
    call: WaitingCall,
    restrictions: Restrictions,
    sender: oneshot::Sender<Place>,
}

/// Waiting calls of one service and the limit of those under way.
#[derive(Default)]
struct ServiceQueue {
    limit: CallLimit,
    /// When endpoints last refused calls.
    refused_at: HashMap<EndpointName, Moment>,
    turns: Turns,
    waiting: Vec<Waiter>,
}

/// Services for which calls are queued, by a version of the configuration.
#[derive(Default)]
struct QueuedServices {
    version: Option<u64>,
    services: HashMap<ServiceName, bool>,
}

/// Plain calls that wait for room at endpoints, and those under way.
#[derive(Default)]
pub(crate) struct PlainQueue {
    services: RefCell<HashMap<ServiceName, ServiceQueue>>,
    queued: RefCell<QueuedServices>,
    changes: Notify,
    waiting: Cell<usize>,
}

/// Counts a call against its service's limit until it is dropped.
pub(crate) struct CallGuard {
    entry: Rc<Entry>,
    service: ServiceName,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let queue = &self.entry.plain_queue;
        queue.with_queue(&self.service, |queue| queue.limit.end());
        queue.changes.notify();
    }
}

/// Whether requests of different priorities compete for a service.
pub(crate) fn has_competing_priorities(
    configuration: &Configuration,
    service: &ServiceName,
) -> bool {
    let mut priorities = Vec::new();
    let mut uses_routes = !configuration.has_teams;
    for team in configuration.keys.values() {
        match team.priority {
            Some(priority) => priorities.push(priority),
            None => uses_routes = true,
        }
    }
    if uses_routes {
        let routes = configuration.routes.iter();
        let routes = routes.filter(|route| route.services.iter().any(|(name, _)| name == service));
        priorities.extend(routes.map(|route| route.priority));
    }
    let first = priorities.first().copied();
    priorities.iter().any(|priority| Some(*priority) != first)
}

impl PlainQueue {
    /// Wakes the task that gives places.
    pub(crate) fn notify(&self) {
        if self.waiting.get() > 0 {
            self.changes.notify();
        }
    }

    /// Number of calls that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Whether calls of a service are queued: where the settings say so, or else where requests of different priorities
    /// compete for it.
    pub(crate) fn is_on(
        &self,
        setting: Option<bool>,
        configuration: Option<&Rc<Configuration>>,
        service: &ServiceName,
    ) -> bool {
        if let Some(is_on) = setting {
            return is_on;
        }
        let Some(configuration) = configuration else {
            return false;
        };
        let mut queued = self.queued.borrow_mut();
        if queued.version != Some(configuration.version) {
            queued.version = Some(configuration.version);
            queued.services.clear();
        }
        if let Some(is_on) = queued.services.get(service) {
            return *is_on;
        }
        let is_on = has_competing_priorities(configuration, service);
        queued.services.insert(service.clone(), is_on);
        is_on
    }

    /// Changes the queue of a service.
    fn with_queue(&self, service: &ServiceName, change: impl FnOnce(&mut ServiceQueue)) {
        let mut services = self.services.borrow_mut();
        change(services.entry(service.clone()).or_default());
    }

    /// Records that an endpoint did not take a call.
    pub(crate) fn note_refused(&self, endpoint: &Endpoint, sent_at: Moment) {
        let now = Moment::now();
        self.with_queue(&endpoint.service, |queue| {
            if !queue.limit.is_limited(now) {
                tracing::info!(event = "plain_calls_limited", service = %endpoint.service, endpoint = %endpoint.id);
            }
            queue.limit.note_refused(sent_at, now);
            queue
                .refused_at
                .retain(|_, at| now.since(*at) < REFUSAL_PAUSE);
            queue.refused_at.insert(endpoint.id.clone(), now);
        });
    }

    /// Records that a call ended without an answer, which a full endpoint may have caused.
    pub(crate) fn note_failed(&self, endpoint: &Endpoint, sent_at: Moment) {
        let now = Moment::now();
        self.with_queue(&endpoint.service, |queue| {
            if queue.limit.is_limited(now) {
                queue.limit.note_refused(sent_at, now);
            }
        });
    }

    /// Records an answer to a call with a latency target.
    pub(crate) fn note_answered(&self, endpoint: &Endpoint, sent_at: Moment, target: Duration) {
        let now = Moment::now();
        self.with_queue(&endpoint.service, |queue| {
            queue.limit.note_answered(sent_at, target, now);
        });
    }

    /// The most urgent waiting calls, as reported to peers.
    pub(crate) fn report_waiters(&self, max: usize, now: Moment) -> Vec<ReportedWaiter> {
        let services = self.services.borrow();
        let mut reported = Vec::new();
        for (service, queue) in services.iter() {
            // Peers with endpoints in other regions needn't yield to a request that is restricted to some.
            let waiting = queue.waiting.iter();
            let waiting = waiting.filter(|waiter| !waiter.restrictions.homes.was_restricted());
            let calls: Vec<_> = waiting.map(|waiter| waiter.call).collect();
            let order = queue.turns.order(&calls, now);
            let left = max - reported.len();
            reported.extend(order.into_iter().take(left).map(|index| {
                let waited_ms = now.since(calls[index].since).as_millis();
                ReportedWaiter {
                    service: service_key(service),
                    needs_prefill: false,
                    is_late: calls[index].is_late(now),
                    priority: calls[index].priority,
                    waited_ms: u32::try_from(waited_ms).unwrap_or(u32::MAX),
                }
            }));
        }
        reported
    }
}

/// Gets a place at an endpoint for a call, at once or in turn.
pub(crate) async fn place(
    entry: &Rc<Entry>,
    admitted: &Admitted,
    excluded: &[EndpointName],
) -> Place {
    let queue = &entry.plain_queue;
    let target = Duration::from_millis(admitted.route.target_ms);
    let team = admitted.team.as_ref();
    let begin_within = {
        let services = queue.services.borrow();
        let limit = services.get(&admitted.service).map(|queue| &queue.limit);
        limit.map_or(target, |limit| limit.begin_within(target))
    };
    let call = WaitingCall {
        priority: admitted.priority(),
        team: team.map_or(0, |team| xxh3_64(team.name.as_str().as_bytes())),
        since: admitted.arrived_at,
        in_time_until: admitted.arrived_at + begin_within,
        start_by: admitted.start_by,
    };
    let has_waiting = {
        let services = queue.services.borrow();
        services
            .get(&admitted.service)
            .is_some_and(|queue| !queue.waiting.is_empty())
    };
    let restrictions = Restrictions {
        homes: Rc::clone(&admitted.homes),
        excluded: excluded.to_vec(),
    };
    if !has_waiting {
        match find_endpoint(entry, &admitted.service, call, &restrictions) {
            Found::Endpoint(endpoint, expected) => {
                return Place::Given(begin(entry, endpoint), expected);
            }
            Found::None => return Place::NoEndpoint,
            Found::Full | Found::Limited | Found::Yielding => {}
        }
    }
    let (sender, receiver) = oneshot::channel();
    {
        let mut services = queue.services.borrow_mut();
        let service = services.entry(admitted.service.clone()).or_default();
        service.waiting.push(Waiter {
            call,
            restrictions,
            sender,
        });
    }
    queue.waiting.set(queue.waiting.get() + 1);
    queue.changes.notify();
    receiver.await.unwrap_or(Place::NoEndpoint)
}

/// Gives places to waiting calls until the entry's tasks are dropped.
pub(crate) async fn run_plain_queue(entry: Rc<Entry>) {
    loop {
        let notified = entry.plain_queue.changes.notified();
        if entry.plain_queue.waiting() > 0 {
            // After a timeout the calls are checked all the same, see `POLL_PERIOD`.
            let _ = compio::time::timeout(POLL_PERIOD, notified).await;
        } else {
            notified.await;
        }
        give_places(&entry);
    }
}

/// Gives the free places to waiting calls, and refuses those that will get none in time.
fn give_places(entry: &Rc<Entry>) {
    let now = Moment::now();
    let names: Vec<ServiceName> = {
        let services = entry.plain_queue.services.borrow();
        let waiting = services
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        waiting.map(|(name, _)| name.clone()).collect()
    };
    for service in &names {
        while give_place(entry, service, now) {}
        refuse_hopeless(entry, service, now);
    }
    let services = entry.plain_queue.services.borrow();
    let waiting = services.values().map(|queue| queue.waiting.len()).sum();
    entry.plain_queue.waiting.set(waiting);
}

/// Gives a place to the first waiting call for which an endpoint has room; returns whether there was one.
fn give_place(entry: &Rc<Entry>, service: &ServiceName, now: Moment) -> bool {
    let (order, calls, restrictions) = {
        let mut services = entry.plain_queue.services.borrow_mut();
        let Some(queue) = services.get_mut(service) else {
            return false;
        };
        queue.waiting.retain(|waiter| !waiter.sender.is_canceled());
        let calls: Vec<_> = queue.waiting.iter().map(|waiter| waiter.call).collect();
        let restrictions = queue.waiting.iter();
        let restrictions: Vec<_> = restrictions
            .map(|waiter| waiter.restrictions.clone())
            .collect();
        (queue.turns.order(&calls, now), calls, restrictions)
    };
    for index in order.into_iter().take(MAX_TRIED) {
        match find_endpoint(entry, service, calls[index], &restrictions[index]) {
            Found::Endpoint(endpoint, expected) => {
                if let Some(waiter) = take(entry, service, index, now) {
                    // The receiver may have been dropped by now; then the place is freed at once.
                    let place = Place::Given(begin(entry, endpoint), expected);
                    let _ = waiter.sender.send(place);
                }
                return true;
            }
            Found::None => {
                let mut services = entry.plain_queue.services.borrow_mut();
                let queue = services.get_mut(service);
                let waiter = queue.map(|queue| queue.waiting.swap_remove(index));
                drop(services);
                if let Some(waiter) = waiter {
                    let _ = waiter.sender.send(Place::NoEndpoint);
                }
                return true;
            }
            // Others may be allowed to use an endpoint that this call may not.
            Found::Full | Found::Yielding => {}
            Found::Limited => return false,
        }
    }
    false
}

/// Takes a call out of the queue, which got its place.
fn take(entry: &Entry, service: &ServiceName, index: usize, now: Moment) -> Option<Waiter> {
    let mut services = entry.plain_queue.services.borrow_mut();
    let queue = services.get_mut(service)?;
    let waiter = queue.waiting.swap_remove(index);
    let has_others_waiting = !queue.waiting.is_empty();
    queue
        .turns
        .note_given(waiter.call.team, has_others_waiting, now);
    Some(waiter)
}

/// Refuses the calls that will get no place in time.
fn refuse_hopeless(entry: &Entry, service: &ServiceName, now: Moment) {
    let mut services = entry.plain_queue.services.borrow_mut();
    let Some(queue) = services.get_mut(service) else {
        return;
    };
    let calls: Vec<_> = queue.waiting.iter().map(|waiter| waiter.call).collect();
    let mut refused = Vec::new();
    for (ahead, index) in queue.turns.order(&calls, now).into_iter().enumerate() {
        // Refused calls leave their places in the queue to those behind them.
        let ahead = ahead + 1 - refused.len();
        let retry_after = queue
            .turns
            .refusal(&calls[index], ahead, entry.random(), now);
        refused.extend(retry_after.map(|retry_after| (index, retry_after)));
    }
    refused.sort_unstable_by_key(|(index, _)| std::cmp::Reverse(*index));
    for (index, retry_after) in refused {
        let waiter = queue.waiting.swap_remove(index);
        let _ = waiter.sender.send(Place::Refused(retry_after));
    }
}

enum Found {
    Endpoint(Rc<Endpoint>, Option<Expectation>),
    /// All endpoints that the call may use are full.
    Full,
    /// The entry has as many calls under way as it may.
    Limited,
    /// Calls at other entries go before this one.
    Yielding,
    /// There is no endpoint that the call may use.
    None,
}

/// The best endpoint with room for a call.
fn find_endpoint(
    entry: &Entry,
    service: &ServiceName,
    call: WaitingCall,
    restrictions: &Restrictions,
) -> Found {
    let now = Moment::now();
    let rank = QueueRank {
        needs_prefill: false,
        is_late: call.is_late(now),
        priority: call.priority,
        since: call.since,
    };
    let peers = entry.peers.borrow();
    let is_yielding = peers.has_more_urgent(service_key(service), rank, now);
    drop(peers);
    let near = &entry.settings().data_centre;
    let (mut endpoints, mut usable) = candidates(
        entry,
        service,
        Stage::Whole,
        near,
        &restrictions.homes,
        &restrictions.excluded,
    );
    if endpoints.is_empty() {
        return Found::None;
    }
    let services = entry.plain_queue.services.borrow();
    if let Some(queue) = services.get(service) {
        // A late call takes nothing from those that can be in time, here or at other entries.
        let yields_all = rank.is_late && is_yielding && queue.limit.is_limited(now);
        if !queue.limit.has_room(false, now) {
            return Found::Limited;
        }
        if yields_all || !queue.limit.has_room(is_yielding, now) {
            return Found::Yielding;
        }
        let is_paused = |endpoint: &Rc<Endpoint>| {
            let refused_at = queue.refused_at.get(&endpoint.id);
            refused_at.is_some_and(|at| now.since(*at) < REFUSAL_PAUSE)
        };
        let paused: Vec<bool> = endpoints.iter().map(is_paused).collect();
        let mut index = 0..;
        endpoints.retain(|_| index.next().is_some_and(|index: usize| !paused[index]));
        let mut index = 0..;
        usable.retain(|_| index.next().is_some_and(|index: usize| !paused[index]));
    }
    choose_plain(&usable).map_or(Found::Full, |chosen| {
        let expected = expect_plain(&usable[chosen]);
        Found::Endpoint(Rc::clone(&endpoints[chosen]), expected)
    })
}

/// Records a call at an endpoint.
fn begin(entry: &Rc<Entry>, endpoint: Rc<Endpoint>) -> Placement {
    let queue = &entry.plain_queue;
    queue.with_queue(&endpoint.service, |queue| queue.limit.begin());
    let guard = CallGuard {
        entry: Rc::clone(entry),
        service: endpoint.service.clone(),
    };
    Placement::of_call(entry, endpoint, guard)
}
