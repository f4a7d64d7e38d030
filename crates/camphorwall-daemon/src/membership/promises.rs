//! Mutual promises of one process with the members of its group, on its own clock.
//!
//! A process acts for a key only while every member that it counts has promised to count it and to rank it, and it is
//! the key's rendezvous winner among the ranked ones. Two members that may act rank each other, so only one of them
//! wins.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{Counted, CountedMember, Heartbeat, HeartbeatBody, InstanceId};
use xxhash_rust::xxh3::Xxh3;

use super::{
    lease::{ActRule, LeaseHistory, is_of_ready_request},
    member::{DepartedMember, DropRule, Member, PromiseAges, SuspectMember, are_promises_expired},
};

/// The margin for clocks that run at different speeds is the lease duration divided by this.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// How long a departed member that is off the list is remembered, in lease durations.
const DEPARTED_RETENTION_LEASES: u32 = 10;

/// Identity of a process within its group.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    /// Increases with each restart under the same name.
    pub(crate) incarnation: u64,
    /// Hash of the group's name.
    pub(crate) group: u64,
}

/// A heartbeat with its receiver.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    pub(crate) heartbeat: Heartbeat,
}

/// Rules for dropping members and for acting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromiseRules {
    pub(crate) may_drop: DropRule,
    pub(crate) may_act_on: ActRule,
}

impl Default for PromiseRules {
    fn default() -> Self {
        Self {
            may_drop: are_promises_expired,
            may_act_on: is_of_ready_request,
        }
    }
}

/// Promises given to members, received from them, and reported by them.
pub(crate) struct Promises {
    pub(super) identity: Identity,
    pub(super) lease_duration: Duration,
    pub(super) rules: PromiseRules,
    pub(super) started_at: Instant,
    /// Since when this incarnation has been ready to be ranked; it stays ready.
    pub(super) ready_at: Option<Instant>,
    /// When the last request was sent before this process became ready, in microseconds since its start.
    pub(super) unready_request_us: Option<u64>,
    pub(super) is_listed: bool,
    pub(super) has_left: bool,
    pub(super) members: BTreeMap<InstanceId, Member>,
    departed: BTreeMap<InstanceId, DepartedMember>,
    /// Members that were dropped only because lists lack them. Each may be alive, cut off, and have dropped this
    /// process.
    presumed_departed: BTreeSet<InstanceId>,
    /// When the current list was last known to be the newest.
    list_confirmed_at: Option<Instant>,
    pub(super) lease: LeaseHistory,
}

impl Promises {
    pub(crate) fn new(
        identity: Identity,
        lease_duration: Duration,
        rules: PromiseRules,
        now: Instant,
    ) -> Self {
        Self {
            identity,
            lease_duration,
            rules,
            started_at: now,
            ready_at: None,
            unready_request_us: None,
            is_listed: false,
            has_left: false,
            members: BTreeMap::new(),
            departed: BTreeMap::new(),
            presumed_departed: BTreeSet::new(),
            list_confirmed_at: None,
            lease: LeaseHistory::new(now),
        }
    }

    pub(super) fn lease_with_margin(&self) -> Duration {
        self.lease_duration + self.lease_duration / CLOCK_DRIFT_DIVISOR
    }

