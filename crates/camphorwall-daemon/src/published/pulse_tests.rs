use std::cell::Cell;

use futures_util::FutureExt as _;
use rstest::rstest;

use super::*;
use crate::published::follower::{
    IDLE_PAUSE, LIVENESS_CALL_TIMEOUT, PULSE_RETRY_POLICY, UNWATCHED_WAIT,
};

/// Time within which a change must be in force at every process.
const BOUND: Duration = Duration::from_secs(5);

/// Time that a change may take from one peer to the next if no peer is silent.
const HOP: Duration = Duration::from_secs(1);

const KNOWN: u64 = 7;

/// A peer that falls silent or has a change after some pulses, with a simulated clock.
struct FakePeer {
    pulses_left: Cell<u32>,
    then: Option<Pulse>,
    answers_calls: bool,
    elapsed: Cell<Duration>,
    pulses: Cell<u32>,
    /// Time of the last pulse without a change.
    last_pulse_at: Cell<Duration>,
}

impl FakePeer {
    fn new(pulses: u32, then: Option<Pulse>, answers_calls: bool) -> Self {
        Self {
            pulses_left: Cell::new(pulses),
            then,
            answers_calls,
            elapsed: Cell::default(),
            pulses: Cell::default(),
            last_pulse_at: Cell::default(),
        }
    }

    /// Time since the last pulse without a change.
    fn unchanged_ago(&self) -> Duration {
        self.elapsed.get().saturating_sub(self.last_pulse_at.get())
    }

    fn spend(&self, time: Duration) {
        self.elapsed.set(self.elapsed.get() + time);
    }
}

impl PeerLink for FakePeer {
    async fn pause(&self, time: Duration) {
        self.spend(time);
    }

    async fn pulse(&self) -> Option<Pulse> {
        self.pulses.set(self.pulses.get() + 1);
        if let Some(left) = self.pulses_left.get().checked_sub(1) {
            self.pulses_left.set(left);
            self.last_pulse_at.set(self.elapsed.get());
            return Some(Pulse { digest: KNOWN });
        }
        if self.then.is_none() {
            self.spend(PULSE_RETRY_POLICY.timeout * PULSE_RETRY_POLICY.tries);
        }
        self.then
    }

    async fn answers_call(&self) -> bool {
        if !self.answers_calls {
            self.spend(LIVENESS_CALL_TIMEOUT);
        }
        self.answers_calls
    }
}

fn watch(peer: &FakePeer) -> LinkLoss {
    watch_until_lost(KNOWN, peer)
        .now_or_never()
        .expect("a fake peer never waits")
}

#[rstest]
#[case::at_once(0)]
#[case::after_long(50)]
fn a_silent_peer_is_abandoned_in_time_for_a_change_to_come_from_another(#[case] pulses: u32) {
    let peer = FakePeer::new(pulses, None, false);
    assert_eq!(watch(&peer), LinkLoss::Peer);
    let silent_for = peer.unchanged_ago();
    assert!(silent_for + IDLE_PAUSE + HOP <= BOUND, "{silent_for:?}");
    assert_eq!(peer.pulses.get(), pulses + 1);
}

#[rstest]
fn a_change_that_the_connection_does_not_bring_is_noticed_in_time() {
    let changed = Pulse { digest: KNOWN + 1 };
    let peer = FakePeer::new(3, Some(changed), true);
    assert_eq!(watch(&peer), LinkLoss::Connection);
    let late = peer.unchanged_ago();
    assert!(late + IDLE_PAUSE + HOP <= BOUND, "{late:?}");
}

#[rstest]
fn a_peer_that_answers_only_calls_is_not_treated_as_silent() {
    let peer = FakePeer::new(0, None, true);
    assert_eq!(watch(&peer), LinkLoss::Datagrams);
}

#[rstest]
fn without_datagrams_a_silent_peer_is_also_abandoned_in_time() {
    assert!(UNWATCHED_WAIT + CHANGE_TIMEOUT + IDLE_PAUSE + HOP <= BOUND);
}
