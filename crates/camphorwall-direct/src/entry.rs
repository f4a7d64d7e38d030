//! State of an entry, which sends requests to endpoints itself.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use camphorwall::{
    BoxedBody, LogRing, OpenConnections, Stop, StopHandle, TaskGroup, empty_body, stop_pair,
};
use futures_channel::oneshot;
use http::StatusCode;
use hyper::Response;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};

use crate::{
    balance::{
        lengths::LengthModel, loads::Loads, placement::PlacementQueue, plain_queue::PlainQueue,
        prefixes::PrefixIndex, return_queue::ReturnQueue, speeds::Speeds,
    },
    clock::Moment,
    configuration::{Endpoint, RouteKind, Stage},
    contract::{
        homes::RequestHomes,
        quota::Quotas,
        retries::{RetryBounds, RetryBudget},
    },
    dialect::{Dialect, PromptPart},
    endpoints::{
        cold::MemberId,
        cold_limit::ColdState,
        notices::Notices,
        poison::{Block, BlockCause, Content, Fingerprint, Poison},
        registry::{Closure, Registry},
        suspicion::Suspicions,
        trials::{Trial, Trials},
    },
    fleet::peers::Peers,
    memory_pool::MemoryPool,
    metrics::{GaugeValues, Metrics},
    names::{DataCentreName, ServiceName},
    notify::Notify,
    request::{Admitted, TRANSIENT_RETRY_AFTER},
    request_log::Sampler,
    settings::DirectSettings,
    store::{
        ConfigurationTracker, NewsAges, ParsedRoutes, RecentConfigurations, RevisionLag,
        StoreMirror, centre_key,
    },
    upstream::{Connection, SendError},
};

/// Divisor of the process's memory that gives the part which is lent to connections, bodies and answers. The rest holds
/// the program, the configuration while it is read, and gaps in the heap; docs/CAPACITY.md adds it up.
const LENT_MEMORY_PART: usize = 2;

/// Time after the stop command in which new requests are still served: the load balancer removes an instance after two
/// failed probes, one a second.
const LEAVE_GRACE: Duration = Duration::from_millis(2_600);

/// Time within which a request whose answer is not a stream usually ends.
const PLAIN_REQUEST_TIME: Duration = Duration::from_secs(2);

/// Part of the shutdown time that is reserved for the exit of the process itself.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time after the bound for withdrawn keys from which on a partitioned peer certainly charges no team: the requests
/// that it admitted before the bound have been sent to endpoints by then.
const PEER_MARGIN: Duration = Duration::from_secs(1);

/// Part of the time for a configuration to come into force that is reserved for the time until this entry learns of it.
const APPLY_MARGIN: Duration = Duration::from_millis(500);

/// Pause before the entry checks whether an endpoint that broke off a request still runs.
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Maximum time that the next run of a suspected request waits for such checks. An endpoint that went dark refuses no connection.
const MAX_CRASH_CHECK_WAIT: Duration = Duration::from_millis(250);

/// Factor by which a stream's length is assumed to exceed its estimate.
const LENGTH_MARGIN: f64 = 1.3;

/// Time after which a stopping entry no longer waits for a caller that takes nothing of its answer.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);

/// Interval at which a stopping entry checks for active requests and unsent answers.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// Phase of an entry's life; each shutdown passes through them in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LifecyclePhase {
    Serving,
    /// The readiness probe fails and each answer closes its connection. New streams that are likely to exceed the
    /// remaining shutdown time are refused.
    Leaving,
    /// New streams are refused.
    Ending,
    /// All new requests are refused.
    Refusing,
}

