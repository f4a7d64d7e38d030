//! Decides which peers this process follows, and whether it reads the configuration service itself.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{
    DataCentreId, Instance, InstanceId, InstanceRole, InstanceState, Published, rendezvous_rank,
};

/// Number of entries in each data centre that read the service.
pub(super) const READERS: usize = 2;

/// Number of peers that are followed at once, besides one that is probed after a failure.
const FOLLOWED_PEERS: usize = 2;

/// How long a failed peer is skipped before it is probed.
const PROBE_PERIOD: Duration = Duration::from_secs(5);

/// An entry whose last read of the service is older than this is stale. Once it has been stale for as long again, it no
/// longer counts as a reader and another entry reads.
const STALENESS_LIMIT: Duration = Duration::from_secs(15);

/// How long a reader follows the same entry of another data centre, and the same endpoint daemon.
const ROTATION_PERIOD: Duration = Duration::from_secs(20);

/// Maximum entries that are kept because they queried this process.
const MAX_RECENT_ENTRIES: usize = 4;

/// Rendezvous key by which the entries of a data centre are ranked as readers.
const READER_KEY: &str = "configuration-readers";

/// Peers to follow now, and whether to read the service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Plan {
    /// Whether to read the service.
    pub(super) reads_service: bool,
    /// Peers to follow, each once.
    pub(super) peers: Vec<SocketAddr>,
}

#[derive(Clone, Copy)]
enum PeerHealth {
    Failed { at: Instant },
    Stale { since: Instant },
}

/// Selects the peers to follow, by the published list and by which peers answer.
pub(super) struct Sources {
    local_instance: InstanceId,
    data_centre: DataCentreId,
    role: InstanceRole,
    seeds: Vec<SocketAddr>,
    started_at: Instant,
    health: BTreeMap<SocketAddr, PeerHealth>,
    /// Entries that queried this process recently, the latest last.
    recent_entries: VecDeque<SocketAddr>,
}

impl Sources {
    pub(super) const fn new(
        local_instance: InstanceId,
        data_centre: DataCentreId,
        role: InstanceRole,
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        Self {
            local_instance,
            data_centre,
            role,
            seeds,
            started_at: now,
            health: BTreeMap::new(),
            recent_entries: VecDeque::new(),
        }
    }

    /// Notes a peer's answer, with the time since the peer itself last read the service.
    pub(super) fn note_answer(
        &mut self,
        peer: SocketAddr,
        read_ago: Option<Duration>,
        now: Instant,
    ) {
        if read_ago.is_some_and(|ago| ago < STALENESS_LIMIT) {
            self.health.remove(&peer);
            return;
        }
        let since = match self.health.get(&peer) {
            Some(PeerHealth::Stale { since }) => *since,
            Some(PeerHealth::Failed { .. }) | None => now,
        };
        self.health.insert(peer, PeerHealth::Stale { since });
    }

    /// Notes that a peer gave no answer.
    pub(super) fn note_failure(&mut self, peer: SocketAddr, now: Instant) {
        self.health.insert(peer, PeerHealth::Failed { at: now });
    }

    /// Notes an entry that queried this process. It may be missing from the list that is in force here.
    pub(super) fn note_entry_query(&mut self, entry: SocketAddr) {
        self.health.remove(&entry);
        self.recent_entries.retain(|known| *known != entry);
        self.recent_entries.push_back(entry);
        if self.recent_entries.len() > MAX_RECENT_ENTRIES {
            self.recent_entries.pop_front();
        }
    }

    /// Plans which peers to follow now and whether to read the service.
    pub(super) fn plan(&self, published: &Published, now: Instant) -> Plan {
        let mut plan = match self.role {
            InstanceRole::Entry => self.plan_entry(published, now),
            InstanceRole::Endpoint => self.plan_endpoint(published),
        };
        if plan.peers.is_empty() {
            let known = self.recent_entries.iter().rev().chain(&self.seeds).copied();
            let known = known.filter(|peer| !self.has_failed(peer));
            plan.peers = known.take(FOLLOWED_PEERS).collect();
        }
        plan.peers.extend(self.probe(published, now));
        plan
    }

