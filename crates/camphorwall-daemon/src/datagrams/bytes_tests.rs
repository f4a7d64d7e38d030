//! Bytes of renewals and grant queries on the wire, as calls and as datagrams.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DatagramQuery, DatagramReply, DocumentsQuery, DocumentsReply, Grant, GrantClose, GrantQuery,
    GrantReply, GrantRequest, HttpLimits, HttpServer, InstanceId, Load, METHOD_DOCUMENTS,
    METHOD_GRANT, METHOD_RENEW, OwnerReply, PeerAuth, PeerGuard, Renew, RenewReply, RequestId,
    RequestIdPrefix, RpcClient, RpcServer, TaskGroup, Tokens, stop_pair,
};
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, UdpSocket},
};
use futures_util::{FutureExt as _, future::join};

use super::{DatagramReceiver, QueryClient, QueryResponder, RetryPolicy};

const SECRET: &str = "a-secret-with-enough-characters-0001";
const ANY_PORT: &str = "127.0.0.1:0";

/// Headers of IP and UDP.
const UDP_HEADERS_BYTES: usize = 28;

/// Headers of IP and TCP with timestamps. Each side sends one segment, and an acknowledgement of the other's segment.
const TCP_HEADERS_BYTES: usize = 52;

/// Renewals per second: one every 2.2 s, including the delay until the next check of due leases.
const RENEWALS_PER_S: f64 = 1.0 / 2.2;

fn auth() -> PeerAuth {
    PeerAuth::new(&[SECRET.parse().unwrap()])
}

fn name() -> InstanceId {
    "decode-dc-07-0042".parse().unwrap()
}

fn requests(count: usize) -> Vec<RequestId> {
    (0..count).map(|_| RequestId::generate()).collect()
}

fn load() -> Load {
    Load {
        running: 17,
        reserved: 2,
        waiting: 1,
        slots: 20,
        queued_prompt_tokens: 0,
    }
}

fn grant_request() -> GrantRequest {
    GrantRequest {
        team: "team-012345".parse().unwrap(),
        data_centre: "dc-07".parse().unwrap(),
        need_tokens: Tokens(900),
        prefetch_tokens: Tokens(0),
        closes: vec![GrantClose {
            grant_id: u64::MAX / 3,
            unspent_tokens: Tokens(400),
        }],
    }
}

fn granted() -> GrantReply {
    GrantReply::Owner(OwnerReply {
        grant: Some(Grant {
            grant_id: u64::MAX / 3,
            tokens: Tokens(900),
            lifetime_ms: 11_000,
        }),
        level_tokens: Tokens(250_000),
        refill_in_ms: 0,
    })
}

/// Bytes in each direction.
#[derive(Clone, Copy, Debug, Default)]
struct Bytes {
    there: usize,
    back: usize,
}

