//! Plays random histories of a simulated fleet: stale and failing service, partitions, pauses and replacements.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{Document, InstanceRole, Published, Revision};
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};

use super::{
    PublishedStore,
    relay::{PeerState, answer_now},
    sources::Sources,
    startup::{Startup, StartupStep},
};
use crate::histories::play_all;

/// Number of histories in which every process is replaced.
const REPLACEMENTS: u64 = 100;

/// Environment variable with the number of random histories.
const HISTORIES_VARIABLE: &str = "CAMPHORWALL_HISTORIES";

const DEFAULT_HISTORIES: u64 = 1_000;
const TICK: Duration = Duration::from_millis(500);
const FAULTY_TICKS: usize = 60;
const HEALED_TICKS: usize = 60;
const ENTRIES: usize = 6;
const ENDPOINTS: usize = 4;
const DATA_CENTRES: usize = 2;
const DOCUMENTS: [&str; 2] = ["contracts", "contracts.1"];

/// Correct process, or the fault that is built into it to test the checker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// Accepts the documents of the service even if they are older.
    AcceptsOlderRevisions,
    /// Serves as soon as it has documents, without querying its peers.
    ServesWithoutQuery,
    /// Accepts the readable items of a document that must be refused.
    AcceptsRefusedDocuments,
}

/// The platform's service: all documents ever published, and how many of them the answering replica has.
#[derive(Default)]
struct Service {
    documents: Vec<Document>,
    replica: Option<usize>,
    is_down: bool,
}

impl Service {
    fn publish(&mut self, name: &str, body: &Value) {
        self.documents.push(Document {
            name: name.parse().unwrap(),
            revision: Revision(self.documents.len() as u64 + 1),
            body: serde_json::value::to_raw_value(body).unwrap(),
        });
    }

    /// Newest revision of each document at the replica.
    fn read(&self) -> Vec<Document> {
        let seen = self.replica.unwrap_or(self.documents.len());
        let newest = self.documents[..seen]
            .iter()
            .map(|one| (one.name.clone(), one.clone()));
        newest.collect::<BTreeMap<_, _>>().into_values().collect()
    }
}

struct Process {
    number: usize,
    role: InstanceRole,
    data_centre: usize,
    store: PublishedStore,
    sources: Sources,
    startup: Option<Startup>,
    peers: BTreeMap<SocketAddr, PeerState>,
    seen: BTreeMap<String, Revision>,
    /// Revisions in force when the process began to serve.
    began_with: BTreeMap<String, Revision>,
    is_paused: bool,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(number).unwrap()))
}

fn process(number: usize, now: Instant) -> Process {
    let role = if number < ENTRIES {
        InstanceRole::Entry
    } else {
        InstanceRole::Endpoint
    };
    let data_centre = number % DATA_CENTRES;
    let name = format!("instance-{number}").parse().unwrap();
    let data_centre_id = format!("dc-{data_centre}").parse().unwrap();
    // The seed is an entry of the same data centre; a replacement gets the same one.
    let seeds = vec![address((number + DATA_CENTRES) % ENTRIES)];
    Process {
        number,
        role,
        data_centre,
        store: PublishedStore::default(),
        sources: Sources::new(name, data_centre_id, role, seeds, now),
        startup: Some(Startup::default()),
        peers: BTreeMap::new(),
        seen: BTreeMap::new(),
        began_with: BTreeMap::new(),
        is_paused: false,
    }
}

fn instances() -> Value {
    let instance = |number: usize| {
        let data_centre = format!("dc-{}", number % DATA_CENTRES);
        let peer_address = address(number);
        let name = format!("instance-{number}");
        if number < ENTRIES {
            json!({"instance": name, "role": "entry", "data_centre": data_centre, "peer_address": peer_address})
        } else {
            json!({"instance": name, "role": "endpoint", "data_centre": data_centre, "peer_address": peer_address,
                "service": "llm", "engine_role": "decode"})
        }
    };
    json!({"instances": (0..ENTRIES + ENDPOINTS).map(instance).collect::<Vec<_>>()})
}

fn contracts(burst_tokens: u64, bad: Option<&str>) -> Value {
    let contract = |team: &str| match bad {
        Some(bad) if bad == team => json!({"team": team, "burst_tokens": "many"}),
        _ => {
            json!({"team": team, "rate_tokens_per_s": 1, "burst_tokens": burst_tokens, "routes": []})
        }
    };
    let all = ["kifisia", "marousi"].map(contract);
    json!({"contracts": all})
}

struct World {
    service: Service,
    processes: Vec<Process>,
    is_split: bool,
    variant: Variant,
    now: Instant,
    random: ChaCha8Rng,
    valid_bursts: BTreeSet<u64>,
    reads: usize,
}

impl World {
    fn new(seed: u64, variant: Variant) -> Self {
        let now = Instant::now();
        let mut service = Service::default();
        service.publish("instances", &instances());
        service.publish(DOCUMENTS[0], &contracts(1, None));
        let processes = (0..ENTRIES + ENDPOINTS)
            .map(|number| process(number, now))
            .collect();
        let mut world = Self {
            service,
            processes,
            is_split: false,
            variant,
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            valid_bursts: BTreeSet::from([1]),
            reads: 0,
        };
        world.publish();
        world
    }

