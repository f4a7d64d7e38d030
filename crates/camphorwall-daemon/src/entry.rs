//! State of an entry, its background tasks and its API handlers for callers and peers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    BoxedBody, DatagramQuery, DatagramReply, DocumentsQuery, Drained, EntrySettings, Explain,
    GrantRequest, InstanceRole, METHOD_DOCUMENTS, METHOD_DRAIN, METHOD_EXPLAIN, METHOD_GRANT,
    METHOD_HISTOGRAMS, METHOD_STATUS, METHOD_TEAMS, PeerGuard, PeerRequest, RPC_PATH, RequestBody,
    RequestId, RpcClient, RpcServer, Settings, Status, Stop, StopHandle, TaskGroup, json_response,
    stop_pair,
};
use compio::net::UdpSocket;
use futures_util::{
    FutureExt as _,
    future::{LocalBoxFuture, select},
};
use hyper::{Request, Response};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    budget::{BudgetOwners, GrantChannels, GrantTimes, TeamBudgets},
    datagrams::{DatagramReceiver, QueryClient, query_responder},
    membership::{Group, send_goodbyes, send_heartbeats},
    metrics::Metrics,
    operator::{Decisions, peer_handler, status},
    published::{Follower, PublishedStore},
    quarantine::{Quarantine, add_quarantine_methods},
    request::{
        ActiveRequests, LeavingEndpoints, RENEWAL_POLL_PERIOD, Renewer, RetryBudget, answer_caller,
    },
    routing::Router,
};

/// Period at which a leaving entry checks whether its requests have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// An entry: admits callers' requests and routes them to endpoints.
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) section: EntrySettings,
    pub(crate) client: RpcClient,
    pub(crate) published: PublishedStore,
    follower: Rc<Follower>,
    pub(crate) budgets: TeamBudgets,
    pub(crate) router: Router,
    pub(crate) active: ActiveRequests,
    pub(crate) decisions: Decisions,
    /// Entries of the same data centre.
    pub(crate) group: Rc<Group>,
    heartbeat_socket: RefCell<Option<UdpSocket>>,
    pub(crate) leaving: Rc<LeavingEndpoints>,
    query_client: Rc<QueryClient>,
    renewer: Rc<Renewer>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) retries: RetryBudget,
    pub(crate) metrics: Metrics,
    pub(crate) tasks: TaskGroup,
    is_leaving: Cell<bool>,
    rejects_requests: Cell<bool>,
    stop_handle: StopHandle,
    stop: Stop,
}

impl Entry {
    pub(crate) fn new(
        settings: Settings,
        section: EntrySettings,
        client: RpcClient,
        query_client: Rc<QueryClient>,
    ) -> Rc<Self> {
        let published = PublishedStore::default();
        let (stop_handle, stop) = stop_pair();
        let seed = xxh3_64(settings.instance.as_str().as_bytes());
        let router = Router::new(section.routing, seed);
        let follower = Follower::new(
            &settings,
            client.clone(),
            Rc::clone(&query_client),
            published.clone(),
            stop.clone(),
            Instant::now(),
        );
        let data_centre = settings.data_centre.clone();
        let group = Group::new(
            &settings,
            &format!("entries of {data_centre}"),
            published.clone(),
            move |instance| {
                instance.role == InstanceRole::Entry && instance.data_centre == data_centre
            },
            Instant::now(),
        );
        let quarantine =
            Quarantine::new(settings.instance.clone(), published.clone(), client.clone());
        let group = Rc::new(group);
        let owners = BudgetOwners::new(
            settings.instance.clone(),
            settings.data_centre.clone(),
            published.clone(),
            Some(Rc::clone(&group)),
            GrantChannels {
                client: client.clone(),
                query_client: Rc::clone(&query_client),
            },
            GrantTimes::new(settings.lease.grant_lifetime()),
        );
        let leaving = Rc::new(LeavingEndpoints::default());
        let renewer = Renewer::new(
            settings.instance.clone(),
            client.clone(),
            Rc::clone(&query_client),
            Rc::clone(&leaving),
        );
        Rc::new(Self {
            group,
            heartbeat_socket: RefCell::new(None),
            settings,
            section,
            client,
            budgets: TeamBudgets::new(owners),
            published,
            follower,
            router,
            active: ActiveRequests::default(),
            decisions: Decisions::default(),
            leaving,
            query_client,
            renewer: Rc::new(renewer),
            quarantine: Rc::new(quarantine),
            retries: RetryBudget::default(),
            metrics: Metrics::new(),
            tasks: TaskGroup::default(),
            is_leaving: Cell::new(false),
            rejects_requests: Cell::new(false),
            stop_handle,
            stop,
        })
    }

