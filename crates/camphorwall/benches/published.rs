//! Cost of the published documents' tables by number of teams: time to build them, to apply one change and to look up
//! a key, and memory per team.

use std::hint::black_box;

use camphorwall::{Document, KeyDigest, Published, Revision};
use divan::{AllocProfiler, Bencher};
use serde_json::{Value, json};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Numbers of teams; the last one is the documented target.
const TEAMS: [u64; 3] = [280, 2_800, 28_000];

/// Teams in one document, so that a document stays well below a megabyte.
const TEAMS_PER_DOCUMENT: u64 = 2_000;

fn main() {
    divan::main();
}

fn document(name: &str, revision: u64, body: &Value) -> Document {
    Document {
        name: name.parse().expect("a known kind"),
        revision: Revision(revision),
        body: serde_json::value::to_raw_value(body).expect("a JSON value has a text"),
    }
}

fn contract(team: u64, burst_tokens: u64) -> Value {
    json!({
        "team": format!("team-{team}"), "rate_tokens_per_s": 1_000, "burst_tokens": burst_tokens,
        "routes": ["chat", "drafts", "issue-number"],
    })
}

fn contracts(part: u64, teams: u64, revision: u64, burst_tokens: u64) -> Document {
    let last = teams.min((part + 1) * TEAMS_PER_DOCUMENT);
    let first = part * TEAMS_PER_DOCUMENT;
    let one = |team| contract(team, if team == first { burst_tokens } else { 10_000 });
    let all: Vec<_> = (first..last).map(one).collect();
    document(
        &format!("contracts.{part}"),
        revision,
        &json!({"contracts": all}),
    )
}

fn keys(part: u64, teams: u64) -> Document {
    let last = teams.min((part + 1) * TEAMS_PER_DOCUMENT);
    let one = |team: u64| json!({"digest": KeyDigest::of_key(&format!("key-{team}")), "team": format!("team-{team}")});
    let all: Vec<_> = (part * TEAMS_PER_DOCUMENT..last).map(one).collect();
    document(&format!("keys.{part}"), part + 1, &json!({"keys": all}))
}

/// Contracts and keys of all teams, one key each.
fn documents(teams: u64) -> Vec<Document> {
    let parts = || 0..teams.div_ceil(TEAMS_PER_DOCUMENT);
    let contracts = parts().map(|part| contracts(part, teams, 1, 10_000));
    contracts
        .chain(parts().map(|part| keys(part, teams)))
        .collect()
}

fn build(documents: &[Document]) -> Published {
    let mut published = Published::default();
    for document in documents {
        published.apply(document).expect("valid documents");
    }
    published
}

/// The maximum of allocated bytes, divided by the number of teams, bounds the memory per team.
#[divan::bench(args = TEAMS, sample_count = 5, sample_size = 1)]
fn build_tables(bencher: Bencher, teams: u64) {
    let documents = documents(teams);
    bencher.bench_local(|| build(black_box(&documents)));
}

#[divan::bench(args = TEAMS, sample_count = 10, sample_size = 1)]
fn change_one_contract_from_the_service(bencher: Bencher, teams: u64) {
    let documents = documents(teams);
    let changed = contracts(0, teams, 2, 20_000);
    let build = || build(&documents);
    bencher
        .with_inputs(build)
        .bench_local_values(|mut published| {
            published.apply(&changed).expect("a valid document");
            published
        });
}

#[divan::bench(args = TEAMS, sample_count = 10, sample_size = 1)]
fn change_one_contract_from_a_peer(bencher: Bencher, teams: u64) {
    let documents = documents(teams);
    let mut leader = build(&documents);
    leader
        .apply(&contracts(0, teams, 2, 20_000))
        .expect("a valid document");
    let name = "contracts.0".parse().expect("a known kind");
    let update = leader
        .update(&name, Some(Revision(1)))
        .expect("it is in force");
    let build = || build(&documents);
    bencher
        .with_inputs(build)
        .bench_local_values(|mut published| {
            published.apply_update(&update).expect("the change fits");
            published
        });
}

#[divan::bench(args = TEAMS)]
fn look_a_key_up(bencher: Bencher, teams: u64) {
    let published = build(&documents(teams));
    let key = format!("key-{}", teams / 2);
    bencher.bench_local(|| published.keys.get(&KeyDigest::of_key(black_box(&key))));
}

#[divan::bench(args = TEAMS)]
fn look_an_unknown_key_up(bencher: Bencher, teams: u64) {
    let published = build(&documents(teams));
    bencher.bench_local(|| {
        published
            .keys
            .get(&KeyDigest::of_key(black_box("no-such-key")))
    });
}
