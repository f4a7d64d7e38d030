//! Addresses and peer secret of the fleets that one thread starts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

use camphorwall::{PeerAuth, PeerSecret, RpcClient};

/// Number of threads of this process that have requested an address.
static THREADS: AtomicU32 = AtomicU32::new(0);

/// Host addresses in the block of one process; a last byte of 0 or 255 is none.
const HOSTS: u32 = 254;

thread_local! {
    static LOOPBACK: Ipv4Addr = thread_loopback(std::process::id(), THREADS.fetch_add(1, Ordering::Relaxed));
}

/// Loopback address for one thread of one process.
pub(super) fn thread_loopback(process: u32, thread: u32) -> Ipv4Addr {
    let [_, _, high, low] = process.to_be_bytes();
    // Process ids are below 2^15 on most systems, so the highest bit is free for a second block of hosts.
    let second_block = if thread / HOSTS % 2 == 1 { 0x80 } else { 0 };
    let [.., host] = (1 + thread % HOSTS).to_be_bytes();
    Ipv4Addr::new(127, high ^ second_block, low, host)
}

/// Loopback address of this thread with a port that the system chooses. Each test runs in its own thread, so no other
/// test is given the port of a server that this test has stopped.
#[must_use]
pub fn any_port() -> SocketAddr {
    let address = LOOPBACK.with(|address| *address);
    SocketAddr::new(address.into(), 0)
}

thread_local! {
    /// Each test runs in its own thread, and so with its own secret. A process of another test's fleet that was given
    /// a freed port is therefore not accepted as a peer.
    static FLEET_SECRET: String = format!("fleet-secret-{}", uuid::Uuid::now_v7());
}

/// Peer secret of this thread's fleets.
#[must_use]
pub fn fleet_secret() -> String {
    FLEET_SECRET.with(Clone::clone)
}

/// Client that is authenticated to the fleet's daemons.
///
/// # Panics
/// Never: the fleet's secret is valid.
#[must_use]
pub fn fleet_client() -> RpcClient {
    let secret: PeerSecret = fleet_secret().parse().expect("a valid secret");
    let operator = "operator".parse().expect("a valid name");
    RpcClient::authenticated(PeerAuth::new(&[secret]), operator)
}
