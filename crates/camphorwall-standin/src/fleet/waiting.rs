//! Waits until a fleet has reached a state.

use std::{net::SocketAddr, time::Duration};

use camphorwall::{EngineRole, METHOD_STATUS, Revision, RpcClient, Status};

use super::{Fleet, FleetEndpoint, address::fleet_client};

/// Interval at which a wait checks its condition.
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Maximum time that a wait takes.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

impl Fleet {
    /// Waits until a document's revision is in force at all daemons.
    ///
    /// # Panics
    /// When it is not in force within the wait limit.
    pub async fn wait_for_revision(&self, document: &str, revision: Revision) {
        let client = fleet_client();
        for address in self.peer_addresses() {
            let in_force = async || {
                let status = status(&client, address).await?;
                let revision_in_force = status.revisions.get(document).copied().unwrap_or_default();
                (revision_in_force >= revision).then_some(())
            };
            wait_until(in_force).await;
        }
    }

    /// Whether the daemon at an address accepts new work.
    pub async fn is_ready(&self, address: SocketAddr) -> bool {
        let status = status(&fleet_client(), address).await;
        status.is_some_and(|status| status.ready)
    }

    /// Waits until all daemons accept new work.
    ///
    /// # Panics
    /// When a daemon accepts none within the wait limit.
    pub async fn wait_until_ready(&self) {
        let client = fleet_client();
        for address in self.peer_addresses() {
            let is_ready = async || status(&client, address).await?.ready.then_some(());
            wait_until(is_ready).await;
        }
    }

    /// Waits until all entries have leases, so that each team's budget has an owner.
    ///
    /// # Panics
    /// When an entry has no lease within the wait limit.
    pub async fn wait_for_leases(&self) {
        let client = fleet_client();
        for entry in &self.entries {
            let address = entry.peer_address;
            let has_lease =
                async || (status(&client, address).await?.lease_left_ms > 0).then_some(());
            wait_until(has_lease).await;
        }
    }

    /// Waits for a decode endpoint whose engine holds a request, and returns its position.
    ///
    /// # Panics
    /// When there is none within the wait limit.
    pub async fn busy_decode(&self) -> usize {
        let is_busy = |endpoint: &FleetEndpoint| {
            let engine = endpoint.engine.as_ref();
            endpoint.role == EngineRole::Decode
                && engine.is_some_and(|engine| engine.requests_in_memory() > 0)
        };
        wait_until(async || self.endpoints.iter().position(is_busy)).await
    }
}

pub(super) async fn status(client: &RpcClient, address: SocketAddr) -> Option<Status> {
    client
        .call(address, METHOD_STATUS, &(), Duration::from_secs(1))
        .await
        .ok()
}

/// Polls a condition until it has a value.
///
/// # Panics
/// When it has no value within the wait limit.
pub async fn wait_until<T>(mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let waiting = async {
        loop {
            if let Some(value) = condition().await {
                return value;
            }
            compio::time::sleep(POLL_PERIOD).await;
        }
    };
    compio::time::timeout(WAIT_LIMIT, waiting)
        .await
        .expect("the condition should have a value within 30 s")
}
