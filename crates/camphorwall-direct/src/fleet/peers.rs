//! Exchanges heartbeats with the other entries: datagrams every few milliseconds that report charges, placements,
//! failures and crashes.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use camphorwall::rendezvous_rank;
use compio::net::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::{
    balance::{
        loads::ReportedWork,
        placement::{MAX_REPORTED_WAITERS, QueueRank, ReportedWaiter},
        speeds::ReportedSpeed,
    },
    clock::Moment,
    contract::quota::ReportedAccount,
    dialect::StoreRevision,
    endpoints::{
        cold::{MemberId, ReportedSplit},
        cold_times::ReportedColdTime,
        notices::ReportedLeaving,
        poison::ReportedSuspect,
        suspicion::ReportedResults,
    },
    entry::Entry,
    fleet::shares::{SILENT_AFTER, Shares},
    store::{CentreKey, Neighbour},
};

/// Minimum time between two full heartbeats to a peer. Peers learn of the progress of runs with about this delay.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(40);

/// Maximum rate, summed over all peers, of the datagrams in which an entry reports changes between full heartbeats.
const MAX_CHANGE_DATAGRAMS_PER_S: u32 = 1_000;

/// Heartbeat period for each known peer, so that the heartbeats that an entry sends don't grow with the fleet.
const HEARTBEAT_PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// Maximum time between two full heartbeats to a peer, below the time after which the sender counts as silent.
const MAX_HEARTBEAT_PERIOD: Duration = Duration::from_millis(240);

/// Time without a heartbeat after which a peer's work counts as ended: the connections of an entry that died are
/// closed.
const WORK_EXPIRES_AFTER: Duration = Duration::from_millis(1_500);

/// Time without a heartbeat after which a peer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(15);

/// Maximum size of a UDP datagram. Heartbeats grow with the runs, teams and results that they report; a receiver with a
/// smaller buffer would take the sender for silent.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

/// Maximum number of peer addresses in a heartbeat.
const MAX_REPORTED_PEERS: usize = 16;

/// Maximum number of known peers, about three times the largest fleet. Anybody who can send datagrams may report more.
const MAX_KNOWN_PEERS: usize = 1_024;

/// Number of goodbyes that a stopping entry sends to each peer, since datagrams may be lost.
const GOODBYE_COUNT: u32 = 3;

/// What an entry reports to its peers.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Heartbeat {
    pub(crate) incarnation: u64,
    /// Whether this is the last heartbeat: the entry's work has ended.
    pub(crate) is_ending: bool,
    /// Grows with each heartbeat, so that receivers detect one that a later one overtook.
    pub(crate) sequence: u64,
    /// Hash of the name of the entry's data centre.
    pub(crate) data_centre: CentreKey,
    /// Whether the entry reads the store itself, so that peers may follow it.
    pub(crate) reads_store: bool,
    /// Revision of the store up to which an entry with a sound way to it has seen all changes.
    pub(crate) sound_revision: StoreRevision,
    /// Version of the configuration in force, 0 without one, and the revision of the store at which it was written.
    pub(crate) configuration: (u64, StoreRevision),
    /// Rate of the entry's link; 0 if it is not known.
    pub(crate) link_mbps: u32,
    /// Whether the entry serves callers with keys.
    pub(crate) is_serving: bool,
    /// Size of the fleet that the entry knows of, itself included.
    pub(crate) fleet_size: u16,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) accounts: Vec<ReportedAccount>,
    pub(crate) work: ReportedWork,
    /// Results of requests at endpoints since the last heartbeat.
    pub(crate) results: Vec<ReportedResults>,
    /// The first requests that wait for decode placements.
    pub(crate) waiting: Vec<ReportedWaiter>,
    /// Endpoints that said that they leave.
    pub(crate) leaving: Vec<ReportedLeaving>,
    /// Requests that may have crashed endpoints.
    pub(crate) suspects: Vec<ReportedSuspect>,
    /// The split of what cold endpoints can sustain, and their cold times; nothing if no service has a limit.
    pub(crate) cold: Option<(ReportedSplit, Vec<ReportedColdTime>)>,
    /// Speeds of endpoints that were observed since they were last reported.
    pub(crate) speeds: Vec<ReportedSpeed>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Option<u64>,
    /// When the last heartbeat arrived, or when the address became known.
    last_seen_at: Moment,
    last_sequence: u64,
    /// Requests that wait at the peer, each with the hash of its service's name.
    waiting: Vec<(u64, QueueRank)>,
    data_centre: CentreKey,
    reads_store: bool,
    link_mbps: u32,
    is_serving: bool,
    /// End of the time in which this entry doesn't follow the peer.
    avoided_until: Moment,
}

