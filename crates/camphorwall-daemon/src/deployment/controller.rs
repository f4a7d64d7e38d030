//! Reconciles one engine with the setup that is published for it.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{DeploymentStatus, EngineRole, EngineSetup, Stop};
use futures_util::{
    FutureExt as _,
    future::{join, select_all},
};

use super::{
    decision::{EngineState, LastOrder, Step, may_order, next_step, serves_until_order},
    desired::{DesiredEngine, EngineId},
    engine::{OrderClient, OrderError},
    gate::Gate,
    load_budget::LoadBudget,
};
use crate::{
    budget::BudgetOwners,
    metrics::Metrics,
    published::{Follower, PublishedStore},
};

/// How often the setup of an engine that serves is read back.
const SERVING_POLL_PERIOD: Duration = Duration::from_millis(500);

/// How often an engine that does not serve yet is checked.
const PENDING_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Delay after a failure, or while an order is postponed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Functions of the endpoint daemon that the controller calls: whether the engine is in use, and which role it has.
pub(crate) struct EngineUse {
    /// Whether no request uses the engine.
    pub(crate) is_free: Box<dyn Fn() -> bool>,
    /// Sets the role that the engine has now.
    pub(crate) set_role: Box<dyn Fn(EngineRole)>,
}

#[derive(Default)]
struct State {
    running: Option<EngineState>,
    last_order: Option<LastOrder>,
}

/// Controller of one engine.
pub(crate) struct EngineController {
    engine_id: EngineId,
    client: OrderClient,
    published: PublishedStore,
    follower: Rc<Follower>,
    budget: LoadBudget,
    gate: Rc<Gate>,
    state: RefCell<State>,
}

/// Outcome of an attempt to order the engine.
enum OrderOutcome {
    /// The order was sent, whatever the answer.
    Sent,
    /// The order has to wait for budget, running work or confirmation by a peer.
    Postponed,
}

impl EngineController {
    pub(crate) fn new(
        engine_id: EngineId,
        endpoint_address: SocketAddr,
        published: PublishedStore,
        follower: Rc<Follower>,
        owners: BudgetOwners,
        gate: Rc<Gate>,
    ) -> Self {
        Self {
            engine_id,
            client: OrderClient::new(endpoint_address),
            published,
            follower,
            budget: LoadBudget::new(owners),
            gate,
            state: RefCell::default(),
        }
    }

    /// Reconciles the engine until the stop is triggered.
    pub(crate) async fn run(&self, engine_use: &EngineUse, metrics: &Metrics, stop: &Stop) {
        while !stop.is_called() {
            let pause = self.reconcile(engine_use, metrics).await;
            let paused = compio::time::sleep(pause).boxed_local();
            let changed = self.published.changed().boxed_local();
            let stopped = stop.called().boxed_local();
            select_all([paused, changed, stopped]).await;
        }
    }

    /// Takes the next step, and returns the time until the following one.
    async fn reconcile(&self, engine_use: &EngineUse, metrics: &Metrics) -> Duration {
        // Until its peers have confirmed them, a daemon may hold documents from an outdated configuration service.
        if !self.published.is_ready() {
            return PENDING_POLL_PERIOD;
        }
        let Some(desired) = self.desired() else {
            self.gate.open(None);
            return SERVING_POLL_PERIOD;
        };
        let running = match self.client.read().await {
            Ok(running) => running,
            Err(error) => {
                // An engine that was restarted may run any setup.
                self.close(&error.to_string());
                self.state.borrow_mut().running = None;
                return RETRY_DELAY;
            }
        };
        self.state.borrow_mut().running = Some(running.clone());
        metrics.note_engine(desired.revision, running.setup == desired.setup);
        let last_order = self.state.borrow().last_order.clone();
        match next_step(&desired, &running, last_order.as_ref(), Instant::now()) {
            Step::Serve => {
                self.open(&running.setup, engine_use);
                SERVING_POLL_PERIOD
            }
            Step::AwaitDocuments => {
                self.close("the engine knows a newer revision than its daemon");
                self.follower.confirm().await;
                RETRY_DELAY
            }
            Step::AwaitLoad => {
                self.close("the engine loads");
                PENDING_POLL_PERIOD
            }
            Step::Order => match self.order(&desired, &running, engine_use, metrics).await {
                OrderOutcome::Sent => PENDING_POLL_PERIOD,
                OrderOutcome::Postponed => RETRY_DELAY.min(self.budget.exchange_period()),
            },
        }
    }

