//! A request whose prompt crashes each engine that begins to write its answer comes again and again.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIGURATION, Case, Record, caller_head,
    entry::{self, Entry, Machine, host},
    http::{Wire, answer, chunk},
    replica::{Place, Replica, Request},
    store::Store,
};

/// Events of a whole stream, and the pause between two.
const EVENTS: u32 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(25);
/// An engine is back this long after it has crashed.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two attempts of the harmful request.
const AGAIN_AFTER: Duration = Duration::from_millis(1_500);
/// How long the harmful request comes again.
const LASTS: Duration = Duration::from_secs(45);
/// Crashes after which the request should be known, and the time after the last of them.
const CRASHES: usize = 3;
const CONTACT: Duration = Duration::from_millis(3_000);
/// Attempts that may reach replicas later than that.
const MAX_RETRIES: usize = 3;
/// The path of the harmful request.
const HARMFUL: &str = "/summary/harmful";

struct World {
    record: Arc<Record>,
    is_over: AtomicBool,
    /// Whether the harmful request crashes engines, and after how many events.
    crashes_after: Option<u32>,
    crashed_at: Mutex<Vec<Instant>>,
    /// Harmful attempts that reached an engine that writes answers, and when.
    reached: Mutex<Vec<(String, Instant)>>,
    streams: AtomicU32,
    broken: AtomicU32,
}

