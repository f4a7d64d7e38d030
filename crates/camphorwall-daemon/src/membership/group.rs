//! One group of processes: the entries of a data centre, or the endpoint daemons of a service.
//!
//! Each key has one owner in the group, the rendezvous winner among its members. The owner acts only while it holds a
//! lease, which consists of the promises of all other members that it counts.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use camphorwall::{
    DocumentKind, Heartbeat, Instance, InstanceId, InstanceState, LeaseSettings, PeerAuth,
    Published, Settings, rendezvous_winner,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    member::SuspectMember,
    promises::{Identity, Outgoing, PromiseRules, Promises},
};
use crate::published::PublishedStore;

/// Silence after which a member is probed, in heartbeat periods.
const SUSPECT_PERIODS: u32 = 2;

/// Right of this process to act for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ownership {
    /// Since when this process has owned the key without a gap.
    pub(crate) since: Instant,
}

/// A group that this process belongs to.
pub(crate) struct Group {
    published: PublishedStore,
    is_member: Box<dyn Fn(&Instance) -> bool>,
    lease: LeaseSettings,
    seeds: Vec<SocketAddr>,
    auth: PeerAuth,
    promises: RefCell<Promises>,
    list_version: Cell<u64>,
}

impl Group {
    /// Creates the group of all listed instances for which `is_member` holds.
    pub(crate) fn new(
        settings: &Settings,
        name: &str,
        published: PublishedStore,
        is_member: impl Fn(&Instance) -> bool + 'static,
        now: Instant,
    ) -> Self {
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: incarnation(),
            group: xxh3_64(name.as_bytes()),
        };
        let promises = Promises::new(
            identity,
            settings.lease.duration(),
            PromiseRules::default(),
            now,
        );
        Self {
            published,
            is_member: Box::new(is_member),
            lease: settings.lease,
            seeds: settings.seed_addresses.clone(),
            auth: PeerAuth::new(&settings.peer_secrets),
            promises: RefCell::new(promises),
            list_version: Cell::new(0),
        }
    }

    /// The owner of a key as far as this process knows; `None` when the group has no member.
    pub(crate) fn owner(&self, key: &str) -> Option<Instance> {
        self.apply_published_list(Instant::now());
        let published = self.published.get();
        let promises = self.promises.borrow();
        let listed = |name: &InstanceId| published.instances.get(name).cloned();
        // A counted member may be off the list. The winner among the listed members is then the best guess.
        let counted = promises.winner(key).and_then(listed);
        counted.or_else(|| {
            let winner = rendezvous_winner(key, self.listed(&published))?;
            listed(winner)
        })
    }

    /// The right of this process to act for a key at this moment. Must be checked immediately before each act.
    pub(crate) fn ownership(&self, key: &str, now: Instant) -> Option<Ownership> {
        self.apply_published_list(now);
        let mut promises = self.promises.borrow_mut();
        promises.ownership(key, now)
    }

    /// Since when this process has held its lease and every member that was lost had handed its state over.
    /// `is_handed_over` decides the latter for a member and the time of its goodbye.
    pub(crate) fn state_complete_since(
        &self,
        is_handed_over: impl Fn(&InstanceId, Instant) -> bool,
        now: Instant,
    ) -> Instant {
        self.apply_published_list(now);
        self.promises.borrow().state_complete_since(is_handed_over)
    }

    /// All listed members.
    pub(crate) fn listed_members(&self) -> Vec<Instance> {
        let published = self.published.get();
        self.listed(&published)
            .filter_map(|name| published.instances.get(name).cloned())
            .collect()
    }

    /// Other listed members that may act for keys; the next owners of this process's keys are among them.
    pub(crate) fn ranked_members(&self) -> Vec<Instance> {
        let published = self.published.get();
        let promises = self.promises.borrow();
        let listed = promises
            .ranked()
            .filter_map(|name| published.instances.get(name).cloned());
        listed.collect()
    }

    /// Remaining time of the lease if no promise is renewed.
    pub(crate) fn lease_left(&self, now: Instant) -> Duration {
        let end = self.promises.borrow().lease_end(now);
        end.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Promise requests to all counted members and to the seeds.
    pub(super) fn promise_requests(&self, now: Instant) -> Vec<Outgoing> {
        self.apply_published_list(now);
        self.promises
            .borrow_mut()
            .promise_requests(&self.seeds, now)
    }

    /// Promise requests to the members that need one more often than once in a period.
    pub(super) fn urgent_promise_requests(&self, now: Instant) -> Vec<Outgoing> {
        self.apply_published_list(now);
        let silence = self.lease.heartbeat_period() * SUSPECT_PERIODS;
        self.promises
            .borrow_mut()
            .urgent_promise_requests(silence, now)
    }

    /// Encodes a heartbeat for one datagram, authenticated by the shared secret.
    pub(super) fn seal(&self, heartbeat: &Heartbeat) -> Vec<u8> {
        self.auth.seal(&heartbeat.encode())
    }

    /// Decodes a datagram; `None` when it is no heartbeat of a process that holds a secret. A replayed one does no
    /// harm: a promise answers one request, and a request only makes its sender counted.
    pub(super) fn open(&self, datagram: &[u8]) -> Option<Heartbeat> {
        let opened = self.auth.open(datagram)?;
        Heartbeat::decode(&opened)
    }

    pub(super) fn receive(
        &self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> Vec<Heartbeat> {
        self.apply_published_list(now);
        self.promises.borrow_mut().receive(heartbeat, from, now)
    }

    /// Drops the members that need no longer be counted, and returns the members to probe.
    pub(super) fn suspects(&self, now: Instant) -> Vec<SuspectMember> {
        self.apply_published_list(now);
        let mut promises = self.promises.borrow_mut();
        promises.drop_unlisted(now);
        promises.suspects(self.lease.heartbeat_period() * SUSPECT_PERIODS, now)
    }

    /// Has a member probed soon, because a call to it could not be sent.
    pub(crate) fn suspect(&self, instance: &InstanceId) {
        self.promises.borrow_mut().suspect(instance);
    }

    pub(super) fn prove_dead(&self, suspect: &SuspectMember, now: Instant) {
        self.promises.borrow_mut().prove_dead(suspect, now);
    }

    /// Stops acting permanently and returns the goodbyes to send.
    pub(super) fn leave(&self) -> Vec<Outgoing> {
        self.promises.borrow_mut().leave()
    }

    /// How long a promise is valid.
    pub(crate) const fn lease_duration(&self) -> Duration {
        self.lease.duration()
    }

    pub(super) const fn heartbeat_period(&self) -> Duration {
        self.lease.heartbeat_period()
    }

    /// Applies a changed list, so that no decision relies on an older one.
    fn apply_published_list(&self, now: Instant) {
        let published = self.published.get();
        if let Some(confirmed_at) = self.published.confirmed_at() {
            self.promises.borrow_mut().confirm_list(confirmed_at);
        }
        let version = list_version(&published);
        if version == self.list_version.replace(version) {
            return;
        }
        let listed: BTreeMap<_, _> = self
            .listed(&published)
            .filter_map(|name| published.instances.get(name))
            .map(|instance| (instance.instance.clone(), instance.peer_address))
            .collect();
        self.promises.borrow_mut().set_list(&listed, now);
    }

    fn listed<'a>(&'a self, published: &'a Published) -> impl Iterator<Item = &'a InstanceId> {
        let is_member = |instance: &&Instance| {
            instance.state == InstanceState::Live && (self.is_member)(instance)
        };
        published
            .instances
            .values()
            .filter(is_member)
            .map(|instance| &instance.instance)
    }
}

/// Changes with every revision of the documents of instances, because revisions only increase.
fn list_version(published: &Published) -> u64 {
    published
        .revisions()
        .filter(|(name, _)| name.kind() == DocumentKind::Instances)
        .map(|(_, revision)| revision.get())
        .fold(0, u64::wrapping_add)
}

/// Number of this incarnation: the wall clock at the start in microseconds, at least 1.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(1).max(1)
}
