//! The cases. Each returns whether its rule held.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, End, call},
    platform::{Entry, Folder, Ports, Record, Replica},
    replica::EVENTS,
    store::Store,
};

type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// A configuration with a route of each kind; `keys` are those of the only tenant.
fn configuration(version: u32, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-drafts","hostname":"shop.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"models","max_attempts":3,"public":false,"sticky":true,"resumable":true,"target_gap_ms":300}},
{{"name":"r-orders","hostname":"shop.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":1,"public":false}}],
"services":[
{{"name":"models","health_path":"/health","max_conns":146,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv_capacity":106421,"kv_token_bytes":35136,"link_mbps":2900000.0,"moves":true,"backups":true,"stride":70,"most":12,"handle_ttl_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{{"name":"m"}}]}}}},
{{"name":"orders","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"growers","api_keys":[{keys}],"priority":1,"unit":"token_stream","uncached_tokens":200,"rate_per_s":117482,"burst":117482}}]}}"#
    )
}

fn order_request(id: &str, order: &str, key: &str) -> Vec<u8> {
    let length = order.len();
    format!(
        "POST /orders/place HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n{order}"
    )
    .into_bytes()
}

/// The part of a prompt that all requests share, and the one that differs in harmful ones.
const SHARED_PART: &str = "5c1e07a2";
const USUAL_PART: &str = "91bd3f06";
const HARMFUL_PART: &str = "bad0c0de";

fn stream_request(id: &str, key: &str) -> Vec<u8> {
    stream_request_with(id, key, USUAL_PART)
}

