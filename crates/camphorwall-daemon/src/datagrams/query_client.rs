//! Sends queries, sends them again while no reply comes, and remembers which peers are not reached by datagrams.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, DatagramReply, InstanceId, MAX_QUERY_BYTES, PeerAuth, QueryDatagram, QueryTag,
    ReplyDatagram,
};
use compio::net::UdpSocket;
use futures_channel::oneshot;

/// How long a peer that datagrams don't reach gets calls only.
const BLOCKED_DURATION: Duration = Duration::from_secs(30);

/// How often a query is sent, and how long each try waits for the reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryPolicy {
    pub(crate) tries: u32,
    pub(crate) timeout: Duration,
}

struct WaitingQuery {
    tag: QueryTag,
    reply: oneshot::Sender<DatagramReply>,
}

/// Sends queries to other processes.
pub(crate) struct QueryClient {
    auth: PeerAuth,
    socket: UdpSocket,
    last_sequence: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, WaitingQuery>>,
    blocked_until: RefCell<BTreeMap<SocketAddr, Instant>>,
    /// Epochs that the receivers of grant queries reported.
    epochs: RefCell<BTreeMap<InstanceId, [u8; 8]>>,
}

impl QueryClient {
    pub(crate) fn new(auth: PeerAuth, socket: UdpSocket) -> Self {
        Self {
            auth,
            socket,
            last_sequence: Cell::new(0),
            waiting: RefCell::default(),
            blocked_until: RefCell::default(),
            epochs: RefCell::default(),
        }
    }

    /// Queries a peer; `None` if no reply came, or if datagrams are known not to reach the peer.
    pub(crate) async fn query(
        &self,
        receiver: &InstanceId,
        address: SocketAddr,
        query: DatagramQuery,
        retry_policy: RetryPolicy,
    ) -> Option<DatagramReply> {
        if self.is_blocked(address, Instant::now()) {
            return None;
        }
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let content = QueryDatagram { sequence, query }.encode();
        let (tag, datagram) = self.auth.seal_query(receiver, &content);
        if datagram.len() > MAX_QUERY_BYTES {
            return None;
        }
        let (sender, mut receiver) = oneshot::channel();
        let waiting = WaitingQuery { tag, reply: sender };
        self.waiting.borrow_mut().insert(sequence, waiting);
        let _remove_on_drop = RemoveOnDrop {
            query_client: self,
            sequence,
        };
        for _ in 0..retry_policy.tries {
            // A datagram that can't be sent is treated like a lost one.
            if let Err(error) = self.socket.send_to(datagram.clone(), address).await.0 {
                tracing::debug!(event = "datagram_unsent", to = %address, %error);
            }
            let answered = compio::time::timeout(retry_policy.timeout, &mut receiver).await;
            if let Ok(reply) = answered {
                return reply.ok();
            }
        }
        None
    }

    /// Passes a reply to the query that waits for it. Returns `false` if the datagram is no reply to a waiting query or
    /// no holder of a peer secret made it for that query.
    pub(crate) fn accept_reply(&self, datagram: &[u8]) -> bool {
        let content = self.auth.peek_reply(datagram);
        let Some(reply) = content.and_then(ReplyDatagram::decode) else {
            return false;
        };
        let mut waiting = self.waiting.borrow_mut();
        let is_genuine = |one: &WaitingQuery| self.auth.verify_reply(one.tag, datagram);
        if !waiting.get(&reply.sequence).is_some_and(is_genuine) {
            return false;
        }
        if let Some(waiting) = waiting.remove(&reply.sequence) {
            // The query may have been cancelled.
            let _ = waiting.reply.send(reply.reply);
        }
        true
    }

    /// Notes that a peer answered a call after datagrams to it got no reply.
    pub(crate) fn note_blocked(&self, address: SocketAddr, now: Instant) {
        let mut blocked_until = self.blocked_until.borrow_mut();
        blocked_until.retain(|_, until| now < *until);
        blocked_until.insert(address, now + BLOCKED_DURATION);
    }

    /// Epoch that a grant query to a peer must name; zeros if it is not known.
    pub(crate) fn epoch(&self, receiver: &InstanceId) -> [u8; 8] {
        let epochs = self.epochs.borrow();
        epochs.get(receiver).copied().unwrap_or_default()
    }

    pub(crate) fn note_epoch(&self, receiver: &InstanceId, epoch: [u8; 8]) {
        let mut epochs = self.epochs.borrow_mut();
        epochs.insert(receiver.clone(), epoch);
    }

    /// Whether datagrams are known not to reach a peer.
    pub(crate) fn is_blocked(&self, address: SocketAddr, now: Instant) -> bool {
        let blocked_until = self.blocked_until.borrow();
        blocked_until
            .get(&address)
            .is_some_and(|until| now < *until)
    }
}

/// Removes a waiting query when it ends or is cancelled.
struct RemoveOnDrop<'a> {
    query_client: &'a QueryClient,
    sequence: u64,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.query_client
            .waiting
            .borrow_mut()
            .remove(&self.sequence);
    }
}

#[cfg(test)]
#[path = "query_client_tests.rs"]
mod tests;
