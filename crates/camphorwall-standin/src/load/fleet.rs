//! A fleet on loopback in which each daemon, together with its endpoint, runs in its own thread and runtime.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use camphorwall::{EngineRole, KeyDigest, Settings};
use camphorwall_daemon::Daemon;
use serde_json::{Value, json};

use super::scenario::{PlainLoad, Scenario};
use crate::{
    ConfigurationService, Engine, EngineCounts, MODEL_SERVICE, PlainService, RunningServer,
    any_port,
};

/// Interval at which a thread checks whether it must end.
const STOP_PERIOD: Duration = Duration::from_millis(10);

/// Time before the load starts, in which documents reach all daemons and budgets get their owners.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Prompts that a prefill daemon sends to its engine at once: one in prefill and one that waits.
const PREFILL_SLOTS: usize = 2;

/// A running fleet.
pub(super) struct LoadFleet {
    pub(super) caller_addresses: Vec<SocketAddr>,
    pub(super) started_at: Instant,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Option<EngineCounts>>>,
}

/// API key of a team.
pub(super) fn team_key(team: &str) -> String {
    format!("{team}-key")
}

/// Documents to publish, with their names.
type Documents = Vec<(&'static str, Value)>;

/// Part of the fleet that one thread runs.
enum Part {
    /// Publishes the documents that it receives through the channel.
    Configuration(mpsc::Receiver<Documents>),
    Entry(Value),
    Endpoint {
        role: EngineRole,
        number: usize,
        data_centre: String,
        seeds: Vec<SocketAddr>,
        scenario: Box<Scenario>,
        ends_at: Option<Instant>,
    },
    Plain {
        number: usize,
        data_centre: String,
        seeds: Vec<SocketAddr>,
        plain: PlainLoad,
    },
}

impl LoadFleet {
    /// Starts all parts and waits for the settle time.
    pub(super) fn start(scenario: &Scenario, policy: &str) -> Self {
        let mut fleet = Self {
            caller_addresses: Vec::new(),
            started_at: Instant::now() + SETTLE_TIME,
            stop: Arc::new(AtomicBool::new(false)),
            threads: Vec::new(),
        };
        // The documents contain the addresses of all parts, so they are published after the parts have started.
        let (publish, published) = mpsc::channel();
        let (configuration, _) = fleet.spawn(Part::Configuration(published));
        let mut instances = Vec::new();
        let mut seeds = Vec::new();
        for number in 0..scenario.entries {
            let data_centre = data_centre_of(scenario, number);
            let instance = format!("entry-{number}");
            let settings = json!({
                "instance": instance, "data_centre": data_centre, "role": "entry", "peer_address": any_port(),
                // Short leases, so that the teams' budgets have owners when the load starts.
                "lease": {"hold_ms": 1_500, "heartbeat_period_ms": 100},
                "entry": {
                    "caller_address": any_port(), "configuration_address": configuration,
                    "routing": {"policy": policy, "report_period_ms": scenario.report_period_ms},
                },
            });
            let (peer, caller) = fleet.spawn(Part::Entry(settings));
            fleet.caller_addresses.extend(caller);
            seeds.push(peer);
            instances.push(json!({
                "instance": instance, "role": "entry", "data_centre": data_centre, "peer_address": peer,
            }));
        }
        let pools = [
            (EngineRole::Prefill, scenario.prefill),
            (EngineRole::Decode, scenario.decode),
        ];
        for (role, count) in pools {
            for number in 0..count {
                instances.push(fleet.start_endpoint(scenario, role, number, &seeds));
            }
        }
        for number in 0..scenario.plain.as_ref().map_or(0, |plain| plain.replicas) {
            instances.extend(fleet.start_plain(scenario, number, &seeds));
        }
        publish
            .send(documents(scenario, &instances))
            .expect("the configuration service runs");
        thread::sleep(fleet.started_at.saturating_duration_since(Instant::now()));
        fleet.started_at = Instant::now();
        fleet
    }

    fn start_endpoint(
        &mut self,
        scenario: &Scenario,
        role: EngineRole,
        number: usize,
        seeds: &[SocketAddr],
    ) -> Value {
        let stops_early = role == EngineRole::Decode && number == 0;
        let stops_at = |at_s: f64| self.started_at + Duration::from_secs_f64(at_s);
        let data_centre = data_centre_of(scenario, number);
        let part = Part::Endpoint {
            role,
            number,
            data_centre: data_centre.clone(),
            seeds: seeds.to_vec(),
            scenario: Box::new(scenario.clone()),
            ends_at: scenario
                .lose_decode_at_s
                .filter(|_| stops_early)
                .map(stops_at),
        };
        let (peer, _) = self.spawn(part);
        json!({
            "instance": format!("{role}-{number}"), "role": "endpoint", "data_centre": data_centre,
            "peer_address": peer, "service": MODEL_SERVICE, "engine_role": role,
        })
    }

    fn start_plain(
        &mut self,
        scenario: &Scenario,
        number: usize,
        seeds: &[SocketAddr],
    ) -> Option<Value> {
        let plain = scenario.plain.clone()?;
        let service = plain.service.clone();
        let data_centre = data_centre_of(scenario, number);
        let part = Part::Plain {
            number,
            data_centre: data_centre.clone(),
            seeds: seeds.to_vec(),
            plain,
        };
        let (peer, _) = self.spawn(part);
        Some(json!({
            "instance": format!("plain-{number}"), "role": "endpoint", "data_centre": data_centre,
            "peer_address": peer, "service": service, "engine_role": EngineRole::Plain,
        }))
    }

    fn spawn(&mut self, part: Part) -> Started {
        let (sender, receiver) = mpsc::channel();
        let stop = Arc::clone(&self.stop);
        let body = move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(run_part(part, sender, stop))
        };
        self.threads.push(thread::spawn(body));
        receiver.recv().expect("the part starts")
    }

    /// Stops all parts; returns the counters of the engines.
    pub(super) fn stop(self) -> Vec<EngineCounts> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.threads.into_iter().filter_map(|one| one.join().ok());
        joined.flatten().collect()
    }
}

