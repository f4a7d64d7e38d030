//! A configuration that names a team in an unusual way is never put in force, although it withdraws a key.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    CONFIGURATION, Case,
    entry::{self, Machine, host},
    http::{Wire, answer},
    replica::{Place, Replica},
    store::Store,
};

/// The key that stays, and the one that the newer configuration withdraws.
const KEPT_KEY: &str = "3d3zji9n73hh2b9wu3fe";
const WITHDRAWN_KEY: &str = "xd9dnn2ctnfzs989anu6";
/// The key of the team that the newer configuration adds.
const NEW_KEY: &str = "p0x44rq7mk2d8w1t6zhe";
/// Time after the acknowledgement in which a withdrawn key may still be served.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the withdrawn key is used after that.
const WATCHED: Duration = Duration::from_secs(10);
/// Time after a start of all machines in which a quarter of the requests must be served again.
const RECOVERY: Duration = Duration::from_secs(12);
/// Pause between two requests with the same key.
const PAUSE: Duration = Duration::from_millis(200);

/// Sends an order with a key; returns the status, 0 without an answer.
fn order(caller: std::net::SocketAddr, id: &str, key: &str) -> u16 {
    let send = || {
        let mut wire = Wire::connect(caller, Duration::from_secs(1))?;
        wire.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let head = format!(
            "POST /order/{id} HTTP/1.1\r\nHost: till.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nContent-Length: 4\r\n\r\nsale"
        );
        wire.send(head.as_bytes())?;
        let head = wire.head()?.unwrap_or_default();
        wire.body(&head, true)?;
        Ok::<_, std::io::Error>(head.status())
    };
    send().unwrap_or(0)
}

pub fn run(case: &Case) -> u8 {
    let kept = format!(r#""api_keys":["{KEPT_KEY}"]"#);
    let both = format!(r#""api_keys":["{KEPT_KEY}","{WITHDRAWN_KEY}"]"#);
    let first = CONFIGURATION.replace(&kept, &both);
    let name = if case.has_trouble { "bakery 12" } else { "bakery-12" };
    let team = format!(
        r#","unit":"token_stream","uncached_tokens":200,"rate_per_s":118852,"burst":118852}},{{"name":"{name}","api_keys":["{NEW_KEY}"],"priority":1,"unit":"token_stream","uncached_tokens":200,"rate_per_s":118852,"burst":118852}}]}}"#
    );
    let (before, _) = CONFIGURATION.rsplit_once(r#","unit""#).expect("a team");
    let second = format!("{before}{team}").replace(r#"{"version":7"#, r#"{"version":12"#);
    let store = Store::start(&host(0));
    store.put("op/config", &first);
    let runs: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    for (number, zone) in ["marousi", "piraeus", "kifisia"].into_iter().enumerate() {
        let place = Place {
            service: "numbering-app",
            stage: None,
            zone,
            slots: 6,
        };
        let (runs, record) = (Arc::clone(&runs), Arc::clone(&case.record));
        let handler = move |replica: &Arc<Replica>, request: &crate::replica::Request, wire: &mut Wire| {
            if request.field("target-instance") != replica.id() {
                return wire.send(&answer(421, &[], b"")).is_ok();
            }
            let id = request.field("request-id");
            runs.lock().unwrap().push((id.to_owned(), Instant::now()));
            record.note(&format!("{id} runs at {} for {}", replica.id(), request.field("tenant")));
            thread::sleep(Duration::from_millis(30));
            let fields = [("Request-Id", id), ("Server-Signature", &*replica.id())];
            wire.send(&answer(200, &fields, b"number")).is_ok()
        };
        Replica::start(&host(1 + number), place, &store, Box::new(handler));
    }
    let names = [("front-marousi-1", "marousi"), ("front-piraeus-1", "piraeus"), ("front-piraeus-2", "piraeus"), ("front-kifisia-1", "kifisia")];
    let machines = names.map(|(name, zone)| Machine {
        name,
        zone,
        memory_mb: 110,
        store: store.address,
    });
    let mut entries = entry::start(&case.folder, &machines);
    if !entries.iter().all(|entry| entry.wait_ready(Duration::from_secs(10))) {
        return case.cannot_run("the entries didn't become ready");
    }
    case.record.note("the entries are ready");
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = entries.iter().map(|entry| entry.caller).collect();
    if callers.iter().any(|caller| order(*caller, "before", WITHDRAWN_KEY) != 200) {
        return case.cannot_run("an order before the change isn't answered");
    }
    store.put("op/config", &second);
    let acknowledged_at = Instant::now();
    case.record.note(&format!("the store accepts version 12, without the key, with the team {name:?}"));
    let mut late = Vec::new();
    let mut new_answers = Vec::new();
    let mut number = 0;
    while acknowledged_at.elapsed() < REVOKE + WATCHED {
        let caller = callers[number % callers.len()];
        let id = format!("withdrawn-{number:03}");
        let is_late = acknowledged_at.elapsed() > REVOKE;
        let status = order(caller, &id, WITHDRAWN_KEY);
        case.record.note(&format!("{id} is answered {status}, sent after the bound: {is_late}"));
        if is_late && runs.lock().unwrap().iter().any(|(ran, _)| *ran == id) {
            late.push(id);
        }
        let status = order(caller, &format!("new-{number:03}"), NEW_KEY);
        new_answers.push(status);
        number += 1;
        thread::sleep(PAUSE);
    }
    let new_served = new_answers.iter().filter(|status| **status == 200).count();
    let new_unknown = new_answers.iter().filter(|status| **status == 401).count();
    case.record.note("all machines lose their processes and start again");
    entries.iter_mut().for_each(entry::Entry::kill);
    thread::sleep(Duration::from_secs(1));
    entries.iter_mut().for_each(entry::Entry::start);
    thread::sleep(RECOVERY);
    let after = (0..20).map(|number| {
        thread::sleep(PAUSE);
        order(callers[number % callers.len()], &format!("after-{number:03}"), KEPT_KEY)
    });
    let after: Vec<_> = after.collect();
    let served_after = after.iter().filter(|status| **status == 200).count();
    case.record.note(&format!("answers to the key that stays, after the start: {after:?}"));
    let what = format!(
        "orders with the withdrawn key that ran, sent over {} ms after the acknowledgement: {} (none allowed); orders of the new team served: {new_served} of {}, answered 401: {new_unknown}; after a start of all machines, orders with the key that stays served: {served_after} of {}",
        REVOKE.as_millis(),
        late.len(),
        new_answers.len(),
        after.len(),
    );
    case.verdict(!late.is_empty(), &what)
}
