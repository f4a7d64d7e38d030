//! Starts the daemons of a fleet, and the endpoints beside them.

use std::net::SocketAddr;

use camphorwall::{EngineRole, EngineSetup, Settings};
use camphorwall_daemon::Daemon;
use serde_json::{Value, json};

use super::{
    FleetOptions, MODEL_SERVICE, PLAIN_SERVICE,
    address::{any_port, fleet_secret},
    options::lease,
};
use crate::{Engine, EngineOptions, PlainService, RunningServer, TcpRelay};

/// An endpoint and its daemon.
pub struct FleetEndpoint {
    /// Instance name.
    pub instance: String,
    /// Prefill, decode or plain.
    pub role: EngineRole,
    /// The engine; `None` for plain endpoints.
    pub engine: Option<Engine>,
    /// The endpoint's server; `None` once killed.
    pub server: Option<RunningServer>,
    /// The daemon; `None` once stopped.
    pub daemon: Option<Daemon>,
    /// Address at which peers reach the daemon: its own or that of its relay.
    pub peer_address: SocketAddr,
    /// The relay in front of the daemon, if the fleet has relays.
    pub relay: Option<TcpRelay>,
    settings: Settings,
}

impl FleetEndpoint {
    /// Kills the daemon, which sends no goodbye.
    pub fn kill_daemon(&mut self) {
        if let Some(daemon) = self.daemon.take() {
            daemon.kill();
        }
    }

    /// Starts a new daemon beside the endpoint, behind the same relay or at a new address.
    ///
    /// # Panics
    /// When no port is free.
    pub async fn start_daemon(&mut self) {
        let daemon = Daemon::start(self.settings.clone()).await;
        let daemon = daemon.expect("a free port");
        match &self.relay {
            Some(relay) => relay.set_target(daemon.peer_address),
            None => self.peer_address = daemon.peer_address,
        }
        self.daemon = Some(daemon);
    }
}

impl FleetEndpoint {
    /// Kills the endpoint: its connections break and its memory is lost.
    pub fn kill_engine(&mut self) {
        self.server = None;
        if let Some(engine) = &self.engine {
            engine.crash();
        }
    }

    /// Restarts a killed engine at its old address, with empty memory.
    ///
    /// # Panics
    /// When there is no engine or its port has been taken.
    pub async fn restart_engine(&mut self) {
        let engine = self.engine.as_ref().expect("an engine");
        engine.restart();
        let section = self.settings.endpoint.as_ref().expect("an endpoint");
        let server = engine.serve(section.endpoint_address).await;
        self.server = Some(server.expect("a free port"));
    }
}

pub(super) async fn start_endpoint(
    role: EngineRole,
    number: usize,
    plain: &PlainService,
    options: &FleetOptions,
    seeds: &[SocketAddr],
) -> FleetEndpoint {
    let default_setup = options.engine.default_setup.clone();
    let engine_options = EngineOptions {
        default_setup: default_setup.map(|setup| EngineSetup {
            engine_role: role,
            ..setup
        }),
        ..options.engine.clone()
    };
    let engine = (role != EngineRole::Plain).then(|| Engine::new(engine_options));
    let server = match &engine {
        Some(engine) => engine.serve(any_port()).await,
        None => plain.serve(any_port()).await,
    };
    let server = server.expect("a free port");
    let instance = format!("{role}-{number}");
    let settings = settings(json!({
        "instance": instance, "data_centre": "marousi", "role": "endpoint", "peer_address": any_port(),
    "peer_secrets": [fleet_secret()],
    "seed_addresses": seeds, "lease": lease(options),
        "endpoint": {
            "service": service_name(role), "engine_role": role, "endpoint_address": server.address,
            "slots": options.engine.slots,
        },
    }));
    let daemon = Daemon::start(settings.clone()).await;
    let daemon = daemon.expect("a free port");
    let relay = if options.relays {
        let relay = TcpRelay::start(daemon.peer_address).await;
        Some(relay.expect("a free port"))
    } else {
        None
    };
    let address_of = |relay: &TcpRelay| relay.address;
    let peer_address = relay.as_ref().map_or(daemon.peer_address, address_of);
    FleetEndpoint {
        instance,
        role,
        engine,
        server: Some(server),
        daemon: Some(daemon),
        peer_address,
        relay,
        settings,
    }
}

pub(super) async fn start_entry(
    number: usize,
    configuration: SocketAddr,
    options: &FleetOptions,
) -> Daemon {
    let mut section = json!({"caller_address": any_port(), "configuration_address": configuration});
    if let (Value::Object(section), Value::Object(further)) =
        (&mut section, &options.entry_settings)
    {
        section.extend(further.clone());
    }
    let settings = settings(json!({
        "instance": format!("entry-{number}"), "data_centre": "marousi", "role": "entry", "peer_address": any_port(),
    "peer_secrets": [fleet_secret()], "lease": lease(options),
    "entry": section,
    }));
    Daemon::start(settings).await.expect("a free port")
}

fn settings(value: Value) -> Settings {
    serde_json::from_value(value).expect("the fleet's settings are valid")
}

pub(super) const fn service_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Decode | EngineRole::Prefill => MODEL_SERVICE,
        EngineRole::Plain => PLAIN_SERVICE,
    }
}
