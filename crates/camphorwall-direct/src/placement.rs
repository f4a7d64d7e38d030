//! Requests for model engines wait here, at the entry, until a decode endpoint has room for them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use camphorwall::{EndpointId, ServiceId};
use futures_channel::oneshot;

use crate::{
    choice::{Candidate, choose_decode},
    clock::Moment,
    configuration::{Endpoint, Stage},
    entry::Entry,
    loads::{ForecastRun, Work, WorkId, endpoint_key, service_key},
    notify::Notify,
};

/// Share of an engine's memory that the forecast of its runs may fill. With 1.0 twice as many prompts were read again.
const MEMORY_TRUST: f64 = 0.95;

/// The same for a request that can't be in time. The rest is left for those that come next and can be: at 13 requests/s
/// 0.792 were in time with 0.95, 0.809 with 0.85.
const LATE_MEMORY_TRUST: f64 = 0.85;

/// Share of an engine's memory that the forecast may fill with a request.
pub(crate) const fn kv_fill_limit(is_late: bool) -> f64 {
    if is_late {
        LATE_MEMORY_TRUST
    } else {
        MEMORY_TRUST
    }
}

/// Order in which waiting requests get places: the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueRank {
    /// Whether the answer can't be on time any more.
    pub(crate) is_late: bool,
    pub(crate) priority: u32,
    /// Since when it waits. For a late one, since its caller's first try, as its remaining time shows.
    pub(crate) since: Moment,
}

/// Time between the turns of two requests that wait at different entries: the way of a word between data centres, and
/// its taking in.
const TURN: Duration = Duration::from_millis(6);

/// Longest time between two looks for room while requests wait: no word comes of a peer that has died with its own waiting.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Turns after room may have become free. The requests behind wait until it may have become so again.
const MAX_TURNS: usize = 6;

/// Most waiting requests that peers are told of.
const MAX_TOLD_WAITING: usize = 8;

/// A request that waits at an entry, as its peers are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct ReportedWaiter {
    /// Short name of the service.
    pub(crate) service: u64,
    pub(crate) is_late: bool,
    pub(crate) priority: u32,
    pub(crate) waited_ms: u32,
}

/// The turn in which a request looks for room when some at other entries go before it; `None` when too many do.
///
/// The load that this answers: tens of entries with requests that wait. All hear of the room that an ended run leaves at
/// the same moment; if all took it, the engine would get several times what it has room for.
#[must_use]
pub(crate) fn scheduling_round(ahead: usize) -> Option<usize> {
    (ahead < MAX_TURNS).then_some(ahead)
}

/// A request for a decode place.
pub(crate) struct PlacementRequest {
    pub(crate) service: ServiceId,
    pub(crate) capacity_tokens: u64,
    pub(crate) expected: ForecastRun,
    pub(crate) rank: QueueRank,
    /// Endpoints that have refused the request or broke it off.
    pub(crate) excluded: Vec<EndpointId>,
    /// Whether peers have been told that it waits.
    pub(crate) is_reported: Cell<bool>,
}

struct Waiter {
    request: PlacementRequest,
    sender: oneshot::Sender<Placement>,
}

/// A place at an endpoint; dropping it frees the place.
pub(crate) struct Placement {
    entry: Rc<Entry>,
    pub(crate) endpoint: Rc<Endpoint>,
    work: WorkId,
}

impl Placement {
    /// Notes work at an endpoint.
    pub(crate) fn new(entry: &Rc<Entry>, endpoint: Rc<Endpoint>, work: Work) -> Self {
        let work = entry.loads.borrow_mut().begin(&endpoint.id, work);
        entry.work_changes.notify();
        Self {
            entry: Rc::clone(entry),
            endpoint,
            work,
        }
    }

    /// Notes tokens that were generated.
    pub(crate) fn advance(&self, tokens: u32) {
        self.entry.loads.borrow_mut().advance(self.work, tokens);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let is_growing = self.entry.loads.borrow_mut().end(self.work);
        if is_growing {
            self.entry.work_changes.notify();
        }
        self.entry.placement_queue.notify();
    }
}

/// Waiting requests of an entry.
#[derive(Default)]
pub(crate) struct PlacementQueue {
    waiters: RefCell<Vec<Waiter>>,
    changes: Notify,
}

impl PlacementQueue {
    /// Tells that a place may have become free.
    pub(crate) fn notify(&self) {
        self.changes.notify();
    }

