//! State of an endpoint daemon, its background tasks and its shutdown.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, Drained, EndpointSettings, EngineRole, Instance, RpcClient, Settings, Status,
    Stop, StopHandle, TaskGroup, stop_pair,
};
use compio::net::UdpSocket;
use futures_util::{FutureExt as _, future::select};

use super::{
    attempts::Attempts,
    cache::EngineCache,
    crashes::CrashDetector,
    engine::EngineClient,
    engine_monitor::EngineMonitor,
    health::EngineHealth,
    slot_queue::SlotQueue,
    transfer::{KvReceiver, KvSender},
    work::Worker,
};
use crate::{
    budget::{BudgetOwners, GrantChannels, GrantTimes},
    datagrams::{DatagramReceiver, QueryClient, query_responder},
    deployment::{EngineController, EngineId, EngineUse, Gate},
    ledger::LedgerService,
    membership::{Group, send_goodbyes, send_heartbeats},
    metrics::Metrics,
    operator::status,
    published::{Follower, PublishedStore},
    quarantine::Quarantine,
};

/// How often leases are checked.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// How often a leaving daemon checks whether its work has ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// How long a leaving daemon waits for entries to read the remaining frames.
const UNREAD_LIMIT: Duration = Duration::from_secs(5);

/// An endpoint daemon.
pub(crate) struct EndpointDaemon {
    pub(super) settings: Settings,
    pub(super) query_client: Rc<QueryClient>,
    pub(super) attempts: RefCell<Attempts>,
    pub(super) slot_queue: SlotQueue,
    /// Endpoint daemons of the same service.
    pub(super) service_group: Rc<Group>,
    pub(super) ledger: Rc<LedgerService>,
    pub(super) crashes: CrashDetector,
    pub(super) quarantine: Rc<Quarantine>,
    pub(super) heartbeat_socket: RefCell<Option<UdpSocket>>,
    pub(super) worker: Worker,
    pub(super) sender: KvSender,
    /// Unused by daemons of plain services.
    pub(super) health: Rc<EngineHealth>,
    pub(super) engine_monitor: EngineMonitor,
    pub(super) has_engine: bool,
    pub(super) gate: Rc<Gate>,
    pub(super) engine_controller: EngineController,
    pub(super) published: PublishedStore,
    pub(super) follower: Rc<Follower>,
    pub(crate) metrics: Metrics,
    pub(super) tasks: TaskGroup,
    pub(super) stop_handle: StopHandle,
    pub(super) stop: Stop,
}

/// Controller of the engine beside this daemon, which pays for loads of weights from the weight store's budget.
fn new_engine_controller(
    settings: &Settings,
    section: &EndpointSettings,
    published: &PublishedStore,
    channels: GrantChannels,
    follower: Rc<Follower>,
    gate: Rc<Gate>,
) -> EngineController {
    let owners = BudgetOwners::new(
        settings.instance.clone(),
        settings.data_centre.clone(),
        published.clone(),
        None,
        channels,
        GrantTimes::new(settings.lease.grant_lifetime()),
    );
    let engine_id = EngineId {
        instance: settings.instance.clone(),
        service: section.service.clone(),
        role: section.engine_role,
    };
    EngineController::new(
        engine_id,
        section.endpoint_address,
        published.clone(),
        follower,
        owners,
        gate,
    )
}

impl EndpointDaemon {
    pub(crate) fn new(
        settings: Settings,
        section: &EndpointSettings,
        client: RpcClient,
        query_client: Rc<QueryClient>,
    ) -> Rc<Self> {
        let engine = EngineClient::new(section.endpoint_address, client.clone());
        let slot_queue = SlotQueue::new(section.engine_role, section.slots);
        let worker = Worker {
            slot_queue: slot_queue.clone(),
            endpoint_address: section.endpoint_address,
            client: client.clone(),
            receiver: KvReceiver {
                client: client.clone(),
                engine: engine.clone(),
                data_centre: settings.data_centre.clone(),
            },
            engine: engine.clone(),
            cache: EngineCache::default(),
        };
        let sender = KvSender {
            engine,
            data_centre: settings.data_centre.clone(),
            link_pacer: Rc::default(),
        };
        let published = PublishedStore::default();
        let (stop_handle, stop) = stop_pair();
        let follower = Follower::new(
            &settings,
            client.clone(),
            Rc::clone(&query_client),
            published.clone(),
            stop.clone(),
            Instant::now(),
        );
        let service = section.service.clone();
        let is_member = move |instance: &Instance| instance.service.as_ref() == Some(&service);
        let service_group = Group::new(
            &settings,
            &format!("endpoints of {}", section.service),
            published.clone(),
            is_member,
            Instant::now(),
        );
        let service_group = Rc::new(service_group);
        let quarantine = Rc::new(Quarantine::new(
            settings.instance.clone(),
            published.clone(),
            client.clone(),
        ));
        let health = Rc::new(EngineHealth::default());
        let crashes = CrashDetector::new(
            settings.instance.clone(),
            section.engine_role,
            worker.engine.clone(),
            Rc::clone(&health),
        );
        let gate = Rc::new(Gate::new(section.engine_role));
        let engine_controller = new_engine_controller(
            &settings,
            section,
            &published,
            GrantChannels {
                client: client.clone(),
                query_client: Rc::clone(&query_client),
            },
            Rc::clone(&follower),
            Rc::clone(&gate),
        );
        let ledger = LedgerService::new(
            settings.instance.clone(),
            section.service.clone(),
            Rc::clone(&service_group),
            published.clone(),
            client,
        );
        Rc::new(Self {
            settings,
            query_client,
            attempts: RefCell::new(Attempts::new(slot_queue.clone())),
            slot_queue,
            service_group,
            ledger,
            crashes,
            quarantine,
            heartbeat_socket: RefCell::new(None),
            worker,
            sender,
            engine_monitor: EngineMonitor::new(Rc::clone(&health)),
            health,
            has_engine: section.engine_role != EngineRole::Plain,
            gate,
            engine_controller,
            published,
            follower,
            metrics: Metrics::new(),
            tasks: TaskGroup::default(),
            stop_handle,
            stop,
        })
    }

