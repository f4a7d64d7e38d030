//! A replica sends bytes without end instead of an answer, in a head or a body, and the entry does nothing else meanwhile.

use std::{
    collections::{HashMap, HashSet},
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
    http::{Wire, answer},
    replica::{Place, Replica, Request},
    store::Store,
};

/// Tills that send orders on kept connections, and their pause: 22.7 orders a second in all.
const TILLS: u32 = 10;
const TILL_PAUSE: Duration = Duration::from_millis(440);
/// What a caller waits, and the route's time.
const DEADLINE: Duration = Duration::from_millis(3_000);
const TIMEOUT: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(500);
/// When the faulty replica answers one order with bytes without end, in seconds: the second time blanks behind the size of a
/// body's part, the other times interim heads.
const FAULTS_S: [u64; 3] = [4, 17, 30];
/// The replica goes on until the caller closes, but no longer than this, so that the test ends.
const LONGEST_FLOOD: Duration = Duration::from_secs(10);
const LASTS: Duration = Duration::from_secs(45);
/// An interim head.
const INTERIM: &[u8] = b"HTTP/1.1 100 -\r\nA:1\r\nB:2\r\nC:3\r\nD:4\r\nE:5\r\nF:6\r\nG:7\r\nH:8\r\nI:9\r\nJ:0\r\n\r\n";
const BLANKS: &[u8] = b"                ";

#[derive(Clone, Copy)]
struct Fate {
    status: u16,
    waited: Duration,
}

struct World {
    record: Arc<Record>,
    caller: std::net::SocketAddr,
    is_over: AtomicBool,
    next: AtomicU32,
    fates: Mutex<HashMap<String, Fate>>,
    /// Orders that reached a replica which answered them.
    ran: Mutex<HashSet<String>>,
    flooded: Mutex<HashSet<String>>,
    /// Floods that are due.
    due: AtomicU32,
}

impl World {
    /// Sends one order; returns whether the connection stays.
    fn order(&self, wire: &mut Wire) -> bool {
        let id = format!("order-{:05}", self.next.fetch_add(1, Ordering::SeqCst));
        let head = caller_head(&format!("/order/{id}"), &id, 3_000);
        let request = format!("{head}Content-Length: 4\r\n\r\nsale");
        let sent_at = Instant::now();
        let _ = wire.stream.set_read_timeout(Some(DEADLINE));
        let answered = wire.send(request.as_bytes()).and_then(|()| {
            let head = wire.head()?.unwrap_or_default();
            wire.body(&head, true)?;
            Ok(head)
        });
        let waited = sent_at.elapsed();
        let status = answered.as_ref().map_or(0, |head| head.status());
        self.fates.lock().unwrap().insert(id.clone(), Fate { status, waited });
        if status != 200 || waited > TIMEOUT {
            let ms = waited.as_millis();
            self.record.note(&format!("{id}: status {status} after {ms} ms (0: none)"));
        }
        answered.is_ok_and(|head| status != 0 && head.field("connection") != Some("close"))
    }

    fn till(&self) {
        while !self.is_over.load(Ordering::SeqCst) {
            let Ok(mut wire) = Wire::connect(self.caller, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let mut stays = true;
            while stays && !self.is_over.load(Ordering::SeqCst) {
                stays = self.order(&mut wire);
                thread::sleep(TILL_PAUSE);
            }
        }
    }

    /// Whether this request is the one that the faulty replica doesn't answer.
    fn takes_flood(&self) -> bool {
        let due = |due: u32| due.checked_sub(1);
        self.due.fetch_update(Ordering::SeqCst, Ordering::SeqCst, due).is_ok()
    }

    fn flood(&self, replica: &Replica, id: &str, wire: &mut Wire) {
        let has_heads = {
            let mut flooded = self.flooded.lock().unwrap();
            flooded.insert(id.to_owned());
            flooded.len() != 2
        };
        let what = if has_heads { "interim heads" } else { "blanks in a body" };
        self.record.note(&format!("{} answers {id} with {what}", replica.id()));
        let block = if has_heads { INTERIM.repeat(2_048) } else { BLANKS.repeat(8_192) };
        let began_at = Instant::now();
        let mut sent = 0;
        if !has_heads {
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {}\r\nTransfer-Encoding: chunked\r\n\r\n5",
                replica.id()
            );
            let _ = wire.send(head.as_bytes());
        }
        let end = loop {
            if began_at.elapsed() > LONGEST_FLOOD {
                break "the test ends it".to_owned();
            }
            match wire.send(&block) {
                Ok(()) => sent += block.len(),
                Err(error) => break format!("the entry closed: {error}"),
            }
        };
        let (elapsed, megabytes) = (began_at.elapsed().as_millis(), sent >> 20);
        self.record.note(&format!("{megabytes} MiB of {what} in {elapsed} ms; {end}"));
    }
}