impl Peer {
    const fn not_yet_seen(now: Moment) -> Self {
        Self {
            incarnation: None,
            last_seen_at: now,
            last_sequence: 0,
            waiting: Vec::new(),
            data_centre: 0,
            reads_store: false,
            link_mbps: 0,
            is_serving: false,
            avoided_until: now,
        }
    }
}

/// Known entries, by the address from which they send.
#[derive(Debug)]
pub(crate) struct Peers {
    local_address: SocketAddr,
    data_centre: CentreKey,
    incarnation: u64,
    sequence: u64,
    known: HashMap<SocketAddr, Peer>,
    /// Incarnations that sent a goodbye, and when. Kept because other peers may still report their addresses.
    departed: HashMap<SocketAddr, (u64, Moment)>,
    /// Entries among which the fleet's allowances are divided.
    pub(crate) shares: Shares,
    /// Whether this entry had a part of the allowances when that was last checked.
    had_part: bool,
}

impl Peers {
    /// Creates the state with the seeds as the first known peers.
    pub(crate) fn new(
        local_address: SocketAddr,
        data_centre: CentreKey,
        seeds: &[SocketAddr],
        incarnation: u64,
    ) -> Self {
        let mut peers = Self {
            local_address,
            data_centre,
            incarnation,
            sequence: 0,
            known: HashMap::new(),
            departed: HashMap::new(),
            shares: Shares::default(),
            had_part: true,
        };
        peers.add_seeds(seeds);
        peers
    }

    /// The members of the fleet that seeds name.
    pub(crate) fn seed_members(&self, seeds: &[SocketAddr]) -> Vec<MemberId> {
        let seeds = seeds.iter();
        let addresses = seeds.map(|seed| SocketAddr::new(seed.ip(), self.local_address.port()));
        addresses.map(MemberId::of).collect()
    }

