//! Large bodies in chunks fill the memory of a front machine, whose process the platform then kills.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIGURATION, Case, Record, caller_head,
    entry::{self, Machine, host},
    http::{Wire, answer, chunk},
    replica::{Place, Replica},
    store::Store,
};

/// Memory of a front machine, in MiB.
const MEMORY_MB: u64 = 110;
/// Tills that send small orders on kept connections throughout.
const TILLS: u32 = 10;
/// Pause of a till between two orders: 22.7 orders a second in all.
const TILL_PAUSE: Duration = Duration::from_millis(440);
/// Callers that send one large order each in a burst.
const UPLOADS: u32 = 40;
/// Size of a large order: `max_body_bytes`.
const LARGE_BYTES: usize = 4_194_304;
/// Size of a part of it.
const PART_BYTES: usize = 65_536;
/// The machine's link: 1,000 Mbit/s, shared by those that send at once.
const LINK_BYTES_PER_S: f64 = 125e6;
/// When the bursts come, in seconds.
const BURSTS_S: [u64; 6] = [5, 14, 23, 32, 41, 50];
/// Pause after which the platform starts a process that has ended.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Requests that may be lost before the rule is broken.
const MAX_LOST: usize = 3;

#[derive(Clone, Copy, Default)]
struct Fate {
    is_kept: bool,
    is_passed_on: bool,
    status: Option<u16>,
    has_closed: bool,
}

#[derive(Default)]
struct Fates(Mutex<HashMap<String, Fate>>);

impl Fates {
    fn note(&self, id: &str, change: impl FnOnce(&mut Fate)) {
        change(self.0.lock().unwrap().entry(id.to_owned()).or_default());
    }
}

struct World {
    record: Arc<Record>,
    fates: Fates,
    caller: std::net::SocketAddr,
    is_over: AtomicBool,
    has_lengths: bool,
    next: AtomicU32,
}

impl World {
    fn next_id(&self, kind: &str) -> String {
        format!("{kind}-{:05}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends one order over a connection; returns whether it was answered and the connection stays.
    fn order(&self, wire: &mut Wire, id: &str, is_kept: bool, bytes: usize, rate: f64) -> bool {
        self.fates.note(id, |fate| fate.is_kept = is_kept);
        let mut head = caller_head(&format!("/order/{id}"), id, 3_000);
        let is_chunked = bytes > PART_BYTES && !self.has_lengths;
        if is_chunked {
            head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        } else {
            head.push_str(&format!("Content-Length: {bytes}\r\n\r\n"));
        }
        let sent = (|| {
            wire.send(head.as_bytes())?;
            let began_at = Instant::now();
            let mut left = bytes;
            while left > 0 {
                let part = vec![b'x'; left.min(PART_BYTES)];
                left -= part.len();
                let part = if is_chunked { chunk(&part) } else { part };
                wire.send(&part)?;
                let due = Duration::from_secs_f64((bytes - left) as f64 / rate);
                thread::sleep(due.saturating_sub(began_at.elapsed()));
            }
            if is_chunked {
                wire.send(b"0\r\n\r\n")?;
            }
            Ok::<_, std::io::Error>(())
        })();
        let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(3_000)));
        let head = wire.head();
        let answered = match head {
            Ok(Some(head)) => wire.body(&head, true).map(|_| head),
            Ok(None) => Err(std::io::ErrorKind::UnexpectedEof.into()),
            Err(error) => Err(error),
        };
        match answered {
            Ok(head) => {
                let status = head.status();
                self.fates.note(id, |fate| fate.status = Some(status));
                if status != 200 {
                    self.record.note(&format!("{id} is answered {status}"));
                }
                head.field("connection") != Some("close")
            }
            Err(error) => {
                let has_closed = error.kind() != std::io::ErrorKind::WouldBlock;
                self.fates.note(id, |fate| fate.has_closed = has_closed);
                let sent = sent.map_or_else(|error| error.to_string(), |()| "whole".to_owned());
                self.record
                    .note(&format!("{id} (sent: {sent}) ends without an answer: {error}"));
                false
            }
        }
    }

    fn connect(&self) -> Option<Wire> {
        Wire::connect(self.caller, Duration::from_secs(1)).ok()
    }

    /// A till: small orders on a kept connection.
    fn till(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(mut wire) = self.connect() else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let mut is_kept = false;
            while !self.is_over.load(Ordering::SeqCst) {
                let id = self.next_id("till");
                if !self.order(&mut wire, &id, is_kept, 600, f64::INFINITY) {
                    break;
                }
                is_kept = true;
                thread::sleep(TILL_PAUSE);
            }
        }
    }

    /// One large order on a connection that has served a small one.
    fn upload(&self, rate: f64) {
        let Some(mut wire) = self.connect() else {
            return;
        };
        let id = self.next_id("first");
        if self.order(&mut wire, &id, false, 600, f64::INFINITY) {
            let id = self.next_id("large");
            self.order(&mut wire, &id, true, LARGE_BYTES, rate);
        }
    }
}

