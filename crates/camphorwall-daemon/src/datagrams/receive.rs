//! Receives all datagrams of one process and dispatches them to queries, replies and heartbeats.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use camphorwall::{
    DatagramQuery, DatagramReply, MAX_HEARTBEAT_BYTES, QueryDatagram, QueryTag, Stop,
};
use compio::net::UdpSocket;
use futures_util::{
    FutureExt as _,
    future::{Either, select},
};

use super::{QueryClient, QueryResponder};
use crate::membership::{Group, answer_heartbeat};

/// Executes the query with a sequence number; `None` if this process does not serve such queries.
pub(crate) type QueryHandler = Box<dyn Fn(u64, &DatagramQuery) -> Option<DatagramReply>>;

/// Receiver of one process's datagrams.
pub(crate) struct DatagramReceiver {
    pub(crate) socket: UdpSocket,
    /// Receives the replies.
    pub(crate) query_client: Rc<QueryClient>,
    pub(crate) query_responder: RefCell<QueryResponder>,
    pub(crate) handler: QueryHandler,
    /// Receives the heartbeats; `None` if this process is not a member of a group.
    pub(crate) group: Option<Rc<Group>>,
}

impl DatagramReceiver {
    /// Receives datagrams until `stop` is called.
    pub(crate) async fn run(self, stop: Stop) {
        loop {
            let buffer = Vec::with_capacity(MAX_HEARTBEAT_BYTES);
            let received = self.socket.recv_from(buffer).boxed_local();
            let received = match select(received, stop.called().boxed_local()).await {
                Either::Left((received, _)) => received,
                Either::Right(_) => return,
            };
            match received.0 {
                Ok((_, from)) => self.dispatch(&received.1, from).await,
                // A datagram that was sent earlier reached a closed port.
                Err(error) => tracing::debug!(event = "datagram_unreceived", %error),
            }
        }
    }

    async fn dispatch(&self, datagram: &[u8], from: SocketAddr) {
        let query = self.query_responder.borrow().open(datagram);
        match (query, &self.group) {
            (Some((tag, query)), _) => self.send(self.answer(tag, query), from).await,
            (None, _) if self.query_client.accept_reply(datagram) => {}
            (None, Some(group)) => answer_heartbeat(group, &self.socket, datagram, from).await,
            (None, None) => tracing::debug!(event = "datagram_rejected", %from),
        }
    }

    fn answer(&self, tag: QueryTag, query: QueryDatagram) -> Option<Vec<u8>> {
        let mut query_responder = self.query_responder.borrow_mut();
        query_responder.answer(tag, query, &self.handler, Instant::now())
    }

    async fn send(&self, reply: Option<Vec<u8>>, to: SocketAddr) {
        let Some(reply) = reply else { return };
        // If the reply is lost, the client sends its query again.
        if let Err(error) = self.socket.send_to(reply, to).await.0 {
            tracing::debug!(event = "datagram_unsent", %to, %error);
        }
    }
}
