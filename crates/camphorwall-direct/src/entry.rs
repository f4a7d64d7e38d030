//! State of an entry that reaches endpoints itself, its start and its stop.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use camphorwall::{
    BoxedBody, HttpLimits, HttpServer, LogRing, ServiceId, TaskGroup, empty_body, stop_pair,
};
use compio::net::{TcpListener, UdpSocket};
use futures_channel::mpsc;
use futures_util::{FutureExt as _, StreamExt as _};
use http::{HeaderMap, HeaderName, Request, StatusCode, header};
use hyper::{Response, body::Incoming};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use snafu::{ResultExt as _, Snafu};

use crate::{
    clock::Moment,
    configuration::{Endpoint, RouteKind},
    dialect::Dialect,
    follow,
    loads::Loads,
    metrics::{Levels, Metrics},
    peers::{self, Peers},
    placing::{self, Placing},
    poison::{Fingerprint, Poison},
    quota::{Quotas, usable_share},
    registry::Registry,
    request,
    retries::{RetryBounds, RetryBudget},
    settings::DirectSettings,
    suspicion::Suspicions,
    trail::Sampler,
    upstream::Connection,
};

/// Longest idle time of a caller's connection. Callers close earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Memory that is assumed where the settings name no limit, in MiB.
const DEFAULT_MEMORY_MB: usize = 256;

/// Part of the memory that bodies of requests may fill, as its divisor.
const BODY_MEMORY_PART: usize = 4;

/// Files that are left for other things than callers' connections and those to endpoints.
const RESERVED_FILES: usize = 300;

/// Time after the order to stop in which new requests are still served: the balancer takes an instance out after two
/// probes, one a second.
const LEAVE_GRACE: Duration = Duration::from_millis(2_600);

/// Longest time that a request which is no stream usually takes.
const SHORT_REQUEST: Duration = Duration::from_secs(2);

/// Part of the time to stop that is left for the process's own end.
const EXIT_MARGIN: Duration = Duration::from_millis(600);

/// Time beyond the bound for withdrawn keys after which a peer that is cut off takes no keys: what it had admitted by
/// then has been sent.
const PEER_MARGIN: Duration = Duration::from_secs(1);

/// Pause before an endpoint that broke off a request is asked whether it still runs.
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// What a stream's length may exceed its estimate by, as a factor.
const LENGTH_MARGIN: f64 = 1.3;

/// How often a leaving entry looks whether its work has ended.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);

/// Fields of a head that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the fields that concern one connection only.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// An entry that can't start.
#[derive(Debug, Snafu)]
#[snafu(display(
    "can't listen on {address} (field {field}): {source}; choose a free address of this machine"
))]
pub struct StartError {
    address: std::net::SocketAddr,
    field: &'static str,
    source: std::io::Error,
}

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// The settings file may have changed.
    Reload,
    /// Stop within the time of the settings.
    Stop,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Serving,
    /// Callers are guided away.
    Leaving,
    /// Streams are refused.
    Ending,
    /// All requests are refused.
    Refusing,
}

/// State of an entry.
pub(crate) struct Entry {
    settings: RefCell<Rc<DirectSettings>>,
    settings_path: PathBuf,
    body_bytes: Cell<usize>,
    pub(crate) dialect: Dialect,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) retries: RefCell<RetryBudget>,
    pub(crate) loads: RefCell<Loads>,
    pub(crate) suspicions: RefCell<Suspicions>,
    pub(crate) poison: RefCell<Poison>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) placed: Placing,
    pub(crate) tasks: TaskGroup,
    pub(crate) metrics: Metrics,
    pub(crate) sampler: RefCell<Sampler>,
    log: Option<LogRing>,
    random: RefCell<SmallRng>,
    was_ready: Cell<bool>,
    phase: Cell<Phase>,
    /// End of the time to stop, once the order came.
    ends_at: Cell<Option<Moment>>,
    /// Time that a token of a stream takes.
    token_pace: Cell<Option<Duration>>,
    active: Cell<usize>,
}

/// Counts a request as under way until it is dropped.
pub(crate) struct ActiveGuard(Rc<Entry>);

