//! An entry keeps a replica that has left, because the entry that it follows has a flaky way to the store.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIGURATION, Case, caller_head,
    entry::{self, Entry, Machine, host},
    http::{Wire, answer},
    replica::{Place, Replica, Request},
    store::Store,
};

/// Time for which the way of one entry to the store is flaky, and its pattern.
const FLAKY_FOR: Duration = Duration::from_millis(5_500);
const CUT_FOR: Duration = Duration::from_millis(200);
const OPEN_FOR: Duration = Duration::from_millis(800);
/// When the replica's entry is removed, after the way has become flaky.
const REMOVED_AFTER: Duration = Duration::from_millis(700);
/// Time after which nothing may reach the replica, and how much longer it goes on.
const DRAIN: Duration = Duration::from_millis(2_000);
const LINGER: Duration = Duration::from_millis(1_500);
/// Engines that have just started and are slow for a time, and how often one of them says how much longer.
const ENGINES: usize = 9;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Replicas, of which this many leave one after the other.
const REPLICAS: usize = 5;
const ROUNDS: usize = 3;
/// Callers of the follower, and their pause.
const CALLERS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(60);

fn order(caller: std::net::SocketAddr, id: &str) -> u16 {
    let send = || {
        let mut wire = Wire::connect(caller, Duration::from_secs(1))?;
        wire.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let head = caller_head(&format!("/order/{id}"), id, 3_000);
        wire.send(format!("{head}Content-Length: 4\r\n\r\nsale").as_bytes())?;
        let head = wire.head()?.unwrap_or_default();
        wire.body(&head, true)?;
        Ok::<_, std::io::Error>(head.status())
    };
    send().unwrap_or(0)
}

/// Writes the entry of an engine that stays slow for a time.
fn write_engine(store: &Store, number: usize, seq: usize) {
    let cold = 30_000_usize.saturating_sub(seq * 1_200);
    let value = format!(
        r#"{{"service":"summary-llm","address":"{}:9","zone":"marousi","version":"v2","slots":12,"state":"ready","cold_remaining_ms":{cold},"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":1}}"#,
        host(5 + number % 4)
    );
    store.put(&format!("servers/i-engine-{number}"), &value);
}

/// Which entry an entry follows, by its connections.
fn reader_of(follower: &Entry, entries: &[Entry]) -> usize {
    let mut seen = vec![0; entries.len()];
    for _ in 0..100 {
        let connected = follower.connected_to();
        for (entry, count) in entries.iter().zip(&mut seen) {
            *count += u32::from(connected.contains(&entry.peer));
        }
        thread::sleep(Duration::from_millis(20));
    }
    (0..entries.len()).max_by_key(|number| seen[*number]).unwrap_or(0)
}