    /// Publishes a document: one in six must be refused as a whole, another one in six has one unreadable contract.
    fn publish(&mut self) {
        let burst_tokens = self.service.documents.len() as u64 + 1;
        let name = DOCUMENTS.choose(&mut self.random).unwrap();
        let body = match self.random.random_range(0..6) {
            0 => {
                json!({"contracts": contracts(burst_tokens + 1_000_000, None)["contracts"], "teams": []})
            }
            1 => contracts(burst_tokens, Some("kifisia")),
            _ => contracts(burst_tokens, None),
        };
        if body.get("teams").is_none() {
            self.valid_bursts.insert(burst_tokens);
        }
        self.service.publish(name, &body);
    }

    fn inject_faults(&mut self) {
        let last = self.service.documents.len();
        let victim = self.random.random_range(0..self.processes.len());
        match self.random.random_range(0..12) {
            0..3 => self.publish(),
            3 => self.service.is_down = !self.service.is_down,
            4 => self.service.replica = Some(self.random.random_range(1..=last)),
            5 => self.service.replica = None,
            6 => self.is_split = !self.is_split,
            7..9 => self.processes[victim] = process(victim, self.now),
            9 => self.processes[victim].is_paused = true,
            10 => self.processes[victim].is_paused = false,
            _ => {}
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        !to.is_paused && (!self.is_split || from.data_centre == to.data_centre)
    }

    fn exchange(&mut self, from: usize, peer: SocketAddr, process: &mut Process) {
        let to = usize::from(peer.port()) - 7_000;
        if to == from || !self.reaches(from, to) {
            process.peers.remove(&peer);
            process.sources.note_failure(peer, self.now);
            return;
        }
        let state = process.peers.entry(peer).or_default();
        for _ in 0..4 {
            let query = state.query(&process.store, Duration::ZERO);
            // Messages are serialized and parsed, as between processes.
            let text = serde_json::to_string(&query).unwrap();
            let query = serde_json::from_str(&text).unwrap();
            let reply = answer_now(&self.processes[to].store, &query, self.now);
            let text = serde_json::to_string(&reply).unwrap();
            let reply: camphorwall::DocumentsReply = serde_json::from_str(&text).unwrap();
            let read_ago = reply.read_ago_ms.map(Duration::from_millis);
            process.sources.note_answer(peer, read_ago, self.now);
            state.apply_reply(&process.store, &reply, self.now);
            if state.is_synced() {
                return;
            }
        }
        panic!("not all documents of a peer that answers were received in four exchanges");
    }

    fn read(&mut self, process: &mut Process) {
        self.reads += 1;
        if self.service.is_down {
            return;
        }
        if self.variant == Variant::AcceptsOlderRevisions {
            process.store = PublishedStore::default();
        }
        if self.variant == Variant::AcceptsRefusedDocuments {
            for document in self.service.read() {
                let mut body: Value = serde_json::from_str(document.body.get()).unwrap();
                body.as_object_mut().unwrap().remove("teams");
                let body = serde_json::value::to_raw_value(&body).unwrap();
                process.store.apply(vec![Document { body, ..document }]);
            }
        }
        process.store.apply(self.service.read());
        process.store.note_read(self.now);
    }

    fn tick(&mut self, number: usize) {
        if self.processes[number].is_paused {
            return;
        }
        let placeholder = process(number, self.now);
        let mut process = std::mem::replace(&mut self.processes[number], placeholder);
        let plan = process.sources.plan(&process.store.get(), self.now);
        if process.role == InstanceRole::Entry && plan.reads_service {
            self.read(&mut process);
        }
        self.start(number, &mut process);
        for peer in plan.peers {
            self.exchange(number, peer, &mut process);
        }
        self.processes[number] = process;
    }

    /// Performs the queries that a starting process makes before it serves.
    fn start(&mut self, number: usize, process: &mut Process) {
        let Some(mut startup) = process.startup.take() else {
            return;
        };
        loop {
            let has_documents = !process.store.get().is_empty();
            let peers = process.sources.startup_peers(&process.store.get());
            match startup.next(peers, has_documents) {
                _ if has_documents && self.variant == Variant::ServesWithoutQuery => {
                    process.began_with = process.store.revisions();
                    return;
                }
                StartupStep::Query(peers) => {
                    for peer in peers {
                        self.exchange(number, peer, process);
                    }
                }
                StartupStep::Serve => {
                    process.began_with = process.store.revisions();
                    return process.store.set_ready();
                }
                StartupStep::Wait => {
                    process.startup = Some(startup);
                    return;
                }
            }
        }
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += TICK;
        for number in 0..self.processes.len() {
            self.tick(number);
        }
        self.check()
    }

    /// Checks that no revision has fallen and that nothing of a refused document is in force.
    fn check(&mut self) -> Result<(), String> {
        for process in &mut self.processes {
            let revisions = process.store.revisions();
            for (name, before) in &process.seen {
                let after = revisions.get(name).copied().unwrap_or_default();
                if after < *before {
                    return Err(format!(
                        "{name} fell from {before} to {after} at {}",
                        process.number
                    ));
                }
            }
            process.seen = revisions;
            let published = process.store.get();
            let bursts = published
                .contracts
                .values()
                .map(|one| one.burst_tokens.get());
            if let Some(bad) = bursts
                .into_iter()
                .find(|burst| !self.valid_bursts.contains(burst))
            {
                return Err(format!(
                    "burst {bad} was refused and is in force at {}",
                    process.number
                ));
            }
        }
        Ok(())
    }

    fn heal(&mut self) {
        self.service.is_down = false;
        self.service.replica = None;
        self.is_split = false;
        for process in &mut self.processes {
            process.is_paused = false;
        }
    }

    /// Checks that all processes serve and have the same documents, each at its newest readable revision.
    fn check_healed(&self) -> Result<(), String> {
        let mut witness = Published::default();
        for document in &self.service.documents {
            // A refused document changes nothing.
            let _ = witness.apply(document);
        }
        let newest = self.service.read();
        let readable = |document: &&Document| Published::default().apply(document).is_ok();
        let digest = self.processes[0].store.digest();
        for process in &self.processes {
            let published = process.store.get();
            for document in newest.iter().filter(readable) {
                if published.revision(&document.name) != witness.revision(&document.name) {
                    return Err(format!("{} is behind at {}", document.name, process.number));
                }
            }
            if process.store.digest() != digest {
                return Err(format!("{} holds other content", process.number));
            }
            if process.startup.is_some() {
                return Err(format!("{} does not serve", process.number));
            }
        }
        Ok(())
    }
}

fn play(seed: u64, variant: Variant) -> Result<(), String> {
    let mut world = World::new(seed, variant);
    for _ in 0..FAULTY_TICKS {
        world.inject_faults();
        world.step()?;
    }
    world.heal();
    world.publish();
    for _ in 0..HEALED_TICKS {
        world.step()?;
    }
    world.check_healed()
}

fn histories() -> u64 {
    let number = std::env::var(HISTORIES_VARIABLE);
    number
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES)
}