    /// Adds seeds to the known peers.
    pub(crate) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let now = Moment::now();
        for seed in seeds {
            let address = SocketAddr::new(seed.ip(), self.local_address.port());
            if address != self.local_address {
                self.known.entry(address).or_insert(Peer::not_yet_seen(now));
                self.shares.learn(address, now);
            }
        }
    }

    /// Peers in the same data centre that are not silent.
    pub(crate) fn neighbours(&self, now: Moment) -> Vec<Neighbour> {
        let is_near = |(_, peer): &(&SocketAddr, &Peer)| {
            let is_active =
                peer.incarnation.is_some() && now.since(peer.last_seen_at) <= SILENT_AFTER;
            is_active && peer.data_centre == self.data_centre
        };
        let near = self.known.iter().filter(is_near);
        let neighbour = |(address, peer): (&SocketAddr, &Peer)| Neighbour {
            address: *address,
            reads_store: peer.reads_store,
            link_mbps: peer.link_mbps,
            is_avoided: now < peer.avoided_until,
        };
        near.map(neighbour).collect()
    }

    /// Rank of this entry for a key among all entries from which heartbeats arrive, itself included.
    pub(crate) fn rank(&self, key: u64, now: Moment) -> usize {
        let heard = self.known.iter().filter(|(_, peer)| {
            peer.incarnation.is_some() && now.since(peer.last_seen_at) <= SILENT_AFTER
        });
        let own = self.local_address.to_string();
        let mut entries: Vec<_> = heard.map(|(address, _)| address.to_string()).collect();
        entries.push(own.clone());
        let ranked = rendezvous_rank(&key.to_string(), &entries);
        let rank = ranked.iter().position(|address| **address == own);
        rank.unwrap_or(0)
    }

    /// Whether any other entry serves callers at present.
    pub(crate) fn is_any_serving(&self, now: Moment) -> bool {
        let mut peers = self.known.values();
        peers.any(|peer| peer.is_serving && now.since(peer.last_seen_at) <= SILENT_AFTER)
    }

    /// Records that a peer that this entry followed failed to answer it.
    pub(crate) fn avoid_reader(&mut self, reader: SocketAddr, until: Moment) {
        if let Some(peer) = self.known.get_mut(&reader) {
            peer.avoided_until = until;
        }
    }

    /// Whether each peer has sent a heartbeat since a moment, but for those that are silent.
    pub(crate) fn have_reported_since(&self, since: Moment, now: Moment) -> bool {
        self.known.values().all(|peer| {
            let has_reported = peer.incarnation.is_some() && peer.last_seen_at >= since;
            has_reported || now.since(peer.last_seen_at) > SILENT_AFTER
        })
    }

    /// Number of known entries, this one included.
    pub(crate) fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Number of silent entries that may still charge teams.
    ///
    /// An entry that is partitioned from its peers and the store stops accepting keys within the bound for withdrawn
    /// keys. An entry that still receives heartbeats from more than half of the fleet relies on that after
    /// `keys_rejected_after`. Any other entry waits until it forgets its peers, since all of them may be alive together
    /// on the other side of the partition.
    pub(crate) fn silent(&self, keys_rejected_after: Duration, now: Moment) -> usize {
        let silences = self.known.values().map(|peer| now.since(peer.last_seen_at));
        let silences: Vec<_> = silences.filter(|silence| *silence > SILENT_AFTER).collect();
        let active = self.count() - silences.len();
        if active * 2 > self.count() {
            silences
                .iter()
                .filter(|silence| **silence <= keys_rejected_after)
                .count()
        } else {
            silences.len()
        }
    }

    /// Records the requests that wait at a peer, in terms of the local clock.
    pub(crate) fn note_waiting(
        &mut self,
        from: SocketAddr,
        reported: &[ReportedWaiter],
        now: Moment,
    ) {
        let rank = |reported: &ReportedWaiter| {
            let rank = QueueRank {
                needs_prefill: reported.needs_prefill,
                is_late: reported.is_late,
                priority: reported.priority,
                since: now - Duration::from_millis(reported.waited_ms.into()),
            };
            (reported.service, rank)
        };
        if let Some(peer) = self.known.get_mut(&from) {
            peer.waiting = reported.iter().map(rank).collect();
        }
    }

    /// Number of requests that wait at peers for a service and go before one with the given rank.
    pub(crate) fn ahead_of(&self, service: u64, rank: QueueRank, now: Moment) -> usize {
        let active = self.known.values();
        let active = active.filter(|peer| now.since(peer.last_seen_at) <= SILENT_AFTER);
        let waiting = active.flat_map(|peer| &peer.waiting);
        let goes_before =
            |(its_service, other): &&(u64, QueueRank)| *its_service == service && *other < rank;
        waiting.filter(goes_before).count()
    }

    /// Whether requests wait at peers for a service that are more urgent than one with the given rank, and not later.
    pub(crate) fn has_more_urgent(&self, service: u64, rank: QueueRank, now: Moment) -> bool {
        let active = self.known.values();
        let active = active.filter(|peer| now.since(peer.last_seen_at) <= SILENT_AFTER);
        let mut waiting = active.flat_map(|peer| &peer.waiting);
        waiting.any(|(its_service, other)| {
            *its_service == service
                && (other.is_late, other.priority) < (rank.is_late, rank.priority)
        })
    }

    /// Addresses of peers that are not silent. Silent ones are left out because entries that report a dead peer to each
    /// other would never forget it.
    fn active_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let is_active = |(_, peer): &(&SocketAddr, &Peer)| {
            peer.incarnation.is_some() && now.since(peer.last_seen_at) <= SILENT_AFTER
        };
        let active = self.known.iter().filter(is_active);
        active
            .map(|(address, _)| *address)
            .take(MAX_REPORTED_PEERS)
            .collect()
    }

    /// Logs that this entry has lost or regained its part of the fleet's allowances.
    fn log_part(&mut self, now: Moment) {
        let divisor = self.shares.divisor(now);
        if divisor.is_some() == self.had_part {
            return;
        }
        self.had_part = divisor.is_some();
        if let Some(entries) = divisor {
            tracing::info!(event = "allowance_regained", entries);
        } else {
            tracing::info!(event = "allowance_withheld", fleet = self.shares.own_size());
        }
    }

    /// Adds reported addresses. They count as known from now on, but no heartbeat has come from them yet.
    fn learn(&mut self, reported: &[SocketAddr], now: Moment) {
        for address in reported {
            let is_new = !self.known.contains_key(address) && !self.departed.contains_key(address);
            let is_peer =
                *address != self.local_address && address.port() == self.local_address.port();
            if is_peer && is_new && self.known.len() < MAX_KNOWN_PEERS {
                self.known.insert(*address, Peer::not_yet_seen(now));
                self.shares.learn(*address, now);
            }
        }
    }

    /// Forgets a peer that sent a goodbye.
    fn remove_departed(
        &mut self,
        entry: &Entry,
        address: SocketAddr,
        incarnation: u64,
        now: Moment,
    ) {
        if self.departed.len() < MAX_KNOWN_PEERS {
            self.departed.insert(address, (incarnation, now));
        }
        let is_same = |peer: &Peer| peer.incarnation == Some(incarnation);
        if self.known.get(&address).is_some_and(is_same) {
            tracing::info!(event = "peer_ended", %address);
            self.known.remove(&address);
            self.shares.note_ended(address, now);
            entry.quotas.borrow_mut().forget_peer(incarnation);
            entry.loads.borrow_mut().forget_peer(incarnation);
        }
    }
}