/// Sends a stream's request and reads its answer; returns the status and whether the answer is whole.
fn stream(entry: std::net::SocketAddr, path: &str, id: &str, parts: &str) -> (u16, bool) {
    let read = || {
        let mut wire = Wire::connect(entry, Duration::from_secs(1))?;
        let timeout = Some(Duration::from_secs(14));
        wire.stream.set_read_timeout(timeout)?;
        let body = vec![b'p'; 5_000];
        let head = caller_head(path, id, 14_000);
        let head = format!(
            "{head}Model: m\r\nToken-Usage: 5200,70\r\nPrompt-Prefix: {parts}\r\nLength-Hint: 20\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        wire.send(head.as_bytes())?;
        wire.send(&body)?;
        let head = wire.head()?.unwrap_or_default();
        let is_whole = wire.body(&head, true).is_ok();
        Ok::<_, std::io::Error>((head.status(), is_whole))
    };
    read().unwrap_or((0, false))
}

fn prefill(request: &Request, wire: &mut Wire) -> bool {
    thread::sleep(Duration::from_millis(95));
    let id = request.field("request-id");
    let body = format!(r#"{{"kv_handle":"kv{id}","tokens":5200,"version":1}}"#);
    let fields = [("Request-Id", id), ("Content-Type", "application/json")];
    wire.send(&answer(200, &fields, body.as_bytes())).is_ok()
}

fn decode(world: &World, replica: &Arc<Replica>, request: &Request, wire: &mut Wire) -> bool {
    let id = request.field("request-id");
    let is_harmful = request.target == HARMFUL;
    if is_harmful {
        world.record.note(&format!("{id} runs at {}", replica.id()));
        world.reached.lock().unwrap().push((id.to_owned(), Instant::now()));
    }
    let crashes_after = world.crashes_after.filter(|_| is_harmful);
    let crash = || {
        world.record.note(&format!("{} crashes", replica.id()));
        world.crashed_at.lock().unwrap().push(Instant::now());
        replica.crash(BACK_AFTER);
        false
    };
    thread::sleep(EVENT_PAUSE);
    if crashes_after == Some(0) {
        return crash();
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        replica.id()
    );
    if wire.send(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: tokens {number}\n\n");
        if wire.send(&chunk(event.as_bytes())).is_err() {
            return false;
        }
        thread::sleep(EVENT_PAUSE);
        if crashes_after == Some(number) {
            return crash();
        }
    }
    wire.send(b"0\r\n\r\n").is_ok()
}

fn start_engines(world: &Arc<World>, store: &Arc<Store>) {
    for number in 0..9 {
        let stage = if number < 3 { "prefill" } else { "decode" };
        let place = Place {
            service: "summary-llm",
            stage: Some(stage),
            zone: ["marousi", "piraeus", "kifisia"][number % 3],
            slots: 12,
        };
        let world = Arc::clone(world);
        let handler = move |replica: &Arc<Replica>, request: &Request, wire: &mut Wire| {
            let asks_prefill = request.field("stage") == "prefill";
            if request.method == "DELETE" {
                return wire.send(&answer(200, &[], b"")).is_ok();
            }
            if request.field("target-instance") != replica.id()
                || asks_prefill != (stage == "prefill")
            {
                return wire.send(&answer(421, &[], b"")).is_ok();
            }
            if asks_prefill {
                prefill(request, wire)
            } else {
                decode(&world, replica, request, wire)
            }
        };
        Replica::start(&host(1 + number), place, store, Box::new(handler));
    }
}

/// Ordinary streams, 8 a second.
fn send_streams(world: &Arc<World>, entries: &[Entry]) {
    let callers: Vec<_> = entries.iter().map(|entry| entry.caller).collect();
    let mut waiting = Vec::new();
    for number in 0.. {
        if world.is_over.load(Ordering::SeqCst) {
            break;
        }
        let (world, caller) = (Arc::clone(world), callers[number % callers.len()]);
        waiting.push(thread::spawn(move || {
            let id = format!("stream-{number:04}");
            let parts = format!("{:x}:200,{:x}:5000", 0xa000 + number % 40, 0xb0000 + number);
            let (status, is_whole) = stream(caller, &format!("/summary/{number}"), &id, &parts);
            world.streams.fetch_add(1, Ordering::SeqCst);
            if status != 200 || !is_whole {
                world.broken.fetch_add(1, Ordering::SeqCst);
                world.record.note(&format!("{id} is answered {status}, whole: {is_whole}"));
            }
        }));
        thread::sleep(Duration::from_millis(125));
    }
    for caller in waiting {
        let _ = caller.join();
    }
}

pub fn run(case: &Case) -> u8 {
    let store = Store::start(&host(0));
    store.put("op/config", CONFIGURATION);
    let after = std::env::var("EVENTS").ok().and_then(|text| text.parse().ok());
    let world = Arc::new(World {
        record: Arc::clone(&case.record),
        is_over: AtomicBool::new(false),
        crashes_after: case.has_trouble.then_some(after.unwrap_or(1)),
        crashed_at: Mutex::default(),
        reached: Mutex::default(),
        streams: AtomicU32::new(0),
        broken: AtomicU32::new(0),
    });
    start_engines(&world, &store);
    let names = [("front-marousi-1", "marousi"), ("front-piraeus-1", "piraeus"), ("front-piraeus-2", "piraeus"), ("front-kifisia-1", "kifisia")];
    let machines = names.map(|(name, zone)| Machine {
        name,
        zone,
        memory_mb: 110,
        store: store.address,
    });
    let entries = entry::start(&case.folder, &machines);
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return case.cannot_run("the entries didn't become ready");
    }
    case.record.note("the entries are ready");
    thread::sleep(CONTACT);
    thread::scope(|scope| {
        scope.spawn(|| send_streams(&world, &entries));
        let until = Instant::now() + LASTS;
        let mut number = 0;
        while Instant::now() < until {
            let id = format!("harmful-{number:03}");
            let entry = &entries[number % entries.len()];
            let (status, is_whole) = stream(entry.caller, HARMFUL, &id, "abad1dea:200,5eed:5000");
            let name = &entry.name;
            case.record.note(&format!("{id} at {name} is answered {status}, whole: {is_whole}"));
            number += 1;
            thread::sleep(AGAIN_AFTER);
        }
        world.is_over.store(true, Ordering::SeqCst);
    });
    let crashed_at = world.crashed_at.lock().unwrap();
    let reached = world.reached.lock().unwrap();
    let known_from = crashed_at.get(CRASHES - 1).map(|at| *at + CONTACT);
    let late = reached.iter().filter(|(_, at)| known_from.is_some_and(|from| *at > from));
    let late: BTreeSet<_> = late.map(|(id, _)| id.as_str()).collect();
    let what = format!(
        "{} crashes; attempts that reached an engine over {} ms after the third crash: {} (allowed {MAX_RETRIES}); of {} other streams {} were not answered whole",
        crashed_at.len(),
        CONTACT.as_millis(),
        late.len(),
        world.streams.load(Ordering::SeqCst),
        world.broken.load(Ordering::SeqCst),
    );
    case.verdict(late.len() > MAX_RETRIES, &what)
}