    fn desired(&self) -> Option<DesiredEngine> {
        DesiredEngine::of(&self.published.get(), &self.engine_id)
    }

    fn open(&self, setup: &EngineSetup, engine_use: &EngineUse) {
        (engine_use.set_role)(setup.engine_role);
        self.gate.open(Some(setup.clone()));
    }

    fn close(&self, reason: &str) {
        if self.gate.close(reason) {
            tracing::info!(event = "engine_closed", reason);
        }
    }

    /// Orders the engine once the load is paid for and the engine is free. Until the load is paid for, the engine
    /// serves the version that it has, so that a new version does not make an entire pool unavailable at once.
    async fn order(
        &self,
        desired: &DesiredEngine,
        running: &EngineState,
        engine_use: &EngineUse,
        metrics: &Metrics,
    ) -> OrderOutcome {
        let is_held = match &desired.price {
            Some(price) => self.budget.ensure_held(price).await,
            None => true,
        };
        match is_held {
            false if serves_until_order(desired, running) => self.open(&running.setup, engine_use),
            false => self.close("the engine waits for its turn to load"),
            true => self.close("the engine is to load something else"),
        }
        if !is_held || !(engine_use.is_free)() {
            return OrderOutcome::Postponed;
        }
        let queried_at = Instant::now();
        let (is_confirmed, running) = join(self.follower.confirm(), self.client.read()).await;
        let Some(running) = running.ok().filter(|_| is_confirmed) else {
            tracing::warn!(event = "order_unconfirmed", revision = %desired.revision);
            return OrderOutcome::Postponed;
        };
        let now = Instant::now();
        let last_order = self.state.borrow().last_order.clone();
        let in_force = self.desired();
        let last = last_order.as_ref();
        let is_needed = next_step(desired, &running, last, now) == Step::Order;
        let is_paid = || {
            let price = desired.price.as_ref();
            price.is_none_or(|price| self.budget.pay(price, now))
        };
        let may_order = may_order(desired, in_force.as_ref(), last, queried_at, now);
        if !is_needed || !may_order || !is_paid() {
            return OrderOutcome::Postponed;
        }
        self.send(desired, now, metrics).await;
        OrderOutcome::Sent
    }

    async fn send(&self, desired: &DesiredEngine, now: Instant, metrics: &Metrics) {
        self.state.borrow_mut().last_order = Some(LastOrder {
            revision: desired.revision,
            at: now,
        });
        let refunding = async {
            if let Some(price) = &desired.price {
                self.budget.refund(price).await;
            }
        };
        let (ordered, ()) = join(self.client.order(desired), refunding).await;
        let result = match &ordered {
            Ok(()) => "obeyed",
            Err(OrderError::Outdated) => "outdated",
            Err(_) => "failed",
        };
        let detail = ordered.err().map(|error| error.to_string());
        let detail = detail.unwrap_or_default();
        metrics.count_order(result);
        tracing::info!(event = "engine_ordered", revision = %desired.revision, setup = %desired.setup, result, detail);
    }

    /// Status for operators; `None` without a deployment.
    pub(crate) fn status(&self) -> Option<DeploymentStatus> {
        let desired = self.desired()?;
        let state = self.state.borrow();
        let running = state.running.as_ref();
        let last_order = state.last_order.as_ref();
        Some(DeploymentStatus {
            revision: desired.revision,
            wanted: desired.setup,
            running: running.map(|running| running.setup.clone()),
            ordered_revision: last_order.map(|last| last.revision),
            closed: self.gate.closed(),
        })
    }
}

#[cfg(test)]
#[path = "controller_tests.rs"]
mod tests;
