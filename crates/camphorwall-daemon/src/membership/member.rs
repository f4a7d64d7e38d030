//! Members that a process counts, and when one is no longer counted.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{InstanceId, milliseconds};

/// Ages of the last promises to an unlisted member, and of its removal from the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromiseAges {
    /// Time since this process last promised.
    pub(crate) given: Duration,
    /// Time since the last promise of another member that was reported to this process.
    pub(crate) reported: Duration,
    /// Time since this process first read a list without the member.
    pub(crate) unlisted: Duration,
    /// Lease duration plus the margin for clock drift.
    pub(crate) lease_with_margin: Duration,
}

/// Decides whether an unlisted member is no longer counted.
pub(crate) type DropRule = fn(&PromiseAges) -> bool;

/// Whether the member can no longer rely on a promise, nor on proof of a list that names it.
pub(crate) fn are_promises_expired(ages: &PromiseAges) -> bool {
    ages.given.min(ages.reported).min(ages.unlisted) > ages.lease_with_margin
}

/// A member that this process counts.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) address: SocketAddr,
    /// 0 until a heartbeat of the member was received.
    pub(super) incarnation: u64,
    pub(super) is_listed: bool,
    /// When a list without the member was first read; `None` while the member is listed.
    pub(super) unlisted_at: Option<Instant>,
    /// Whether its current incarnation has reported that it is ready to act.
    pub(super) is_ranked: bool,
    /// When this process last gave the member a promise.
    pub(super) given_at: Instant,
    /// When another member last gave it a promise, as reported to this process.
    pub(super) reported_at: Instant,
    /// When the newest request was sent that the member answered with a promise.
    pub(super) promise_requested_at: Option<Instant>,
    pub(super) last_seen_at: Instant,
    /// Whether a call to it could not be sent since it was last seen.
    pub(super) is_suspected: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct DepartedMember {
    pub(super) incarnation: u64,
    pub(super) noted_at: Instant,
}

/// A counted member that is probed, because it is silent or lacks a promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SuspectMember {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
}

impl Member {
    pub(super) const fn new(
        address: SocketAddr,
        incarnation: u64,
        promised_at: Instant,
        now: Instant,
    ) -> Self {
        Self {
            address,
            incarnation,
            is_listed: false,
            unlisted_at: None,
            is_ranked: false,
            given_at: promised_at,
            reported_at: promised_at,
            promise_requested_at: None,
            last_seen_at: now,
            is_suspected: false,
        }
    }

    /// Notes whether the list that was just read names the member.
    pub(super) fn note_list(&mut self, is_listed: bool, now: Instant) {
        self.is_listed = is_listed;
        self.unlisted_at = match (is_listed, self.unlisted_at) {
            (true, _) => None,
            (false, known) => known.or(Some(now)),
        };
    }

    pub(super) fn promise_age_ms(&self, now: Instant) -> u64 {
        if self.is_listed {
            return 0;
        }
        let age = now.saturating_duration_since(self.given_at.max(self.reported_at));
        milliseconds(age)
    }
}
