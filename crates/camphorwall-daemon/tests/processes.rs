//! Budget of a team with two entries and four endpoint daemons as processes. One entry is paused, resumed and killed.

mod process;

use std::{net::SocketAddr, time::Instant};

use camphorwall::KeyDigest;
use camphorwall_standin::{Caller, ConfigurationService, PlainService, any_port, wait_until};
use futures_util::future::join_all;
use http::Method;
use process::DaemonProcess;
use serde_json::{Value, json};

const RATE_TOKENS_PER_S: u32 = 200;
const BURST_TOKENS: u32 = 400;
const COST_TOKENS: u32 = 10;

/// Number of concurrent calls.
const CALLS: usize = 20;

/// Rounds of calls in each phase.
const ROUNDS: usize = 4;

fn start(name: &str, section: &Value) -> DaemonProcess {
    let lease = json!({"hold_ms": 600, "heartbeat_period_ms": 100, "grant_lifetime_ms": 200});
    let mut settings = section.clone();
    settings["lease"] = lease;
    DaemonProcess::start(name, &settings)
}

fn listed(daemon: &DaemonProcess) -> Value {
    let mut instance = json!({
        "instance": daemon.name, "role": "entry", "data_centre": "marousi",
        "peer_address": daemon.peer_address,
    });
    if daemon.caller_address.is_none() {
        instance["role"] = json!("endpoint");
        instance["service"] = json!("numbering-app");
        instance["engine_role"] = json!("plain");
    }
    instance
}

fn publish(service: &ConfigurationService, daemons: &[&DaemonProcess]) {
    let centre = json!({"data_centre": "marousi", "region": "attica", "budget_weight": 1});
    service.publish("data_centres", &json!({"data_centres": [centre]}));
    service.publish(
        "services",
        &json!({"services": [{"service": "numbering-app"}]}),
    );
    let route = json!({
        "route": "look-up-number", "method": "GET", "path": "/invoices/", "service": "numbering-app",
        "kind": "plain", "idempotent": true, "deadline_ms": 300, "cost_tokens": COST_TOKENS,
    });
    service.publish("routes", &json!({"routes": [route]}));
    let contract = json!({
        "team": "tills", "rate_tokens_per_s": RATE_TOKENS_PER_S,
        "burst_tokens": BURST_TOKENS, "routes": ["look-up-number"],
    });
    service.publish("contracts", &json!({"contracts": [contract]}));
    let key = json!({"digest": KeyDigest::of_key("till-key"), "team": "tills"});
    service.publish("keys", &json!({"keys": [key]}));
    let instances: Vec<_> = daemons.iter().map(|daemon| listed(daemon)).collect();
    service.publish("instances", &json!({"instances": instances}));
}

/// An admitted call: its tokens were spent between the two instants.
#[derive(Clone, Copy)]
struct Admitted {
    sent_at: Instant,
    answered_at: Instant,
}

async fn call(address: SocketAddr) -> Option<Admitted> {
    let sent_at = Instant::now();
    let caller = Caller::new(address, Some("till-key"));
    let answer = caller.call(Method::GET, "/invoices/sale", &[], Vec::new());
    let answer = answer.await.ok()?;
    // The service answers 404 since the sale is unknown, and the call is charged.
    (answer.status == 404).then(|| Admitted {
        sent_at,
        answered_at: Instant::now(),
    })
}

async fn calls(entries: &[&DaemonProcess]) -> Vec<Admitted> {
    let mut admitted = Vec::new();
    for _ in 0..ROUNDS {
        let addresses = entries.iter().filter_map(|entry| entry.caller_address);
        let round = addresses.cycle().take(CALLS).map(call);
        admitted.extend(join_all(round).await.into_iter().flatten());
    }
    admitted
}

/// Asserts that no window contains more than the burst and the tokens that the rate adds.
fn check(admitted: &[Admitted]) {
    for first in admitted {
        for last in admitted {
            let Some(window) = last.answered_at.checked_duration_since(first.sent_at) else {
                continue;
            };
            let is_within = |one: &&Admitted| {
                one.sent_at >= first.sent_at && one.answered_at <= last.answered_at
            };
            let tokens = admitted.iter().filter(is_within).count() as f64 * f64::from(COST_TOKENS);
            let allowed =
                f64::from(BURST_TOKENS) + f64::from(RATE_TOKENS_PER_S) * window.as_secs_f64();
            assert!(tokens <= allowed, "{tokens} of {allowed} in {window:?}");
        }
    }
}

#[compio::test]
async fn a_budget_holds_while_its_entries_are_paused_resumed_and_killed() {
    let service = ConfigurationService::default();
    let server = service.serve(any_port()).await.expect("a free port");
    let plain = PlainService::default();
    let replica = plain.serve(any_port()).await.expect("a free port");
    let entry_section = json!({
        "role": "entry",
        "entry": {"caller_address": any_port(), "configuration_address": server.address},
    });
    let entries = ["entry-0", "entry-1"].map(|name| start(name, &entry_section));
    let seeds: Vec<_> = entries.iter().map(|entry| entry.peer_address).collect();
    let endpoint_section = json!({
        "role": "endpoint", "seed_addresses": seeds,
        "endpoint": {
            "service": "numbering-app", "engine_role": "plain", "endpoint_address": replica.address,
        },
    });
    let endpoints =
        ["plain-0", "plain-1", "plain-2", "plain-3"].map(|name| start(name, &endpoint_section));
    publish(
        &service,
        &entries.iter().chain(&endpoints).collect::<Vec<_>>(),
    );
    let mut admitted = Vec::new();
    for entry in &entries {
        let address = entry.caller_address.expect("an entry");
        admitted.push(wait_until(async || call(address).await).await);
    }
    let [first, second] = &entries;
    admitted.extend(calls(&[first, second]).await);
    first.signal("-STOP");
    admitted.extend(calls(&[second]).await);
    first.signal("-CONT");
    admitted.extend(calls(&[first, second]).await);
    first.signal("-KILL");
    admitted.extend(calls(&[second]).await);
    // The refused connection proves the death, after which the other entry owns the budget of the team.
    let address = second.caller_address.expect("an entry");
    admitted.push(wait_until(async || call(address).await).await);
    check(&admitted);
}
