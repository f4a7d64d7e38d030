//! Requests for model engines wait here, at the entry, until a decode endpoint has room for them.

use std::{cell::RefCell, rc::Rc};

use camphorwall::{EndpointId, ServiceId};
use futures_channel::oneshot;

use crate::{
    choice::{Candidate, choose_decode},
    clock::Moment,
    configuration::{Endpoint, Stage},
    entry::Entry,
    loads::{Expected, Work, WorkId, endpoint_key},
    notify::Notify,
};

/// Share of an engine's memory that the forecast of its runs may fill.
pub(crate) const MEMORY_TRUST: f64 = 1.0;

/// Order in which waiting requests get places: the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Whether the answer can't be on time any more.
    pub(crate) is_late: bool,
    pub(crate) priority: u32,
    pub(crate) arrived_at: Moment,
}

/// A request for a decode place.
pub(crate) struct PlaceRequest {
    pub(crate) service: ServiceId,
    pub(crate) capacity_tokens: u64,
    pub(crate) expected: Expected,
    pub(crate) rank: Rank,
    /// Endpoints that have refused the request or broke it off.
    pub(crate) excluded: Vec<EndpointId>,
}

struct Waiter {
    request: PlaceRequest,
    sender: oneshot::Sender<Place>,
}

/// A place at an endpoint; dropping it frees the place.
pub(crate) struct Place {
    entry: Rc<Entry>,
    pub(crate) endpoint: Rc<Endpoint>,
    work: WorkId,
}

impl Place {
    /// Notes work at an endpoint.
    pub(crate) fn take(entry: &Rc<Entry>, endpoint: Rc<Endpoint>, work: Work) -> Self {
        let work = entry.loads.borrow_mut().begin(&endpoint.id, work);
        entry.placements.notify();
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

impl Drop for Place {
    fn drop(&mut self) {
        let is_growing = self.entry.loads.borrow_mut().end(self.work);
        if is_growing {
            self.entry.placements.notify();
        }
        self.entry.placed.changed();
    }
}

/// Waiting requests of an entry.
#[derive(Default)]
pub(crate) struct Placing {
    waiters: RefCell<Vec<Waiter>>,
    changes: Notify,
}

impl Placing {
    /// Tells that a place may have become free.
    pub(crate) fn changed(&self) {
        self.changes.notify();
    }

    /// Waits for a place; dropping the future gives the turn up.
    pub(crate) async fn place(&self, request: PlaceRequest) -> Option<Place> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.waiters.borrow_mut();
            let after = waiters.partition_point(|waiter| waiter.request.rank <= request.rank);
            waiters.insert(after, Waiter { request, sender });
        }
        self.changed();
        receiver.await.ok()
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }
}

/// Gives places to waiting requests until the entry's tasks are dropped.
pub(crate) async fn give_places(entry: Rc<Entry>) {
    loop {
        entry.placed.changes.changed().await;
        give_free_places(&entry);
    }
}

fn give_free_places(entry: &Rc<Entry>) {
    let mut waiters = entry.placed.waiters.borrow_mut();
    waiters.retain(|waiter| !waiter.sender.is_canceled());
    let mut index = 0;
    // A request for which there is no room holds back the less urgent ones of its service, or large ones would starve.
    let mut blocked: Vec<ServiceId> = Vec::new();
    while index < waiters.len() {
        let request = &waiters[index].request;
        if blocked.contains(&request.service) {
            index += 1;
            continue;
        }
        let Some(endpoint) = find(entry, request) else {
            blocked.push(request.service.clone());
            index += 1;
            continue;
        };
        let place = Place::take(entry, endpoint, Work::Growing(request.expected));
        let waiter = waiters.remove(index);
        // The receiver may be gone by now; its place is freed at once.
        if let Err(place) = waiter.sender.send(place) {
            drop(place);
        }
    }
}

fn find(entry: &Entry, request: &PlaceRequest) -> Option<Rc<Endpoint>> {
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
        MEMORY_TRUST,
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
