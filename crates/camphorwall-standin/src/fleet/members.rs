//! A running fleet and its members.

use std::{collections::BTreeSet, net::SocketAddr};

use camphorwall::EngineRole;
use camphorwall_daemon::Daemon;

use super::{
    FleetEndpoint, FleetOptions,
    address::{any_port, fleet_client},
    endpoint::{start_endpoint, start_entry},
    waiting::{status, wait_until},
};
use crate::{
    CallerRecord, ConfigurationService, Engine, Evidence, PlainService, RunningServer, Violation,
    check,
};

/// A running fleet.
pub struct Fleet {
    pub(crate) options: FleetOptions,
    /// Stand-in for the platform's configuration service.
    pub configuration: ConfigurationService,
    /// Server of the configuration service.
    pub configuration_server: RunningServer,
    /// The plain service, whose replicas share its state.
    pub plain: PlainService,
    /// Entries by number.
    pub entries: Vec<Daemon>,
    /// Endpoints: prefill, then decode, then plain.
    pub endpoints: Vec<FleetEndpoint>,
}

impl Fleet {
    /// Starts a fleet and waits until all daemons have the documents in force and are ready, the entries have leases
    /// and, without relays, the ledgers of the plain service have owners.
    ///
    /// # Panics
    /// When no port can be bound or the fleet is not ready in time.
    pub async fn start(options: &FleetOptions) -> Self {
        let configuration = ConfigurationService::default();
        let configuration_server = configuration.serve(any_port()).await.expect("a free port");
        let plain = PlainService::default();
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let address = configuration_server.address;
            entries.push(start_entry(number, address, options).await);
        }
        let seeds: Vec<_> = entries.iter().map(|entry| entry.peer_address).collect();
        let mut endpoints = Vec::new();
        let roles = [
            (EngineRole::Prefill, options.prefill),
            (EngineRole::Decode, options.decode),
            (EngineRole::Plain, options.plain),
        ];
        for (role, count) in roles {
            for number in 0..count {
                endpoints.push(start_endpoint(role, number, &plain, options, &seeds).await);
            }
        }
        let fleet = Self {
            options: options.clone(),
            configuration,
            configuration_server,
            plain,
            entries,
            endpoints,
        };
        fleet.publish_defaults();
        let revision = fleet.publish_instances();
        fleet.wait_for_revision("instances", revision).await;
        fleet.wait_until_ready().await;
        fleet.wait_for_leases().await;
        // Heartbeats are datagrams, which the TCP relays do not forward, so a daemon behind a relay owns no ledger.
        if !options.relays {
            fleet.wait_for_ledgers().await;
        }
        fleet
    }

    /// Number of reservations at all daemons that are not used yet.
    pub async fn reserved(&self) -> u32 {
        let client = fleet_client();
        let mut reserved = 0;
        for address in self.peer_addresses() {
            let load = status(&client, address)
                .await
                .and_then(|status| status.load);
            reserved += load.map_or(0, |load| load.reserved);
        }
        reserved
    }

    /// Starts another entry, which is neither published nor a member of this fleet.
    pub async fn start_entry(&self, number: usize) -> Daemon {
        start_entry(number, self.configuration_server.address, &self.options).await
    }

    /// Ids of all requests that any engine has computed for.
    #[must_use]
    pub fn ran(&self) -> BTreeSet<String> {
        let engines = self.endpoints.iter().filter_map(|one| one.engine.as_ref());
        engines.flat_map(Engine::ran).collect()
    }

    /// Addresses at which peers reach the running daemons.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let running = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.daemon.is_some());
        let entries = self.entries.iter().map(|entry| entry.peer_address);
        entries
            .chain(running.map(|endpoint| endpoint.peer_address))
            .collect()
    }

    /// Address of an entry's API for callers.
    ///
    /// # Panics
    /// When there is no such entry.
    #[must_use]
    pub fn caller_address(&self, number: usize) -> SocketAddr {
        self.entries[number]
            .caller_address
            .expect("an entry has an address for callers")
    }

    /// Engines of one role.
    pub fn engines(&self, role: EngineRole) -> impl Iterator<Item = &Engine> {
        self.endpoints
            .iter()
            .filter(move |endpoint| endpoint.role == role)
            .filter_map(|one| one.engine.as_ref())
    }

    /// Endpoints of one role.
    pub fn endpoints_of(&mut self, role: EngineRole) -> Vec<&mut FleetEndpoint> {
        let all = self.endpoints.iter_mut();
        all.filter(|endpoint| endpoint.role == role).collect()
    }

    /// Waits until no engine holds memory, then checks the records of callers, engines and plain replicas.
    ///
    /// # Panics
    /// When an engine still holds memory after the wait limit.
    pub async fn check(&self, callers: Vec<CallerRecord>) -> Vec<Violation> {
        wait_until(async || (self.requests_in_memory() == 0).then_some(())).await;
        let evidence = Evidence {
            callers,
            ran: self.ran(),
            runs: self.plain.runs(),
            requests_in_memory: self.requests_in_memory(),
        };
        check(&evidence)
    }

    /// Number of generations and KV caches in the memory of all engines.
    #[must_use]
    pub fn requests_in_memory(&self) -> usize {
        self.endpoints
            .iter()
            .filter_map(|endpoint| endpoint.engine.as_ref())
            .map(Engine::requests_in_memory)
            .sum()
    }

    /// Stops all daemons gracefully.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for endpoint in self.endpoints {
            if let Some(daemon) = endpoint.daemon {
                daemon.stop().await;
            }
        }
    }
}
