//! Queue of requests that wait at the entry until a decode endpoint has free capacity for them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use futures_channel::oneshot;

use crate::{
    balance::{
        choice::{Candidate, FillLimit, choose_decode},
        loads::{ForecastRun, Run, Work, WorkId, endpoint_key, service_key},
        plain_queue::CallGuard,
        prefixes::CacheState,
    },
    clock::Moment,
    configuration::{Endpoint, Stage},
    contract::homes::{AllowedRegions, RequestHomes},
    dialect::SizedPart,
    endpoints::{cold_limit::Warmth, notices::Availability, poison::Content},
    entry::Entry,
    names::{EndpointName, ServiceName},
    notify::Notify,
};

/// Share of an engine's KV cache capacity that is reserved for later requests that can be in time. Without it, fewer
/// requests are in time under overload.
const ON_TIME_RESERVE: f64 = 0.1;

/// Tokens kept free on an engine, as a share of the tokens that its runs are still expected to generate.
const LENGTH_MARGIN: f64 = 0.25;

/// How far an engine's KV cache may be filled with a request included.
pub(crate) const fn kv_fill_limit(is_late: bool) -> FillLimit {
    let reserve = if is_late { ON_TIME_RESERVE } else { 0.0 };
    FillLimit {
        share: 1.0 - reserve,
        length_margin: LENGTH_MARGIN,
    }
}

/// Rank of a waiting request in the queue; the lowest is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueRank {
    /// Whether the prompt is still to be prefilled. A request whose KV cache is ready goes first: the cache expires within
    /// a fraction of a second, and the prefill would be wasted.
    pub(crate) needs_prefill: bool,
    /// Whether the answer can't be in time any more.
    pub(crate) is_late: bool,
    pub(crate) priority: u32,
    /// When the request began to wait. For a late one, when its caller first tried, as derived from its remaining time.
    pub(crate) since: Moment,
}

/// Length of a scheduling round. Within it, a heartbeat that reports a placement reaches entries in other data centres
/// and is processed there.
const ROUND_DURATION: Duration = Duration::from_millis(6);

/// Longest time between two attempts to place waiting requests. Polls even without a notification because a peer that
/// died with requests waiting ahead of these sends none.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Number of scheduling rounds after capacity may have become free. Requests further behind wait until it may have
/// become free again.
const MAX_ROUNDS: usize = 6;

/// Maximum number of waiting requests that are reported to peers.
pub(crate) const MAX_REPORTED_WAITERS: usize = 8;

/// A request that waits at an entry, as reported to its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct ReportedWaiter {
    /// Hash of the service's name, see [`service_key`].
    pub(crate) service: u64,
    pub(crate) needs_prefill: bool,
    pub(crate) is_late: bool,
    pub(crate) priority: u32,
    pub(crate) waited_ms: u32,
}

/// Scheduling round in which a request may be placed when `ahead` requests at other entries go before it; `None` when
/// too many do.
///
/// With requests waiting at tens of entries, all entries learn at the same moment of the capacity that an ended run
/// frees. If all used it at once, the engine would get several times what it has capacity for.
#[must_use]
pub(crate) fn scheduling_round(ahead: usize) -> Option<usize> {
    (ahead < MAX_ROUNDS).then_some(ahead)
}

/// A request for placement at a decode endpoint.
pub(crate) struct PlacementRequest {
    pub(crate) service: ServiceName,
    pub(crate) capacity_tokens: u64,
    pub(crate) forecast: ForecastRun,
    pub(crate) rank: QueueRank,
    /// Last moment at which an endpoint can begin the request while its caller still waits.
    pub(crate) start_by: Moment,
    pub(crate) content: Rc<Content>,
    pub(crate) homes: Rc<RequestHomes>,
    /// Endpoints that have refused the request or failed while running it.
    pub(crate) excluded: Vec<EndpointName>,
    /// Whether its wait has been reported to the peers.
    pub(crate) is_reported: Cell<bool>,
}

struct Waiter {
    request: PlacementRequest,
    sender: oneshot::Sender<Placement>,
}

/// Capacity for one request at an endpoint; dropping it frees the capacity.
pub(crate) struct Placement {
    entry: Rc<Entry>,
    pub(crate) endpoint: Rc<Endpoint>,
    work: WorkId,
    /// Whether the endpoint has returned from a hold-off and counts this request.
    is_trial: bool,
    /// Counts a plain call against its service's limit.
    _call: Option<CallGuard>,
}

impl Placement {
    /// Records work at an endpoint, and wakes the task that reports it to the peers.
    pub(crate) fn new(entry: &Rc<Entry>, endpoint: Rc<Endpoint>, work: Work) -> Self {
        Self::with_call(entry, endpoint, work, None)
    }

    /// Records a plain call that counts against its service's limit.
    pub(crate) fn of_call(entry: &Rc<Entry>, endpoint: Rc<Endpoint>, call: CallGuard) -> Self {
        Self::with_call(entry, endpoint, Work::Fixed(Run::default()), Some(call))
    }

