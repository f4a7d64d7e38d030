use std::cell::Cell;

use camphorwall::{
    Document, HttpLimits, HttpServer, PeerAuth, PeerGuard, Revision, RpcServer, StopHandle,
    stop_pair,
};
use compio::{
    BufResult,
    net::{TcpListener, UdpSocket},
};
use rstest::rstest;
use serde_json::json;

use super::*;
use crate::datagrams::{DatagramReceiver, QueryResponder};

const DIGEST: u64 = 7;

/// A peer that answers a follower's first query and never answers a query that waits for a change.
#[derive(Clone, Copy, Debug)]
struct Peer {
    pulse: Option<u64>,
    answers_calls: bool,
}

struct Started {
    address: SocketAddr,
    queries: Rc<Cell<u32>>,
    tasks: TaskGroup,
    _stop: StopHandle,
}

async fn bind() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
            return (listener, socket);
        }
    }
}

impl Peer {
    async fn start(self) -> Started {
        let (listener, socket) = bind().await;
        let address = listener.local_addr().unwrap();
        let tasks = TaskGroup::default();
        let (stop_handle, stop) = stop_pair();
        let mut rpc = RpcServer::default();
        rpc.add(METHOD_DOCUMENTS, move |query: DocumentsQuery| async move {
            let is_answered = query.held.is_some() || (query.wait_ms == 0 && self.answers_calls);
            if !is_answered {
                std::future::pending::<()>().await;
            }
            DocumentsReply {
                digest: DIGEST,
                ..DocumentsReply::default()
            }
        });
        let guard = PeerGuard::new(PeerAuth::default(), address, Instant::now(), |_| {});
        let (rpc, guard) = (Rc::new(rpc), Rc::new(guard));
        let handler = move |request| {
            let (rpc, guard) = (Rc::clone(&rpc), Rc::clone(&guard));
            async move {
                match guard.admit(request, Instant::now()) {
                    Ok(request) => rpc.answer(request).await,
                    Err(refused) => refused,
                }
            }
            .boxed_local()
        };
        let limits = HttpLimits::default();
        tasks.spawn(HttpServer { listener, limits }.serve(handler, stop));
        let queries = Rc::new(Cell::new(0));
        tasks.spawn(self.pulse(socket, Rc::clone(&queries)));
        Started {
            address,
            queries,
            tasks,
            _stop: stop_handle,
        }
    }

    async fn pulse(self, socket: UdpSocket, queries: Rc<Cell<u32>>) {
        let now = Instant::now();
        let name = "entry-0".parse().unwrap();
        let mut query_responder = QueryResponder::new(name, PeerAuth::default(), now, || 1);
        loop {
            let BufResult(received, datagram) = socket.recv_from(Vec::with_capacity(2_048)).await;
            queries.set(queries.get() + 1);
            let (tag, query) = query_responder.open(&datagram).unwrap();
            let pulse = |digest: u64| DatagramReply::Pulse {
                digest: digest.to_le_bytes(),
                confirmed_ago_ms: None,
                read_ago_ms: None,
            };
            let handler = |_, _: &DatagramQuery| self.pulse.map(pulse);
            if let Some(reply) = query_responder.answer(tag, query, handler, now) {
                socket.send_to(reply, received.unwrap().1).await.0.unwrap();
            }
        }
    }
}

/// Starts a follower that has the peer on its list, and the task that receives the follower's datagrams.
async fn follower(peer: SocketAddr, tasks: &TaskGroup) -> (Rc<Follower>, StopHandle) {
    let settings: Settings = serde_json::from_value(json!({
        "instance": "entry-1", "data_centre": "marousi", "role": "entry", "peer_address": "127.0.0.1:0",
        "entry": {"caller_address": "127.0.0.1:0", "configuration_address": "127.0.0.1:1"},
    }))
    .unwrap();
    let store = PublishedStore::default();
    let body = json!({"instances": [
        {"instance": "entry-0", "role": "entry", "data_centre": "marousi", "peer_address": peer},
    ]});
    store.apply(vec![Document {
        name: "instances".parse().unwrap(),
        revision: Revision(1),
        body: serde_json::value::to_raw_value(&body).unwrap(),
    }]);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let query_client = Rc::new(QueryClient::new(PeerAuth::default(), socket.clone()));
    let (stop_handle, stop) = stop_pair();
    let query_responder = crate::datagrams::query_responder(&settings);
    let receiver = DatagramReceiver {
        socket,
        query_client: Rc::clone(&query_client),
        query_responder: RefCell::new(query_responder),
        handler: Box::new(|_, _| None),
        group: None,
    };
    tasks.spawn(receiver.run(stop.clone()));
    let client = RpcClient::new();
    let follower = Follower::new(&settings, client, query_client, store, stop, Instant::now());
    (follower, stop_handle)
}

#[rstest]
#[case::silent(Peer { pulse: None, answers_calls: false }, false, PULSE_RETRY_POLICY.tries)]
#[case::connection_silent(Peer { pulse: Some(DIGEST + 1), answers_calls: true }, false, 1)]
#[case::without_datagrams(Peer { pulse: None, answers_calls: true }, true, PULSE_RETRY_POLICY.tries)]
#[compio::test]
async fn a_waiting_query_is_abandoned_when_its_peer_or_connection_is_silent(
    #[case] peer: Peer,
    #[case] is_alive: bool,
    #[case] queries: u32,
) {
    let peer = peer.start().await;
    let (follower, _stop) = follower(peer.address, &peer.tasks).await;
    let mut state = PeerState::default();
    follower.exchange(peer.address, &mut state).await.unwrap();
    assert!(state.is_synced());
    // The exchange ends although the peer never answers, after as many pulse queries as the retry policy allows.
    let left = follower.exchange(peer.address, &mut state).await;
    assert_eq!(left.is_ok(), is_alive);
    assert_eq!(peer.queries.get(), queries);
    let is_blocked = follower
        .query_client
        .is_blocked(peer.address, Instant::now());
    assert_eq!(
        is_blocked, is_alive,
        "a peer that answers calls is queried without datagrams"
    );
    let plan = follower.plan();
    assert_eq!(plan.peers.contains(&peer.address), is_alive);
    peer.tasks.abort();
}
