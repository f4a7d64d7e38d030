//! Orders to an engine: what it runs, how it checks the fencing number, and how it loads weights.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use bytes::Bytes;
use camphorwall::{BoxedBody, EngineSetup, Revision, RpcClient, json_response};
use hyper::Response;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Engine, EngineOptions};

/// Pause before weights are requested again after the store refused them.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What an engine does with the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// It refuses an order whose number is lower than that of the last accepted one.
    #[default]
    Checks,
    /// It accepts each order and reports no number.
    Ignores,
}

/// An order as the engine received it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// Fencing number.
    pub fence: Revision,
    /// What the engine should run.
    #[serde(flatten)]
    pub setup: EngineSetup,
}

/// Orders that an engine received, and their effect.
pub(super) struct Orders {
    setup: RefCell<Option<EngineSetup>>,
    fence: Cell<Revision>,
    loading: RefCell<Option<EngineSetup>>,
    /// Number of the latest load. A load that is no longer the latest has no effect.
    latest_load: Cell<u64>,
    /// Loads that were started.
    loads: Cell<u64>,
    received: RefCell<Vec<EngineOrder>>,
}

impl Orders {
    pub(super) fn new(options: &EngineOptions) -> Self {
        Self {
            setup: RefCell::new(options.default_setup.clone()),
            fence: Cell::default(),
            loading: RefCell::default(),
            latest_load: Cell::default(),
            loads: Cell::default(),
            received: RefCell::default(),
        }
    }

    /// Returns to the default setup, as a restarted engine does.
    pub(super) fn restart(&self, options: &EngineOptions) {
        self.setup.replace(options.default_setup.clone());
        self.fence.set(Revision(0));
        self.loading.take();
        self.latest_load.set(self.latest_load.get() + 1);
    }

    /// Whether an engine of a kind accepts an order.
    fn accepts(&self, kind: OrderKind, order: &EngineOrder) -> bool {
        match kind {
            OrderKind::Checks => order.fence >= self.fence.get(),
            OrderKind::Ignores => true,
        }
    }
}

impl Engine {
    /// All received orders, refused ones included.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.0.orders.received.borrow().clone()
    }

    /// What the engine runs.
    #[must_use]
    pub fn setup(&self) -> Option<EngineSetup> {
        self.0.orders.setup.borrow().clone()
    }

    /// Model and version of the weights; empty if the engine takes no orders.
    pub(super) fn weights(&self) -> String {
        let setup = self.setup();
        setup.map_or_else(String::new, |setup| {
            format!("{} {}", setup.model, setup.version)
        })
    }

    /// Number of weight loads that were started.
    #[must_use]
    pub fn loads(&self) -> u64 {
        self.0.orders.loads.get()
    }

    pub(super) fn deployment(&self) -> Response<BoxedBody> {
        let orders = &self.0.orders;
        let Some(setup) = self.setup() else {
            return json_response(404, &json!({"error": "this engine takes no orders"}));
        };
        let fence = match self.0.options.order_kind {
            OrderKind::Checks => Some(orders.fence.get()),
            OrderKind::Ignores => None,
        };
        json_response(
            200,
            &json!({"setup": setup, "fence": fence, "loading": *orders.loading.borrow()}),
        )
    }

    pub(super) fn handle_order(&self, body: &Bytes) -> Response<BoxedBody> {
        match serde_json::from_slice::<EngineOrder>(body) {
            Ok(order) if self.order(order.clone()) => json_response(202, &json!({"loading": true})),
            Ok(_) => json_response(409, &json!({"fence": self.0.orders.fence.get()})),
            Err(error) => json_response(400, &json!({"error": error.to_string()})),
        }
    }

    /// Handles an order as if it came over the network; returns whether it was accepted.
    #[must_use]
    pub fn order(&self, order: EngineOrder) -> bool {
        let orders = &self.0.orders;
        orders.received.borrow_mut().push(order.clone());
        if !orders.accepts(self.0.options.order_kind, &order) {
            return false;
        }
        orders.fence.set(order.fence);
        orders.loading.replace(Some(order.setup.clone()));
        orders.latest_load.set(orders.latest_load.get() + 1);
        orders.loads.set(orders.loads.get() + 1);
        let loading = load(self.clone(), order.setup, orders.latest_load.get());
        // Detached because a load continues when the sender of the order disconnects.
        compio::runtime::spawn(loading).detach();
        true
    }
}

/// Loads weights and runs them, unless a later order or a restart supersedes the load.
async fn load(engine: Engine, setup: EngineSetup, number: u64) {
    let orders = &engine.0.orders;
    if let Some(store) = engine.0.options.weight_store {
        let path = format!("/weights/{}/{}", setup.model, setup.version);
        let client = RpcClient::new();
        while orders.latest_load.get() == number && !fetch_weights(&client, store, &path).await {
            compio::time::sleep(STORE_RETRY_PAUSE).await;
        }
    }
    compio::time::sleep(Duration::from_millis(engine.0.options.load_ms)).await;
    if orders.latest_load.get() == number {
        // Everything in memory was computed with the old weights.
        let cut = engine.requests_in_memory() as u64;
        engine.count(|counts| counts.cut_by_loads += cut);
        engine.lose_memory();
        orders.setup.replace(Some(setup));
        orders.loading.take();
    }
}

async fn fetch_weights(client: &RpcClient, store: std::net::SocketAddr, path: &str) -> bool {
    let answer = client.get(store, path).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
