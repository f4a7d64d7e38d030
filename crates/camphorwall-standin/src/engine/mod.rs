//! Stand-in for a model engine with prefill and decode roles.
//!
//! Answers are a fixed function of the prompt, so that a test can recognise a complete answer. A generation continues
//! when its stream breaks, until it is cancelled or ends, as in real engines whose streams can be resumed.

mod cache;
mod generation;
mod kv;
mod orders;
#[cfg(test)]
#[path = "orders_tests.rs"]
mod orders_tests;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use camphorwall::{BoxedBody, EngineSetup, RequestBody, collect_body, json_response, stream_body};
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

pub use self::orders::{EngineOrder, OrderKind};
use self::{
    cache::{PIECE_TOKENS, PrefixCache, piece_names},
    generation::{Generation, answer_words},
    kv::KvCache,
    orders::Orders,
};
use crate::RunningServer;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of requests whose text is kept for tests.
const MAX_RECORDED_REQUESTS: usize = 10_000;

/// Speed, capacity and faults of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Maximum number of requests that decode at once.
    pub slots: usize,
    /// Prefill time of one prompt token.
    pub prefill_us_per_token: u64,
    /// Time between two output tokens.
    pub token_gap_us: u64,
    /// How long a KV cache is kept after prefill.
    pub kv_lifetime_ms: u64,
    /// Size of the KV cache for one token.
    pub kv_bytes_per_token: usize,
    /// Age of the published load report.
    pub load_lag_ms: u64,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Time from a crash to the restart by the platform; without it, the engine stays down.
    pub restart_ms: Option<u64>,
    /// Capacity of the prefix cache in pieces of 2,048 prompt tokens.
    pub cache_pieces: usize,
    /// Age at which cache events are published.
    pub cache_event_lag_ms: u64,
    /// Cache events whose sequence number is a multiple of this number are never published, so that readers see a gap.
    pub cache_gap_every: Option<u64>,
    /// Whether the engine checks the fencing numbers of orders.
    pub order_kind: OrderKind,
    /// Time to load weights.
    pub load_ms: u64,
    /// What the engine runs after each start; without it, the engine takes no orders.
    pub default_setup: Option<EngineSetup>,
    /// Address of the weight store; without it, loads need no store.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 20,
            prefill_us_per_token: 20,
            token_gap_us: 2_000,
            kv_lifetime_ms: 800,
            kv_bytes_per_token: 64,
            load_lag_ms: 200,
            crash_on: None,
            restart_ms: None,
            cache_pieces: 0,
            cache_event_lag_ms: 100,
            cache_gap_every: None,
            order_kind: OrderKind::Checks,
            load_ms: 50,
            default_setup: None,
            weight_store: None,
        }
    }
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Prefills.
    pub prefills: u64,
    /// Prompt tokens of these prefills, cached ones included.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// KV caches that expired unused.
    pub kv_expired: u64,
    /// Requests whose memory was lost because weights were loaded.
    pub cut_by_loads: u64,
    /// KV caches that were refused because other weights computed them.
    pub kv_misfits: u64,
    /// Output tokens.
    pub tokens: u64,
    /// Cancelled generations and KV caches.
    pub cancelled: u64,
}

struct State {
    options: EngineOptions,
    counts: Cell<EngineCounts>,
    kv: RefCell<BTreeMap<String, KvCache>>,
    generations: RefCell<BTreeMap<String, Rc<Generation>>>,
    prefill_free_at: Cell<Instant>,
    load_reports: RefCell<VecDeque<(Instant, usize)>>,
    received: RefCell<Vec<String>>,
    is_crashed: Cell<bool>,
    incarnation: Cell<u64>,
    crashes: Cell<u64>,
    /// Ids of all requests that the engine has computed for.
    ran: RefCell<BTreeSet<String>>,
    /// Number of KV exports, from the next one on, that will not be answered.
    stalled_exports: Cell<u32>,
    orders: Orders,
    prefixes: RefCell<PrefixCache>,
}

/// Stand-in for a model engine; clones share their state.
#[derive(Clone)]
pub struct Engine(Rc<State>);

#[derive(Deserialize)]
struct PrefillBody {
    request_id: String,
    prompt: String,
}

#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

