//! Starts and stops a daemon in the role of its settings.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    HttpLimits, HttpServer, InstanceId, PeerAuth, PeerGuard, Role, RpcClient, Settings, StopHandle,
    TaskGroup, stop_pair,
};
use compio::net::{TcpListener, UdpSocket};
use snafu::{OptionExt as _, ResultExt as _, Snafu};

use crate::{datagrams::QueryClient, endpoint::EndpointDaemon, entry::Entry, metrics::Metrics};

/// Maximum attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Reason why a daemon can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display(
        "can't listen on {address} (field {field}): {source}; choose a free address of this machine"
    ))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Field of the settings.
        field: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings lack the section of their role.
    #[snafu(display("field {field}: missing; the role needs it"))]
    SectionMissing {
        /// Field of the settings.
        field: &'static str,
    },
}

/// The part of a daemon that depends on its role.
enum RunningRole {
    Endpoint(Rc<EndpointDaemon>),
    Entry(Rc<Entry>),
}

/// A running daemon.
pub struct Daemon {
    /// Name from the settings.
    pub instance: InstanceId,
    /// Bound address for callers; set on entries only.
    pub caller_address: Option<SocketAddr>,
    /// Bound address for peers, that is, other processes of the system.
    pub peer_address: SocketAddr,
    running_role: RunningRole,
    stop_callers: StopHandle,
    stop_peers: StopHandle,
    callers: TaskGroup,
    peers: TaskGroup,
}

async fn bind(
    address: SocketAddr,
    field: &'static str,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let context = BindSnafu { address, field };
    let listener = TcpListener::bind(address).await.context(context)?;
    let bound = listener.local_addr().context(context)?;
    Ok((listener, bound))
}

/// Binds the peer address for TCP and UDP. If the operating system chooses the port, the chosen TCP port may be in use
/// for UDP; it then chooses again.
async fn bind_peer(
    address: SocketAddr,
) -> Result<(TcpListener, UdpSocket, SocketAddr), StartError> {
    let field = "peer_address";
    let mut attempts = if address.port() == 0 {
        MAX_BIND_ATTEMPTS
    } else {
        1
    };
    loop {
        let (listener, bound) = bind(address, field).await?;
        attempts -= 1;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket, bound)),
            Err(_) if attempts > 0 => {}
            Err(source) => {
                return Err(StartError::Bind {
                    address: bound,
                    field,
                    source,
                });
            }
        }
    }
}

impl Daemon {
    /// Binds the addresses of the settings and serves.
    ///
    /// # Errors
    /// If an address can't be bound, or the settings lack the section of their role.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let role = settings.role;
        let (peer_listener, peer_socket, peer_address) = bind_peer(settings.peer_address).await?;
        // The operating system may have chosen the port.
        let settings = Settings {
            peer_address,
            ..settings
        };
        let (stop_callers, callers_stopped) = stop_pair();
        let (stop_peers, peers_stopped) = stop_pair();
        let callers = TaskGroup::default();
        let peers = TaskGroup::default();
        let peer_server = HttpServer {
            listener: peer_listener,
            limits: HttpLimits::default(),
        };
        let mut caller_address = None;
        let instance = settings.instance.clone();
        let auth = PeerAuth::new(&settings.peer_secrets);
        let client = RpcClient::authenticated(auth.clone(), instance.clone());
        let query_client = Rc::new(QueryClient::new(auth.clone(), peer_socket.clone()));
        let guard = |metrics: &Metrics| {
            let count = metrics.peer_refusal_counter();
            PeerGuard::new(auth, peer_address, Instant::now(), count)
        };
        let running_role = match role {
            Role::Entry => {
                let section = settings
                    .entry
                    .clone()
                    .context(SectionMissingSnafu { field: "entry" })?;
                let (listener, address) =
                    bind(section.caller_address, "entry.caller_address").await?;
                caller_address = Some(address);
                let limits = HttpLimits {
                    write_timeout: Duration::from_millis(section.write_timeout_ms),
                    ..HttpLimits::default()
                };
                let entry = Entry::new(settings, section, client, query_client);
                let server = HttpServer { listener, limits };
                callers.spawn(server.serve(Entry::caller_handler(&entry), callers_stopped));
                peers.spawn(peer_server.serve(
                    Entry::peer_handler(&entry, guard(&entry.metrics)),
                    peers_stopped,
                ));
                entry.start_background(peer_socket);
                RunningRole::Entry(entry)
            }
            Role::Endpoint => {
                let section = settings
                    .endpoint
                    .clone()
                    .context(SectionMissingSnafu { field: "endpoint" })?;
                let daemon = EndpointDaemon::new(settings, &section, client, query_client);
                peers.spawn(peer_server.serve(
                    EndpointDaemon::peer_handler(&daemon, guard(&daemon.metrics)),
                    peers_stopped,
                ));
                daemon.start_background(peer_socket);
                RunningRole::Endpoint(daemon)
            }
        };
        let callers_at = caller_address
            .map(|address| address.to_string())
            .unwrap_or_default();
        tracing::info!(event = "started", %instance, %role, %peer_address, caller_address = callers_at);
        Ok(Self {
            instance,
            caller_address,
            peer_address,
            running_role,
            stop_callers,
            stop_peers,
            callers,
            peers,
        })
    }

    /// Ends the daemon at once, without a goodbye to its peers, as if its process had died.
    pub fn kill(self) {
        match &self.running_role {
            RunningRole::Entry(entry) => entry.abort(),
            RunningRole::Endpoint(daemon) => daemon.abort(),
        }
        self.callers.abort();
        self.peers.abort();
    }

    /// Stops accepting work, waits until running work has ended, then shuts down.
    pub async fn stop(self) {
        tracing::info!(event = "stopping");
        match &self.running_role {
            RunningRole::Entry(entry) => entry.leave().await,
            RunningRole::Endpoint(daemon) => daemon.leave().await,
        }
        self.stop_callers.stop();
        self.callers.join().await;
        match &self.running_role {
            RunningRole::Entry(entry) => entry.stop_background().await,
            RunningRole::Endpoint(daemon) => daemon.stop_background().await,
        }
        self.stop_peers.stop();
        self.peers.join().await;
        tracing::info!(event = "stopped");
    }
}