/// Proxies one connection at a time and counts its bytes.
async fn count_bytes(
    listener: TcpListener,
    target: Rc<Cell<SocketAddr>>,
    bytes: Rc<RefCell<Bytes>>,
) {
    loop {
        let (client_socket, _) = listener.accept().await.unwrap();
        let server_socket = TcpStream::connect(target.get()).await.unwrap();
        let there = copy(client_socket.clone(), server_socket.clone(), |count| {
            bytes.borrow_mut().there += count;
        });
        let back = copy(server_socket, client_socket, |count| {
            bytes.borrow_mut().back += count;
        });
        join(there, back).await;
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: impl Fn(usize)) {
    loop {
        let BufResult(read, buffer) = from.read(Vec::with_capacity(65_536)).await;
        let Ok(1..) = read else { return };
        count(buffer.len());
        to.write_all(buffer).await.unwrap();
    }
}

/// Bytes of the second call, when the epoch is known and the connection is open.
async fn bytes_of_call(method: &str, params: &impl serde::Serialize) -> Bytes {
    let tasks = TaskGroup::default();
    let (stop_handle, stop) = stop_pair();
    let counting = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = counting.local_addr().unwrap();
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let target = Rc::new(Cell::new(listener.local_addr().unwrap()));
    let bytes = Rc::new(RefCell::new(Bytes::default()));
    tasks.spawn(count_bytes(counting, target, Rc::clone(&bytes)));
    let guard = Rc::new(PeerGuard::new(auth(), address, Instant::now(), |_| {}));
    let mut rpc = RpcServer::default();
    rpc.add(
        METHOD_GRANT,
        |_: GrantRequest| std::future::ready(granted()),
    );
    rpc.add(METHOD_DOCUMENTS, |_: DocumentsQuery| {
        std::future::ready(DocumentsReply {
            digest: u64::MAX / 3,
            confirmed_ago_ms: Some(9_000),
            read_ago_ms: Some(9_000),
            ..DocumentsReply::default()
        })
    });
    rpc.add(METHOD_RENEW, |_: Renew| {
        std::future::ready(RenewReply {
            unknown: Vec::new(),
            load: load(),
            leaving: false,
        })
    });
    let rpc = Rc::new(rpc);
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
    let client = RpcClient::authenticated(auth(), "entry-dc-07-03".parse().unwrap());
    let timeout = Duration::from_secs(30);
    for _ in 0..2 {
        bytes.replace(Bytes::default());
        let reply: Result<serde_json::Value, _> =
            client.call(address, method, params, timeout).await;
        reply.unwrap();
    }
    stop_handle.stop();
    tasks.abort();
    let Bytes { there, back } = *bytes.borrow();
    Bytes {
        there: there + 2 * TCP_HEADERS_BYTES,
        back: back + 2 * TCP_HEADERS_BYTES,
    }
}

/// Bytes of a query and its reply, over real sockets.
async fn bytes_of_datagram(query: DatagramQuery) -> Bytes {
    let tasks = TaskGroup::default();
    let (stop_handle, stop) = stop_pair();
    let (client_socket, server_socket) = (
        UdpSocket::bind(ANY_PORT).await.unwrap(),
        UdpSocket::bind(ANY_PORT).await.unwrap(),
    );
    let address = server_socket.local_addr().unwrap();
    let bytes = Rc::new(RefCell::new(Bytes::default()));
    let epoch = Rc::new(RefCell::new(7));
    let random = move || *epoch.borrow_mut();
    let query_responder = RefCell::new(QueryResponder::new(name(), auth(), Instant::now(), random));
    let handler = |_, query: &DatagramQuery| match query {
        DatagramQuery::Renew(_) => Some(DatagramReply::Renewed {
            unknown: Vec::new(),
            load: load(),
            leaving: false,
        }),
        DatagramQuery::Grant(_) => Some(DatagramReply::Grant(granted())),
        DatagramQuery::Pulse => Some(DatagramReply::Pulse {
            digest: u64::MAX.to_le_bytes(),
            confirmed_ago_ms: Some(9_000),
            read_ago_ms: Some(9_000),
        }),
    };
    let counted = Rc::clone(&bytes);
    let answering = async move {
        let mut buffer = Vec::with_capacity(2_048);
        loop {
            let BufResult(received, filled) = server_socket.recv_from(buffer).await;
            let from = received.unwrap().1;
            let (tag, query) = query_responder.borrow().open(&filled).unwrap();
            let now = Instant::now();
            let reply = query_responder
                .borrow_mut()
                .answer(tag, query, handler, now)
                .unwrap();
            *counted.borrow_mut() = Bytes {
                there: filled.len() + UDP_HEADERS_BYTES,
                back: reply.len() + UDP_HEADERS_BYTES,
            };
            server_socket.send_to(reply, from).await.0.unwrap();
            buffer = Vec::with_capacity(2_048);
        }
    };
    tasks.spawn(answering);
    let query_client = Rc::new(QueryClient::new(auth(), client_socket.clone()));
    let receiver = DatagramReceiver {
        socket: client_socket,
        query_client: Rc::clone(&query_client),
        query_responder: RefCell::new(QueryResponder::new(name(), auth(), Instant::now(), || 1)),
        handler: Box::new(|_, _| None),
        group: None,
    };
    tasks.spawn(receiver.run(stop));
    let retry_policy = RetryPolicy {
        tries: 1,
        timeout: Duration::from_secs(30),
    };
    query_client
        .query(&name(), address, query, retry_policy)
        .await
        .unwrap();
    stop_handle.stop();
    tasks.abort();
    *bytes.borrow()
}

fn renewal(count: usize) -> DatagramQuery {
    DatagramQuery::Renew(
        requests(count)
            .into_iter()
            .map(RequestIdPrefix::of)
            .collect(),
    )
}

fn grant_datagram() -> DatagramQuery {
    DatagramQuery::Grant(GrantQuery {
        epoch: 7_u64.to_le_bytes(),
        nonce: rand::random(),
        request: grant_request(),
    })
}

#[compio::test]
async fn renewals_at_the_target_size_stay_below_their_share_of_the_limit() {
    let one = bytes_of_datagram(renewal(1)).await;
    let sent_per_s = 53.0 * RENEWALS_PER_S * one.there as f64;
    assert!(sent_per_s < 1_300.0, "{sent_per_s:.0} B/s");
    let grant = bytes_of_datagram(grant_datagram()).await;
    assert!(grant.there < 150 && grant.back < 150, "{grant:?}");
}

#[compio::test]
#[ignore = "prints figures"]
async fn control_bytes_of_renewals_and_grants() {
    let entry = "entry-dc-07-03".parse::<InstanceId>().unwrap();
    println!("| requests at one daemon | call there/back | datagram there/back |");
    let mut per_daemon = BTreeMap::new();
    for count in [1, 4, 16, 64] {
        let renew = Renew {
            entry: entry.clone(),
            requests: requests(count),
        };
        let call = bytes_of_call(METHOD_RENEW, &renew).await;
        let datagram = bytes_of_datagram(renewal(count)).await;
        println!(
            "| {count} | {}/{} | {}/{} |",
            call.there, call.back, datagram.there, datagram.back
        );
        per_daemon.insert(count, (call, datagram));
    }
    println!("| answers, each at its own daemon | calls each second | datagrams each 2.2 s |");
    let (call, datagram) = per_daemon[&1];
    for answers in [13, 26, 53, 106] {
        let of = |bytes: usize, per_s: f64| f64::from(answers) * per_s * bytes as f64;
        println!(
            "| {answers} | {:.0}/{:.0} B/s | {:.0}/{:.0} B/s |",
            of(call.there, 1.0),
            of(call.back, 1.0),
            of(datagram.there, RENEWALS_PER_S),
            of(datagram.back, RENEWALS_PER_S)
        );
    }
    let pulse = bytes_of_datagram(DatagramQuery::Pulse).await;
    println!("pulse: {}/{} B", pulse.there, pulse.back);
    let query = DocumentsQuery {
        known: u64::MAX / 3,
        wait_ms: 20_000,
        entry_address: Some("10.250.250.250:7100".parse().unwrap()),
        ..DocumentsQuery::default()
    };
    let call = bytes_of_call(METHOD_DOCUMENTS, &query).await;
    println!("query without changes: {}/{} B", call.there, call.back);
    let call = bytes_of_call(METHOD_GRANT, &grant_request()).await;
    let datagram = bytes_of_datagram(grant_datagram()).await;
    println!(
        "grant: call {}/{} B, datagram {}/{} B",
        call.there, call.back, datagram.there, datagram.back
    );
}
