//! Documents that a fleet publishes.

use std::path::Path;

use camphorwall::{KeyDigest, Revision, milliseconds};
use serde_json::{Value, json};

use super::{
    Fleet, FleetEndpoint, MODEL_SERVICE, PLAIN_SERVICE, changes::LEDGER_SKEW,
    endpoint::service_name,
};
use crate::ConfigurationService;

impl Fleet {
    /// Publishes routes, services, data centres, one team `marousi-tills` with key `till-key`, and one team
    /// `kifisia-ledgers` with key `ledger-key`.
    pub fn publish_defaults(&self) {
        self.configuration.publish(
            "data_centres",
            &json!({"data_centres": [{"data_centre": "marousi", "region": "attica", "budget_weight": 1}]}),
        );
        let skew_ms = milliseconds(LEDGER_SKEW);
        self.configuration.publish(
            "services",
            &json!({"services": [{"service": MODEL_SERVICE, "model": "ledger-1"}, {"service": PLAIN_SERVICE, "ledger_skew_ms": skew_ms}]}),
        );
        self.configuration
            .publish("routes", &json!({"routes": default_routes()}));
        // This rate fills an empty budget of this burst within 100 ms.
        self.publish_contracts(10_000_000, 1_000_000);
        self.publish_keys(&[
            ("till-key", "marousi-tills"),
            ("ledger-key", "kifisia-ledgers"),
        ]);
    }

    /// Publishes the contracts of both teams, with the same rate and burst.
    #[allow(
        clippy::must_use_candidate,
        reason = "the effect matters; few callers need the revision"
    )]
    pub fn publish_contracts(&self, rate_tokens_per_s: u64, burst_tokens: u64) -> Revision {
        let routes = [
            "chat",
            "drafts",
            "issue-number",
            "look-up-number",
            "place-order",
        ];
        let contract = |team: &str, priority: u8| {
            json!({
                "team": team, "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": burst_tokens,
                "priority": priority, "routes": routes,
            })
        };
        let contracts = [contract("marousi-tills", 2), contract("kifisia-ledgers", 1)];
        self.configuration
            .publish("contracts", &json!({"contracts": contracts}))
    }

    /// Publishes keys, as digests, with their teams.
    #[allow(
        clippy::must_use_candidate,
        reason = "the effect matters; few callers need the revision"
    )]
    pub fn publish_keys(&self, keys: &[(&str, &str)]) -> Revision {
        let entry =
            |(key, team): &(&str, &str)| json!({"digest": KeyDigest::of_key(key), "team": team});
        let keys: Vec<_> = keys.iter().map(entry).collect();
        self.configuration.publish("keys", &json!({"keys": keys}))
    }

    /// Publishes the list of all instances whose daemons run.
    #[allow(
        clippy::must_use_candidate,
        reason = "the effect matters; few callers need the revision"
    )]
    pub fn publish_instances(&self) -> Revision {
        let instances = self.instance_items();
        self.configuration
            .publish("instances", &json!({"instances": instances}))
    }

    /// Items of the list of all instances whose daemons run.
    #[must_use]
    pub fn instance_items(&self) -> Vec<Value> {
        let entries = self.entries.iter().map(|entry| {
            json!({
                "instance": entry.instance, "role": "entry", "data_centre": "marousi",
                "peer_address": entry.peer_address,
            })
        });
        let is_running = |endpoint: &&FleetEndpoint| endpoint.daemon.is_some();
        let endpoints = self.endpoints.iter().filter(is_running).map(|endpoint| {
            json!({
                "instance": endpoint.instance, "role": "endpoint", "data_centre": "marousi",
                "peer_address": endpoint.peer_address, "service": service_name(endpoint.role),
                "engine_role": endpoint.role,
            })
        });
        entries.chain(endpoints).collect()
    }
}

fn default_routes() -> Value {
    json!([
        {
            "route": "drafts", "method": "POST", "path": "/v1/completions", "service": MODEL_SERVICE,
            "kind": "completions", "idempotent": true, "deadline_ms": 30_000, "first_token_target_ms": 1_100,
            "token_gap_target_ms": 29,
        },
        {
            "route": "chat", "method": "POST", "path": "/v1/chat/completions", "service": MODEL_SERVICE,
            "kind": "chat", "idempotent": true, "deadline_ms": 30_000, "first_token_target_ms": 1_100,
            "token_gap_target_ms": 29,
        },
        {
            "route": "issue-number", "method": "POST", "path": "/invoices", "service": PLAIN_SERVICE,
            "kind": "plain", "idempotent": false, "deadline_ms": 2_000, "cost_tokens": 10,
        },
        {
            "route": "look-up-number", "method": "GET", "path": "/invoices/", "service": PLAIN_SERVICE,
            "kind": "plain", "idempotent": true, "deadline_ms": 2_000, "cost_tokens": 1,
        },
        {
            "route": "place-order", "method": "POST", "path": "/orders", "service": PLAIN_SERVICE,
            "kind": "plain", "idempotent": false, "deadline_ms": 2_000, "cost_tokens": 10,
        },
        {
            "route": "prices", "method": "GET", "path": "/prices/", "service": PLAIN_SERVICE, "kind": "plain",
            "open": true, "idempotent": true, "deadline_ms": 2_000,
        },
    ])
}

/// Publishes the documents of a directory that are new or changed.
///
/// # Errors
/// When a file is unreadable or not valid JSON.
pub fn publish_directory(
    service: &ConfigurationService,
    directory: &Path,
) -> Result<(), camphorwall::FileError> {
    for (name, body) in crate::read_documents(directory)? {
        service.publish_changed(&name, &body);
    }
    Ok(())
}