fn stream_request_with(id: &str, key: &str, part: &str) -> Vec<u8> {
    let body = format!("draft {id}");
    let length = body.len();
    format!(
        "POST /drafts/quote HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,80\r\n\
         Prompt-Prefix: {SHARED_PART}:200,{part}:300,{:08x}:960\r\nLength-Hint: 70\r\nDeadline-Ms: 14000\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n{body}",
        id.bytes().fold(7_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
    )
    .into_bytes()
}

/// Number of whole events at the start of a stream, as a client reads it.
fn whole_events(body: &[u8]) -> u32 {
    let text = String::from_utf8_lossy(body);
    let mut whole = 0;
    for number in 1..=EVENTS {
        let is_there = text.contains(&format!(
            "id: {number}\ndata: token {number} of the answer\n\n"
        ));
        if !is_there {
            break;
        }
        whole = number;
    }
    whole
}

struct Fleet {
    entries: Vec<Entry>,
    store: Store,
    _folder: Folder,
}

impl Fleet {
    /// Starts entries before a store that holds the configuration and the replicas.
    fn start(
        entries: usize,
        service: &str,
        stage: Option<&str>,
        slots: u32,
        replicas: &[Replica],
        keys: &[&str],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let folder = Folder::create()?;
        let store = Store::start()?;
        for replica in replicas {
            let registration = replica.registration(service, stage, slots);
            store.put(&format!("servers/{}", replica.id), &registration);
        }
        store.put("op/config", &configuration(1, keys));
        let ports = Ports::find(entries)?;
        let started: io::Result<Vec<_>> = (0..entries)
            .map(|number| Entry::start(&folder, &ports, number, entries, store.address))
            .collect();
        let fleet = Self {
            entries: started?,
            store,
            _folder: folder,
        };
        for entry in &fleet.entries {
            entry.await_ready()?;
        }
        // Traffic starts some seconds after the machines do.
        thread::sleep(Duration::from_secs(3));
        Ok(fleet)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    fn keep_logs(&self, to: &Path) {
        for entry in &self.entries {
            entry.keep_log(to);
        }
    }
}

fn describe(answer: &Answer) -> String {
    format!(
        "{} {:?} ({} bytes)",
        answer.status(),
        answer.end,
        answer.body.len()
    )
}

/// Two of fourteen replicas fail two of five orders after they have run them, with a 503 that doesn't say `Not-Executed`; one
/// of them signs it.
pub fn promise_after_run(is_troubled: bool, to: &Path) -> Outcome {
    const REPLICAS: usize = 14;
    const CLIENTS: usize = 6;
    const LENGTH: Duration = Duration::from_secs(25);
    let record = Record::create(&to.join("record.txt"))?;
    // The runs, as order and request.
    let ran: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let mood = match number {
            0 if is_troubled => "signed-failures",
            1 if is_troubled => "failures",
            _ => "sound",
        };
        let noted = Arc::clone(&ran);
        let note = move |_: &str, line: &str| {
            if let Some((id, order)) = line
                .strip_prefix("ran ")
                .and_then(|run| run.split_once(' '))
            {
                noted
                    .lock()
                    .expect("no holder panics")
                    .push((id.to_owned(), order.to_owned()));
            }
        };
        replicas.push(Replica::start(
            &format!("s-{number}"),
            &["orders", mood],
            &record,
            note,
        )?);
    }
    let fleet = Fleet::start(2, "orders", None, 6, &replicas, &["key-1"])?;
    let answered: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, answered) = (record.clone(), Arc::clone(&answered));
            let entries = fleet.addresses();
            thread::spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let order = format!("order-{client}-{number}");
                    // The client retries once, and only after a promise.
                    for attempt in 0..2 {
                        let id = format!("{client:02x}{number:06x}{attempt}");
                        let entry = entries[(client + number + attempt) % entries.len()];
                        record.note(&format!("client {client}  sends {id} {order}"));
                        let answer = call(
                            entry,
                            &order_request(&id, &order, "key-1"),
                            Duration::from_secs(4),
                        );
                        record.note(&format!("client {client}  gets {id} {}", describe(&answer)));
                        let status = answer.status();
                        answered
                            .lock()
                            .expect("no holder panics")
                            .insert(id, status);
                        if !matches!(status, 408 | 421 | 429 | 503) {
                            break;
                        }
                        let retry_after = answer
                            .head
                            .as_ref()
                            .and_then(|head| head.get("retry-after"));
                        let retry_after: f64 = retry_after
                            .and_then(|text| text.parse().ok())
                            .unwrap_or(0.0);
                        thread::sleep(Duration::from_secs_f64(retry_after.clamp(0.0, 1.3)));
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }
    thread::sleep(Duration::from_millis(200));
    fleet.keep_logs(to);
    let (ran, answered) = (
        ran.lock().expect("no holder panics"),
        answered.lock().expect("no holder panics"),
    );
    let served = answered.values().filter(|status| **status == 200).count();
    let broken = ran.iter().filter(|(id, _)| {
        let status = answered.get(id).copied().unwrap_or(0);
        matches!(status, 408 | 421 | 429 | 503)
    });
    let broken: Vec<_> = broken.collect();
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for (_, order) in ran.iter() {
        *runs.entry(order).or_default() += 1;
    }
    let twice = runs.values().filter(|runs| **runs > 1).count();
    let summary = format!(
        "{} requests, {served} served; {} were answered with a promise that they have not run, and had run; {twice} orders ran \
         more than once",
        answered.len(),
        broken.len()
    );
    record.note(&summary);
    println!("{summary}");
    if served < 100 {
        return Err("too few requests were served".into());
    }
    Ok(broken.is_empty())
}

/// What a client saw of a stream.
fn is_cut_short(answer: &Answer) -> bool {
    answer.status() == 200 && answer.end == End::Complete && whole_events(&answer.body) < EVENTS
}