    fn with_call(
        entry: &Rc<Entry>,
        endpoint: Rc<Endpoint>,
        work: Work,
        call: Option<CallGuard>,
    ) -> Self {
        let work = entry.loads.borrow_mut().begin(&endpoint.id, work);
        entry.note_chosen(&endpoint);
        entry.work_changes.notify();
        let incarnation = endpoint.incarnation();
        let is_trial = entry.notices.borrow_mut().begin_trial(incarnation);
        Self {
            entry: Rc::clone(entry),
            endpoint,
            work,
            is_trial,
            _call: call,
        }
    }

    /// Records generated tokens.
    pub(crate) fn advance(&self, tokens: u32) {
        self.entry.loads.borrow_mut().advance(self.work, tokens);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if self.is_trial {
            let incarnation = self.endpoint.incarnation();
            self.entry.notices.borrow_mut().end_trial(incarnation);
        }
        let is_growing = self.entry.loads.borrow_mut().end(self.work);
        if is_growing {
            self.entry.work_changes.notify();
        }
        self.entry.placement_queue.notify();
    }
}

/// Requests that wait at an entry, ordered by rank.
#[derive(Default)]
pub(crate) struct PlacementQueue {
    waiters: RefCell<Vec<Waiter>>,
    changes: Notify,
}

impl PlacementQueue {
    /// Wakes the placement task because capacity may have become free.
    pub(crate) fn notify(&self) {
        self.changes.notify();
    }

    /// Waits for a placement; `None` if the request is rejected. Dropping the future leaves the queue.
    pub(crate) async fn place(&self, request: PlacementRequest) -> Option<Placement> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiters = self.waiters.borrow_mut();
            let position = waiters.partition_point(|waiter| waiter.request.rank <= request.rank);
            waiters.insert(position, Waiter { request, sender });
        }
        self.notify();
        receiver.await.ok()
    }

    /// Rejects waiting requests.
    pub(crate) fn reject(&self, is_rejected: impl Fn(&PlacementRequest) -> bool) {
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !is_rejected(&waiter.request));
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// The first requests in the queue, as reported to peers.
    pub(crate) fn report_waiters(&self, now: Moment) -> Vec<ReportedWaiter> {
        let waiters = self.waiters.borrow();
        let report = |waiter: &Waiter| {
            let PlacementRequest { service, rank, .. } = &waiter.request;
            let waited_ms = now.since(rank.since).as_millis();
            ReportedWaiter {
                service: service_key(service),
                needs_prefill: rank.needs_prefill,
                is_late: rank.is_late,
                priority: rank.priority,
                waited_ms: u32::try_from(waited_ms).unwrap_or(u32::MAX),
            }
        };
        // Requests with homes wait for a few endpoints, and must not hold back those of peers for the others.
        let reported = waiters
            .iter()
            .filter(|waiter| !waiter.request.homes.was_restricted());
        reported.take(MAX_REPORTED_WAITERS).map(report).collect()
    }
}

/// Places waiting requests until the entry's tasks are dropped.
pub(crate) async fn run_placement_queue(entry: Rc<Entry>) {
    loop {
        let notified = entry.placement_queue.changes.notified();
        if entry.placement_queue.waiting() > 0 {
            // After a timeout the requests are checked all the same, see `POLL_PERIOD`.
            let _ = compio::time::timeout(POLL_PERIOD, notified).await;
        } else {
            notified.await;
        }
        let mut round = 0;
        while let Some(next) = place_waiting_requests(&entry, round) {
            let rounds = u32::try_from(next - round).unwrap_or(1);
            compio::time::sleep(ROUND_DURATION * rounds).await;
            round = next;
        }
    }
}

/// Places the requests that are due by a scheduling round. Returns the next round in which a request is due.
fn place_waiting_requests(entry: &Rc<Entry>, round: usize) -> Option<usize> {
    let mut waiters = entry.placement_queue.waiters.borrow_mut();
    waiters.retain(|waiter| !waiter.sender.is_canceled());
    let now = Moment::now();
    let mut index = 0;
    let mut next: Option<usize> = None;
    let mut is_any_unreported = false;
    // A request that doesn't fit holds back the lower-ranked ones of its service, or large requests would starve.
    let mut blocked: Vec<ServiceName> = Vec::new();
    // One with homes holds them back only there.
    let mut held: HashMap<ServiceName, Vec<Rc<AllowedRegions>>> = HashMap::new();
    while index < waiters.len() {
        let request = &waiters[index].request;
        if blocked.contains(&request.service) {
            index += 1;
            continue;
        }
        let service = service_key(&request.service);
        let ahead = entry.peers.borrow().ahead_of(service, request.rank, now);
        let due_round = scheduling_round(ahead);
        let is_due = due_round.is_some_and(|due_round| due_round <= round);
        let held_regions = held.get(&request.service).map_or(&[][..], Vec::as_slice);
        let found = is_due.then(|| find_endpoint(entry, request, held_regions));
        let found = found.flatten();
        let Some(endpoint) = found else {
            let later = due_round.filter(|_| !is_due);
            next = next.into_iter().chain(later).min();
            let allowed = request.homes.allowed(&entry.registry.borrow());
            if allowed.is_restricted() {
                let held_regions = held.entry(request.service.clone()).or_default();
                if !held_regions.contains(&allowed) {
                    held_regions.push(allowed);
                }
            } else {
                blocked.push(request.service.clone());
            }
            is_any_unreported |= !request.is_reported.replace(true);
            index += 1;
            continue;
        };
        let placement = Placement::new(entry, endpoint, Work::Growing(request.forecast));
        let waiter = waiters.remove(index);
        // The receiver may have been dropped by now; then the capacity is freed at once.
        if let Err(placement) = waiter.sender.send(placement) {
            drop(placement);
        }
    }
    if is_any_unreported {
        // Peers yield to the request only once they know that it waits.
        entry.work_changes.notify();
    }
    next
}

