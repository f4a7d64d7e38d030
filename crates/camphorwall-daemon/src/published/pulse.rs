//! Watches a peer while a query waits there, so that a silent peer or connection is noticed before the wait ends.

use std::time::Duration;

/// Pause between two pulse queries.
pub(super) const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// How long the answer to a waiting query may take once the peer has a change.
pub(super) const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Content of a peer's pulse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Pulse {
    /// Digest of the documents in force at the peer.
    pub(super) digest: u64,
}

/// Access to a peer by datagrams and calls, and to time; tests replace both.
pub(super) trait PeerLink {
    async fn pause(&self, time: Duration);
    /// Queries the peer's pulse by datagrams; `None` if no reply comes.
    async fn pulse(&self) -> Option<Pulse>;
    /// Whether the peer answers a call.
    async fn answers_call(&self) -> bool;
}

/// Reason to stop waiting for a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LinkLoss {
    /// The peer answers neither datagrams nor calls.
    Peer,
    /// The peer has a change that the query's connection does not bring.
    Connection,
    /// The peer answers calls but no datagrams.
    Datagrams,
}

/// Watches a peer until it, the connection or the datagrams fail. The waiting query was sent with the digest `known`.
pub(super) async fn watch_until_lost(known: u64, link: &impl PeerLink) -> LinkLoss {
    loop {
        link.pause(PULSE_PERIOD).await;
        match link.pulse().await {
            Some(pulse) if pulse.digest == known => {}
            Some(_) => {
                link.pause(CHANGE_TIMEOUT).await;
                return LinkLoss::Connection;
            }
            None if link.answers_call().await => return LinkLoss::Datagrams,
            None => return LinkLoss::Peer,
        }
    }
}

#[cfg(test)]
#[path = "pulse_tests.rs"]
mod tests;
