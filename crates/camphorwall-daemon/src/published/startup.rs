//! What a process does before it serves: it asks several peers and takes the highest revisions that they know, so
//! that a stale service can't bring an older configuration back when instances are replaced.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::{
    FutureExt as _,
    future::{join_all, select},
};

use super::{follower::Follower, relay::PeerState};

/// Pause before all are asked again, while nothing is known.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Exchanges with one peer until it counts as asked.
const MAX_EXCHANGES: usize = 64;

/// Next step of a process that does not serve yet.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum StartupStep {
    /// Ask these peers.
    Query(Vec<SocketAddr>),
    /// Serve: all known peers were asked and something is in force.
    Serve,
    /// Wait, then ask all again: nobody knew anything.
    Wait,
}

/// Peers that were asked, with or without an answer.
#[derive(Default)]
pub(super) struct Startup {
    queried: BTreeSet<SocketAddr>,
}

impl Startup {
    /// Next step; the peers grow with what the answers tell.
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

/// Asks peers until no known one is left, then lets the process serve.
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
                let news = follower.store.changed().boxed_local();
                select(news, follower.pause(RETRY_PAUSE).boxed_local()).await;
            }
        }
    }
}

/// Asks one peer until all that it has is in force here; returns whether it answered.
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
