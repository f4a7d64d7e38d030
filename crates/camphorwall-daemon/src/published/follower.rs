//! Follows peers: each of a few tasks keeps one query waiting at one peer.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, DatagramReply, DocumentsQuery, DocumentsReply, InstanceId, METHOD_DOCUMENTS,
    Role, RpcClient, RpcError, Settings, Stop, TaskGroup,
};
use futures_util::{
    FutureExt as _,
    future::{Either, join_all, select},
};

use super::{
    PublishedStore,
    pulse::{CHANGE_TIMEOUT, LinkLoss, PeerLink, Pulse, watch_until_lost},
    reader::read_service,
    relay::{PeerState, ago_ms, answer_query},
    sources::{Plan, Sources, instance_at},
    startup::{sync_before_serving, sync_with},
};
use crate::datagrams::{QueryClient, RetryPolicy};

/// Number of tasks that follow peers, one peer each.
const FOLLOWER_TASKS: usize = 6;

/// How long a query waits for a change at a peer whose pulse is watched.
const WATCHED_WAIT: Duration = Duration::from_secs(20);

/// How long a query waits for a change at a peer that datagrams don't reach. Shorter, because only the end of the wait
/// shows that the peer is silent.
pub(super) const UNWATCHED_WAIT: Duration = Duration::from_millis(2_500);

/// Datagrams that are sent to get one pulse.
pub(super) const PULSE_RETRY_POLICY: RetryPolicy = RetryPolicy {
    tries: 2,
    timeout: Duration::from_millis(400),
};

/// Time-out of the call to a peer that sends no pulse.
pub(super) const LIVENESS_CALL_TIMEOUT: Duration = Duration::from_millis(750);

/// How long an answer may take, in addition to the query's wait.
const ANSWER_TIMEOUT: Duration = CHANGE_TIMEOUT;

/// Pause between two queries to one peer, so that several changes come in one answer.
const QUERY_PAUSE: Duration = Duration::from_millis(50);

/// Pause of a task that has no peer or whose peer failed.
pub(super) const IDLE_PAUSE: Duration = Duration::from_millis(250);

/// Peers that are queried before an action that must not be based on an old configuration.
const CONFIRMING_PEERS: usize = 2;

/// How long these peers may take to answer.
const CONFIRMING_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the documents in force up to date, from peers and, if this process is a reader, from the service.
pub(crate) struct Follower {
    pub(super) client: RpcClient,
    pub(super) store: PublishedStore,
    pub(super) stop: Stop,
    query_client: Rc<QueryClient>,
    /// Address of this process, sent to peers; set on entries only.
    entry_address: Option<SocketAddr>,
    sources: RefCell<Sources>,
}

impl Follower {
    pub(crate) fn new(
        settings: &Settings,
        client: RpcClient,
        query_client: Rc<QueryClient>,
        store: PublishedStore,
        stop: Stop,
        now: Instant,
    ) -> Rc<Self> {
        let sources = Sources::new(
            settings.instance.clone(),
            settings.data_centre.clone(),
            settings.role,
            settings.seed_addresses.clone(),
            now,
        );
        Rc::new(Self {
            client,
            store,
            stop,
            query_client,
            entry_address: (settings.role == Role::Entry).then_some(settings.peer_address),
            sources: RefCell::new(sources),
        })
    }

    /// Starts the tasks; the service is read only if its address is given.
    pub(crate) fn start(follower: &Rc<Self>, service: Option<SocketAddr>, tasks: &TaskGroup) {
        tasks.spawn(sync_before_serving(Rc::clone(follower)));
        for position in 0..FOLLOWER_TASKS {
            tasks.spawn(follow(Rc::clone(follower), position));
        }
        if let Some(service) = service {
            tasks.spawn(read_service(Rc::clone(follower), service));
        }
    }

    /// Queries a few followed peers and puts their newer documents into force; returns whether one answered in time.
    pub(crate) async fn confirm(&self) -> bool {
        let mut peers = self.plan().peers;
        peers.truncate(CONFIRMING_PEERS);
        let querying = join_all(peers.iter().map(|peer| sync_with(self, *peer)));
        let answered = compio::time::timeout(CONFIRMING_TIMEOUT, Box::pin(querying)).await;
        answered.is_ok_and(|answered| answered.contains(&true))
    }

    /// Answers a peer's query at once or, if the peer has all documents, after the next change.
    pub(crate) async fn answer(&self, query: DocumentsQuery) -> DocumentsReply {
        if let Some(entry) = query.entry_address {
            self.sources.borrow_mut().note_entry_query(entry);
        }
        answer_query(&self.store, query, self.stop.clone()).await
    }

    pub(super) fn plan(&self) -> Plan {
        let sources = self.sources.borrow();
        sources.plan(&self.store.get(), Instant::now())
    }

    pub(super) fn startup_peers(&self) -> Vec<SocketAddr> {
        self.sources.borrow().startup_peers(&self.store.get())
    }

    /// Pauses; returns early on shutdown.
    pub(super) async fn pause(&self, time: Duration) {
        let pause = compio::time::sleep(time).boxed_local();
        select(pause, self.stop.called().boxed_local()).await;
    }

    /// Answers the pulse query of a peer whose documents query waits here.
    pub(crate) fn pulse(&self, now: Instant) -> DatagramReply {
        DatagramReply::Pulse {
            digest: self.store.digest().to_le_bytes(),
            confirmed_ago_ms: ago_ms(self.store.confirmed_at(), now),
            read_ago_ms: ago_ms(self.store.read_at(), now),
        }
    }