/// State of an entry.
pub(crate) struct Entry {
    settings: RefCell<Rc<DirectSettings>>,
    settings_path: PathBuf,
    pub(crate) memory: Rc<MemoryPool>,
    pub(crate) dialect: Dialect,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) tracker: RefCell<ConfigurationTracker>,
    /// Notified when a newer configuration should be read.
    pub(crate) configuration_wanted: Notify,
    /// Notified when a configuration has been read.
    pub(crate) configuration_read: Notify,
    pub(crate) parsed_routes: RefCell<ParsedRoutes>,
    /// Configurations for the entries that follow this one.
    pub(crate) recent: RefCell<RecentConfigurations>,
    /// Copy of the store's registrations for the entries that follow this one.
    pub(crate) mirror: RefCell<StoreMirror>,
    pub(crate) news_ages: RefCell<NewsAges>,
    pub(crate) revision_lag: RefCell<RevisionLag>,
    /// Whether this entry reads the store itself.
    pub(crate) reads_store: Cell<bool>,
    /// Whether a watch of all keys of the store waits for changes.
    pub(crate) is_watching_all: Cell<bool>,
    /// Whether a call to the entry that this one follows is under way.
    pub(crate) is_following_reader: Cell<bool>,
    /// Number of times the store had been restored at its last answer; `None` before the first.
    pub(crate) store_era: Cell<Option<u64>>,
    /// Since when peers are asked what they have in force, as the store has been restored.
    peers_asked_at: Cell<Option<Moment>>,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) retries: RefCell<RetryBudget>,
    pub(crate) lengths: RefCell<LengthModel>,
    pub(crate) loads: RefCell<Loads>,
    pub(crate) speeds: RefCell<Speeds>,
    pub(crate) prefixes: RefCell<PrefixIndex>,
    pub(crate) suspicions: RefCell<Suspicions>,
    pub(crate) notices: RefCell<Notices>,
    pub(crate) cold: RefCell<ColdState>,
    pub(crate) return_queue: ReturnQueue,
    pub(crate) poison: RefCell<Poison>,
    pub(crate) trials: RefCell<Trials>,
    /// Checks under way whether an endpoint has crashed, by the request that it broke off.
    crash_checks: RefCell<HashMap<Fingerprint, u32>>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) placement_queue: PlacementQueue,
    pub(crate) plain_queue: PlainQueue,
    /// Notified when this entry's work changes in a way that should be reported to peers at once.
    pub(crate) work_changes: Notify,
    pub(crate) tasks: TaskGroup,
    pub(crate) metrics: Metrics,
    pub(crate) sampler: RefCell<Sampler>,
    log: Option<LogRing>,
    random: RefCell<SmallRng>,
    was_ready: Cell<bool>,
    phase: Cell<LifecyclePhase>,
    /// End of the shutdown time, once the stop command has come.
    ends_at: Cell<Option<Moment>>,
    /// Called at the end of the shutdown time, when the remaining requests get their final answers.
    pub(crate) ending: Stop,
    end: StopHandle,
    /// Moving average of the time that a stream takes for one token.
    time_per_token: Cell<Option<Duration>>,
    pub(crate) active_requests: Cell<usize>,
    pub(crate) caller_connections: OpenConnections,
}

/// Counts a request as active until it is dropped.
pub(crate) struct ActiveGuard(Rc<Entry>);

/// A check whether an endpoint has crashed, until it is dropped.
struct CrashCheck {
    entry: Rc<Entry>,
    fingerprint: Fingerprint,
}

