//! Right of a process to act for keys, and since when: readiness, lease, ownership of keys, and completeness of state.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use camphorwall::{InstanceId, rendezvous_winner};

use super::{Ownership, member::Member, promises::Promises};

/// Maximum number of ranked sets kept, from which the start of the ownership of a key is derived.
const MAX_SNAPSHOTS: usize = 16;

/// Maximum number of goodbyes kept; an older one counts as a loss without a goodbye.
const MAX_GOODBYES: usize = 64;

/// Decides whether a promise allows acting, by when its request was sent and when the requester became ready.
pub(crate) type ActRule = fn(Instant, Instant) -> bool;

/// Whether the request came from a ready process, so that the member ranked the requester before it promised.
pub(crate) fn is_of_ready_request(sent_at: Instant, ready_at: Instant) -> bool {
    sent_at >= ready_at
}

#[derive(Debug)]
struct Snapshot {
    since: Instant,
    /// The ranked members.
    members: Vec<InstanceId>,
}

/// History of a process's lease and of lost members.
#[derive(Debug)]
pub(super) struct LeaseHistory {
    /// Ranked sets since the lease began; empty without a lease.
    snapshots: VecDeque<Snapshot>,
    /// When the current lease began.
    since: Instant,
    /// When a ranked member was last lost without a goodbye.
    unannounced_loss_at: Option<Instant>,
    /// Ranked members that sent a goodbye, and when; oldest first.
    goodbyes: VecDeque<(InstanceId, Instant)>,
    /// Members that were dropped since the lease began and may be alive.
    dropped: BTreeSet<InstanceId>,
}

impl LeaseHistory {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            snapshots: VecDeque::new(),
            since: now,
            unannounced_loss_at: None,
            goodbyes: VecDeque::new(),
            dropped: BTreeSet::new(),
        }
    }

    pub(super) fn end(&mut self) {
        self.snapshots.clear();
        self.dropped.clear();
    }

    pub(super) fn note_unannounced_loss(&mut self, now: Instant) {
        self.unannounced_loss_at = Some(now);
    }

    /// Notes a member that was dropped without proof that it is dead.
    pub(super) fn note_dropped(&mut self, instance: &InstanceId, is_ranked: bool, now: Instant) {
        self.dropped.insert(instance.clone());
        if is_ranked {
            self.note_unannounced_loss(now);
        }
    }

    pub(super) fn note_goodbye(&mut self, instance: &InstanceId, now: Instant) {
        if self.goodbyes.len() == MAX_GOODBYES {
            let oldest = self.goodbyes.pop_front();
            self.unannounced_loss_at = self.unannounced_loss_at.max(oldest.map(|(_, at)| at));
        }
        self.goodbyes.push_back((instance.clone(), now));
    }

    /// When a member was last lost whose state was not handed over.
    fn last_unhanded_loss(
        &self,
        is_handed_over: impl Fn(&InstanceId, Instant) -> bool,
    ) -> Option<Instant> {
        let goodbyes = self.goodbyes.iter();
        let unhanded = goodbyes.filter(|(instance, at)| !is_handed_over(instance, *at));
        let last = unhanded.map(|(_, at)| *at).max();
        last.max(self.unannounced_loss_at)
    }

    fn push(&mut self, members: Vec<InstanceId>, now: Instant) {
        if self.snapshots.len() == MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(Snapshot {
            since: now,
            members,
        });
    }
}

impl Promises {
    /// Becomes ready once the lease duration with its margin has passed since the start and every counted member has
    /// promised. Requests sent before, or in the same microsecond, don't count as those of a ready process.
    pub(super) fn note_ready(&mut self, now: Instant) {
        let elapsed_us = self.elapsed_us(now);
        let is_later = self
            .unready_request_us
            .is_none_or(|sent_us| sent_us < elapsed_us);
        let has_waited = now >= self.started_at + self.lease_with_margin();
        let is_promised = |member: &Member| self.has_promised(member, now);
        if self.ready_at.is_none()
            && self.is_listed
            && has_waited
            && is_later
            && self.members.values().all(is_promised)
        {
            self.ready_at = Some(self.started_at + Duration::from_micros(elapsed_us));
        }
    }

    fn has_promised(&self, member: &Member, now: Instant) -> bool {
        let promise_requested_at = member.promise_requested_at;
        promise_requested_at.is_some_and(|requested_at| now < requested_at + self.lease_duration)
    }

