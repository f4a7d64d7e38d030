//! Queries several peers before a process serves and puts the highest revisions that they know into force, so that a
//! stale service can't bring an older configuration back when instances are replaced.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{
    FutureExt as _,
    future::{join_all, select},
};

use super::{follower::Follower, relay::PeerState};

/// Pause before all peers are queried again, while no document is in force.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum exchanges with one peer before it counts as queried.
const MAX_EXCHANGES: usize = 64;

/// Next step of a process that does not serve yet.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum StartupStep {
    /// Query these peers.
    Query(Vec<SocketAddr>),
    /// Serve: all known peers were queried and a document is in force.
    Serve,
    /// Wait, then query all peers again: none of them had a document.
    Wait,
}

/// Peers that were queried, with or without an answer.
#[derive(Default)]
pub(super) struct Startup {
    queried: BTreeSet<SocketAddr>,
}

impl Startup {
    /// Next step. `peers` may grow from call to call, because the answers bring a longer list.
    pub(super) fn next(&mut self, mut peers: Vec<SocketAddr>, has_documents: bool) -> StartupStep {
        peers.retain(|peer| !self.queried.contains(peer));
        match peers.is_empty() {
            false => {
                self.queried.extend(&peers);
                StartupStep::Query(peers)
            }
            true if has_documents => StartupStep::Serve,
            true => {
                self.queried.clear();
                StartupStep::Wait
            }
        }
    }
}

/// Queries peers until no unqueried one is known, then lets the process serve.
pub(super) async fn sync_before_serving(follower: Rc<Follower>) {
    let mut startup = Startup::default();
    while !follower.stop.is_called() {
        let has_documents = !follower.store.get().is_empty();
        match startup.next(follower.startup_peers(), has_documents) {
            StartupStep::Query(peers) => {
                let syncing = join_all(peers.iter().map(|peer| sync_with(&follower, *peer)));
                let stopped = follower.stop.called().boxed_local();
                select(syncing.boxed_local(), stopped).await;
            }
            StartupStep::Serve => {
                follower.store.set_ready();
                tracing::info!(
                    event = "configuration_ready",
                    peers_asked = startup.queried.len()
                );
                return;
            }
            StartupStep::Wait => {
                let changed = follower.store.changed().boxed_local();
                select(changed, follower.pause(RETRY_PAUSE).boxed_local()).await;
            }
        }
    }
}

/// Queries one peer until all its documents are in force here; returns whether that succeeded.
pub(super) async fn sync_with(follower: &Follower, peer: SocketAddr) -> bool {
    let mut state = PeerState::default();
    for _ in 0..MAX_EXCHANGES {
        match follower.exchange(peer, &mut state).await {
            Ok(()) if state.is_synced() => return true,
            Ok(()) => {}
            Err(error) => {
                tracing::info!(event = "peer_not_asked", %error);
                return false;
            }
        }
    }
    false
}