impl CrashCheck {
    fn begin(entry: &Rc<Entry>, fingerprint: Fingerprint) -> Self {
        let mut checks = entry.crash_checks.borrow_mut();
        *checks.entry(fingerprint).or_default() += 1;
        Self {
            entry: Rc::clone(entry),
            fingerprint,
        }
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        let mut checks = self.entry.crash_checks.borrow_mut();
        if let Some(count) = checks.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                checks.remove(&self.fingerprint);
            }
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Whether a stream of an estimated length is likely to take longer than the time left until shutdown.
///
/// In a rolling restart, a stream that is refused at once finds another entry, while one that is cut has cost its
/// caller seconds.
pub(crate) fn stream_exceeds_time_left(
    tokens: u64,
    time_per_token: Option<Duration>,
    left: Duration,
) -> bool {
    let seconds = tokens as f64 * time_per_token.unwrap_or_default().as_secs_f64();
    seconds * LENGTH_MARGIN > left.as_secs_f64()
}

/// Names of prompt parts for the log.
fn part_list(parts: &[PromptPart]) -> String {
    let names: Vec<_> = parts.iter().map(ToString::to_string).collect();
    names.join(",")
}

fn retry_bounds(settings: &DirectSettings) -> RetryBounds {
    RetryBounds {
        share: settings.bounds.retry_share(),
        window: settings.bounds.retry_window(),
        allowance: settings.bounds.retry_allowance(),
    }
}

impl Entry {
    pub(crate) fn new(
        settings: DirectSettings,
        settings_path: PathBuf,
        dialect: Dialect,
        log: Option<LogRing>,
    ) -> Rc<Self> {
        let mut random = SmallRng::from_rng(&mut rand::rng());
        let incarnation = random.random();
        let bounds = retry_bounds(&settings);
        let centre = centre_key(&settings.data_centre);
        let peers = Peers::new(settings.peer_address, centre, &settings.seeds, incarnation);
        let mut cold = ColdState::new(MemberId::of(settings.peer_address), incarnation);
        cold.add_seeds(peers.seed_members(&settings.seeds));
        let (end, ending) = stop_pair();
        let memory_mb = settings.memory_mb;
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            settings_path,
            memory: MemoryPool::new(memory_mb, LENT_MEMORY_PART),
            dialect,
            registry: RefCell::default(),
            tracker: RefCell::default(),
            configuration_wanted: Notify::default(),
            configuration_read: Notify::default(),
            parsed_routes: RefCell::default(),
            recent: RefCell::default(),
            mirror: RefCell::default(),
            news_ages: RefCell::default(),
            revision_lag: RefCell::default(),
            reads_store: Cell::new(false),
            store_era: Cell::new(None),
            peers_asked_at: Cell::new(None),
            quotas: RefCell::new(Quotas::new(Moment::now())),
            retries: RefCell::new(RetryBudget::new(bounds, Moment::now())),
            is_following_reader: Cell::new(false),
            is_watching_all: Cell::new(false),
            lengths: RefCell::default(),
            loads: RefCell::default(),
            speeds: RefCell::default(),
            prefixes: RefCell::default(),
            suspicions: RefCell::default(),
            notices: RefCell::default(),
            cold: RefCell::new(cold),
            return_queue: ReturnQueue::default(),
            poison: RefCell::default(),
            trials: RefCell::default(),
            crash_checks: RefCell::default(),
            peers: RefCell::new(peers),
            placement_queue: PlacementQueue::default(),
            plain_queue: PlainQueue::default(),
            work_changes: Notify::default(),
            tasks: TaskGroup::default(),
            metrics: Metrics::default(),
            sampler: RefCell::new(Sampler::new(Moment::now())),
            log,
            random: RefCell::new(random),
            was_ready: Cell::new(false),
            phase: Cell::new(LifecyclePhase::Serving),
            ends_at: Cell::new(None),
            ending,
            end,
            time_per_token: Cell::new(None),
            active_requests: Cell::new(0),
            caller_connections: OpenConnections::default(),
        })
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<DirectSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts other settings in force.
    #[cfg(test)]
    pub(crate) fn replace_settings(&self, settings: DirectSettings) {
        self.settings.replace(Rc::new(settings));
    }

    /// Reads the settings file again and applies changes; changed addresses apply at the next start.
    pub(crate) fn reload(&self) {
        let settings = match DirectSettings::read(&self.settings_path) {
            Ok(settings) => settings,
            Err(error) => {
                tracing::warn!(event = "settings_not_usable", %error);
                return;
            }
        };
        if settings == *self.settings() {
            return;
        }
        tracing::info!(event = "settings_reloaded");
        self.retries
            .borrow_mut()
            .set_bounds(retry_bounds(&settings));
        self.peers.borrow_mut().add_seeds(&settings.seeds);
        let members = self.peers.borrow().seed_members(&settings.seeds);
        self.cold.borrow_mut().add_seeds(members);
        self.memory.set_memory(settings.memory_mb);
        self.settings.replace(Rc::new(settings));
    }

