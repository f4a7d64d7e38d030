//! A stand-in of the platform's metadata store: reads, ranges and watches, as PROTOCOL.md says.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_request, write_message},
    sleep_ms,
};

/// Usual time of an answer.
pub const ANSWER_MS: u64 = 4;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let index = (number >> (18 - 6 * place)) & 63;
            let is_padding = place > three.len();
            text.push(if is_padding {
                '='
            } else {
                ALPHABET[index as usize] as char
            });
        }
    }
    text
}

struct Item {
    value: Vec<u8>,
    rev: u64,
}

struct Event {
    key: String,
    rev: u64,
    text: String,
}

struct State {
    rev: u64,
    /// Changes up to this revision are not available any more.
    forgotten_to: u64,
    /// How often the waiting watches were cut.
    cuts: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
}

fn item_text(key: &str, value: &[u8], rev: u64) -> String {
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}"
    )
}

/// A store whose items a case sets.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    answer_ms: Arc<AtomicU64>,
    calls: Arc<AtomicU64>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            rev: 1,
            forgotten_to: 0,
            cuts: 0,
            items: BTreeMap::new(),
            events: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            answer_ms: Arc::new(AtomicU64::new(ANSWER_MS)),
            calls: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the store");
        state.rev += 1;
        let rev = state.rev;
        let item = Item {
            value: value.as_bytes().to_vec(),
            rev,
        };
        let text = item_text(key, &item.value, rev);
        state.items.insert(key.to_owned(), item);
        let key = key.to_owned();
        state.events.push(Event { key, rev, text });
        changed.notify_all();
    }

    /// Makes each answer take this long from now on.
    pub fn set_answer_ms(&self, answer_ms: u64) {
        self.answer_ms.store(answer_ms, Ordering::SeqCst);
    }

    /// Discards the history up to now and cuts the watches that wait, or leaves them. Later ones from an earlier revision get
    /// 410.
    pub fn forget(&self, cuts_watches: bool) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the store");
        state.forgotten_to = state.rev;
        state.events.clear();
        state.cuts += u64::from(cuts_watches);
        changed.notify_all();
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the store");
        if state.items.remove(key).is_none() {
            return;
        }
        state.rev += 1;
        let rev = state.rev;
        let text = format!("{{\"key\":\"{key}\",\"rev\":{rev},\"removed\":true}}");
        let key = key.to_owned();
        state.events.push(Event { key, rev, text });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_request(&mut reader) {
            self.calls.fetch_add(1, Ordering::SeqCst);
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            sleep_ms(self.answer_ms.load(Ordering::SeqCst));
            let fields = [("Content-Type", "application/json")];
            let first_line = format!("HTTP/1.1 {status} X");
            if write_message(reader.get_mut(), &first_line, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if its connection is cut.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            "/kv-range" => Some(self.range(request)),
            "/kv-watch" => self.watch(request),
            "/kv-key" => Some(self.key(request)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let state = self.shared.0.lock().expect("the store");
        let key = request.query("key").unwrap_or_default();
        let as_of = state.rev;
        match state.items.get(&key) {
            Some(item) => {
                let text = item_text(&key, &item.value, item.rev);
                (
                    200,
                    format!("{},\"as_of\":{as_of}}}", text.trim_end_matches('}')),
                )
            }
            None => (404, format!("{{\"as_of\":{as_of}}}")),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let state = self.shared.0.lock().expect("the store");
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<_> = found
            .map(|(key, item)| item_text(key, &item.value, item.rev))
            .collect();
        let (items, as_of) = (items.join(","), state.rev);
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"),
        )
    }

    fn watch(&self, request: &Message) -> Option<(u16, String)> {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("the store");
        if after > state.rev || after < state.forgotten_to {
            return Some((410, "{}".to_owned()));
        }
        let cuts = state.cuts;
        loop {
            if state.cuts > cuts {
                return None;
            }
            let events = state.events.iter();
            let events = events.filter(|event| event.rev > after && event.key.starts_with(&prefix));
            let events: Vec<_> = events.map(|event| event.text.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.rev);
                return Some((200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}")));
            }
            state = changed.wait_timeout(state, left).expect("the store").0;
        }
    }
}