fn data_centre_of(scenario: &Scenario, number: usize) -> String {
    scenario.data_centres[number % scenario.data_centres.len()].clone()
}

/// Peer address of a started part, or the address of the configuration service; for an entry, also its address for
/// callers.
type Started = (SocketAddr, Option<SocketAddr>);

async fn run_part(
    part: Part,
    sender: mpsc::Sender<Started>,
    stop: Arc<AtomicBool>,
) -> Option<EngineCounts> {
    let started = |addresses: Started| {
        sender
            .send(addresses)
            .expect("the starting thread waits for the addresses");
    };
    match part {
        Part::Configuration(documents) => {
            let service = ConfigurationService::default();
            let server: RunningServer = service.serve(any_port()).await.expect("a free port");
            started((server.address, None));
            while !stop.load(Ordering::Relaxed) {
                for (name, body) in documents.try_iter().flatten() {
                    service.publish(name, &body);
                }
                compio::time::sleep(STOP_PERIOD).await;
            }
            None
        }
        Part::Entry(settings) => {
            let daemon = start_daemon(settings).await;
            started((daemon.peer_address, daemon.caller_address));
            wait_for_stop(&stop, None).await;
            None
        }
        Part::Endpoint {
            role,
            number,
            data_centre,
            seeds,
            scenario,
            ends_at,
        } => {
            let engine = Engine::new(scenario.engine.clone());
            let server = engine.serve(any_port()).await.expect("a free port");
            let slots = match role {
                EngineRole::Prefill => PREFILL_SLOTS,
                EngineRole::Decode | EngineRole::Plain => scenario.engine.slots,
            };
            let daemon = start_daemon(json!({
                "instance": format!("{role}-{number}"), "data_centre": data_centre, "role": "endpoint",
                "peer_address": any_port(), "seed_addresses": seeds,
                "endpoint": {
                    "service": MODEL_SERVICE, "engine_role": role, "endpoint_address": server.address, "slots": slots,
                },
            }))
            .await;
            started((daemon.peer_address, None));
            wait_for_stop(&stop, ends_at).await;
            Some(engine.counts())
        }
        Part::Plain {
            number,
            data_centre,
            seeds,
            plain,
        } => {
            let service = PlainService::default();
            service.set_look_up_delay(Duration::from_millis(plain.answer_ms));
            let server = service.serve(any_port()).await.expect("a free port");
            let daemon = start_daemon(json!({
                "instance": format!("plain-{number}"), "data_centre": data_centre, "role": "endpoint",
                "peer_address": any_port(), "seed_addresses": seeds,
                "endpoint": {
                    "service": plain.service, "engine_role": EngineRole::Plain, "endpoint_address": server.address,
                    "slots": plain.slots,
                },
            }))
            .await;
            started((daemon.peer_address, None));
            wait_for_stop(&stop, None).await;
            None
        }
    }
}