/// Bytes of a body that are held until it is dropped.
pub(crate) struct BodyGuard {
    entry: Rc<Entry>,
    bytes: usize,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        let held = self.entry.body_bytes.get();
        self.entry.body_bytes.set(held - self.bytes);
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Whether a stream of an estimated length is likely to outlast a process.
///
/// The load that this answers: a rolling restart, in which a stream that is refused at once finds another entry and one
/// that is cut has cost its caller seconds.
pub(crate) fn outlasts(tokens: u64, pace: Option<Duration>, left: Duration) -> bool {
    let seconds = tokens as f64 * pace.unwrap_or_default().as_secs_f64();
    seconds * LENGTH_MARGIN > left.as_secs_f64()
}

fn retry_bounds(settings: &DirectSettings) -> RetryBounds {
    RetryBounds {
        share: settings.bounds.retry_share(),
        window: settings.bounds.retry_window(),
        allowance: settings.bounds.retry_allowance(),
    }
}

impl Entry {
    fn new(
        settings: DirectSettings,
        settings_path: PathBuf,
        dialect: Dialect,
        log: Option<LogRing>,
    ) -> Rc<Self> {
        let mut random = SmallRng::from_rng(&mut rand::rng());
        let incarnation = random.random();
        let bounds = retry_bounds(&settings);
        let peers = Peers::new(settings.peer_address, &settings.seeds, incarnation);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            settings_path,
            body_bytes: Cell::new(0),
            dialect,
            registry: RefCell::default(),
            quotas: RefCell::default(),
            retries: RefCell::new(RetryBudget::new(bounds)),
            loads: RefCell::default(),
            suspicions: RefCell::default(),
            poison: RefCell::default(),
            peers: RefCell::new(peers),
            placed: Placing::default(),
            tasks: TaskGroup::default(),
            metrics: Metrics::default(),
            sampler: RefCell::new(Sampler::new(Moment::now())),
            log,
            random: RefCell::new(random),
            was_ready: Cell::new(false),
            phase: Cell::new(Phase::Serving),
            ends_at: Cell::new(None),
            token_pace: Cell::new(None),
            active: Cell::new(0),
        })
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<DirectSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes changed settings over; addresses stay as they are until the next start.
    fn reload(&self) {
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
        self.retries.borrow_mut().rebind(retry_bounds(&settings));
        self.peers.borrow_mut().add_seeds(&settings.seeds);
        self.settings.replace(Rc::new(settings));
    }

    /// Counts the bytes of a body that is to be held; `None` when too many are held.
    pub(crate) fn hold_body(self: &Rc<Self>, bytes: usize) -> Option<BodyGuard> {
        let held = self.body_bytes.get() + bytes;
        let limit_mb = self.settings().memory_mb.unwrap_or(DEFAULT_MEMORY_MB) / BODY_MEMORY_PART;
        if held > limit_mb * 1_024 * 1_024 {
            return None;
        }
        self.body_bytes.set(held);
        Some(BodyGuard {
            entry: Rc::clone(self),
            bytes,
        })
    }