/// A replica crashes in the middle of streams whose answers have a length.
pub fn length_of_first_run(is_troubled: bool, to: &Path) -> Outcome {
    const REPLICAS: usize = 6;
    const CLIENTS: usize = 8;
    const STREAMS: usize = 6;
    let record = Record::create(&to.join("record.txt"))?;
    let (halfway, crashes) = mpsc::channel();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let halfway = halfway.clone();
        let note = move |name: &str, line: &str| {
            if name == "s-0" && line.starts_with("halfway") {
                let _ = halfway.send(());
            }
        };
        // The new weights have come to all replicas but the first.
        let weights = if number == 0 { "1" } else { "2" };
        let behaviour = ["streams", "length", weights, "none"];
        replicas.push(Replica::start(
            &format!("s-{number}"),
            &behaviour,
            &record,
            note,
        )?);
    }
    let fleet = Fleet::start(2, "models", Some("decode"), 12, &replicas, &["key-1"])?;
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            let entries = fleet.addresses();
            thread::spawn(move || {
                for number in 0..STREAMS {
                    let id = format!("{client:02x}{number:06x}0");
                    let entry = entries[(client + number) % entries.len()];
                    record.note(&format!("client {client}  sends {id}"));
                    let answer = call(
                        entry,
                        &stream_request(&id, "key-1"),
                        Duration::from_secs(14),
                    );
                    let events = whole_events(&answer.body);
                    record.note(&format!(
                        "client {client}  gets {id} {}, {events} of {EVENTS} events",
                        describe(&answer)
                    ));
                    if is_cut_short(&answer) {
                        let text = String::from_utf8_lossy(&answer.body);
                        let end: Vec<_> = text.rsplit("\n\n").take(2).collect();
                        record.note(&format!("client {client}  the end of {id}: {end:?}"));
                    }
                    answers.lock().expect("no holder panics").push(answer);
                }
            })
        })
        .collect();
    // A stream is in the middle of an event: its replica crashes.
    let is_begun = crashes.recv_timeout(Duration::from_secs(20)).is_ok();
    if is_troubled && is_begun {
        replicas[0].kill();
        record.note("s-0  is killed");
    }
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }
    fleet.keep_logs(to);
    let answers = answers.lock().expect("no holder panics");
    let whole = answers
        .iter()
        .filter(|answer| whole_events(&answer.body) == EVENTS)
        .count();
    let short = answers.iter().filter(|answer| is_cut_short(answer)).count();
    let summary = format!(
        "{} streams, {whole} with all events; {short} ended as complete before their last event",
        answers.len()
    );
    record.note(&summary);
    println!("{summary}");
    if !is_begun || whole < CLIENTS * STREAMS / 2 {
        return Err("the crash didn't hit a stream, or too few were served".into());
    }
    Ok(short == 0)
}

/// Two of twelve replicas crash: one in the middle of an event, and the one that goes on with the stream before its first
/// event. Their answers end with their connections.
pub fn nothing_after_resumption(is_troubled: bool, to: &Path) -> Outcome {
    const REPLICAS: usize = 12;
    let record = Record::create(&to.join("record.txt"))?;
    let (noted, lines) = mpsc::channel();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let noted = noted.clone();
        let note = move |name: &str, line: &str| {
            let _ = noted.send((name.to_owned(), line.to_owned()));
        };
        let behaviour = ["streams", "connection", "1", "none"];
        replicas.push(Replica::start(
            &format!("s-{number}"),
            &behaviour,
            &record,
            note,
        )?);
    }
    let fleet = Fleet::start(2, "models", Some("decode"), 12, &replicas, &["key-1"])?;
    let entry = fleet.entries[0].callers;
    let client_record = record.clone();
    let client = thread::spawn(move || {
        let mut answers = Vec::new();
        for number in 0..4 {
            let id = format!("{number:08x}0");
            client_record.note(&format!("client  sends {id}"));
            let answer = call(
                entry,
                &stream_request(&id, "key-1"),
                Duration::from_secs(14),
            );
            let events = whole_events(&answer.body);
            client_record.note(&format!(
                "client  gets {id} {}, {events} of {EVENTS} events",
                describe(&answer)
            ));
            answers.push(answer);
        }
        answers
    });
    let mut crashes = 0;
    while is_troubled && crashes < 2 {
        let (name, line) = lines.recv_timeout(Duration::from_secs(20))?;
        // The first crash in the middle of an event, the second while the prompt is read again.
        let is_due = line.starts_with(["halfway", "reads"][crashes]);
        if let Some(replica) = replicas
            .iter_mut()
            .find(|replica| is_due && replica.id == name)
        {
            replica.kill();
            record.note(&format!("{name}  is killed"));
            crashes += 1;
        }
    }
    let answers = client.join().map_err(|_| "the client ended early")?;
    fleet.keep_logs(to);
    let whole = answers
        .iter()
        .filter(|answer| whole_events(&answer.body) == EVENTS)
        .count();
    let short = answers.iter().filter(|answer| is_cut_short(answer)).count();
    let summary = format!(
        "{} streams, {whole} with all events; {short} ended as complete before their last event",
        answers.len()
    );
    record.note(&summary);
    println!("{summary}");
    if whole + 1 < answers.len() {
        return Err("too few streams were served".into());
    }
    Ok(short == 0)
}