    /// Whether the request that was sent at this time came from a ready process.
    #[cfg(test)]
    pub(crate) fn is_ready_request(&self, sent_us: u64) -> bool {
        let sent_at = self.started_at + Duration::from_micros(sent_us);
        self.ready_at.is_some_and(|ready_at| sent_at >= ready_at)
    }

    /// Whether a promise of the member is missing: it has not promised yet, or not since this process became ready.
    pub(super) fn needs_promise(&self, member: &Member) -> bool {
        match (member.promise_requested_at, self.ready_at) {
            (None, _) => true,
            (Some(requested_at), Some(ready_at)) => {
                !(self.rules.may_act_on)(requested_at, ready_at)
            }
            (Some(_), None) => false,
        }
    }

    /// End of the lease, if no promise is renewed before.
    pub(crate) fn lease_end(&self, now: Instant) -> Option<Instant> {
        if !self.is_listed || self.has_left {
            return None;
        }
        let ready_at = self.ready_at?;
        let mut end = self.list_proof_end(now)?;
        for member in self.members.values() {
            let requested_at = member.promise_requested_at?;
            if !(self.rules.may_act_on)(requested_at, ready_at) {
                return None;
            }
            end = end.min(requested_at + self.lease_duration);
        }
        (now < end).then_some(end)
    }

    /// Whether no other process can have acted for this process's keys since its lease began. This is so while it holds
    /// the lease, and while it lacks only promises of new members, since they act only after it has ranked them. A
    /// member that it dropped before may have acted without being ranked.
    fn is_lease_continuous(&self, now: Instant) -> bool {
        let is_continuous =
            |(instance, member): (&InstanceId, &Member)| match member.promise_requested_at {
                None => !self.lease.dropped.contains(instance),
                Some(_) => !self.needs_promise(member) && self.has_promised(member, now),
            };
        let is_list_proved = self.list_proof_end(now).is_some_and(|end| now < end);
        self.is_listed
            && !self.has_left
            && self.ready_at.is_some()
            && is_list_proved
            && self.members.iter().all(is_continuous)
    }

    pub(super) fn end_expired_lease(&mut self, now: Instant) {
        if !self.is_lease_continuous(now) {
            self.lease.end();
        }
    }

    pub(super) fn note_lease(&mut self, now: Instant) {
        self.end_expired_lease(now);
        match self.lease.snapshots.back() {
            Some(newest) if newest.members.iter().eq(self.ranked()) => return,
            None if self.lease_end(now).is_none() => return,
            None => self.lease.since = now,
            Some(_) => {}
        }
        let ranked = self.ranked().cloned().collect();
        self.lease.push(ranked, now);
    }

    /// The other members that may act for keys.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = &InstanceId> {
        let members = self.members.iter();
        members.filter_map(|(instance, member)| member.is_ranked.then_some(instance))
    }

    /// Rendezvous winner of a key among the ranked members and, once it is ready, this process.
    pub(crate) fn winner(&self, key: &str) -> Option<&InstanceId> {
        let may_act = self.is_listed && !self.has_left && self.ready_at.is_some();
        let local_instance = may_act.then_some(&self.identity.instance);
        rendezvous_winner(key, self.ranked().chain(local_instance))
    }

    /// Right to act for a key at this moment.
    pub(crate) fn ownership(&mut self, key: &str, now: Instant) -> Option<Ownership> {
        self.lease_end(now)?;
        if self.lease.snapshots.is_empty() {
            self.note_lease(now);
        }
        let local_instance = &self.identity.instance;
        let is_won = |snapshot: &&Snapshot| {
            rendezvous_winner(key, snapshot.members.iter().chain([local_instance]))
                == Some(local_instance)
        };
        let won = self.lease.snapshots.iter().rev().take_while(is_won);
        let since = won.last()?.since;
        Some(Ownership { since })
    }

    /// Since when this process has held its lease and every member that was lost had handed its state over.
    pub(super) fn state_complete_since(
        &self,
        is_handed_over: impl Fn(&InstanceId, Instant) -> bool,
    ) -> Instant {
        let loss = self.lease.last_unhanded_loss(is_handed_over);
        loss.map_or(self.lease.since, |loss| loss.max(self.lease.since))
    }
}
