//! Heartbeats of a group over datagrams, and probes of silent members.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{Stop, TaskGroup};
use compio::net::{TcpStream, UdpSocket};
use futures_util::{FutureExt as _, future::select};

use super::{Group, member::SuspectMember, promises::Outgoing};

/// Polls of the members within one heartbeat period.
const POLLS_PER_PERIOD: u32 = 5;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Copies of a goodbye, since a datagram may be lost.
const GOODBYE_COPIES: usize = 2;

/// Answers a datagram that may be a heartbeat of another member.
pub(crate) async fn answer_heartbeat(
    group: &Group,
    socket: &UdpSocket,
    datagram: &[u8],
    from: SocketAddr,
) {
    let Some(heartbeat) = group.open(datagram) else {
        tracing::debug!(event = "heartbeat_rejected", %from);
        return;
    };
    for heartbeat in group.receive(heartbeat, from, Instant::now()) {
        let outgoing = Outgoing {
            to: from,
            heartbeat,
        };
        send(group, socket, &outgoing).await;
    }
}

/// Requests promises from the members every period and probes the silent ones, until `stop` is called.
pub(crate) async fn send_heartbeats(group: Rc<Group>, socket: UdpSocket, stop: Stop) {
    let probes = TaskGroup::default();
    let poll_period = group.heartbeat_period() / POLLS_PER_PERIOD;
    let mut poll_number = 0;
    while !stop.is_called() {
        let now = Instant::now();
        let promise_requests = match poll_number % POLLS_PER_PERIOD {
            0 => group.promise_requests(now),
            _ => group.urgent_promise_requests(now),
        };
        for outgoing in promise_requests {
            send(&group, &socket, &outgoing).await;
        }
        for suspect in group.suspects(now) {
            probes.spawn(probe(Rc::clone(&group), suspect));
        }
        poll_number = poll_number.wrapping_add(1);
        let pause = compio::time::sleep(poll_period).boxed_local();
        select(pause, stop.called().boxed_local()).await;
    }
    probes.join().await;
}

/// Stops acting permanently and sends goodbyes to all members.
pub(crate) async fn send_goodbyes(group: &Group, socket: &UdpSocket) {
    let goodbyes = group.leave();
    for _ in 0..GOODBYE_COPIES {
        for outgoing in &goodbyes {
            send(group, socket, outgoing).await;
        }
    }
}

/// Probes a member. Only a refused connection proves that nothing runs at the address; silence proves nothing.
async fn probe(group: Rc<Group>, suspect: SuspectMember) {
    let connect = TcpStream::connect(suspect.address);
    let is_refused = match compio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    if is_refused {
        tracing::info!(event = "member_dead", member = %suspect.instance, address = %suspect.address);
        group.prove_dead(&suspect, Instant::now());
    }
}

async fn send(group: &Group, socket: &UdpSocket, outgoing: &Outgoing) {
    let datagram = group.seal(&outgoing.heartbeat);
    // A lost heartbeat is repeated in the next period.
    if let Err(error) = socket.send_to(datagram, outgoing.to).await.0 {
        tracing::debug!(event = "heartbeat_unsent", to = %outgoing.to, %error);
    }
}