/// What a heartbeat contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeartbeatContent {
    All,
    /// Only what has changed since the last heartbeat.
    Changes,
    /// Everything, as the entry's last heartbeat.
    Goodbye,
}

/// Sends heartbeats until the entry's tasks are dropped: full ones in each period, and changes as soon as work is
/// placed.
///
/// With tens of entries that place tens of requests a second, entries that don't know each other's latest placements
/// would send more to an endpoint than its KV cache holds.
pub(crate) async fn send_heartbeats(entry: Rc<Entry>, socket: UdpSocket) {
    let mut full_heartbeat_at = Moment::now();
    loop {
        let peers = entry.peers.borrow().known.len();
        let left = full_heartbeat_at.since(Moment::now());
        let changed = compio::time::timeout(left, entry.work_changes.notified()).await;
        if changed.is_err() || full_heartbeat_at <= Moment::now() {
            full_heartbeat_at = Moment::now() + heartbeat_period(peers);
            send_heartbeat(&entry, &socket, HeartbeatContent::All).await;
            forget_departed(&entry);
        } else {
            send_heartbeat(&entry, &socket, HeartbeatContent::Changes).await;
            let pause = changes_interval(peers).min(full_heartbeat_at.since(Moment::now()));
            compio::time::sleep(pause).await;
        }
    }
}

/// Reports to the peers that this entry's work has ended.
pub(crate) async fn send_goodbye(entry: &Entry, socket: &UdpSocket) {
    for _ in 0..GOODBYE_COUNT {
        send_heartbeat(entry, socket, HeartbeatContent::Goodbye).await;
    }
}

/// Time between two full heartbeats to each of `peers` peers.
pub(crate) fn heartbeat_period(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    HEARTBEAT_PERIOD_PER_PEER
        .saturating_mul(peers)
        .max(HEARTBEAT_PERIOD)
        .min(MAX_HEARTBEAT_PERIOD)
}

/// Minimum time between two reports of changes to each of `peers` peers.
pub(crate) fn changes_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / MAX_CHANGE_DATAGRAMS_PER_S
}

/// The first requests that wait for endpoints, plain calls included.
fn report_waiters(entry: &Entry, now: Moment) -> Vec<ReportedWaiter> {
    let mut waiting = entry.placement_queue.report_waiters(now);
    let left = MAX_REPORTED_WAITERS - waiting.len();
    waiting.extend(entry.plain_queue.report_waiters(left, now));
    waiting
}