    /// A number in 0..1.
    pub(crate) fn random(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    pub(crate) fn shuffle<T>(&self, items: &mut [T]) {
        items.shuffle(&mut *self.random.borrow_mut());
    }

    pub(crate) fn begin_request(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard(Rc::clone(self))
    }

    /// Whether callers are guided away.
    pub(crate) fn is_leaving(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// Whether a new request is refused because its answer may outlast the process.
    pub(crate) fn is_refusing(&self, kind: RouteKind, output_estimate_tokens: Option<u64>) -> bool {
        match (self.phase.get(), kind) {
            (Phase::Leaving, RouteKind::Stream { .. }) => {
                let left = self
                    .ends_at
                    .get()
                    .map(|ends_at| ends_at.since(Moment::now()));
                let pace = self.token_pace.get();
                outlasts(
                    output_estimate_tokens.unwrap_or(0),
                    pace,
                    left.unwrap_or_default(),
                )
            }
            (Phase::Ending, kind) => matches!(kind, RouteKind::Stream { .. }),
            (Phase::Serving | Phase::Leaving, _) => false,
            (Phase::Refusing, _) => true,
        }
    }

    /// Notes how long a whole stream took for its tokens.
    pub(crate) fn note_pace(&self, tokens: u32, time: Duration) {
        if tokens > 0 {
            let pace = time / tokens;
            let known = self.token_pace.get();
            let next = known.map_or(pace, |known| known.mul_f64(0.9) + pace.mul_f64(0.1));
            self.token_pace.set(Some(next));
        }
    }

    /// Takes a repeat from this entry's part of the fleet's budget.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let entries = self.peers.borrow().count();
        let mut retries = self.retries.borrow_mut();
        let is_taken = retries.take(service, entries, Moment::now());
        self.metrics.count_repeat(is_taken);
        is_taken
    }

    /// Part of each team's rate that may be spent here.
    pub(crate) fn quota_share(&self, now: Moment) -> f64 {
        let peers = self.peers.borrow();
        usable_share(peers.count(), peers.silent(self.keys_end(), now))
    }

    /// Looks whether an endpoint that broke off a request has crashed: a lost answer or a reset connection leaves it
    /// running.
    pub(crate) fn check_for_crash(self: &Rc<Self>, endpoint: &Endpoint, fingerprint: Fingerprint) {
        let entry = Rc::clone(self);
        let (id, address) = (endpoint.id.clone(), endpoint.address);
        self.tasks.spawn(async move {
            compio::time::sleep(CRASH_CHECK_PAUSE).await;
            if Connection::open(address).await.is_ok() {
                return;
            }
            let now = Moment::now();
            tracing::info!(event = "endpoint_crashed", endpoint = %id, fingerprint = fingerprint.0);
            entry.suspicions.borrow_mut().note_unreachable(&id, now);
            entry.note_crash(fingerprint);
        });
    }

    /// Notes that an endpoint crashed while it ran a request, and tells the peers.
    fn note_crash(&self, fingerprint: Fingerprint) {
        let now = Moment::now();
        let count = self.poison.borrow_mut().note_crash(fingerprint, now);
        self.peers.borrow_mut().tell_crash(fingerprint);
        if self.poison.borrow().is_blocked(fingerprint, now) {
            tracing::warn!(
                event = "request_blocked",
                fingerprint = fingerprint.0,
                count
            );
        }
    }

    /// Whether the balancer should send callers here, and notes a change.
    fn is_ready(&self) -> bool {
        let now = Moment::now();
        let registry = self.registry.borrow();
        let configuration = registry.configuration();
        let key_withdrawal = self.settings().bounds.key_withdrawal();
        let has_teams = configuration.is_some_and(|held| held.has_teams);
        let are_keys_open = !has_teams || registry.keys_are_fresh(now, key_withdrawal);
        let has_endpoints = registry.has_endpoints();
        let is_leaving = self.is_leaving();
        let is_ready = configuration.is_some() && are_keys_open && has_endpoints && !is_leaving;
        if self.was_ready.replace(is_ready) != is_ready {
            tracing::info!(
                event = "readiness_changed",
                is_ready,
                configuration = configuration.map(|held| held.version),
                are_keys_open,
                proof_age_s = registry.proof_age(now).map(|age| age.as_secs_f64()),
                has_endpoints,
                is_leaving,
            );
        }
        is_ready
    }

    fn answer_probe(&self) -> Response<BoxedBody> {
        let mut response = Response::new(empty_body());
        if !self.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn answer_scrape(&self) -> Response<BoxedBody> {
        let now = Moment::now();
        let registry = self.registry.borrow();
        let peers = self.peers.borrow();
        let configuration = registry.configuration();
        self.metrics.response(Levels {
            configuration_version: configuration.map_or(0, |held| held.version),
            keys_proof_age: registry.proof_age(now),
            active: self.active.get(),
            waiting: self.placed.waiting(),
            peers_known: peers.count() - 1,
            peers_silent: peers.silent(self.keys_end(), now),
            log_lines_dropped: self.log.as_ref().map_or(0, LogRing::dropped),
        })
    }

    /// Silence after which a peer that is cut off takes no keys.
    fn keys_end(&self) -> Duration {
        self.settings().bounds.key_withdrawal() + PEER_MARGIN
    }

    async fn leave(&self) {
        let deadline = Moment::now()
            + self
                .settings()
                .bounds
                .shutdown()
                .saturating_sub(EXIT_MARGIN);
        self.ends_at.set(Some(deadline));
        self.phase.set(Phase::Leaving);
        compio::time::sleep(LEAVE_GRACE).await;
        self.phase.set(Phase::Ending);
        while self.active.get() > 0 && Moment::now() < deadline {
            if Moment::now() + SHORT_REQUEST >= deadline {
                self.phase.set(Phase::Refusing);
            }
            compio::time::sleep(DRAIN_PERIOD).await;
        }
        self.phase.set(Phase::Refusing);
    }
}

/// Takes changes of the settings file over that no signal tells of.
async fn watch_settings(entry: Rc<Entry>) {
    loop {
        compio::time::sleep(SETTINGS_PERIOD).await;
        entry.reload();
    }
}

async fn bind(
    address: std::net::SocketAddr,
    field: &'static str,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(StartSnafu { address, field })
}

/// Serves until the order to stop, then lets running work end.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(
    settings_path: PathBuf,
    settings: DirectSettings,
    dialect: Dialect,
    log: Option<LogRing>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) -> Result<(), StartError> {
    let callers = bind(settings.caller_address, "caller_address").await?;
    let probe_listener = bind(settings.probe_address, "probe_address").await?;
    let address = settings.peer_address;
    let socket = UdpSocket::bind(address).await.context(StartSnafu {
        address,
        field: "peer_address",
    })?;
    let files = settings.max_open_files.unwrap_or(1_024);
    let limits = HttpLimits {
        head_timeout: IDLE_TIMEOUT,
        max_connections: files.saturating_sub(RESERVED_FILES).max(64) / 2,
        ..HttpLimits::default()
    };
    let entry = Entry::new(settings, settings_path, dialect, log);
    tracing::info!(event = "started", instance = %entry.settings().instance);
    let background = &entry.tasks;
    background.spawn(follow::follow(Rc::clone(&entry)));
    background.spawn(placing::give_places(Rc::clone(&entry)));
    background.spawn(peers::send_words(Rc::clone(&entry), socket.clone()));
    background.spawn(peers::receive_words(Rc::clone(&entry), socket.clone()));
    let metrics_listener = match entry.settings().metrics_address {
        Some(address) => Some(bind(address, "metrics_address").await?),
        None => None,
    };
    let (stop, stopped) = stop_pair();
    let servers = TaskGroup::default();
    let caller_server = HttpServer {
        listener: callers,
        limits,
    };
    let served = Rc::clone(&entry);
    let handler = move |request: Request<Incoming>| {
        request::answer(Rc::clone(&served), request).boxed_local()
    };
    servers.spawn(caller_server.serve(handler, stopped.clone()));
    let probe_server = HttpServer {
        listener: probe_listener,
        limits: HttpLimits::default(),
    };
    let answering = Rc::clone(&entry);
    let handler = move |_| std::future::ready(answering.answer_probe());
    servers.spawn(probe_server.serve(handler, stopped.clone()));
    if let Some(listener) = metrics_listener {
        let metrics_server = HttpServer {
            listener,
            limits: HttpLimits::default(),
        };
        let measured = Rc::clone(&entry);
        let handler = move |_| std::future::ready(measured.answer_scrape());
        servers.spawn(metrics_server.serve(handler, stopped));
    }
    background.spawn(watch_settings(Rc::clone(&entry)));
    while let Some(order) = orders.next().await {
        match order {
            Order::Reload => entry.reload(),
            Order::Stop => break,
        }
    }
    tracing::info!(event = "stopping", requests = entry.active.get());
    entry.leave().await;
    stop.stop();
    peers::say_goodbye(&entry, &socket).await;
    let joined = compio::time::timeout(EXIT_MARGIN / 2, servers.join()).await;
    tracing::info!(
        event = "stopped",
        requests = entry.active.get(),
        is_whole = joined.is_ok()
    );
    servers.abort();
    entry.tasks.abort();
    Ok(())
}
