//! A stand-in of the platform's metadata store: lists and watches, with a history that is kept whole.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Wire, answer};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(u64, String, Option<String>)>,
}

/// The way of one machine to the store.
pub struct Door {
    pub address: SocketAddr,
    /// Whether the way is cut: connections are reset.
    pub is_cut: AtomicBool,
    /// Calls that wait for changes.
    pub watches: AtomicU32,
}

/// A store whose items a case sets.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= three.len() {
                text.push(LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{revision},"lease":0}}"#
    )
}

fn query_field(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let value = value.replace("%2F", "/").replace("%2D", "-");
    Some(value)
}

impl Store {
    pub fn start(host: &str) -> Arc<Self> {
        let listener = TcpListener::bind((host, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Arc::new(Self {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        store.open(listener, address);
        store
    }

    /// A way to the store of its own.
    pub fn door(self: &Arc<Self>, host: &str) -> Arc<Door> {
        let listener = TcpListener::bind((host, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        self.open(listener, address)
    }

    fn open(self: &Arc<Self>, listener: TcpListener, address: SocketAddr) -> Arc<Door> {
        let door = Arc::new(Door {
            address,
            is_cut: AtomicBool::new(false),
            watches: AtomicU32::new(0),
        });
        let (store, entered) = (Arc::clone(self), Arc::clone(&door));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (Arc::clone(&store), Arc::clone(&entered));
                thread::spawn(move || store.serve(stream, &door));
            }
        });
        door
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.to_owned(), revision));
        state
            .history
            .push((revision, key.to_owned(), Some(value.to_owned())));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, door: &Door) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let (_, target) = head.request();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let body = match path {
                "/kv-range" => self.range(query),
                "/kv-watch" => {
                    door.watches.fetch_add(1, Ordering::SeqCst);
                    self.watch(query, door)
                }
                _ => String::new(),
            };
            let status = if body.is_empty() { 404 } else { 200 };
            if door.is_cut.load(Ordering::SeqCst) {
                return;
            }
            let fields = [("Content-Type", "application/json")];
            // An answer takes some 4 ms.
            thread::sleep(Duration::from_millis(4));
            if wire.send(&answer(status, &fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn range(&self, query: &str) -> String {
        let prefix = query_field(query, "path_prefix").unwrap_or_default();
        let after = query_field(query, "after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<_> = items
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"has_more":false,"as_of":{revision}}}"#)
    }

    fn watch(&self, query: &str, door: &Door) -> String {
        let prefix = query_field(query, "path_prefix").unwrap_or_default();
        let number = |name: &str| {
            let text = query_field(query, name).unwrap_or_default();
            text.parse::<u64>().unwrap_or(0)
        };
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events =
                events.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<_> = events
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => format!(r#"{{"key":"{key}","rev":{revision},"removed":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until || door.is_cut.load(Ordering::SeqCst) {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"as_of":{revision}}}"#);
            }
            let wait = (until - now).min(Duration::from_millis(20));
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap().0;
        }
    }
}