    /// Sends one query to a peer and puts the documents of its answer into force.
    pub(super) async fn exchange(
        &self,
        peer: SocketAddr,
        state: &mut PeerState,
    ) -> Result<(), RpcError> {
        let instance = instance_at(&self.store.get(), peer);
        let instance = instance.filter(|_| !self.query_client.is_blocked(peer, Instant::now()));
        let wait = if instance.is_some() {
            WATCHED_WAIT
        } else {
            UNWATCHED_WAIT
        };
        let query = DocumentsQuery {
            entry_address: self.entry_address,
            ..state.query(&self.store, wait)
        };
        let link = instance.map(|instance| Link {
            follower: self,
            instance,
            peer,
        });
        let queried_at = Instant::now();
        let reply = match link {
            Some(link) if query.wait_ms > 0 => self.query_watched(&link, &query).await,
            Some(_) | None => self.query(peer, &query).await.map(Some),
        };
        let now = Instant::now();
        match reply {
            Ok(Some(reply)) => {
                self.note_answer(peer, reply.read_ago_ms, now);
                state.apply_reply(&self.store, &reply, queried_at);
                Ok(())
            }
            Ok(None) => {
                self.query_client.note_blocked(peer, now);
                Ok(())
            }
            Err(error) => {
                self.sources.borrow_mut().note_failure(peer, now);
                Err(error)
            }
        }
    }

    async fn query(
        &self,
        peer: SocketAddr,
        query: &DocumentsQuery,
    ) -> Result<DocumentsReply, RpcError> {
        let timeout = Duration::from_millis(query.wait_ms) + ANSWER_TIMEOUT;
        let call = self.client.call(peer, METHOD_DOCUMENTS, query, timeout);
        call.await
    }

    /// Sends a query and gives up as soon as the peer or the connection is silent. Returns `None` if the peer answers
    /// calls but no datagrams.
    async fn query_watched(
        &self,
        link: &Link<'_>,
        query: &DocumentsQuery,
    ) -> Result<Option<DocumentsReply>, RpcError> {
        let started_at = Instant::now();
        let querying = self.query(link.peer, query).boxed_local();
        let lost = watch_until_lost(query.known, link).boxed_local();
        let lost = match select(querying, lost).await {
            Either::Left((reply, _)) => return reply.map(Some),
            Either::Right((lost, _)) => lost,
        };
        if lost == LinkLoss::Datagrams {
            return Ok(None);
        }
        self.client.abandon_pool();
        Err(RpcError::Timeout {
            address: link.peer,
            timeout: started_at.elapsed(),
        })
    }

    fn note_answer(&self, peer: SocketAddr, read_ago_ms: Option<u64>, now: Instant) {
        let read_ago = read_ago_ms.map(Duration::from_millis);
        self.sources.borrow_mut().note_answer(peer, read_ago, now);
    }
}

/// Datagrams and calls to a peer at which a query waits.
struct Link<'a> {
    follower: &'a Follower,
    instance: InstanceId,
    peer: SocketAddr,
}

impl PeerLink for Link<'_> {
    async fn pause(&self, time: Duration) {
        compio::time::sleep(time).await;
    }

    async fn pulse(&self) -> Option<Pulse> {
        let Follower { query_client, .. } = self.follower;
        let queried_at = Instant::now();
        let reply = query_client.query(
            &self.instance,
            self.peer,
            DatagramQuery::Pulse,
            PULSE_RETRY_POLICY,
        );
        let Some(DatagramReply::Pulse {
            digest,
            confirmed_ago_ms,
            read_ago_ms,
        }) = reply.await
        else {
            return None;
        };
        let now = Instant::now();
        self.follower.note_answer(self.peer, read_ago_ms, now);
        let digest = u64::from_le_bytes(digest);
        // The time confirms the documents in force here only if the peer has the same.
        let is_equal = digest == self.follower.store.digest();
        let ago = confirmed_ago_ms.map(Duration::from_millis);
        if let Some(at) = ago
            .filter(|_| is_equal)
            .and_then(|ago| queried_at.checked_sub(ago))
        {
            self.follower.store.confirm(at);
        }
        Some(Pulse { digest })
    }

    async fn answers_call(&self) -> bool {
        let query = DocumentsQuery {
            known: self.follower.store.digest(),
            ..DocumentsQuery::default()
        };
        let Follower { client, .. } = self.follower;
        let call = client.call(self.peer, METHOD_DOCUMENTS, &query, LIVENESS_CALL_TIMEOUT);
        let reply: Result<DocumentsReply, _> = call.await;
        reply.is_ok()
    }
}

/// Follows the peer at one position of the plan, until shutdown.
async fn follow(follower: Rc<Follower>, position: usize) {
    let mut last_peer: Option<(SocketAddr, PeerState)> = None;
    while !follower.stop.is_called() {
        let Some(peer) = follower.plan().peers.get(position).copied() else {
            last_peer = None;
            follower.pause(IDLE_PAUSE).await;
            continue;
        };
        let mut state = match last_peer.take() {
            Some((known, state)) if known == peer => state,
            Some(_) | None => PeerState::default(),
        };
        let querying = follower.exchange(peer, &mut state).boxed_local();
        let stopped = follower.stop.called().boxed_local();
        let ended = match select(querying, stopped).await {
            Either::Left((ended, _)) => ended,
            Either::Right(_) => return,
        };
        match ended {
            Ok(()) => {
                last_peer = Some((peer, state));
                follower.pause(QUERY_PAUSE).await;
            }
            Err(error) => {
                tracing::warn!(event = "documents_query_failed", %error);
                follower.pause(IDLE_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