pub fn run(case: &Case) -> u8 {
    let store = Store::start(&host(0));
    store.put("op/config", CONFIGURATION);
    let machine = Machine {
        name: "front-marousi-1",
        zone: "marousi",
        memory_mb: 110,
        store: store.address,
    };
    let entry = entry::start(&case.folder, &[machine]).remove(0);
    let world = Arc::new(World {
        record: Arc::clone(&case.record),
        caller: entry.caller,
        is_over: AtomicBool::new(false),
        next: AtomicU32::new(0),
        fates: Mutex::default(),
        ran: Mutex::default(),
        flooded: Mutex::default(),
        due: AtomicU32::new(0),
    });
    for (number, zone) in ["marousi", "piraeus", "kifisia"].into_iter().enumerate() {
        let place = Place {
            service: "numbering-app",
            stage: None,
            zone,
            slots: 6,
        };
        let serving = Arc::clone(&world);
        let handler = move |replica: &Arc<Replica>, request: &Request, wire: &mut Wire| {
            if request.field("target-instance") != replica.id() {
                return wire.send(&answer(421, &[], b"")).is_ok();
            }
            let id = request.field("request-id");
            if number == 0 && serving.takes_flood() {
                serving.flood(replica, id, wire);
                return false;
            }
            thread::sleep(Duration::from_millis(60));
            serving.ran.lock().unwrap().insert(id.to_owned());
            let fields = [("Request-Id", id), ("Server-Signature", &*replica.id())];
            wire.send(&answer(200, &fields, b"number")).is_ok()
        };
        Replica::start(&host(1 + number), place, &store, Box::new(handler));
    }
    if !entry.wait_ready(Duration::from_secs(10)) {
        return case.cannot_run("the entry didn't become ready");
    }
    case.record.note("the entry is ready");
    let began_at = Instant::now();
    let mut tills = Vec::new();
    for _ in 0..TILLS {
        let world = Arc::clone(&world);
        tills.push(thread::spawn(move || world.till()));
        thread::sleep(TILL_PAUSE / TILLS);
    }
    // The platform asks once a second whether the machine is ready.
    let mut faults = FAULTS_S.into_iter().peekable();
    let mut unready = 0;
    while began_at.elapsed() < LASTS {
        if faults.next_if(|at_s| began_at.elapsed().as_secs() >= *at_s).is_some() && case.has_trouble {
            world.due.fetch_add(1, Ordering::SeqCst);
        }
        let asked_at = Instant::now();
        if !entry.is_ready() {
            unready += 1;
            case.record.note("the machine doesn't say that it is ready");
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(asked_at.elapsed()));
    }
    world.is_over.store(true, Ordering::SeqCst);
    for till in tills {
        let _ = till.join();
    }
    let fates = world.fates.lock().unwrap();
    let ran = world.ran.lock().unwrap();
    let flooded = world.flooded.lock().unwrap();
    let past = |limit: Duration| {
        let open = fates.iter().filter(move |(_, fate)| fate.waited > limit);
        open.map(|(id, _)| id.as_str()).collect::<Vec<_>>()
    };
    let (at_timeout, late) = (past(TIMEOUT), past(TIMEOUT + SLACK));
    let answered = late.iter().filter(|id| ran.contains(**id)).count();
    let unserved = fates.values().filter(|fate| fate.status == 0).count();
    let what = format!(
        "{} orders, {} answered with bytes without end; unanswered at their route's {} ms: {}, of these without an answer {} ms later: {} (at most half allowed), {answered} of them run and answered by their replica; {unserved} orders never answered; {unready} of some {} probes without a 200",
        fates.len(),
        flooded.len(),
        TIMEOUT.as_millis(),
        at_timeout.len(),
        SLACK.as_millis(),
        late.len(),
        LASTS.as_secs(),
    );
    case.verdict(late.len() * 2 > at_timeout.len(), &what)
}
