//! Starts, runs and stops an entry.

use std::{path::PathBuf, rc::Rc, time::Duration};

use camphorwall::{HttpLimits, HttpServer, LogRing, RequestBody, TaskGroup, stop_pair};
use compio::net::{TcpListener, UdpSocket};
use futures_channel::mpsc;
use futures_util::{FutureExt as _, StreamExt as _};
use http::Request;
use snafu::{ResultExt as _, Snafu};

use crate::{
    balance::placement,
    dialect::Dialect,
    entry::{EXIT_MARGIN, Entry},
    fleet::peers,
    request,
    settings::DirectSettings,
    store,
};

/// Maximum idle time of a caller's connection. Callers usually close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

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
    let files = settings.max_open_files.unwrap_or(1_024);
    let limits = HttpLimits {
        head_timeout: IDLE_TIMEOUT,
        max_connections: files.saturating_sub(RESERVED_FILES).max(64) / 2,
        ..HttpLimits::default()
    };
    let entry = Entry::new(settings, settings_path, dialect, log);
    tracing::info!(event = "started", instance = %entry.settings().instance);
    let background = &entry.tasks;
    background.spawn(store::follow(Rc::clone(&entry)));
    background.spawn(store::follow_evacuations(Rc::clone(&entry)));
    background.spawn(store::keep_configuration(Rc::clone(&entry)));
    background.spawn(placement::run_placement_queue(Rc::clone(&entry)));
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
        limits,
    };
    let served = Rc::clone(&entry);
    let handler = move |request: Request<RequestBody>| {
        request::answer(Rc::clone(&served), request).boxed_local()
    };
    servers.spawn(caller_server.serve(handler, stopped.clone()));
    let follower_server = HttpServer {
        listener: follower_listener,
        limits: HttpLimits::default(),
    };
    let relaying = Rc::clone(&entry);
    let handler = move |request: Request<RequestBody>| {
        store::answer_follower(Rc::clone(&relaying), request).boxed_local()
    };
    servers.spawn(follower_server.serve(handler, stopped.clone()));
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
    while let Some(command) = commands.next().await {
        match command {
            ControlCommand::Reload => entry.reload(),
            ControlCommand::Stop => break,
        }
    }
    tracing::info!(event = "stopping", requests = entry.active_requests.get());
    entry.leave().await;
    stop.stop();
    peers::send_goodbye(&entry, &socket).await;
    let joined = compio::time::timeout(EXIT_MARGIN / 2, servers.join()).await;
    tracing::info!(
        event = "stopped",
        requests = entry.active_requests.get(),
        is_whole = joined.is_ok()
    );
    servers.abort();
    entry.tasks.abort();
    Ok(())
}