    /// Peers that a process queries before it serves.
    pub(super) fn startup_peers(&self, published: &Published) -> Vec<SocketAddr> {
        let near = self.ranked(published, InstanceRole::Entry, true);
        let far = self.ranked(published, InstanceRole::Entry, false);
        let mut peers = self.seeds.clone();
        peers.extend(near.iter().take(READERS + FOLLOWED_PEERS));
        peers.extend(far.iter().take(FOLLOWED_PEERS));
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn plan_entry(&self, published: &Published, now: Instant) -> Plan {
        let entries = self.listed(published, InstanceRole::Entry, true);
        let names = entries.keys().copied().chain([&self.local_instance]);
        let ranked = rendezvous_rank(READER_KEY, names.map(InstanceId::as_str));
        let local_rank = ranked
            .iter()
            .position(|name| *name == self.local_instance.as_str());
        let (above, below) = ranked.split_at(local_rank.unwrap_or(ranked.len()));
        let address = |name: &&str| {
            let mut found = entries
                .iter()
                .filter(|(instance, _)| instance.as_str() == *name);
            found.next().map(|(_, address)| *address)
        };
        let above: Vec<_> = above.iter().filter_map(address).collect();
        let below = below.iter().filter_map(address);
        let reading = above
            .iter()
            .filter(|peer| self.is_current(peer, now))
            .count();
        let reads_service = reading < READERS;
        let near = above.iter().copied().chain(below);
        let near = near
            .filter(|peer| !self.has_failed(peer))
            .take(FOLLOWED_PEERS);
        let mut peers: Vec<_> = near.collect();
        if reads_service {
            peers.extend(self.far_entry(published, now));
            peers.extend(self.endpoint_daemon(published, now));
        }
        Plan {
            reads_service,
            peers,
        }
    }

    /// An entry of another data centre; another one after each rotation period.
    fn far_entry(&self, published: &Published, now: Instant) -> Option<SocketAddr> {
        let far = self.ranked(published, InstanceRole::Entry, false);
        self.rotating_peer(far, now)
    }

    /// An endpoint daemon; another one after each rotation period, so that daemons that know no other entry learn of
    /// this one from its query.
    fn endpoint_daemon(&self, published: &Published, now: Instant) -> Option<SocketAddr> {
        let daemons = self.ranked(published, InstanceRole::Endpoint, true);
        self.rotating_peer(daemons, now)
    }

    /// The peer at the position of the current rotation period, among those that have not failed.
    fn rotating_peer(&self, mut peers: Vec<SocketAddr>, now: Instant) -> Option<SocketAddr> {
        peers.retain(|peer| !self.has_failed(peer));
        let age = now.saturating_duration_since(self.started_at);
        let rotation = age.as_secs() / ROTATION_PERIOD.as_secs();
        let rotation = usize::try_from(rotation).unwrap_or(0);
        peers.get(rotation % peers.len().max(1)).copied()
    }

    /// One entry, of the local data centre if one answers, and one endpoint daemon of the local data centre, each the
    /// first in this process's rendezvous order; more daemons while no entry answers.
    fn plan_endpoint(&self, published: &Published) -> Plan {
        let mut entries = self.ranked(published, InstanceRole::Entry, true);
        entries.extend(self.ranked(published, InstanceRole::Entry, false));
        entries.extend(self.recent_entries.iter().rev());
        let mut daemons = self.ranked(published, InstanceRole::Endpoint, true);
        entries.retain(|peer| !self.has_failed(peer));
        daemons.retain(|peer| !self.has_failed(peer));
        let daemons_followed = if entries.is_empty() {
            1 + FOLLOWED_PEERS
        } else {
            1
        };
        let entry = entries.first().into_iter();
        Plan {
            reads_service: false,
            peers: entry
                .chain(daemons.iter().take(daemons_followed))
                .copied()
                .collect(),
        }
    }

    /// The listed peer that failed longest ago, if its probe is due.
    fn probe(&self, published: &Published, now: Instant) -> Option<SocketAddr> {
        let is_listed = |peer: &SocketAddr| {
            let mut listed = published.instances.values();
            self.seeds.contains(peer) || listed.any(|instance| instance.peer_address == *peer)
        };
        let failed = self
            .health
            .iter()
            .filter_map(|(peer, health)| match health {
                PeerHealth::Failed { at } if now >= *at + PROBE_PERIOD => Some((*at, *peer)),
                PeerHealth::Failed { .. } | PeerHealth::Stale { .. } => None,
            });
        let oldest = failed.filter(|(_, peer)| is_listed(peer)).min();
        oldest.map(|(_, peer)| peer)
    }

    fn has_failed(&self, peer: &SocketAddr) -> bool {
        matches!(self.health.get(peer), Some(PeerHealth::Failed { .. }))
    }

    /// Whether a peer answers and has not gone too long without reading the service.
    fn is_current(&self, peer: &SocketAddr, now: Instant) -> bool {
        match self.health.get(peer) {
            Some(PeerHealth::Failed { .. }) => false,
            Some(PeerHealth::Stale { since }) => now < *since + STALENESS_LIMIT,
            None => true,
        }
    }

    fn listed<'a>(
        &self,
        published: &'a Published,
        role: InstanceRole,
        is_near: bool,
    ) -> BTreeMap<&'a InstanceId, SocketAddr> {
        let is_peer = |instance: &&Instance| {
            instance.role == role
                && instance.state == InstanceState::Live
                && instance.instance != self.local_instance
                && (instance.data_centre == self.data_centre) == is_near
        };
        let peers = published.instances.values().filter(is_peer);
        peers.map(|one| (&one.instance, one.peer_address)).collect()
    }

    /// Listed peers in rendezvous order for this process's name, so that processes spread evenly over them.
    fn ranked(&self, published: &Published, role: InstanceRole, is_near: bool) -> Vec<SocketAddr> {
        let listed = self.listed(published, role, is_near);
        let ranked = rendezvous_rank(self.local_instance.as_str(), listed.keys().copied());
        ranked.into_iter().map(|name| listed[name]).collect()
    }
}

/// Name of the instance that is listed at an address.
pub(crate) fn instance_at(published: &Published, address: SocketAddr) -> Option<InstanceId> {
    let mut instances = published.instances.values();
    let found = instances.find(|instance| instance.peer_address == address);
    found.map(|instance| instance.instance.clone())
}

#[cfg(test)]
#[path = "sources_tests.rs"]
mod tests;