/// Runs an order for 60 to 240 ms, with 6 slots and a queue of 24.
fn run_order(world: &World, replica: &Arc<Replica>, id: &str, bytes: usize, wire: &mut Wire) -> bool {
    world.fates.note(id, |fate| fate.is_passed_on = true);
    if replica.running.fetch_add(1, Ordering::SeqCst) >= 6 + 24 {
        replica.running.fetch_sub(1, Ordering::SeqCst);
        return wire.send(&answer(503, &[("Request-Id", id), ("Not-Executed", "1")], b"")).is_ok();
    }
    if bytes > PART_BYTES {
        world.record.note(&format!("{id} with {bytes} bytes runs at {}", replica.id()));
    }
    let work = id.bytes().fold(0, |sum, byte| (sum * 31 + u64::from(byte)) % 181);
    thread::sleep(Duration::from_millis(60 + work));
    replica.running.fetch_sub(1, Ordering::SeqCst);
    let fields = [("Request-Id", id), ("Server-Signature", &*replica.id())];
    wire.send(&answer(200, &fields, &[b'n'; 800])).is_ok()
}

pub fn run(case: &Case) -> u8 {
    let store = Store::start(&host(0));
    store.put("op/config", CONFIGURATION);
    let machine = Machine {
        name: "front-marousi-1",
        zone: "marousi",
        memory_mb: MEMORY_MB,
        store: store.address,
    };
    let mut entry = entry::start(&case.folder, &[machine]).remove(0);
    let world = Arc::new(World {
        record: Arc::clone(&case.record),
        fates: Fates::default(),
        caller: entry.caller,
        is_over: AtomicBool::new(false),
        has_lengths: std::env::var("LENGTHS").is_ok(),
        next: AtomicU32::new(0),
    });
    let zones = ["marousi", "piraeus", "kifisia"];
    for (number, zone) in zones.into_iter().enumerate() {
        let place = Place {
            service: "numbering-app",
            stage: None,
            zone,
            slots: 6,
        };
        let serving = Arc::clone(&world);
        Replica::start(&host(1 + number), place, &store, Box::new(move |replica, request, wire| {
            if request.field("target-instance") != replica.id() {
                return wire.send(&answer(421, &[], b"")).is_ok();
            }
            let id = request.field("request-id");
            run_order(&serving, replica, id, request.body.len(), wire)
        }));
    }
    if !entry.wait_ready(Duration::from_secs(10)) {
        return case.cannot_run("the entry didn't become ready");
    }
    case.record.note("the entry is ready");
    let began_at = Instant::now();
    let mut callers = Vec::new();
    for _ in 0..TILLS {
        let world = Arc::clone(&world);
        callers.push(thread::spawn(move || world.till()));
        thread::sleep(TILL_PAUSE / TILLS);
    }
    for at_s in BURSTS_S {
        let world = Arc::clone(&world);
        let has_trouble = case.has_trouble;
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs(at_s).saturating_sub(began_at.elapsed()));
            let rate = if has_trouble { LINK_BYTES_PER_S / f64::from(UPLOADS) } else { LINK_BYTES_PER_S };
            world.record.note(&format!("{UPLOADS} large orders, at once: {has_trouble}"));
            let mut uploads = Vec::new();
            for _ in 0..UPLOADS {
                let sending = Arc::clone(&world);
                let upload = thread::spawn(move || sending.upload(rate));
                if has_trouble {
                    uploads.push(upload);
                } else {
                    let _ = upload.join();
                }
            }
            for upload in uploads {
                let _ = upload.join();
            }
        }));
    }
    // The platform kills a process above its memory, and starts it again.
    let mut kills = 0;
    let mut peak = 0;
    let until = began_at + Duration::from_secs(BURSTS_S[5] + 7);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(4));
        let memory = entry.memory();
        peak = peak.max(memory);
        let is_over_limit = memory > MEMORY_MB << 20;
        if is_over_limit || entry.has_ended() {
            kills += 1;
            entry.kill();
            case.record.note(&format!(
                "the process holds {} MiB of {MEMORY_MB}; the platform ends it",
                memory >> 20
            ));
            thread::sleep(RESTART_PAUSE);
            entry.start();
        }
    }
    world.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let fates = world.fates.0.lock().unwrap();
    let mut lost: Vec<_> = fates
        .iter()
        .filter(|(_, fate)| {
            fate.is_kept && fate.is_passed_on && fate.status.is_none() && fate.has_closed
        })
        .map(|(id, _)| id.as_str())
        .collect();
    lost.sort_unstable();
    let statuses = |status| fates.values().filter(|fate| fate.status == Some(status)).count();
    let what = format!(
        "{} requests, {} answered 200, {} refused 503; the process was ended {kills} times, at most {} MiB; passed on from a kept connection that closed without an answer: {} (allowed {MAX_LOST}) {lost:?}",
        fates.len(),
        statuses(200),
        statuses(503),
        peak >> 20,
        lost.len(),
    );
    case.verdict(lost.len() > MAX_LOST, &what)
}
