//! Watches a peer while a query waits there, so that a silent peer or connection is noticed long before the wait ends.

use std::time::Duration;

/// Pause between two pulses.
pub(super) const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// How long the answer to a waiting query may take once the peer has news.
pub(super) const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a peer's pulse tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Pulse {
    /// Digest of what the peer has in force.
    pub(super) digest: u64,
}

/// Ways to a peer, and time.
pub(super) trait PeerLink {
    /// Waits.
    async fn pause(&self, time: Duration);
    /// Asks for the peer's pulse by datagrams; `None` when none comes.
    async fn pulse(&self) -> Option<Pulse>;
    /// Whether the peer answers a call.
    async fn confirm(&self) -> bool;
}

/// Why a query is not waited for any longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LinkLoss {
    /// The peer answers nothing.
    Peer,
    /// The peer has news and the query's connection does not bring it.
    Connection,
    /// The peer answers calls, but no datagrams.
    Datagrams,
}

/// Watches until the peer or a way to it is lost. The query was sent with the digest `known`.
pub(super) async fn watch_until_lost(known: u64, link: &impl PeerLink) -> LinkLoss {
    loop {
        link.pause(PULSE_PERIOD).await;
        match link.pulse().await {
            Some(pulse) if pulse.digest == known => {}
            Some(_) => {
                link.pause(CHANGE_TIMEOUT).await;
                return LinkLoss::Connection;
            }
            None if link.confirm().await => return LinkLoss::Datagrams,
            None => return LinkLoss::Peer,
        }
    }
}

#[cfg(test)]
#[path = "pulse_tests.rs"]
mod tests;
