//! Keeps one engine at what is published for it.

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

/// How often an engine that serves is read back.
const SERVING_POLL_PERIOD: Duration = Duration::from_millis(500);

/// How often one that does not serve yet is looked at.
const PENDING_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Pause after a failure, or while the engine waits for its turn to load.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the keeper asks and tells of the engine's use.
pub(crate) struct EngineUse {
    /// Whether no request holds the engine.
    pub(crate) is_free: Box<dyn Fn() -> bool>,
    /// Takes the role that the engine has now.
    pub(crate) set_role: Box<dyn Fn(EngineRole)>,
}

#[derive(Default)]
struct State {
    running: Option<EngineState>,
    last_order: Option<LastOrder>,
}

/// Keeper of one engine.
pub(crate) struct EngineController {
    name: EngineId,
    client: OrderClient,
    published: PublishedStore,
    follower: Rc<Follower>,
    budget: LoadBudget,
    gate: Rc<Gate>,
    state: RefCell<State>,
}

/// What an attempt to order came to.
enum OrderOutcome {
    /// It was sent, whatever the answer.
    Sent,
    /// It has to wait for budget, running work or a peer.
    Postponed,
}

impl EngineController {
    pub(crate) fn new(
        name: EngineId,
        endpoint_address: SocketAddr,
        published: PublishedStore,
        follower: Rc<Follower>,
        owners: BudgetOwners,
        gate: Rc<Gate>,
    ) -> Self {
        Self {
            name,
            client: OrderClient::new(endpoint_address),
            published,
            follower,
            budget: LoadBudget::new(owners),
            gate,
            state: RefCell::default(),
        }
    }

    /// Keeps the engine at what is published until the stop is called for.
    pub(crate) async fn run(&self, engine_use: &EngineUse, metrics: &Metrics, stop: &Stop) {
        while !stop.is_called() {
            let pause = self.reconcile(engine_use, metrics).await;
            let paused = compio::time::sleep(pause).boxed_local();
            let changed = self.published.changed().boxed_local();
            let stopped = stop.called().boxed_local();
            select_all([paused, changed, stopped]).await;
        }
    }

    /// Does what is next, and returns when to look again.
    async fn reconcile(&self, engine_use: &EngineUse, metrics: &Metrics) -> Duration {
        // A daemon that has not asked its peers may hold what a stale service told.
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
                // An engine that was restarted may run anything.
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
        DesiredEngine::of(&self.published.get(), &self.name)
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

    /// Orders once the load is paid for and the engine is free. Until its turn to load an engine serves the version
    /// that it has, so that a new version doesn't take a whole pool away at once.
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

    /// What an operator sees; `None` without a deployment.
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