/// The store comes back from a copy that is older than the withdrawal of a key, and an entry is killed and starts again
/// before the operator has written the configuration again.
pub fn key_withdrawn_before_restore(is_troubled: bool, to: &Path) -> Outcome {
    const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
    let record = Record::create(&to.join("record.txt"))?;
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..4 {
        let noted = Arc::clone(&ran);
        let note = move |_: &str, line: &str| {
            if let Some((id, _)) = line
                .strip_prefix("ran ")
                .and_then(|run| run.split_once(' '))
            {
                noted.lock().expect("no holder panics").push(id.to_owned());
            }
        };
        replicas.push(Replica::start(
            &format!("s-{number}"),
            &["orders", "sound"],
            &record,
            note,
        )?);
    }
    let mut fleet = Fleet::start(4, "orders", None, 6, &replicas, &["key-1", "key-2"])?;
    let copy = fleet.store.copy();
    record.note("operator  sends version 2, without key-2");
    fleet.store.put("op/config", &configuration(2, &["key-1"]));
    let acknowledged_at = Instant::now();
    record.note("store  acknowledges version 2");
    thread::sleep(WITHDRAWAL_BOUND + Duration::from_millis(300));
    // Requests that are sent from here on with key-2 must not run.
    let is_over = Arc::new(AtomicBool::new(false));
    let sent_late = Arc::new(AtomicU32::new(0));
    // Eight clients, most of them at the entry that starts again.
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let sent_late = Arc::clone(&sent_late);
            let entry = fleet.entries[[0, 2, 3, 1][client.min(3)]].callers;
            thread::spawn(move || {
                let mut last = String::new();
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{client:02x}{number:06x}2");
                    let since = acknowledged_at.elapsed();
                    sent_late.fetch_add(u32::from(since > WITHDRAWAL_BOUND), Ordering::Relaxed);
                    let answer = call(entry, &order_request(&id, "late order", "key-2"), Duration::from_secs(4));
                    let text = format!("{}", answer.status());
                    if text != last || answer.status() == 200 {
                        record.note(&format!(
                            "client {client}  sent {id} with key-2 {:.3} s after the acknowledgement, gets {text}",
                            since.as_secs_f64()
                        ));
                    }
                    last = text;
                    thread::sleep(Duration::from_millis(2));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if is_troubled {
        record.note("store  is away");
        fleet.store.go_away();
        thread::sleep(Duration::from_millis(500));
        fleet.store.come_back_from(copy);
        record.note("store  is back from a copy that is some seconds old");
        fleet.entries[1].kill_and_restart()?;
        record.note("front-1  is killed and starts again");
        thread::sleep(Duration::from_secs(1));
        fleet.store.put("op/config", &configuration(2, &["key-1"]));
        record.note("operator  has written version 2 again");
    }
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }
    let check = call(
        fleet.entries[1].callers,
        &order_request("sound", "order", "key-1"),
        Duration::from_secs(4),
    );
    thread::sleep(Duration::from_millis(200));
    fleet.keep_logs(to);
    let ran = ran.lock().expect("no holder panics");
    let late = ran.iter().filter(|id| id.ends_with('2')).count();
    let summary = format!(
        "{} requests with a key that was withdrawn over 5 s before, {late} of them ran; one with another key gets {}",
        sent_late.load(Ordering::Relaxed),
        check.status()
    );
    record.note(&summary);
    println!("{summary}");
    if check.status() != 200 {
        return Err("the sound key isn't served".into());
    }
    Ok(late == 0)
}

/// A part of prompts crashes each replica after the first event of an answer. Answers end with their connections.
pub fn harmful_part(is_troubled: bool, to: &Path) -> Outcome {
    const REPLICAS: usize = 9;
    const LENGTH: Duration = Duration::from_secs(40);
    /// Time after which a machine counts as in touch, and a crash as known.
    const CONTACT: Duration = Duration::from_secs(3);
    const BACK_AFTER: Duration = Duration::from_secs(2);
    let record = Record::create(&to.join("record.txt"))?;
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| "connection".to_owned());
    let harmful = if is_troubled { HARMFUL_PART } else { "none" };
    let (crashed, crashes) = mpsc::channel();
    // When each run began, by request.
    let runs: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let start = |id: &str| {
        let (crashed, runs) = (crashed.clone(), Arc::clone(&runs));
        let note = move |name: &str, line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            match words[..] {
                ["runs", id, ..] => {
                    let mut runs = runs.lock().expect("no holder panics");
                    runs.push((Instant::now(), id.to_owned()));
                }
                ["crashes", ..] => {
                    let _ = crashed.send((Instant::now(), name.to_owned()));
                }
                _ => {}
            }
        };
        Replica::start(id, &["streams", &framing, "1", harmful], &record, note)
    };
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(start(&format!("s-{number}"))?);
    }
    let fleet = Fleet::start(2, "models", Some("decode"), 12, &replicas, &["key-1"])?;
    let until = Instant::now() + LENGTH;
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    // Six clients with sound requests, and one with harmful ones.
    let clients: Vec<_> = (0..7)
        .map(|client| {
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            let entries = fleet.addresses();
            thread::spawn(move || {
                let is_harmful = client == 6;
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("{client:02x}{number:06x}0");
                    let part = if is_harmful { HARMFUL_PART } else { USUAL_PART };
                    let entry = entries[(client + number) % entries.len()];
                    record.note(&format!("client {client}  sends {id} with part {part}"));
                    let request = stream_request_with(&id, "key-1", part);
                    let answer = call(entry, &request, Duration::from_secs(14));
                    let events = whole_events(&answer.body);
                    record.note(&format!(
                        "client {client}  gets {id} {}, {events} of {EVENTS} events",
                        describe(&answer)
                    ));
                    if is_harmful {
                        thread::sleep(Duration::from_millis(500));
                    } else {
                        answers.lock().expect("no holder panics").push(answer);
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();
    let mut crashed_at = Vec::new();
    let mut due: Vec<(Instant, String)> = Vec::new();
    let mut next = REPLICAS;
    while Instant::now() < until {
        if let Ok((at, name)) = crashes.recv_timeout(Duration::from_millis(20)) {
            crashed_at.push(at);
            due.push((at + BACK_AFTER, name));
        }
        // A replica is back under another id after some seconds; the old entry lapses after three heartbeats.
        while due.first().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, name) = due.remove(0);
            let replica = start(&format!("s-{next}"))?;
            next += 1;
            let registration = replica.registration("models", Some("decode"), 12);
            fleet
                .store
                .put(&format!("servers/{}", replica.id), &registration);
            fleet.store.remove(&format!("servers/{name}"));
            record.note(&format!("{name}  is back as {}", replica.id));
            replicas.push(replica);
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client ended early")?;
    }
    fleet.keep_logs(to);
    let fifth = crashed_at.get(4).copied();
    let runs = runs.lock().expect("no holder panics");
    let is_late = |at: Instant| fifth.is_some_and(|fifth| at > fifth + CONTACT);
    let late = runs
        .iter()
        .filter(|(at, id)| id.starts_with("06") && is_late(*at))
        .count();
    let answers = answers.lock().expect("no holder panics");
    let whole = answers
        .iter()
        .filter(|answer| whole_events(&answer.body) == EVENTS)
        .count();
    let short = answers.iter().filter(|answer| is_cut_short(answer)).count();
    let summary = format!(
        "{} crashes; {late} runs with the part later than {} s after the fifth; of {} sound streams {whole} had all events, and \
         {short} ended as complete before their last event",
        crashed_at.len(),
        CONTACT.as_secs(),
        answers.len()
    );
    record.note(&summary);
    println!("{summary}");
    if whole < 20 || (is_troubled && fifth.is_none()) {
        return Err("too few streams were served, or too few replicas crashed".into());
    }
    Ok(late <= 3)
}