    /// A uniform random number in 0..1.
    pub(crate) fn random(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    pub(crate) fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *self.random.borrow_mut());
    }

    pub(crate) fn begin_request(self: &Rc<Self>) -> ActiveGuard {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveGuard(Rc::clone(self))
    }

    /// Whether the entry has received the stop command.
    pub(crate) fn is_leaving(&self) -> bool {
        self.phase.get() != LifecyclePhase::Serving
    }

    /// Whether a new request is refused because the process may stop before its answer ends.
    pub(crate) fn is_refusing(&self, kind: RouteKind, output_estimate_tokens: Option<u64>) -> bool {
        match (self.phase.get(), kind) {
            (LifecyclePhase::Leaving, RouteKind::Stream { .. }) => {
                let left = self
                    .ends_at
                    .get()
                    .map(|ends_at| ends_at.since(Moment::now()));
                let time_per_token = self.time_per_token.get();
                stream_exceeds_time_left(
                    output_estimate_tokens.unwrap_or(0),
                    time_per_token,
                    left.unwrap_or_default(),
                )
            }
            (LifecyclePhase::Ending, kind) => matches!(kind, RouteKind::Stream { .. }),
            (LifecyclePhase::Serving | LifecyclePhase::Leaving, _) => false,
            (LifecyclePhase::Refusing, _) => true,
        }
    }

    /// Records how long a complete stream took for its tokens.
    pub(crate) fn note_time_per_token(&self, tokens: u32, time: Duration) {
        if tokens > 0 {
            let time_per_token = time / tokens;
            let known = self.time_per_token.get();
            let next = known.map_or(time_per_token, |known| {
                known.mul_f64(0.9) + time_per_token.mul_f64(0.1)
            });
            self.time_per_token.set(Some(next));
        }
    }

    /// Usual pause between the events of a stream.
    pub(crate) fn usual_pause(&self, event_tokens: u32) -> Option<Duration> {
        let time_per_token = self.time_per_token.get();
        time_per_token.map(|time| time * event_tokens)
    }

    /// Takes one retry from this entry's part of the fleet's retry budget; returns whether there was one.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = Moment::now();
        let divisor = self.peers.borrow().shares.divisor(now);
        let mut retries = self.retries.borrow_mut();
        let is_taken = retries.take(service, divisor, now);
        self.metrics.count_retry(is_taken);
        is_taken
    }

    /// Returns a retry that reached no endpoint.
    pub(crate) fn return_retry(&self, service: &ServiceName) {
        self.retries.borrow_mut().give_back(service);
    }

    /// Whether plain calls of a service wait here for endpoints with room: where the settings say so, and else where requests of
    /// different priorities compete for them or endpoints state how long work takes on machines that they share.
    pub(crate) fn queues_plain_calls(&self, service: &ServiceName) -> bool {
        let settings = self.settings();
        let setting = settings.queue_plain_calls;
        let shares_machines = || {
            let speeds = self.speeds.borrow();
            speeds.is_in_effect(service, settings.expected_times, Moment::now())
        };
        let registry = self.registry.borrow();
        self.plain_queue
            .is_on(setting, registry.configuration(), service)
            || (setting.is_none() && shares_machines())
    }

    /// Share of each team's rate that this entry may spend.
    pub(crate) fn quota_share(&self, now: Moment) -> f64 {
        let peers = self.peers.borrow();
        peers.shares.rate_share(self.keys_rejected_after(), now)
    }

    /// Records a send that got no answer; returns whether the request may have reached the endpoint.
    pub(crate) fn note_send_error(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        admitted: &Admitted,
        sent_at: Moment,
        error: &SendError,
    ) -> bool {
        let now = Moment::now();
        let mut suspicions = self.suspicions.borrow_mut();
        match error {
            SendError::NotSent { .. } => {
                suspicions.note_unreachable(&endpoint.id, now);
                false
            }
            SendError::Broken { .. } => {
                suspicions.note_failure(&endpoint.id, now);
                self.check_for_crash(endpoint, admitted, sent_at, 0);
                true
            }
        }
    }

    /// Whether a request that was placed at an endpoint may be sent to it.
    pub(crate) fn may_send(&self, endpoint: &Endpoint, homes: &RequestHomes) -> bool {
        let now = Moment::now();
        if !self.homes_filter(homes)(&endpoint.data_centre) {
            return false;
        }
        let notices = self.notices.borrow();
        self.registry.borrow().takes_work(endpoint, now)
            && notices.may_send(endpoint.incarnation(), now)
    }

    /// Returns whether a request with these homes may be served in a data centre, by the configuration in force.
    pub(crate) fn homes_filter(
        &self,
        homes: &RequestHomes,
    ) -> impl Fn(&DataCentreName) -> bool + use<> {
        let allowed = homes.allowed(&self.registry.borrow());
        let settings = self.settings();
        move |data_centre| {
            !allowed.is_restricted() || allowed.permits(settings.region_of(data_centre))
        }
    }

    /// Why evacuations or its homes keep a request from all endpoints of a service.
    pub(crate) fn closure(
        &self,
        service: &ServiceName,
        stage: Stage,
        homes: &RequestHomes,
    ) -> Option<Closure> {
        let registry = self.registry.borrow();
        let settings = self.settings();
        let allowed = homes.allowed(&registry);
        if allowed.is_restricted() && !allowed.listed().any(|region| settings.has_region(region)) {
            return Some(Closure::NoRegion);
        }
        registry.closure(service, stage, self.homes_filter(homes), Moment::now())
    }

    /// Rejects the waiting requests that evacuations or their homes keep from all endpoints.
    pub(crate) fn reject_closed(&self) {
        self.placement_queue.reject(|request| {
            let closure = self.closure(&request.service, Stage::Decode, &request.homes);
            closure.is_some()
        });
    }

    /// Checks in the background whether an endpoint that broke off a request after a number of events has crashed.
    pub(crate) fn check_for_crash(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        admitted: &Admitted,
        sent_at: Moment,
        events: u32,
    ) {
        drop(self.begin_crash_check(endpoint, admitted, sent_at, events));
    }

    /// Returns whether an endpoint that ended its answer after a number of events is still reachable. A crash is recorded even
    /// if the caller leaves meanwhile.
    pub(crate) async fn is_still_reachable(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        admitted: &Admitted,
        sent_at: Moment,
        events: u32,
    ) -> bool {
        let check = self.begin_crash_check(endpoint, admitted, sent_at, events);
        // The check is cancelled when the process ends.
        check.await.unwrap_or(false)
    }

    /// Starts a check whether an endpoint still accepts connections. One that only lost an answer or reset a connection does.
    fn begin_crash_check(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        admitted: &Admitted,
        sent_at: Moment,
        events: u32,
    ) -> oneshot::Receiver<bool> {
        let (result, receiver) = oneshot::channel();
        let broke_at = Moment::now();
        let entry = Rc::clone(self);
        let (id, address) = (endpoint.id.clone(), endpoint.address);
        let crash = endpoint.incarnation();
        let request_log = Rc::clone(&admitted.request_log);
        let content = Rc::clone(&admitted.content);
        let check = CrashCheck::begin(self, content.fingerprint);
        self.tasks.spawn(async move {
            let _check = check;
            compio::time::sleep(CRASH_CHECK_PAUSE).await;
            if Connection::open(address).await.is_ok() {
                // The receiver may have been dropped.
                let _ = result.send(true);
                return;
            }
            let now = Moment::now();
            tracing::info!(
                event = "endpoint_crashed",
                endpoint = %id,
                request_id = &*request_log.id,
                events,
                shared_parts = part_list(&content.shared_parts),
                fingerprint = content.fingerprint.0,
            );
            entry.suspicions.borrow_mut().note_unreachable(&id, now);
            let mut poison = entry.poison.borrow_mut();
            poison.note_crash(crash, &content, events, sent_at, broke_at);
            drop(poison);
            entry.work_changes.notify();
            entry.apply_suspect(&content);
            let _ = result.send(false);
        });
        receiver
    }

    /// Waits until it is known whether the endpoints that broke a request off have crashed, if another one crashed on it before.
    /// Its next run would overtake the news, and crash one more.
    pub(crate) async fn await_crash_checks(&self, fingerprint: Fingerprint) {
        let until = Moment::now() + MAX_CRASH_CHECK_WAIT;
        let is_checking = || {
            self.crash_checks.borrow().contains_key(&fingerprint)
                && self.poison.borrow().is_suspected(fingerprint)
        };
        while is_checking() && Moment::now() < until {
            compio::time::sleep(CRASH_CHECK_PAUSE / 4).await;
        }
    }

    /// Rejects the waiting requests that a new suspect of a crash leads to be blocked, and logs the block.
    pub(crate) fn apply_suspect(&self, content: &Content) {
        let now = Moment::now();
        let poison = self.poison.borrow();
        let block = poison.block(content);
        let Some(block) = block.filter(|block| block.is_in_force(now)) else {
            return;
        };
        let for_s = block.until.since(now).as_secs();
        match block.cause {
            BlockCause::Request => {
                let fingerprint = content.fingerprint.0;
                let crashes = block.crashes;
                tracing::warn!(event = "request_blocked", fingerprint, crashes, for_s);
            }
            BlockCause::Parts(parts) => {
                let parts = part_list(&parts);
                let crashes = block.crashes;
                tracing::warn!(event = "prompt_parts_blocked", parts, crashes, for_s);
            }
        }
        self.placement_queue.reject(|request| {
            let block = poison.block(&request.content);
            block.is_some_and(|block| block.is_in_force(now))
        });
    }

    /// Why a request is refused as one that crashes endpoints; `None` if it may be sent, also if that is a trial.
    pub(crate) fn refusing_block(&self, content: &Content, now: Moment) -> Option<Block> {
        let block = self.poison.borrow().block(content)?;
        (!self.may_try(&block, now)).then_some(block)
    }

    /// Begins the trial of a request if it is blocked; fails with the block if this entry may not try it now.
    pub(crate) fn try_blocked(
        self: &Rc<Self>,
        content: &Content,
        now: Moment,
    ) -> Result<Option<Trial>, Block> {
        let Some(block) = self.poison.borrow().block(content) else {
            return Ok(None);
        };
        if !self.may_try(&block, now) {
            return Err(block);
        }
        let (fingerprint, crashes) = (content.fingerprint.0, block.crashes);
        tracing::info!(event = "blocked_request_tried", fingerprint, cause = ?block.cause, crashes);
        Ok(Some(Trial::begin(self, &block, now)))
    }

    fn may_try(&self, block: &Block, now: Moment) -> bool {
        !block.is_in_force(now) && {
            let rank = self.peers.borrow().rank(block.key, now);
            self.trials.borrow().may_begin(block, rank, now)
        }
    }

    /// Whether a route or a key that is not in the configuration in force may be in a newer one.
    pub(crate) fn may_be_outdated(&self, now: Moment) -> bool {
        let registry = self.registry.borrow();
        let is_proved = registry.has_fresh_proof(now) && !registry.withholds_proofs();
        self.tracker.borrow().is_outdated() || !is_proved
    }

    /// Withholds the proofs of a store that has been restored until the peers have reported what they have in force: it may
    /// have lost a newer configuration.
    pub(crate) fn withhold_proofs_until_peers_report(&self, now: Moment) {
        self.registry.borrow_mut().withhold_proofs();
        self.peers_asked_at.set(Some(now));
        self.release_proofs_if_peers_reported(now);
    }

    /// Releases the proofs once all peers have reported that can.
    pub(crate) fn release_proofs_if_peers_reported(&self, now: Moment) {
        let Some(asked_at) = self.peers_asked_at.get() else {
            return;
        };
        if !self.peers.borrow().have_reported_since(asked_at, now) {
            return;
        }
        self.peers_asked_at.set(None);
        if self.registry.borrow_mut().release_proofs() {
            let waited_ms = now.since(asked_at).as_millis();
            tracing::info!(event = "peers_reported", waited_ms);
        }
    }

    /// Whether a newer configuration is known that must be in force by now but could not be read.
    pub(crate) fn is_configuration_overdue(&self, now: Moment) -> bool {
        let apply = self.settings().bounds.configuration_apply();
        let outdated_for = self.tracker.borrow().outdated_for(now);
        outdated_for.is_some_and(|time| time >= apply.saturating_sub(APPLY_MARGIN))
    }

    /// Whether this entry serves callers, also those with keys.
    pub(crate) fn is_serving(&self, now: Moment) -> bool {
        let registry = self.registry.borrow();
        registry.configuration().is_some()
            && self.are_keys_open(now)
            && !self.is_configuration_overdue(now)
            && registry.evacuations.is_listed()
            && registry.has_endpoints()
            && !self.is_leaving()
    }

    fn are_keys_open(&self, now: Moment) -> bool {
        let registry = self.registry.borrow();
        let has_teams = registry
            .configuration()
            .is_some_and(|current| current.has_teams);
        let key_withdrawal = self.settings().bounds.key_withdrawal();
        !has_teams || registry.keys_are_fresh(now, key_withdrawal)
    }

    /// Whether the load balancer should send callers here; logs a change.
    fn is_ready(&self) -> bool {
        let now = Moment::now();
        let is_ready = self.is_serving(now);
        if self.was_ready.replace(is_ready) != is_ready {
            let registry = self.registry.borrow();
            tracing::info!(
                event = "readiness_changed",
                is_ready,
                configuration = registry.configuration().map(|current| current.version),
                are_keys_open = self.are_keys_open(now),
                outdated_for_s = self
                    .tracker
                    .borrow()
                    .outdated_for(now)
                    .map(|time| time.as_secs_f64()),
                proof_age_s = registry.proof_age(now).map(|age| age.as_secs_f64()),
                has_endpoints = registry.has_endpoints(),
                is_leaving = self.is_leaving(),
            );
        }
        is_ready
    }

    /// Retry-After of a request that is refused for a cause within this entry. Callers retry at another entry, so they
    /// need not wait if one serves.
    pub(crate) fn retry_elsewhere_after(&self) -> Duration {
        if self.peers.borrow().is_any_serving(Moment::now()) {
            Duration::ZERO
        } else {
            TRANSIENT_RETRY_AFTER
        }
    }

    pub(crate) fn answer_probe(&self) -> Response<BoxedBody> {
        let mut response = Response::new(empty_body());
        if !self.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    pub(crate) fn answer_scrape(&self) -> Response<BoxedBody> {
        let now = Moment::now();
        let registry = self.registry.borrow();
        let peers = self.peers.borrow();
        let configuration = registry.configuration();
        self.metrics.response(GaugeValues {
            configuration_version: configuration.map_or(0, |current| current.version),
            keys_proof_age: registry.proof_age(now),
            configuration_outdated: self.tracker.borrow().outdated_for(now),
            stuck: self.tracker.borrow().stuck().map(|stuck| {
                let time = now.since(stuck.since);
                (stuck.cause.reason, stuck.version(), time)
            }),
            unreadable_parts: configuration.map_or(0, |current| current.unreadable.count()),
            cold_endpoints: self.cold_endpoints(),
            active: self.active_requests.get(),
            waiting: self.placement_queue.waiting() + self.plain_queue.waiting(),
            peers_known: peers.count() - 1,
            peers_silent: peers.silent(self.keys_rejected_after(), now),
            allowance_entries: peers.shares.divisor(now).unwrap_or(0),
            evacuated_centres: registry.evacuated_centres(),
            reads_store: self.reads_store.get(),
            store_era: self.store_era.get().unwrap_or(0),
            log_lines_dropped: self.log.as_ref().map_or(0, LogRing::dropped),
            memory_held_bytes: self.memory.held_bytes(),
            memory_limit_bytes: self.memory.limit_bytes(),
        })
    }

    /// Silence after which a partitioned peer accepts no more keys.
    fn keys_rejected_after(&self) -> Duration {
        self.settings().bounds.key_withdrawal() + PEER_MARGIN
    }

    /// Whether a request is active, or its answer is still being sent.
    fn has_work(&self) -> bool {
        let unsent = self.caller_connections.unsent_answers(CALLER_PATIENCE);
        self.active_requests.get() > 0 || unsent > 0
    }

    /// Passes through the phases of the shutdown; returns once no request is active and all answers have been sent, or the
    /// shutdown time has passed. The requests that are left then get their final answers.
    pub(crate) async fn leave(&self) {
        let deadline = Moment::now()
            + self
                .settings()
                .bounds
                .shutdown()
                .saturating_sub(EXIT_MARGIN);
        self.ends_at.set(Some(deadline));
        self.phase.set(LifecyclePhase::Leaving);
        compio::time::sleep(LEAVE_GRACE).await;
        self.phase.set(LifecyclePhase::Ending);
        while self.has_work() && Moment::now() < deadline {
            if Moment::now() + PLAIN_REQUEST_TIME >= deadline {
                self.phase.set(LifecyclePhase::Refusing);
            }
            compio::time::sleep(DRAIN_PERIOD).await;
        }
        self.phase.set(LifecyclePhase::Refusing);
        self.end.stop();
    }
}