async fn send_heartbeat(entry: &Entry, socket: &UdpSocket, content: HeartbeatContent) {
    let (addresses, heartbeat) = {
        let now = Moment::now();
        entry.release_proofs_if_peers_reported(now);
        let share = entry.quota_share(now);
        let mut peers = entry.peers.borrow_mut();
        let addresses: Vec<_> = peers.known.keys().copied().collect();
        peers.sequence += 1;
        let mut quotas = entry.quotas.borrow_mut();
        let mut loads = entry.loads.borrow_mut();
        let (reported_peers, accounts, work) = match content {
            HeartbeatContent::All | HeartbeatContent::Goodbye => (
                peers.active_addresses(now),
                quotas.report(share, now),
                loads.report_all(),
            ),
            HeartbeatContent::Changes => (
                Vec::new(),
                quotas.report_changes(share, now),
                loads.report_changes(),
            ),
        };
        let heartbeat = Heartbeat {
            incarnation: peers.incarnation,
            is_ending: content == HeartbeatContent::Goodbye,
            sequence: peers.sequence,
            data_centre: peers.data_centre,
            reads_store: entry.reads_store.get() && !entry.is_leaving(),
            sound_revision: entry.registry.borrow().contact.sound_revision(),
            configuration: configuration_in_force(entry),
            link_mbps: entry.settings().link_mbps_or_zero(),
            is_serving: entry.is_serving(now),
            fleet_size: peers.shares.own_size(),
            peers: reported_peers,
            accounts,
            work,
            results: entry.suspicions.borrow_mut().report(),
            waiting: report_waiters(entry, now),
            leaving: entry.notices.borrow_mut().report(now),
            suspects: entry.poison.borrow_mut().report(now),
            cold: entry.report_cold(now),
            speeds: entry.speeds.borrow_mut().report(now),
        };
        (addresses, heartbeat)
    };
    let bytes = match postcard::to_stdvec(&heartbeat) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(event = "heartbeat_not_encoded", %error);
            return;
        }
    };
    for address in addresses {
        // A peer that is down is detected by the heartbeats that it no longer sends.
        let _ = socket.send_to(bytes.clone(), address).await;
    }
}

fn configuration_in_force(entry: &Entry) -> (u64, StoreRevision) {
    let registry = entry.registry.borrow();
    let in_force = registry.configuration();
    let version = in_force.map_or(0, |current| current.version);
    (version, registry.configuration_revision())
}