    /// Answers datagrams and, for plain services, takes part in the ownership of ledgers. Daemons of engines own no
    /// ledgers, and their groups are too large for heartbeats.
    fn start_datagrams(self: &Rc<Self>, socket: UdpSocket) {
        let group = (!self.has_engine).then(|| Rc::clone(&self.service_group));
        let daemon = Rc::clone(self);
        let receiver = DatagramReceiver {
            socket: socket.clone(),
            query_client: Rc::clone(&self.query_client),
            query_responder: RefCell::new(query_responder(&self.settings)),
            handler: Box::new(move |sequence, query| match query {
                DatagramQuery::Renew(prefixes) => Some(daemon.renew_by_prefix(sequence, prefixes)),
                DatagramQuery::Pulse => Some(daemon.follower.pulse(Instant::now())),
                DatagramQuery::Grant(_) => None,
            }),
            group: group.clone(),
        };
        self.tasks.spawn(receiver.run(self.stop.clone()));
        let Some(group) = group else { return };
        self.heartbeat_socket.replace(Some(socket.clone()));
        self.tasks
            .spawn(send_heartbeats(group, socket, self.stop.clone()));
    }

    /// Starts the daemon's background tasks.
    pub(crate) fn start_background(self: &Rc<Self>, socket: UdpSocket) {
        self.start_datagrams(socket);
        Follower::start(&self.follower, None, &self.tasks);
        let daemon = Rc::clone(self);
        self.tasks.spawn(async move {
            while !daemon.stop.is_called() {
                daemon.ledger.expire();
                daemon.expire().await;
                let pause = compio::time::sleep(EXPIRY_PERIOD).boxed_local();
                select(pause, daemon.stop.called().boxed_local()).await;
            }
        });
        if self.has_engine {
            let daemon = Rc::clone(self);
            self.tasks.spawn(async move {
                let is_known = |request_id| daemon.attempts.borrow().may_hold_memory(request_id);
                let is_active = |key| daemon.attempts.borrow().is_active(key);
                let read_incarnation = async || daemon.crashes.update_incarnation(is_active).await;
                let engine_monitor = &daemon.engine_monitor;
                engine_monitor
                    .run(&daemon.worker, is_known, read_incarnation, &daemon.stop)
                    .await;
            });
            let daemon = Rc::clone(self);
            self.tasks.spawn(async move {
                let Worker { cache, engine, .. } = &daemon.worker;
                cache.follow(engine, &daemon.stop).await;
            });
            let daemon = Rc::clone(self);
            self.tasks.spawn(async move {
                let engine_use = Self::engine_use(&daemon);
                let engine_controller = &daemon.engine_controller;
                engine_controller
                    .run(&engine_use, &daemon.metrics, &daemon.stop)
                    .await;
            });
        }
    }

    /// Lets the engine's controller check whether the engine is in use, and set the role that it has.
    fn engine_use(daemon: &Rc<Self>) -> EngineUse {
        let (for_use, for_role) = (Rc::clone(daemon), Rc::clone(daemon));
        EngineUse {
            is_free: Box::new(move || for_use.attempts.borrow().is_engine_free()),
            set_role: Box::new(move |engine_role| {
                for_role.slot_queue.set_role(engine_role);
                for_role.crashes.set_role(engine_role);
            }),
        }
    }

    /// Accepts no new work and waits until the running work has ended and its frames are read.
    pub(crate) async fn leave(&self) {
        self.attempts.borrow_mut().leave();
        self.ledger.leave().await;
        self.leave_group().await;
        let mut running_until = Instant::now();
        loop {
            let now = Instant::now();
            let load = self.attempts.borrow().load();
            if load.running + load.reserved > 0 {
                running_until = now;
            }
            if self.attempts.borrow().is_idle() || now >= running_until + UNREAD_LIMIT {
                return;
            }
            compio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
    }

    /// Drops all background tasks at once, as if the process had died.
    pub(crate) fn abort(&self) {
        self.tasks.abort();
    }

    /// Leaves the group permanently. Called right after the ledger was handed over.
    async fn leave_group(&self) {
        let socket = self.heartbeat_socket.take();
        if let Some(socket) = socket {
            send_goodbyes(&self.service_group, &socket).await;
        }
    }

    /// Stops the background tasks and waits for their end.
    pub(crate) async fn stop_background(&self) {
        self.stop_handle.stop();
        self.tasks.join().await;
    }

    /// Refuses new work from now on.
    pub(super) fn drain(&self) -> Drained {
        let mut attempts = self.attempts.borrow_mut();
        attempts.leave();
        let requests = u64::from(attempts.load().running);
        tracing::info!(event = "draining", requests);
        Drained {
            instance: self.settings.instance.clone(),
            requests,
        }
    }

    /// Whether work is accepted.
    pub(super) fn is_ready(&self) -> bool {
        let is_open = self.gate.closed().is_none();
        is_open && self.has_live_engine() && !self.attempts.borrow().is_leaving()
    }

    pub(super) fn status(&self) -> Status {
        let attempts = self.attempts.borrow();
        let load = attempts.load();
        let requests = u64::from(load.running);
        let status = status(
            &self.settings,
            self.is_ready(),
            self.service_group.lease_left(Instant::now()),
            requests,
            Some(load),
            &self.published,
        );
        Status {
            deployment: self.engine_controller.status(),
            ..status
        }
    }
}
