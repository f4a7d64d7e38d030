//! Starts, runs and stops an entry.

use std::{path::PathBuf, rc::Rc, time::Duration};

use camphorwall::{
    CONNECTION_BYTES, ConnectionBounds, HttpLimits, HttpServer, LogRing, RequestBody, TaskGroup,
    stop_pair,
};
use compio::net::{TcpListener, UdpSocket};
use futures_channel::mpsc;
use futures_util::{FutureExt as _, StreamExt as _};
use http::Request;
use snafu::{ResultExt as _, Snafu};

use crate::{
    balance::{placement, plain_queue},
    clock::Moment,
    dialect::Dialect,
    entry::{EXIT_MARGIN, Entry},
    fleet::peers,
    request,
    settings::DirectSettings,
    store,
};

/// Factor from the published time limits to those after which a connection is closed. Bytes that a client sent in time may
/// be read later, since all tasks share one thread.
const TIMEOUT_MARGIN: f64 = 4.0 / 3.0;

/// Divisor of the lent memory that gives the part which idle connections of callers may take.
const CONNECTIONS_PART: usize = 2;

/// Size of each of the kernel's two buffers of a caller's connection.
const CALLER_SOCKET_BUFFER_BYTES: usize = 32 * 1024;

/// Maximum number of connections of other entries: two of each follower and some that have broken.
const MAX_FOLLOWER_CONNECTIONS: usize = 128;

/// Maximum number of connections to each of the addresses for probes and metrics.
const MAX_OPERATOR_CONNECTIONS: usize = 32;

/// How often the settings file is read again, since it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// Open files that are kept free for uses other than connections of callers and to endpoints.
const RESERVED_FILES: usize = 300;

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

/// A command to the process from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlCommand {
    /// The settings file may have changed.
    Reload,
    /// Stop within the shutdown time of the settings.
    Stop,
}

/// Applies changes of the settings file that come without a signal.
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

/// Limits of a caller's connection.
fn caller_limits(entry: &Entry) -> HttpLimits {
    let files = entry.settings().max_open_files.unwrap_or(1_024);
    let by_files = files.saturating_sub(RESERVED_FILES).max(64) / 2;
    let by_memory = entry.memory.limit_bytes() / CONNECTIONS_PART / CONNECTION_BYTES;
    let published = entry.registry.borrow().configuration().map(|it| it.limits);
    let published = published.unwrap_or_default();
    HttpLimits {
        head_timeout: published.idle_timeout.mul_f64(TIMEOUT_MARGIN),
        head_arrival_timeout: published.head_timeout.mul_f64(TIMEOUT_MARGIN),
        socket_buffer_bytes: Some(CALLER_SOCKET_BUFFER_BYTES),
        max_connections: by_files.min(by_memory),
        ..HttpLimits::default()
    }
}

/// Bounds of all callers' connections by the entry's memory.
fn caller_bounds(entry: &Rc<Entry>) -> ConnectionBounds {
    let (limited, lending) = (Rc::clone(entry), Rc::clone(entry));
    ConnectionBounds {
        limits: Box::new(move || caller_limits(&limited)),
        reserve: Rc::new(move |bytes| {
            let memory = lending.memory.reserve_first(bytes, Moment::now())?;
            Some(Box::new(memory))
        }),
        open: entry.caller_connections.clone(),
    }
}

/// Serves until the stop command, then waits for active requests to end.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(
    settings_path: PathBuf,
    settings: DirectSettings,
    dialect: Dialect,
    log: Option<LogRing>,
    mut commands: mpsc::UnboundedReceiver<ControlCommand>,
) -> Result<(), StartError> {
    let caller_listener = bind(settings.caller_address, "caller_address").await?;
    let probe_listener = bind(settings.probe_address, "probe_address").await?;
    let address = settings.peer_address;
    let socket = UdpSocket::bind(address).await.context(StartSnafu {
        address,
        field: "peer_address",
    })?;
    // Followers' calls use TCP on the port that heartbeats use over UDP.
    let follower_listener = bind(address, "peer_address").await?;
    let entry = Entry::new(settings, settings_path, dialect, log);
    tracing::info!(event = "started", instance = %entry.settings().instance);
    let background = &entry.tasks;
    background.spawn(store::follow(Rc::clone(&entry)));
    background.spawn(store::follow_evacuations(Rc::clone(&entry)));
    background.spawn(store::keep_configuration(Rc::clone(&entry)));
    background.spawn(placement::run_placement_queue(Rc::clone(&entry)));
    background.spawn(plain_queue::run_plain_queue(Rc::clone(&entry)));
    background.spawn(peers::send_heartbeats(Rc::clone(&entry), socket.clone()));
    background.spawn(peers::receive_heartbeats(Rc::clone(&entry), socket.clone()));
    let metrics_listener = match entry.settings().metrics_address {
        Some(address) => Some(bind(address, "metrics_address").await?),
        None => None,
    };
    let (stop, stopped) = stop_pair();
    let servers = TaskGroup::default();
    let caller_server = HttpServer {
        listener: caller_listener,
        limits: caller_limits(&entry),
    };
    let served = Rc::clone(&entry);
    let handler = move |request: Request<RequestBody>| {
        request::answer(Rc::clone(&served), request).boxed_local()
    };
    let bounds = caller_bounds(&entry);
    servers.spawn(caller_server.serve_within(handler, stopped.clone(), bounds));
    let follower_server = HttpServer {
        listener: follower_listener,
        limits: HttpLimits {
            max_connections: MAX_FOLLOWER_CONNECTIONS,
            ..HttpLimits::default()
        },
    };
    let operator_limits = HttpLimits {
        max_connections: MAX_OPERATOR_CONNECTIONS,
        ..HttpLimits::default()
    };
    let relaying = Rc::clone(&entry);
    let handler = move |request: Request<RequestBody>| {
        store::answer_follower(Rc::clone(&relaying), request).boxed_local()
    };
    servers.spawn(follower_server.serve(handler, stopped.clone()));
    let probe_server = HttpServer {
        listener: probe_listener,
        limits: operator_limits,
    };
    let answering = Rc::clone(&entry);
    let handler = move |_| std::future::ready(answering.answer_probe());
    servers.spawn(probe_server.serve(handler, stopped.clone()));
    if let Some(listener) = metrics_listener {
        let metrics_server = HttpServer {
            listener,
            limits: operator_limits,
        };
        let measured = Rc::clone(&entry);
        let handler = move |_| std::future::ready(measured.answer_scrape());
        servers.spawn(metrics_server.serve(handler, stopped));
    }
    background.spawn(watch_settings(Rc::clone(&entry)));
    while let Some(command) = commands.next().await {
        match command {
            ControlCommand::Reload => entry.reload(),
            ControlCommand::Stop => break,
        }
    }
    let unsent = || entry.caller_connections.unsent_answers(Duration::MAX);
    tracing::info!(
        event = "stopping",
        requests = entry.active_requests.get(),
        unsent_answers = unsent(),
    );
    entry.leave().await;
    stop.stop();
    peers::send_goodbye(&entry, &socket).await;
    let joined = compio::time::timeout(EXIT_MARGIN / 2, servers.join()).await;
    tracing::info!(
        event = "stopped",
        requests = entry.active_requests.get(),
        unsent_answers = unsent(),
        is_whole = joined.is_ok()
    );
    servers.abort();
    entry.tasks.abort();
    Ok(())
}