/// Receives heartbeats until the entry's tasks are dropped.
pub(crate) async fn receive_heartbeats(entry: Rc<Entry>, socket: UdpSocket) {
    let mut buffer = Vec::with_capacity(MAX_HEARTBEAT_BYTES);
    loop {
        buffer.clear();
        let received = socket.recv_from(buffer).await;
        buffer = received.1;
        match received.0 {
            Ok((_, from)) => match postcard::from_bytes::<Heartbeat>(&buffer) {
                Ok(heartbeat) => apply_heartbeat(&entry, from, heartbeat),
                Err(error) => tracing::debug!(event = "heartbeat_unreadable", %from, %error),
            },
            // Datagrams to a peer that is down can cause an error on the socket.
            Err(error) => {
                tracing::debug!(event = "datagram_failed", %error);
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

pub(crate) fn apply_heartbeat(entry: &Entry, from: SocketAddr, heartbeat: Heartbeat) {
    let now = Moment::now();
    let mut peers = entry.peers.borrow_mut();
    if heartbeat.incarnation == peers.incarnation {
        return;
    }
    if heartbeat.is_ending {
        peers.remove_departed(entry, from, heartbeat.incarnation, now);
        let member = heartbeat.cold.map(|(split, _)| split.member);
        if let Some(member) = member {
            entry.cold.borrow_mut().split.note_departed(member, now);
        }
        return;
    }
    let departed = peers.departed.get(&from);
    if departed.is_some_and(|(incarnation, _)| *incarnation == heartbeat.incarnation) {
        return;
    }
    peers.departed.remove(&from);
    peers.learn(&heartbeat.peers, now);
    if peers.known.len() >= MAX_KNOWN_PEERS && !peers.known.contains_key(&from) {
        tracing::debug!(event = "peer_not_kept", %from);
        return;
    }
    peers.shares.note_heard(from, heartbeat.fleet_size, now);
    let peer = peers.known.entry(from).or_insert(Peer::not_yet_seen(now));
    if now.since(peer.last_seen_at) > SILENT_AFTER {
        // While the peer was silent, its share was withheld; what it charged in that time must not count again.
        entry.quotas.borrow_mut().forget_peer(heartbeat.incarnation);
    }
    peer.last_seen_at = now;
    if peer.incarnation != Some(heartbeat.incarnation) {
        tracing::info!(event = "peer_found", %from, incarnation = heartbeat.incarnation);
        if let Some(previous) = peer.incarnation.replace(heartbeat.incarnation) {
            entry.quotas.borrow_mut().forget_peer(previous);
            entry.loads.borrow_mut().forget_peer(previous);
        }
        peer.last_sequence = 0;
    }
    if heartbeat.sequence <= peer.last_sequence {
        // A later heartbeat, which reports more, arrived before this one.
        return;
    }
    peer.last_sequence = heartbeat.sequence;
    peer.data_centre = heartbeat.data_centre;
    peer.reads_store = heartbeat.reads_store;
    peer.link_mbps = heartbeat.link_mbps;
    peer.is_serving = heartbeat.is_serving;
    peers.note_waiting(from, &heartbeat.waiting, now);
    drop(peers);
    entry.note_cold_peer(heartbeat.incarnation, heartbeat.cold, now);
    note_store_state(
        entry,
        from,
        heartbeat.sound_revision,
        heartbeat.configuration,
    );
    entry.release_proofs_if_peers_reported(now);
    for leaving in heartbeat.leaving {
        if entry.notices.borrow_mut().note_peer(leaving, now) {
            let registry = entry.registry.borrow();
            let endpoint = registry.named(leaving.incarnation);
            let endpoint = endpoint.map(|endpoint| tracing::field::display(&endpoint.id));
            tracing::info!(event = "endpoint_leaving_reported", endpoint, %from);
        }
    }
    for suspect in heartbeat.suspects {
        let added = entry.poison.borrow_mut().note_peer(suspect, now);
        if let Some(content) = added {
            entry.apply_suspect(&content);
        }
    }
    let mut suspicions = entry.suspicions.borrow_mut();
    suspicions.note_peer(&heartbeat.results, now);
    drop(suspicions);
    entry.speeds.borrow_mut().note_peer(&heartbeat.speeds, now);
    let share = entry.quota_share(now);
    let mut quotas = entry.quotas.borrow_mut();
    quotas.note_peer(heartbeat.incarnation, heartbeat.accounts, share, now);
    let mut loads = entry.loads.borrow_mut();
    let may_free = heartbeat.work.may_free();
    loads.note_peer(heartbeat.incarnation, heartbeat.work);
    if may_free {
        entry.placement_queue.notify();
        entry.plain_queue.notify();
    }
}

/// Records what a peer knows of the store.
fn note_store_state(
    entry: &Entry,
    from: SocketAddr,
    sound_revision: StoreRevision,
    (version, revision): (u64, StoreRevision),
) {
    let mut registry = entry.registry.borrow_mut();
    registry.contact.note_sound_revision(sound_revision);
    let mut tracker = entry.tracker.borrow_mut();
    let was_behind = tracker.is_behind();
    tracker.note_published(version, revision);
    if tracker.is_behind() && !was_behind {
        tracing::warn!(event = "configuration_behind", version, %revision, %from);
    }
    let in_force = registry.configuration().map(|current| current.version);
    if in_force.is_some_and(|in_force| tracker.is_before_lost(in_force)) {
        registry.withdraw_proofs();
    }
}

fn forget_departed(entry: &Entry) {
    let now = Moment::now();
    entry.log_cold_changes(now);
    let mut peers = entry.peers.borrow_mut();
    let retry_window = entry.settings().bounds.retry_window();
    peers.shares.remove_expired(retry_window, now);
    peers.log_part(now);
    peers
        .departed
        .retain(|_, (_, at)| now.since(*at) <= FORGET_AFTER);
    peers.known.retain(|address, peer| {
        let silence = now.since(peer.last_seen_at);
        if let Some(incarnation) = peer.incarnation
            && silence > WORK_EXPIRES_AFTER
        {
            entry.loads.borrow_mut().forget_peer(incarnation);
        }
        if silence <= FORGET_AFTER {
            return true;
        }
        tracing::info!(event = "peer_lost", %address);
        if let Some(incarnation) = peer.incarnation {
            entry.quotas.borrow_mut().forget_peer(incarnation);
        }
        false
    });
}