/// Removes the endpoints for which requests with homes that are ranked higher wait.
fn without_held(
    entry: &Entry,
    endpoints: Vec<Rc<Endpoint>>,
    candidates: Vec<Candidate>,
    held: &[Rc<AllowedRegions>],
) -> (Vec<Rc<Endpoint>>, Vec<Candidate>) {
    if held.is_empty() {
        return (endpoints, candidates);
    }
    let settings = entry.settings();
    let is_free = |(endpoint, _): &(Rc<Endpoint>, Candidate)| {
        let region = settings.region_of(&endpoint.data_centre);
        !held.iter().any(|regions| regions.permits(region))
    };
    let pairs = endpoints.into_iter().zip(candidates);
    pairs.filter(is_free).unzip()
}

fn find_endpoint(
    entry: &Entry,
    request: &PlacementRequest,
    held: &[Rc<AllowedRegions>],
) -> Option<Rc<Endpoint>> {
    let (endpoints, candidates) = candidates(
        entry,
        &request.service,
        Stage::Decode,
        &entry.settings().data_centre,
        &request.homes,
        &request.excluded,
    );
    let (endpoints, candidates) = without_held(entry, endpoints, candidates, held);
    let chosen = choose_decode(
        &candidates,
        request.forecast.run,
        request.capacity_tokens,
        kv_fill_limit(request.rank.is_late),
    )?;
    Some(Rc::clone(&endpoints[chosen]))
}

/// Endpoints of a service for a stage, in random order, and their state as seen from the data centre `near`.
pub(crate) fn candidates(
    entry: &Entry,
    service: &ServiceName,
    stage: Stage,
    near: &crate::names::DataCentreName,
    homes: &RequestHomes,
    excluded: &[EndpointName],
) -> (Vec<Rc<Endpoint>>, Vec<Candidate>) {
    let now = Moment::now();
    let registry = entry.registry.borrow();
    let loads = entry.loads.borrow();
    let suspicions = entry.suspicions.borrow();
    let notices = entry.notices.borrow();
    let cold_limit = entry.cold_limit(service);
    let mut cold = entry.cold.borrow_mut();
    let speeds = entry.speeds.borrow();
    let compares_times = speeds.is_in_effect(service, entry.settings().expected_times, now);
    let is_home = entry.homes_filter(homes);
    let mut endpoints: Vec<_> = registry
        .endpoints(service, stage, now)
        .filter(|endpoint| {
            notices.availability(endpoint, now) == Availability::Now
                && !excluded.contains(&endpoint.id)
                && cold.warmth(endpoint, cold_limit, now) != Warmth::Denied
                && is_home(&endpoint.data_centre)
        })
        .cloned()
        .collect();
    // Entries that score endpoints alike must not all choose the same one.
    entry.shuffle(&mut endpoints);
    let mut runs = loads.by_endpoint();
    let candidates = endpoints
        .iter()
        .map(|endpoint| Candidate {
            runs: runs.remove(&endpoint_key(&endpoint.id)).unwrap_or_default(),
            slots: endpoint.slots,
            is_near: endpoint.data_centre == *near,
            is_unreachable: suspicions.is_unreachable(&endpoint.id, now),
            expected_loss: suspicions.expected_loss(&endpoint.id, now),
            is_cold: cold.warmth(endpoint, cold_limit, now) != Warmth::Warm,
            speed: compares_times.then(|| speeds.expected(endpoint, now)),
        })
        .collect();
    (endpoints, candidates)
}

/// Adds to the candidates for a prefill how much of the prompt they probably hold, where choices compare expected times.
pub(crate) fn note_held_prefixes(
    entry: &Entry,
    prompt: &[SizedPart],
    capacity_tokens: u64,
    endpoints: &[Rc<Endpoint>],
    candidates: &mut [Candidate],
) {
    if prompt.is_empty() {
        return;
    }
    let now = Moment::now();
    let prefixes = entry.prefixes.borrow();
    let loads = entry.loads.borrow();
    for (endpoint, candidate) in endpoints.iter().zip(candidates) {
        if let Some(speed) = &mut candidate.speed {
            let runs = candidate.runs.iter();
            let state = CacheState {
                placed_tokens: loads.placed_tokens(&endpoint.id),
                running_tokens: runs.map(|run| u64::from(run.held_tokens)).sum(),
                capacity_tokens,
            };
            speed.held_tokens = prefixes.held_tokens(endpoint.incarnation(), prompt, state, now);
        }
    }
}
