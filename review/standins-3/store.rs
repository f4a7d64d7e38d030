//! A stand-in of the platform's metadata store: lists, watches, and the drill in which it comes back from a copy.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::read_request;

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    /// JSON text of each item, by key.
    items: BTreeMap<String, String>,
    /// Revision, key and JSON text of each change.
    history: Vec<(u64, String, String)>,
}

struct State {
    contents: Contents,
    era: u64,
    /// Whether it is away: it resets new calls and those that wait.
    is_away: bool,
}

/// A copy of what a store holds.
pub struct StoreCopy(Contents);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(three.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= three.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            contents: Contents {
                revision: 1,
                ..Contents::default()
            },
            era: 0,
            is_away: false,
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.answer(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item and acknowledges it by returning.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let contents = &mut state.contents;
        contents.revision += 1;
        let (revision, value) = (contents.revision, base64(value.as_bytes()));
        let item = format!(
            r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{revision},"lease":0}}"#
        );
        contents.items.insert(key.to_owned(), item.clone());
        contents.history.push((revision, key.to_owned(), item));
        changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        contents.items.remove(key);
        let item = format!(r#"{{"key":"{key}","rev":{revision},"removed":true}}"#);
        contents.history.push((revision, key.to_owned(), item));
        changed.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        let (state, _) = &*self.shared;
        StoreCopy(state.lock().expect("no holder panics").contents.clone())
    }

    /// Begins to reset all calls.
    pub fn go_away(&self) {
        let (state, changed) = &*self.shared;
        state.lock().expect("no holder panics").is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy, with the next era.
    pub fn come_back_from(&self, copy: StoreCopy) {
        let (state, _) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        state.contents = copy.0;
        state.era += 1;
        state.is_away = false;
    }

    fn answer(&self, mut stream: TcpStream) {
        let Ok((head, _)) = read_request(&mut stream) else {
            return;
        };
        let path = head.path();
        let prefix = query(path, "path_prefix").unwrap_or_default();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let (status, body) = if path.starts_with("/kv-range") {
            let items = state.contents.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(prefix));
            let items: Vec<_> = items.map(|(_, item)| item.as_str()).collect();
            let (items, revision) = (items.join(","), state.contents.revision);
            let body = format!(r#"{{"items":[{items}],"has_more":false,"as_of":{revision}}}"#);
            ("200 OK", body)
        } else {
            let number = |name| query(path, name).and_then(|text| text.parse().ok());
            let after: u64 = number("after").unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
            let era = state.era;
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let history = state.contents.history.iter();
                let events = history
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
                let events: Vec<_> = events.map(|(_, _, item)| item.as_str()).collect();
                if state.is_away || state.era != era {
                    break ("", String::new());
                }
                if after > state.contents.revision {
                    break ("410 Gone", "{}".to_owned());
                }
                if !events.is_empty() || left.is_zero() {
                    let (events, revision) = (events.join(","), state.contents.revision);
                    let body = format!(r#"{{"events":[{events}],"as_of":{revision}}}"#);
                    break ("200 OK", body);
                }
                state = changed
                    .wait_timeout(state, left)
                    .expect("no holder panics")
                    .0;
            }
        };
        let (is_away, era) = (state.is_away, state.era);
        drop(state);
        if is_away || status.is_empty() {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all((head + &body).as_bytes());
    }
}