pub fn run(case: &Case) -> u8 {
    let store = Store::start(&host(0));
    store.put("op/config", CONFIGURATION);
    let arrivals: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let place = Place {
            service: "numbering-app",
            stage: None,
            zone: "piraeus",
            slots: 6,
        };
        let arrivals = Arc::clone(&arrivals);
        let handler = move |replica: &Arc<Replica>, request: &Request, wire: &mut Wire| {
            if request.field("target-instance") != replica.id() {
                return wire.send(&answer(421, &[], b"")).is_ok();
            }
            let id = request.field("request-id");
            arrivals.lock().unwrap().push((number, Instant::now()));
            thread::sleep(Duration::from_millis(60));
            let fields = [("Request-Id", id), ("Server-Signature", &*replica.id())];
            wire.send(&answer(200, &fields, b"number")).is_ok()
        };
        replicas.push(Replica::start(&host(1 + number), place, &store, Box::new(handler)));
    }
    let names = ["front-piraeus-1", "front-piraeus-2", "front-piraeus-3"];
    let doors = names.map(|_| store.door(&host(0)));
    let machines: Vec<_> = (0..3)
        .map(|number| Machine {
            name: names[number],
            zone: "piraeus",
            memory_mb: 110,
            store: doors[number].address,
        })
        .collect();
    let entries = entry::start(&case.folder, &machines);
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return case.cannot_run("the entries didn't become ready");
    }
    // Two of the entries come to read the store; the third follows one of them.
    thread::sleep(Duration::from_secs(3));
    doors.iter().for_each(|door| door.watches.store(0, Ordering::SeqCst));
    thread::sleep(Duration::from_secs(4));
    let followers: Vec<_> = (0..3)
        .filter(|number| doors[*number].watches.load(Ordering::SeqCst) == 0)
        .collect();
    let [follower] = followers[..] else {
        return case.cannot_run("there isn't one follower");
    };
    let is_over = AtomicBool::new(false);
    let number = AtomicU32::new(0);
    let failed = AtomicU32::new(0);
    let removed = thread::scope(|scope| {
        scope.spawn(|| {
            let mut beat = 0;
            while !is_over.load(Ordering::SeqCst) {
                write_engine(&store, beat % ENGINES, beat / ENGINES);
                beat += 1;
                thread::sleep(HEARTBEAT / ENGINES as u32);
            }
        });
        for _ in 0..CALLERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("order-{:05}", number.fetch_add(1, Ordering::SeqCst));
                    let status = order(entries[follower].caller, &id);
                    if status != 200 {
                        failed.fetch_add(1, Ordering::SeqCst);
                        case.record.note(&format!("{id} is answered {status}"));
                    }
                    thread::sleep(PAUSE);
                }
            });
        }
        let mut removed = Vec::new();
        for left in &replicas[..ROUNDS] {
            thread::sleep(Duration::from_secs(3));
            let reader = reader_of(&entries[follower], &entries);
            case.record.note(&format!("{} follows {}", names[follower], names[reader]));
            let is_flaky = AtomicBool::new(true);
            let (flaky, door) = (&is_flaky, &doors[reader]);
            thread::scope(|inner| {
                if case.has_trouble {
                    case.record.note(&format!("the way of {} to the store is flaky", names[reader]));
                    inner.spawn(move || {
                        while flaky.load(Ordering::SeqCst) {
                            door.is_cut.store(true, Ordering::SeqCst);
                            thread::sleep(CUT_FOR);
                            door.is_cut.store(false, Ordering::SeqCst);
                            thread::sleep(OPEN_FOR);
                        }
                    });
                }
                let began_at = Instant::now();
                thread::sleep(REMOVED_AFTER);
                store.remove(&format!("servers/{}", left.id()));
                let removed_at = Instant::now();
                removed.push(removed_at);
                case.record.note(&format!("{} leaves: its entry is removed", left.id()));
                thread::sleep((DRAIN + LINGER).saturating_sub(removed_at.elapsed()));
                left.exit();
                case.record.note(&format!("{} exits", left.id()));
                thread::sleep(FLAKY_FOR.saturating_sub(began_at.elapsed()));
                is_flaky.store(false, Ordering::SeqCst);
            });
        }
        thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
        removed
    });
    let arrivals = arrivals.lock().unwrap();
    let after = |limit: Duration| -> Vec<usize> {
        let count = |(number, removed_at): (usize, &Instant)| {
            let late = |(at_replica, at): &&(usize, Instant)| {
                *at_replica == number && *at > *removed_at + limit
            };
            arrivals.iter().filter(late).count()
        };
        removed.iter().enumerate().map(count).collect()
    };
    let late = after(DRAIN);
    let what = format!(
        "{} orders, {} not answered with 200; at the {ROUNDS} replicas that left: {:?} after their entries were removed, {late:?} over {} ms after that (none allowed)",
        number.load(Ordering::SeqCst),
        failed.load(Ordering::SeqCst),
        after(Duration::ZERO),
        DRAIN.as_millis(),
    );
    case.verdict(late.iter().sum::<usize>() > 0, &what)
}