    /// Notes that the current list was the newest at an instant.
    pub(crate) fn confirm_list(&mut self, at: Instant) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(at));
    }

    /// Time until which the list proves that members that were dropped only because lists lack them don't act; `None`
    /// without such a proof.
    ///
    /// A process that is off the newest list may not know it. It stops acting one lease duration after its list was
    /// last known to be the newest, and processes that read a list without it drop it only after a longer time.
    pub(super) fn list_proof_end(&self, now: Instant) -> Option<Instant> {
        if self.presumed_departed.is_empty() {
            return Some(now + self.lease_duration);
        }
        self.list_confirmed_at.map(|at| at + self.lease_duration)
    }

    /// Applies the newest list.
    pub(crate) fn set_list(&mut self, listed: &BTreeMap<InstanceId, SocketAddr>, now: Instant) {
        self.end_expired_lease(now);
        self.is_listed = listed.contains_key(&self.identity.instance);
        for (instance, member) in &mut self.members {
            member.note_list(listed.contains_key(instance), now);
        }
        let started_at = self.started_at;
        for (instance, address) in listed {
            if *instance == self.identity.instance || self.departed.contains_key(instance) {
                continue;
            }
            let new = Member::new(*address, 0, started_at, now);
            let member = self.members.entry(instance.clone()).or_insert(new);
            member.note_list(true, now);
            member.address = *address;
            self.presumed_departed.remove(instance);
        }
        let forget_after = self.lease_duration * DEPARTED_RETENTION_LEASES;
        self.departed.retain(|instance, departed| {
            listed.contains_key(instance)
                || now.saturating_duration_since(departed.noted_at) < forget_after
        });
        self.drop_unlisted(now);
        self.note_lease(now);
    }

    /// Stops counting the unlisted members whose promises have expired.
    pub(crate) fn drop_unlisted(&mut self, now: Instant) {
        self.end_expired_lease(now);
        let lease_with_margin = self.lease_with_margin();
        let may_drop = self.rules.may_drop;
        let lease = &mut self.lease;
        let presumed_departed = &mut self.presumed_departed;
        self.members.retain(|instance, member| {
            let unlisted_at = member.unlisted_at.unwrap_or(self.started_at);
            let ages = PromiseAges {
                given: now.saturating_duration_since(member.given_at),
                reported: now.saturating_duration_since(member.reported_at),
                unlisted: now.saturating_duration_since(unlisted_at),
                lease_with_margin,
            };
            let is_kept = member.is_listed || !may_drop(&ages);
            if !is_kept {
                lease.note_dropped(instance, member.is_ranked, now);
                presumed_departed.insert(instance.clone());
            }
            is_kept
        });
        self.note_lease(now);
    }

    /// Promise requests to every counted member and to the other seed addresses. A process becomes ready only here, so
    /// that it reports this to all members at once.
    pub(crate) fn promise_requests(&mut self, seeds: &[SocketAddr], now: Instant) -> Vec<Outgoing> {
        if self.has_left {
            return Vec::new();
        }
        self.note_ready(now);
        self.note_lease(now);
        let heartbeat = self.promise_request(now);
        let members: BTreeSet<_> = self.members.values().map(|member| member.address).collect();
        let seeds = seeds.iter().filter(|seed| !members.contains(seed));
        let outgoing = |to: &SocketAddr| Outgoing {
            to: *to,
            heartbeat: heartbeat.clone(),
        };
        members.iter().chain(seeds).map(outgoing).collect()
    }

    pub(super) fn elapsed_us(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.started_at);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// Promise requests to the members that need one more often than once in a period.
    pub(crate) fn urgent_promise_requests(
        &mut self,
        silence: Duration,
        now: Instant,
    ) -> Vec<Outgoing> {
        let mut promise_requests = self.promise_requests(&[], now);
        let suspects = self.suspects(silence, now);
        let is_suspect = |to| suspects.iter().any(|suspect| suspect.address == to);
        promise_requests.retain(|outgoing| is_suspect(outgoing.to));
        promise_requests
    }

    fn promise_request(&mut self, now: Instant) -> Heartbeat {
        let sent_us = self.elapsed_us(now);
        let is_ready = self.ready_at.is_some();
        if !is_ready {
            self.unready_request_us = Some(sent_us);
        }
        self.heartbeat(HeartbeatBody::Ask {
            sent_us,
            counted_digest: self.digest(),
            is_ready,
        })
    }

    fn heartbeat(&self, body: HeartbeatBody) -> Heartbeat {
        Heartbeat {
            group: self.identity.group,
            from: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            body,
        }
    }

    /// Handles a heartbeat and returns the ones to send back: an answer, and a promise request if the sender's promise
    /// is missing.
    pub(crate) fn receive(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> Vec<Heartbeat> {
        if heartbeat.group != self.identity.group || heartbeat.from == self.identity.instance {
            return Vec::new();
        }
        self.end_expired_lease(now);
        let sender = heartbeat.from.clone();
        let answer = self.answer(heartbeat, from, now);
        let member = self.members.get(&sender);
        let is_requested = member.is_some_and(|member| self.needs_promise(member));
        let promise_request =
            (is_requested && answer.is_some() && !self.has_left).then(|| self.promise_request(now));
        self.note_lease(now);
        answer.into_iter().chain(promise_request).collect()
    }

    fn answer(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> Option<Heartbeat> {
        let newest = self.newest_incarnation(&heartbeat.from);
        match heartbeat.body {
            HeartbeatBody::Ask { .. } if self.is_superseded(&heartbeat) => {
                Some(self.heartbeat(HeartbeatBody::Superseded {
                    incarnation: newest,
                }))
            }
            _ if self.is_superseded(&heartbeat) => None,
            HeartbeatBody::Ask { .. } if self.has_left => {
                Some(self.heartbeat(HeartbeatBody::Goodbye))
            }
            HeartbeatBody::Ask {
                sent_us,
                counted_digest,
                is_ready,
            } => {
                let member = self.count(&heartbeat.from, heartbeat.incarnation, from, now);
                member.given_at = now;
                member.is_ranked |= is_ready;
                let counted = self.counted(counted_digest, now);
                Some(self.heartbeat(HeartbeatBody::Promise {
                    sent_us,
                    to_incarnation: heartbeat.incarnation,
                    counted,
                }))
            }
            HeartbeatBody::Promise {
                sent_us,
                to_incarnation,
                counted,
            } => {
                let sent_at = self.started_at + Duration::from_micros(sent_us);
                if to_incarnation == self.identity.incarnation
                    && sent_at <= now
                    && self.apply_counted(&counted, now)
                {
                    let member = self.count(&heartbeat.from, heartbeat.incarnation, from, now);
                    member.promise_requested_at = member.promise_requested_at.max(Some(sent_at));
                }
                None
            }
            HeartbeatBody::Goodbye => {
                let member = self.members.get(&heartbeat.from);
                if member.is_some_and(|member| member.is_ranked) {
                    self.lease.note_goodbye(&heartbeat.from, now);
                }
                self.note_departed(&heartbeat.from, heartbeat.incarnation, now);
                None
            }
            HeartbeatBody::Superseded { incarnation } => {
                if incarnation >= self.identity.incarnation {
                    self.restart(incarnation + 1, now);
                }
                None
            }
        }
    }

    fn newest_incarnation(&self, instance: &InstanceId) -> u64 {
        let known = self.members.get(instance).map(|member| member.incarnation);
        let departed = self
            .departed
            .get(instance)
            .map(|departed| departed.incarnation);
        known.max(departed).unwrap_or(0)
    }

    fn is_superseded(&self, heartbeat: &Heartbeat) -> bool {
        let departed = self.departed.get(&heartbeat.from);
        heartbeat.incarnation < self.newest_incarnation(&heartbeat.from)
            || departed.is_some_and(|departed| heartbeat.incarnation <= departed.incarnation)
    }

    /// Counts a member that sent a heartbeat.
    fn count(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        address: SocketAddr,
        now: Instant,
    ) -> &mut Member {
        self.departed.remove(instance);
        self.presumed_departed.remove(instance);
        let new = Member::new(address, incarnation, self.started_at, now);
        let member = self.members.entry(instance.clone()).or_insert(new);
        if member.incarnation != incarnation {
            // The last promise of the earlier incarnation stays valid, because the new one waits longer than that
            // before it acts. The earlier one is dead, and the new one is not ready.
            if member.is_ranked {
                self.lease.note_unannounced_loss(now);
            }
            member.is_ranked = false;
            member.incarnation = incarnation;
            member.address = address;
        }
        member.last_seen_at = now;
        member.is_suspected = false;
        member
    }

    /// Applies the counted set that came with a promise; `false` if it refers to another set than the current one.
    fn apply_counted(&mut self, counted: &Counted, now: Instant) -> bool {
        match counted {
            Counted::Same(digest) if *digest != self.digest() => false,
            Counted::Same(_) => {
                for member in self.members.values_mut() {
                    member.reported_at = now;
                }
                true
            }
            Counted::Members(members) => {
                for reported in members {
                    self.count_reported(reported, now);
                }
                true
            }
        }
    }

    fn count_reported(&mut self, reported: &CountedMember, now: Instant) {
        let departed = self.departed.get(&reported.instance);
        if reported.instance == self.identity.instance
            || departed.is_some_and(|departed| reported.incarnation <= departed.incarnation)
        {
            return;
        }
        let reported_at = now
            .checked_sub(Duration::from_millis(reported.age_ms))
            .unwrap_or(now);
        self.presumed_departed.remove(&reported.instance);
        let new = Member::new(reported.address, reported.incarnation, self.started_at, now);
        let member = self.members.entry(reported.instance.clone()).or_insert(new);
        member.reported_at = member.reported_at.max(reported_at);
    }

    fn counted(&self, requester_digest: u64, now: Instant) -> Counted {
        let digest = self.digest();
        if requester_digest != 0 && requester_digest == digest {
            return Counted::Same(digest);
        }
        let reported = |(instance, member): (&InstanceId, &Member)| CountedMember {
            instance: instance.clone(),
            address: member.address,
            incarnation: member.incarnation,
            age_ms: member.promise_age_ms(now),
        };
        Counted::Members(self.members.iter().map(reported).collect())
    }

    /// Digest of the counted set with this process, or 0 when this process or a member is off the list.
    fn digest(&self) -> u64 {
        if !self.is_listed || self.members.values().any(|member| !member.is_listed) {
            return 0;
        }
        let mut names: Vec<&str> = self.members.keys().map(InstanceId::as_str).collect();
        names.push(self.identity.instance.as_str());
        names.sort_unstable();
        let mut hasher = Xxh3::new();
        for name in names {
            hasher.update(name.as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest().max(1)
    }

    /// Has a member probed at the next poll.
    pub(crate) fn suspect(&mut self, instance: &InstanceId) {
        if let Some(member) = self.members.get_mut(instance) {
            member.is_suspected = true;
        }
    }

    /// Members to probe: those that are suspected, whose promise is missing, or that were silent for too long.
    pub(crate) fn suspects(&self, silence: Duration, now: Instant) -> Vec<SuspectMember> {
        let is_silent = |member: &Member| {
            member.is_suspected
                || self.needs_promise(member)
                || now.saturating_duration_since(member.last_seen_at) > silence
        };
        self.members
            .iter()
            .filter(|(_, member)| is_silent(member))
            .map(|(instance, member)| SuspectMember {
                instance: instance.clone(),
                address: member.address,
                incarnation: member.incarnation,
            })
            .collect()
    }

    /// Stops counting a member whose address refused a connection, unless a new incarnation of it was seen meanwhile.
    pub(crate) fn prove_dead(&mut self, suspect: &SuspectMember, now: Instant) {
        self.end_expired_lease(now);
        let member = self.members.get(&suspect.instance);
        let same = member.filter(|member| member.incarnation == suspect.incarnation);
        if let Some(is_ranked) = same.map(|member| member.is_ranked) {
            self.note_departed(&suspect.instance, suspect.incarnation, now);
            // A member that was not ranked has not acted.
            if is_ranked {
                self.lease.note_unannounced_loss(now);
            }
        }
        self.note_lease(now);
    }

    fn note_departed(&mut self, instance: &InstanceId, incarnation: u64, now: Instant) {
        self.members.remove(instance);
        self.presumed_departed.remove(instance);
        let departed = DepartedMember {
            incarnation,
            noted_at: now,
        };
        self.departed.insert(instance.clone(), departed);
    }

    /// Stops acting permanently and returns the goodbyes to send.
    pub(crate) fn leave(&mut self) -> Vec<Outgoing> {
        self.has_left = true;
        self.lease.end();
        let heartbeat = self.heartbeat(HeartbeatBody::Goodbye);
        let outgoing = |member: &Member| Outgoing {
            to: member.address,
            heartbeat: heartbeat.clone(),
        };
        self.members.values().map(outgoing).collect()
    }

    /// Restarts under an incarnation that no member knows as departed.
    fn restart(&mut self, incarnation: u64, now: Instant) {
        self.identity.incarnation = incarnation;
        self.started_at = now;
        self.ready_at = None;
        self.unready_request_us = None;
        self.lease.end();
        for member in self.members.values_mut() {
            member.promise_requested_at = None;
        }
    }
}
