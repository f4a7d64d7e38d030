//! Measures memory and start-up time of an entry process by number of teams, and prints a table.

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Instant,
};

use camphorwall::{KeyDigest, RpcClient};
use camphorwall_standin::{ConfigurationService, any_port, wait_until};
use serde_json::json;

/// Numbers of teams, one for each row of the table.
const TEAMS: [usize; 3] = [7_000, 14_000, 28_000];

/// Teams in one part of a document, which keeps the part below a megabyte.
const PART_TEAMS: usize = 3_500;

fn publish(service: &ConfigurationService, teams: usize) {
    service.publish(
        "data_centres",
        &json!({"data_centres": [{"data_centre": "marousi", "region": "attica", "budget_weight": 1}]}),
    );
    service.publish("services", &json!({"services": [{"service": "drafts"}]}));
    let route = json!({
        "route": "prices", "method": "GET", "path": "/prices/", "service": "drafts", "kind": "plain",
        "idempotent": true, "deadline_ms": 1_000, "cost_tokens": 1,
    });
    service.publish("routes", &json!({"routes": [route]}));
    for part in 0..teams.div_ceil(PART_TEAMS) {
        let numbers = part * PART_TEAMS..((part + 1) * PART_TEAMS).min(teams);
        let name = |number: usize| format!("team-{number}");
        let contract = |number: usize| {
            json!({
                "team": name(number), "rate_tokens_per_s": 100, "burst_tokens": 1_000, "routes": ["prices"],
            })
        };
        let key = |number: usize| json!({"digest": KeyDigest::of_key(&name(number)), "team": name(number)});
        let contracts: Vec<_> = numbers.clone().map(contract).collect();
        let keys: Vec<_> = numbers.map(key).collect();
        service.publish(
            &format!("contracts.{part}"),
            &json!({"contracts": contracts}),
        );
        service.publish(&format!("keys.{part}"), &json!({"keys": keys}));
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a free port");
    listener.local_addr().expect("a bound address")
}

fn start_entry(configuration: SocketAddr, peer: SocketAddr, teams: usize) -> (Child, PathBuf) {
    let settings = json!({
        "instance": "entry-1", "data_centre": "marousi", "role": "entry", "peer_address": peer,
        "entry": {"caller_address": any_port(), "configuration_address": configuration},
    });
    let path = std::env::temp_dir().join(format!("entry-size-{}-{teams}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("a file for the settings");
    let child = Command::new(env!("CARGO_BIN_EXE_camphorwalld"))
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn();
    (child.expect("the daemon starts"), path)
}

fn resident_mib(child: &Child) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
    let status = status.expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0.0);
    kib / 1024.0
}

#[compio::test]
#[ignore = "a measurement: prints memory and start of an entry by count of teams"]
async fn memory_and_start_of_an_entry_by_count_of_teams() {
    println!("| teams | resident MiB | start to ready, ms |");
    println!("|---|---|---|");
    for teams in TEAMS {
        let service = ConfigurationService::default();
        publish(&service, teams);
        let server = service.serve(any_port()).await.expect("a free port");
        let peer = free_address();
        let started_at = Instant::now();
        let (mut child, path) = start_entry(server.address, peer, teams);
        let client = RpcClient::new();
        let is_ready = async || {
            let response = client.get(peer, "/ready").await.ok()?;
            (response.status().as_u16() == 200).then_some(())
        };
        wait_until(is_ready).await;
        let start_ms = started_at.elapsed().as_millis();
        println!("| {teams} | {:.1} | {start_ms} |", resident_mib(&child));
        child.kill().expect("the process runs");
        child.wait().expect("the process ends");
        std::fs::remove_file(path).expect("the file is there");
    }
}