    /// Starts the background tasks.
    pub(crate) fn start_background(self: &Rc<Self>, socket: UdpSocket) {
        let (group, stop) = (Rc::clone(&self.group), self.stop.clone());
        self.heartbeat_socket.replace(Some(socket.clone()));
        self.tasks
            .spawn(self.datagram_receiver(socket.clone()).run(stop.clone()));
        self.tasks.spawn(send_heartbeats(group, socket, stop));
        let service = Some(self.section.configuration_address);
        Follower::start(&self.follower, service, &self.tasks);
        self.tasks
            .spawn(interrupt_withdrawn_requests(Rc::clone(self)));
        let (budgets, stop) = (self.budgets.clone(), self.stop.clone());
        self.tasks.spawn(async move {
            while !stop.is_called() {
                budgets.maintain().await;
                let pause = compio::time::sleep(budgets.maintenance_period()).boxed_local();
                select(pause, stop.called().boxed_local()).await;
            }
        });
        let entry = Rc::clone(self);
        self.tasks.spawn(async move {
            while !entry.stop.is_called() {
                // Checked again here, because a request that was admitted before a change may have been registered
                // after it.
                entry.active.interrupt_withdrawn(&entry.published.get());
                entry.renew_leases(Instant::now());
                let pause = compio::time::sleep(RENEWAL_POLL_PERIOD).boxed_local();
                select(pause, entry.stop.called().boxed_local()).await;
            }
        });
    }

    fn renew_leases(&self, now: Instant) {
        let published = self.published.get();
        self.active
            .renew_leases(&self.renewer, &published, &self.tasks, now);
    }

    /// Receiver of heartbeats, of grant requests for budgets that this entry owns, of pulse queries, and of replies to
    /// this entry's queries.
    fn datagram_receiver(self: &Rc<Self>, socket: UdpSocket) -> DatagramReceiver {
        let entry = Rc::clone(self);
        let handler = move |_, query: &DatagramQuery| match query {
            DatagramQuery::Grant(grant) => {
                Some(DatagramReply::Grant(entry.budgets.answer(&grant.request)))
            }
            DatagramQuery::Pulse => Some(entry.follower.pulse(Instant::now())),
            DatagramQuery::Renew(_) => None,
        };
        DatagramReceiver {
            socket,
            query_client: Rc::clone(&self.query_client),
            query_responder: RefCell::new(query_responder(&self.settings)),
            handler: Box::new(handler),
            group: Some(Rc::clone(&self.group)),
        }
    }