#[test]
fn no_revision_falls_no_refused_document_is_in_force_and_all_processes_converge() {
    let failed = play_all(0..histories(), |script| {
        play(script.seed, Variant::Correct).err()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

#[rstest]
#[case(Variant::AcceptsOlderRevisions, "fell")]
#[case(Variant::AcceptsRefusedDocuments, "was refused")]
fn the_checker_catches_a_faulty_process(#[case] variant: Variant, #[case] expected: &str) {
    let faults = (0..20).filter_map(|seed| play(seed, variant).err());
    let caught = faults.filter(|fault| fault.contains(expected)).count();
    assert!(caught > 0);
}

/// Replaces all processes in random order while the service answers from an old replica. Returns the lowest revision
/// with which a process began to serve, and the newest revision.
fn replace_all(seed: u64, variant: Variant) -> (Revision, Revision) {
    let mut world = World::new(seed, variant);
    world.step().unwrap();
    world.service.publish(DOCUMENTS[0], &contracts(1, None));
    let newest = Revision(world.service.documents.len() as u64);
    for _ in 0..5 {
        world.step().unwrap();
    }
    world.service.replica = Some(2);
    let mut lowest = newest;
    let mut order: Vec<usize> = (0..world.processes.len()).collect();
    while !order.is_empty() {
        let victim = order.swap_remove(world.random.random_range(0..order.len()));
        world.processes[victim] = process(victim, world.now);
        for _ in 0..world.random.random_range(1..4) {
            world.step().unwrap();
        }
        let began_with = world.processes[victim].began_with.get(DOCUMENTS[0]);
        lowest = lowest.min(*began_with.expect("the replaced process serves"));
    }
    (lowest, newest)
}

#[test]
fn no_revision_falls_when_all_processes_are_replaced_while_the_service_is_stale() {
    for seed in 0..REPLACEMENTS {
        let (lowest, newest) = replace_all(seed, Variant::Correct);
        assert_eq!(lowest, newest, "seed {seed}");
    }
    let broken = (0..REPLACEMENTS).filter(|seed| {
        let (lowest, newest) = replace_all(*seed, Variant::ServesWithoutQuery);
        lowest < newest
    });
    assert!(
        broken.count() > 0,
        "a process that queries no peers must be caught"
    );
}

#[test]
fn a_process_starts_from_the_service_alone_or_from_a_seed_while_the_service_is_down() {
    let mut world = World::new(1, Variant::Correct);
    for process in &mut world.processes[1..] {
        process.is_paused = true;
    }
    world.step().unwrap();
    assert!(world.processes[0].store.is_ready());
    world.service.is_down = true;
    world.processes[4].is_paused = false;
    world.step().unwrap();
    assert!(world.processes[4].store.is_ready(), "its seed is process 0");
    assert_eq!(
        world.processes[4].store.digest(),
        world.processes[0].store.digest()
    );
}
