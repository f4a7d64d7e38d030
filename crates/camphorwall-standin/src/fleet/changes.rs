//! Starts, stops and kills replicas of a running fleet, and waits for the ledgers of the plain service.

use std::{net::SocketAddr, time::Duration};

use camphorwall::{
    EngineRole, LedgerKey, LedgerOffer, LedgerOfferReply, METHOD_LEDGER_OFFER, Priority, RequestId,
    Reserve, RpcClient, Tokens, rendezvous_winner,
};
use serde_json::json;

use super::{
    Fleet, FleetEndpoint, MODEL_SERVICE, PLAIN_SERVICE, address::fleet_client,
    endpoint::start_endpoint, waiting::wait_until,
};
use crate::documents::new_idempotency_key;

/// Maximum number of offers that test whether a daemon owns any key.
const MAX_OFFERS: usize = 100;

/// Time-out of an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Margin for clock skew that is published for the plain service.
pub(crate) const LEDGER_SKEW: Duration = Duration::from_millis(2);

impl Fleet {
    /// Waits until each plain replica's daemon owns the ledger of its share of keys and accepts keys that are issued
    /// from now on.
    ///
    /// # Panics
    /// When a daemon owns no ledger within the wait limit.
    pub async fn wait_for_ledgers(&self) {
        let client = fleet_client();
        for endpoint in self.plain_replicas() {
            let address = endpoint.peer_address;
            wait_until(async || owns_a_key(&client, address).await.then_some(())).await;
        }
        // A key issued within the skew margin after the start of the ownership is rejected as too old.
        compio::time::sleep(2 * LEDGER_SKEW).await;
    }

    /// Publishes only the route `drafts`, with another deadline and target for the first token, and waits until it is
    /// in force.
    ///
    /// # Panics
    /// When it is not in force within the wait limit.
    pub async fn set_deadline(&self, deadline_ms: u64, first_token_target_ms: u64) {
        let route = json!({
            "route": "drafts", "method": "POST", "path": "/v1/completions", "service": MODEL_SERVICE,
            "kind": "completions", "idempotent": true, "deadline_ms": deadline_ms,
            "first_token_target_ms": first_token_target_ms, "token_gap_target_ms": 29,
        });
        let routes = json!({"routes": [route]});
        let revision = self.configuration.publish("routes", &routes);
        self.wait_for_revision("routes", revision).await;
    }

    /// Starts another replica of the plain service and returns its position. The next published list of instances
    /// contains it.
    pub async fn add_plain_replica(&mut self) -> usize {
        let entries = self.entries.iter();
        let seeds: Vec<_> = entries.map(|entry| entry.peer_address).collect();
        let number = self.endpoints.len();
        let role = EngineRole::Plain;
        let endpoint = start_endpoint(role, number, &self.plain, &self.options, &seeds).await;
        self.endpoints.push(endpoint);
        number
    }

    /// Kills an endpoint and its daemon.
    pub fn kill_endpoint(&mut self, position: usize) {
        let endpoint = &mut self.endpoints[position];
        endpoint.kill_engine();
        if let Some(daemon) = endpoint.daemon.take() {
            daemon.kill();
        }
    }

    /// Stops an endpoint's daemon gracefully, then kills the endpoint's server.
    pub async fn stop_endpoint(&mut self, position: usize) {
        if let Some(daemon) = self.endpoints[position].daemon.take() {
            daemon.stop().await;
        }
        self.endpoints[position].server = None;
    }

    /// Position of the plain replica whose daemon owns the ledger of a key, for a team and the route `issue-number`.
    #[must_use]
    pub fn ledger_owner(&self, team: &str, key: &str) -> Option<usize> {
        let names = self.plain_replicas().map(|one| one.instance.as_str());
        let owner = rendezvous_winner(&ledger_key(team, key).to_string(), names)?;
        let mut endpoints = self.endpoints.iter();
        endpoints.position(|endpoint| endpoint.instance == owner)
    }

    fn plain_replicas(&self) -> impl Iterator<Item = &FleetEndpoint> {
        let is_running = |endpoint: &&FleetEndpoint| {
            endpoint.role == EngineRole::Plain && endpoint.daemon.is_some()
        };
        self.endpoints.iter().filter(is_running)
    }
}

fn ledger_key(team: &str, key: &str) -> LedgerKey {
    LedgerKey {
        service: PLAIN_SERVICE.parse().expect("a valid name"),
        team: Some(team.parse().expect("a valid name")),
        route: "issue-number".parse().expect("a valid name"),
        key: key.into(),
    }
}

/// Offers generated keys to a daemon until it accepts one as its owner. An offer has no effect.
async fn owns_a_key(client: &RpcClient, address: SocketAddr) -> bool {
    for _ in 0..MAX_OFFERS {
        let offer = generate_offer();
        let reply = client
            .call(address, METHOD_LEDGER_OFFER, &offer, OFFER_TIMEOUT)
            .await;
        match reply {
            Ok(LedgerOfferReply::Held { .. }) => return true,
            Ok(LedgerOfferReply::NotOwner { .. } | LedgerOfferReply::Refused(_)) | Err(_) => {}
        }
    }
    false
}

fn generate_offer() -> LedgerOffer {
    let key = ledger_key("nobody", &new_idempotency_key());
    LedgerOffer {
        issued_ms: 0,
        reserve: Reserve {
            request_id: RequestId::generate(),
            attempt: 1,
            entry: "probe".parse().expect("a valid name"),
            data_centre: "marousi".parse().expect("a valid name"),
            team: key.team.clone(),
            priority: Priority::default(),
            weight: 1,
            route: key.route.clone(),
            service: key.service.clone(),
            prompt_tokens: Tokens(0),
            max_output_tokens: Tokens(0),
            wait_limit_ms: 0,
            deadline_ms: 0,
            fingerprint: 0,
            engine_role: None,
            setup: None,
            pieces: Vec::new(),
        },
        key,
    }
}