    /// Stops accepting requests, waits until those in progress have ended, then hands its budgets over with a goodbye.
    pub(crate) async fn leave(&self) {
        self.reject_after_grace().await;
        while self.active.count() > 0 {
            compio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        let socket = self.heartbeat_socket.take();
        if let Some(socket) = socket {
            send_goodbyes(&self.group, &socket).await;
        }
    }

    /// Reports to the load balancer that this entry is leaving and, after the grace period, rejects new requests. The
    /// listener stays open, so that late callers get a refusal instead of a connection error.
    async fn reject_after_grace(&self) {
        self.is_leaving.set(true);
        compio::time::sleep(Duration::from_millis(self.section.leave_grace_ms)).await;
        self.rejects_requests.set(true);
    }

    /// Takes a retry from the retry budget and counts the result.
    pub(crate) fn take_retry(&self, request_id: RequestId, attempt: u32, cause: &str) -> bool {
        let is_taken = self.retries.take();
        let result = if is_taken { "made" } else { "over_budget" };
        self.metrics.count_retry(result);
        tracing::info!(event = "retry", %request_id, attempt, result, cause);
        is_taken
    }

    /// Drops all background tasks at once, as if the process had died.
    pub(crate) fn abort(&self) {
        self.tasks.abort();
        self.budgets.abort();
    }

    /// Whether this entry rejects new requests because it is shutting down.
    pub(crate) fn rejects_requests(&self) -> bool {
        self.rejects_requests.get()
    }

    /// Whether the load balancer should send new requests to this entry.
    fn is_ready(&self) -> bool {
        let has_routes = self.published.is_ready() && !self.published.get().routes.is_empty();
        !self.is_leaving() && has_routes
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Stops the background tasks and waits for their end.
    pub(crate) async fn stop_background(&self) {
        self.stop_handle.stop();
        self.tasks.join().await;
        self.budgets.join().await;
    }

    /// Handler of callers' requests.
    pub(crate) fn caller_handler(
        entry: &Rc<Self>,
    ) -> impl Fn(Request<RequestBody>) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static
    {
        let entry = Rc::clone(entry);
        move |request| answer_caller(Rc::clone(&entry), request).boxed_local()
    }

    /// Handler of requests from peers, probes and metrics readers.
    pub(crate) fn peer_handler(
        entry: &Rc<Self>,
        guard: PeerGuard,
    ) -> impl Fn(Request<RequestBody>) -> LocalBoxFuture<'static, Response<BoxedBody>> + 'static
    {
        let listed_address = entry.published.listed_address_of(&entry.settings.instance);
        let guard = guard.listed_at(listed_address);
        let rpc = Rc::new(Self::rpc_server(entry));
        let (for_metrics, for_readiness) = (Rc::clone(entry), Rc::clone(entry));
        let metrics = move || {
            for_metrics
                .published
                .update_metrics(&for_metrics.metrics, Instant::now());
            for_metrics.metrics.response()
        };
        let answer = move |request: PeerRequest| {
            let rpc = Rc::clone(&rpc);
            async move {
                match request.path() {
                    RPC_PATH => rpc.answer(request).await,
                    _ => json_response(404, &"no such path"),
                }
            }
            .boxed_local()
        };
        peer_handler(guard, metrics, move || for_readiness.is_ready(), answer)
    }

    fn rpc_server(entry: &Rc<Self>) -> RpcServer {
        let mut rpc = RpcServer::default();
        let this = Rc::clone(entry);
        rpc.add(METHOD_DOCUMENTS, move |query: DocumentsQuery| {
            let this = Rc::clone(&this);
            async move { this.follower.answer(query).await }
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_GRANT, move |request: GrantRequest| {
            std::future::ready(this.budgets.answer(&request))
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_TEAMS, move |(): ()| {
            std::future::ready(this.budgets.status())
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_HISTOGRAMS, move |(): ()| {
            std::future::ready(this.metrics.histograms())
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_DRAIN, move |(): ()| {
            let entry = Rc::clone(&this);
            this.tasks
                .spawn(async move { entry.reject_after_grace().await });
            std::future::ready(this.drained())
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_EXPLAIN, move |Explain { request_id }: Explain| {
            std::future::ready(this.decisions.explain(request_id))
        });
        let this = Rc::clone(entry);
        rpc.add(METHOD_STATUS, move |(): ()| {
            std::future::ready(this.status())
        });
        add_quarantine_methods(&entry.quarantine, &mut rpc);
        rpc
    }

    fn drained(&self) -> Drained {
        tracing::info!(event = "draining", requests = self.active.count());
        Drained {
            instance: self.settings.instance.clone(),
            requests: self.active.count(),
        }
    }

    fn status(&self) -> Status {
        status(
            &self.settings,
            self.is_ready(),
            self.group.lease_left(Instant::now()),
            self.active.count(),
            None,
            &self.published,
        )
    }
}

/// Interrupts, at each change of the configuration, the requests in progress whose API key was withdrawn.
async fn interrupt_withdrawn_requests(entry: Rc<Entry>) {
    while !entry.stop.is_called() {
        let changed = entry.published.changed().boxed_local();
        select(changed, entry.stop.called().boxed_local()).await;
        entry.active.interrupt_withdrawn(&entry.published.get());
    }
}