    /// Waits for a place; dropping the future gives the turn up.
    pub(crate) async fn place(&self, request: PlacementRequest) -> Option<Placement> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.waiters.borrow_mut();
            let after = waiters.partition_point(|waiter| waiter.request.rank <= request.rank);
            waiters.insert(after, Waiter { request, sender });
        }
        self.notify();
        receiver.await.ok()
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// The first of the requests that wait, for peers.
    pub(crate) fn report_waiters(&self, now: Moment) -> Vec<ReportedWaiter> {
        let waiters = self.waiters.borrow();
        let told = |waiter: &Waiter| {
            let PlacementRequest { service, rank, .. } = &waiter.request;
            let waited_ms = now.since(rank.since).as_millis();
            ReportedWaiter {
                service: service_key(service),
                is_late: rank.is_late,
                priority: rank.priority,
                waited_ms: u32::try_from(waited_ms).unwrap_or(u32::MAX),
            }
        };
        waiters.iter().take(MAX_TOLD_WAITING).map(told).collect()
    }
}

/// Gives places to waiting requests until the entry's tasks are dropped.
pub(crate) async fn run_placement_queue(entry: Rc<Entry>) {
    loop {
        let changed = entry.placement_queue.changes.notified();
        if entry.placement_queue.waiting() > 0 {
            // A look without a change is as good as one after it.
            let _ = compio::time::timeout(LOOK_PERIOD, changed).await;
        } else {
            changed.await;
        }
        let mut present = 0;
        while let Some(next) = give_free_places(&entry, present) {
            let turns = u32::try_from(next - present).unwrap_or(1);
            compio::time::sleep(TURN * turns).await;
            present = next;
        }
    }
}

/// Gives places to those whose turn has come; returns the next turn in which somebody's comes.
fn give_free_places(entry: &Rc<Entry>, present: usize) -> Option<usize> {
    let mut waiters = entry.placement_queue.waiters.borrow_mut();
    waiters.retain(|waiter| !waiter.sender.is_canceled());
    let now = Moment::now();
    let mut index = 0;
    let mut next: Option<usize> = None;
    let mut is_left = false;
    // A request for which there is no room holds back the less urgent ones of its service, or large ones would starve.
    let mut blocked: Vec<ServiceId> = Vec::new();
    while index < waiters.len() {
        let request = &waiters[index].request;
        if blocked.contains(&request.service) {
            index += 1;
            continue;
        }
        let service = service_key(&request.service);
        let ahead = entry.peers.borrow().ahead_of(service, request.rank, now);
        let own_turn = scheduling_round(ahead);
        let is_due = own_turn.is_some_and(|own_turn| own_turn <= present);
        let found = is_due.then(|| find(entry, request)).flatten();
        let Some(endpoint) = found else {
            let later = own_turn.filter(|_| !is_due);
            next = next.into_iter().chain(later).min();
            blocked.push(request.service.clone());
            is_left |= !request.is_reported.replace(true);
            index += 1;
            continue;
        };
        let place = Placement::new(entry, endpoint, Work::Growing(request.expected));
        let waiter = waiters.remove(index);
        // The receiver may be gone by now; its place is freed at once.
        if let Err(place) = waiter.sender.send(place) {
            drop(place);
        }
    }
    if is_left {
        // The others give it its turn once they know of it.
        entry.work_changes.notify();
    }
    next
}

fn find(entry: &Entry, request: &PlacementRequest) -> Option<Rc<Endpoint>> {
    let (endpoints, candidates) = candidates(
        entry,
        &request.service,
        Stage::Decode,
        &entry.settings().data_centre,
        &request.excluded,
    );
    let chosen = choose_decode(
        &candidates,
        request.expected.run,
        request.capacity_tokens,
        kv_fill_limit(request.rank.is_late),
    )?;
    Some(Rc::clone(&endpoints[chosen]))
}

/// Endpoints of a service with what is known of them, as seen from a data centre.
pub(crate) fn candidates(
    entry: &Entry,
    service: &ServiceId,
    stage: Stage,
    near: &camphorwall::DataCentreId,
    excluded: &[EndpointId],
) -> (Vec<Rc<Endpoint>>, Vec<Candidate>) {
    let now = Moment::now();
    let registry = entry.registry.borrow();
    let loads = entry.loads.borrow();
    let suspicions = entry.suspicions.borrow();
    let mut endpoints: Vec<_> = registry
        .endpoints(service, stage, now)
        .filter(|endpoint| !excluded.contains(&endpoint.id))
        .cloned()
        .collect();
    // Entries that rank alike must not all choose the same one.
    entry.shuffle(&mut endpoints);
    let mut runs = loads.by_endpoint();
    let candidates = endpoints
        .iter()
        .map(|endpoint| Candidate {
            runs: runs.remove(&endpoint_key(&endpoint.id)).unwrap_or_default(),
            slots: endpoint.slots,
            is_near: endpoint.data_centre == *near,
            is_unreachable: suspicions.is_unreachable(&endpoint.id, now),
            failure_share: suspicions.failure_share(&endpoint.id, now),
        })
        .collect();
    (endpoints, candidates)
}