async fn start_daemon(settings: Value) -> Daemon {
    let settings: Settings = serde_json::from_value(settings).expect("valid settings");
    Daemon::start(settings).await.expect("a free port")
}

async fn wait_for_stop(stop: &AtomicBool, ends_at: Option<Instant>) {
    let is_over = || ends_at.is_some_and(|ends_at| ends_at <= Instant::now());
    while !stop.load(Ordering::Relaxed) && !is_over() {
        compio::time::sleep(STOP_PERIOD).await;
    }
}

fn documents(scenario: &Scenario, instances: &[Value]) -> Documents {
    let data_centre =
        |name: &String| json!({"data_centre": name, "region": "attica", "budget_weight": 1});
    let data_centres: Vec<Value> = scenario.data_centres.iter().map(data_centre).collect();
    let contract = |team: &super::scenario::TeamLoad| {
        json!({
            "team": team.team, "weight": team.weight, "routes": ["drafts"],
            "rate_tokens_per_s": rounded(scenario.rate_tokens_per_s(team)),
            "burst_tokens": rounded(scenario.burst_tokens(team)),
        })
    };
    let plain = scenario.plain.iter();
    let contracts = scenario.teams.iter().map(contract);
    let contracts: Vec<Value> = contracts
        .chain(plain.clone().flat_map(PlainLoad::contract_documents))
        .collect();
    let key = |team: &String| json!({"digest": KeyDigest::of_key(&team_key(team)), "team": team});
    let plain_teams = plain.clone().flat_map(|plain| &plain.teams);
    let names = scenario.teams.iter().map(|team| &team.team);
    let names = names.chain(plain_teams.map(|team| &team.team));
    let keys: Vec<Value> = names.map(key).collect();
    let route = json!({
        "route": "drafts", "method": "POST", "path": "/v1/completions", "service": MODEL_SERVICE,
        "kind": "completions", "idempotent": true, "deadline_ms": 30_000,
        "first_token_target_ms": scenario.first_token_target_ms, "token_gap_target_ms": scenario.token_gap_target_ms,
    });
    let service = json!({
        "service": MODEL_SERVICE, "model": "ledger-1", "kv_lifetime_ms": scenario.engine.kv_lifetime_ms,
        "kv_bytes_per_token": scenario.engine.kv_bytes_per_token,
    });
    let routes: Vec<Value> = std::iter::once(route)
        .chain(plain.clone().map(PlainLoad::route_document))
        .collect();
    let services: Vec<Value> = std::iter::once(service)
        .chain(plain.map(PlainLoad::service_document))
        .collect();
    vec![
        (
            "data_centres",
            json!({"data_centres": data_centres, "links": links(scenario)}),
        ),
        ("services", json!({"services": services})),
        ("routes", json!({"routes": routes})),
        ("contracts", json!({"contracts": contracts})),
        ("keys", json!({"keys": keys})),
        ("instances", json!({"instances": instances})),
    ]
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "contracts are far below the limit and not negative"
)]
pub(super) const fn rounded(tokens: f64) -> u64 {
    tokens.round() as u64
}

fn links(scenario: &Scenario) -> Vec<Value> {
    let Some(rate) = scenario.link_rate_bytes_per_s else {
        return Vec::new();
    };
    let mut links = Vec::new();
    for from in &scenario.data_centres {
        for to in scenario.data_centres.iter().filter(|to| *to != from) {
            links.push(json!({"from": from, "to": to, "rate_bytes_per_s": rate, "delay_us": 500}));
        }
    }
    links
}