impl Engine {
    /// Creates an engine with empty memory.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self(Rc::new(State {
            orders: Orders::new(&options),
            prefixes: RefCell::default(),
            options,
            counts: Cell::default(),
            kv: RefCell::default(),
            generations: RefCell::default(),
            prefill_free_at: Cell::new(Instant::now()),
            load_reports: RefCell::default(),
            received: RefCell::default(),
            is_crashed: Cell::new(false),
            incarnation: Cell::new(1),
            crashes: Cell::new(0),
            ran: RefCell::default(),
            stalled_exports: Cell::default(),
        }))
    }

    /// Complete text that any engine generates for a prompt.
    #[must_use]
    pub fn complete_answer(prompt: &str, max_output_tokens: u64) -> String {
        answer_words(prompt, max_output_tokens).concat()
    }

    /// Counters up to now.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.0.counts.get()
    }

    /// Number of generations and KV caches in memory.
    #[must_use]
    pub fn requests_in_memory(&self) -> usize {
        self.drop_expired_kv();
        self.0.generations.borrow().len() + self.0.kv.borrow().len()
    }

    /// Whether the engine has crashed and not restarted.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.0.is_crashed.get()
    }

    /// Ids of all requests that the engine has computed for.
    #[must_use]
    pub fn ran(&self) -> BTreeSet<String> {
        self.0.ran.borrow().clone()
    }

    /// Makes the next `count` exports of KV caches stall.
    pub fn stall_exports(&self, count: u32) {
        self.0.stalled_exports.set(count);
    }

    /// Drops everything in memory, as the death of the process would.
    pub fn lose_memory(&self) {
        self.0.kv.borrow_mut().clear();
        self.0.prefixes.borrow_mut().clear();
        for generation in self.0.generations.take().values() {
            generation.is_cancelled.set(true);
            generation.notify_streams();
        }
    }

    /// Received requests as text: each with its head and the start of its body.
    #[must_use]
    pub fn received(&self) -> Vec<String> {
        self.0.received.borrow().clone()
    }

    /// Serves the engine at an address.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let engine = self.clone();
        RunningServer::start(address, move |request| {
            let engine = engine.clone();
            async move { engine.respond(request).await }
        })
        .await
    }

    fn take_stall(&self) -> bool {
        let left = self.0.stalled_exports.get();
        self.0.stalled_exports.set(left.saturating_sub(1));
        left > 0
    }

    fn count(&self, change: impl FnOnce(&mut EngineCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    async fn respond(&self, request: Request<RequestBody>) -> Response<BoxedBody> {
        let (head, body) = request.into_parts();
        let Some(body) = collect_body(body, MAX_BODY_BYTES).await else {
            return json_response(413, &json!({"error": "body too large"}));
        };
        if self.0.is_crashed.get() {
            return broken_response();
        }
        self.record_request(&head, &body);
        let path = head.uri.path();
        match (head.method.as_str(), path, path.strip_prefix("/v1/kv/")) {
            ("POST", "/v1/prefill", _) => self.prefill(&body).await,
            ("POST", "/v1/decode", _) => self.decode(&body),
            ("POST", "/v1/cancel", _) => self.cancel(&body),
            ("GET", "/v1/load", _) => self.load(),
            ("GET", "/v1/running", _) => self.running(),
            ("GET", "/v1/cache", _) => self.cache_snapshot(),
            ("GET", "/v1/cache/events", _) => self.cache_events(head.uri.query()),
            ("GET", "/v1/deployment", _) => self.deployment(),
            ("POST", "/v1/deployment", _) => self.handle_order(&body),
            ("GET", _, Some(_)) if self.take_stall() => std::future::pending().await,
            ("GET", _, Some(request_id)) => self.export_kv(request_id),
            ("PUT" | "POST", _, Some(request_id)) => self.import_kv(request_id, &body),
            _ => json_response(404, &json!({"error": "no such path"})),
        }
    }

    fn record_request(&self, head: &http::request::Parts, body: &Bytes) {
        let mut received = self.0.received.borrow_mut();
        if received.len() < MAX_RECORDED_REQUESTS {
            let text = String::from_utf8_lossy(&body[..body.len().min(512)]);
            received.push(format!(
                "{} {} {:?} {text}",
                head.method, head.uri, head.headers
            ));
        }
    }

    async fn prefill(&self, body: &Bytes) -> Response<BoxedBody> {
        let Ok(body) = serde_json::from_slice::<PrefillBody>(body) else {
            return json_response(400, &json!({"error": "use request_id and prompt"}));
        };
        if self
            .0
            .options
            .crash_on
            .as_ref()
            .is_some_and(|text| body.prompt.contains(text))
        {
            self.crash_and_restart();
            return broken_response();
        }
        let incarnation = self.0.incarnation.get();
        self.0.ran.borrow_mut().insert(body.request_id.clone());
        let tokens = body.prompt.split_whitespace().count() as u64;
        let names = piece_names(&body.prompt);
        let cached = self
            .0
            .prefixes
            .borrow_mut()
            .prefill(&names, &self.0.options);
        let cached_tokens = (cached * PIECE_TOKENS) as u64;
        let tokens_to_prefill = tokens - cached_tokens;
        let duration =
            Duration::from_micros(self.0.options.prefill_us_per_token * tokens_to_prefill);
        let ends_at = self.0.prefill_free_at.get().max(Instant::now()) + duration;
        self.0.prefill_free_at.set(ends_at);
        compio::time::sleep_until(ends_at).await;
        if self.0.is_crashed.get() || self.0.incarnation.get() != incarnation {
            return broken_response();
        }
        self.count(|counts| {
            counts.prefills += 1;
            counts.prefill_tokens += tokens;
            counts.cached_tokens += cached_tokens;
        });
        let lifetime = Duration::from_millis(self.0.options.kv_lifetime_ms);
        let cache = KvCache {
            prompt: body.prompt,
            tokens,
            expires_at: Some(Instant::now() + lifetime),
        };
        self.0.kv.borrow_mut().insert(body.request_id, cache);
        json_response(200, &json!({"tokens": tokens, "pieces": names}))
    }

    /// Number of times that a prompt crashed the engine.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.0.crashes.get()
    }

    /// Restarts a crashed engine with the next incarnation. The crash has emptied its memory.
    pub fn restart(&self) {
        self.0.incarnation.set(self.0.incarnation.get() + 1);
        self.0.is_crashed.set(false);
        self.0.orders.restart(&self.0.options);
    }

    fn crash_and_restart(&self) {
        self.crash();
        self.0.crashes.set(self.0.crashes.get() + 1);
        if let Some(restart_ms) = self.0.options.restart_ms {
            let engine = self.clone();
            // Detached because the platform restarts an engine independently of its callers.
            let restarting = async move {
                compio::time::sleep(Duration::from_millis(restart_ms)).await;
                engine.restart();
            };
            compio::runtime::spawn(restarting).detach();
        }
    }

    /// Crashes the engine: it loses its memory and answers nothing until it is restarted.
    pub fn crash(&self) {
        self.0.is_crashed.set(true);
        self.lose_memory();
    }

    fn cancel(&self, body: &Bytes) -> Response<BoxedBody> {
        let Ok(body) = serde_json::from_slice::<CancelBody>(body) else {
            return json_response(400, &json!({"error": "use request_id"}));
        };
        let generation = self.0.generations.borrow_mut().remove(&body.request_id);
        let cache = self.0.kv.borrow_mut().remove(&body.request_id);
        let was_held = generation.is_some() || cache.is_some();
        if let Some(generation) = generation {
            generation.is_cancelled.set(true);
            generation.notify_streams();
        }
        self.count(|counts| counts.cancelled += u64::from(was_held));
        json_response(200, &json!({"cancelled": was_held}))
    }

    fn cache_snapshot(&self) -> Response<BoxedBody> {
        let (seq, pieces) = self.0.prefixes.borrow().snapshot();
        let incarnation = self.0.incarnation.get();
        json_response(
            200,
            &json!({"incarnation": incarnation, "seq": seq, "pieces": pieces}),
        )
    }

    fn cache_events(&self, query: Option<&str>) -> Response<BoxedBody> {
        let after = query.and_then(|query| query.strip_prefix("after=")?.parse().ok());
        let prefixes = self.0.prefixes.borrow();
        let events = prefixes.events_after(after.unwrap_or(0), &self.0.options);
        let incarnation = self.0.incarnation.get();
        json_response(200, &json!({"incarnation": incarnation, "events": events}))
    }

    fn load(&self) -> Response<BoxedBody> {
        let now = Instant::now();
        let lag = Duration::from_millis(self.0.options.load_lag_ms);
        let mut reports = self.0.load_reports.borrow_mut();
        reports.push_back((now, self.0.generations.borrow().len()));
        while reports.len() > 1 && reports[1].0 + lag <= now {
            reports.pop_front();
        }
        json_response(
            200,
            &json!({
                "running": reports[0].1,
                "slots": self.0.options.slots,
                "incarnation": self.0.incarnation.get(),
            }),
        )
    }

    fn running(&self) -> Response<BoxedBody> {
        self.drop_expired_kv();
        let generations = self.0.generations.borrow();
        let kv = self.0.kv.borrow();
        let ids: Vec<_> = generations.keys().chain(kv.keys()).collect();
        json_response(200, &json!({"requests": ids}))
    }
}

/// A response whose connection breaks, as when the process dies.
fn broken_response() -> Response<BoxedBody> {
    let error = io::Error::other("the engine has crashed");
    Response::new(stream_body(futures_util::stream::iter([Err(error)])))
}
