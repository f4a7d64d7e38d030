//! Entries tell each other, in one datagram each few milliseconds, what they charged and placed, and what failed or crashed.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use compio::net::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Moment,
    entry::Entry,
    loads::ToldWork,
    placing::{Rank, ToldWaiting},
    poison::Fingerprint,
    quota::ToldAccount,
    store::{CentreKey, Neighbour},
    suspicion::ToldResults,
};

/// Shortest time between two whole heartbeats to a peer. How far runs have got is unknown to others for about this long.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(40);

/// Most datagrams a second in which an entry tells all its peers what it has placed since its last heartbeat.
const CHANGES_PER_S: u32 = 1_000;

/// Time for each known peer that is added to the period beyond a few, so that an entry's heartbeats don't grow with the fleet.
const HEARTBEAT_PERIOD_PER_PEER: Duration = Duration::from_millis(8);

/// Longest time between two heartbeats to a peer, below the time after which it counts as silent.
const LONGEST_HEARTBEAT_PERIOD: Duration = Duration::from_millis(240);

/// Time without a heartbeat after which a peer counts as silent; some heartbeats are lost.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Time without a heartbeat after which a peer's work counts as ended: an entry that died leaves no connections.
const WORK_ENDS_AFTER: Duration = Duration::from_millis(1_500);

/// Time without a heartbeat after which a peer counts as ended.
const ENDED_AFTER: Duration = Duration::from_secs(15);

/// Largest datagram that is read.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;

/// Most addresses of peers in a heartbeat.
const MAX_TOLD_PEERS: usize = 16;

/// How often an entry says goodbye: heartbeats may be lost.
const GOODBYES: u32 = 3;

/// How often a crash is told: heartbeats may be lost.
const CRASH_TELLS: u32 = 3;

/// What an entry tells its peers.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Heartbeat {
    pub(crate) incarnation: u64,
    /// Whether this is the last heartbeat: the entry's work has ended.
    pub(crate) is_ending: bool,
    /// Grows with each heartbeat, so that one that comes late is known as such.
    pub(crate) sequence: u64,
    /// Short name of the entry's data centre.
    pub(crate) data_centre: CentreKey,
    /// Whether it reads the store, so that others may follow it.
    pub(crate) reads_store: bool,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) accounts: Vec<ToldAccount>,
    pub(crate) work: ToldWork,
    /// What became of requests at endpoints since the last heartbeat.
    pub(crate) results: Vec<ToldResults>,
    /// The first requests that wait for decode places.
    pub(crate) waiting: Vec<ToldWaiting>,
    /// Requests during which an endpoint crashed: a number that grows, and the fingerprint.
    pub(crate) crashes: Vec<(u64, u64)>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Option<u64>,
    /// Last heartbeat, or when the address became known.
    heard_at: Moment,
    last_crash: u64,
    last_sequence: u64,
    /// Requests that wait there, with their short names of services.
    waiting: Vec<(u64, Rank)>,
    data_centre: CentreKey,
    reads_store: bool,
    /// Until when this entry doesn't follow it.
    avoided_until: Moment,
}

impl Peer {
    const fn unheard(now: Moment) -> Self {
        Self {
            incarnation: None,
            heard_at: now,
            last_crash: 0,
            last_sequence: 0,
            waiting: Vec::new(),
            data_centre: 0,
            reads_store: false,
            avoided_until: now,
        }
    }
}

/// Known entries, by the address that they send from.
#[derive(Debug)]
pub(crate) struct Peers {
    own: SocketAddr,
    data_centre: CentreKey,
    incarnation: u64,
    sequence: u64,
    known: HashMap<SocketAddr, Peer>,
    /// Incarnations that said goodbye, and when; others may still tell their addresses.
    ended: HashMap<SocketAddr, (u64, Moment)>,
    last_crash: u64,
    untold: Vec<(u64, Fingerprint, u32)>,
}

impl Peers {
    /// Makes the state with the addresses of the seeds.
    pub(crate) fn new(
        own: SocketAddr,
        data_centre: CentreKey,
        seeds: &[SocketAddr],
        incarnation: u64,
    ) -> Self {
        let mut peers = Self {
            own,
            data_centre,
            incarnation,
            sequence: 0,
            known: HashMap::new(),
            ended: HashMap::new(),
            last_crash: 0,
            untold: Vec::new(),
        };
        peers.add_seeds(seeds);
        peers
    }

    /// Takes further seeds over.
    pub(crate) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        let now = Moment::now();
        for seed in seeds {
            let address = SocketAddr::new(seed.ip(), self.own.port());
            if address != self.own {
                self.known.entry(address).or_insert(Peer::unheard(now));
            }
        }
    }

    /// Entries of the same data centre that were heard lately.
    pub(crate) fn neighbours(&self, now: Moment) -> Vec<Neighbour> {
        let is_near = |(_, peer): &(&SocketAddr, &Peer)| {
            let is_heard = peer.incarnation.is_some() && now.since(peer.heard_at) <= SILENT_AFTER;
            is_heard && peer.data_centre == self.data_centre
        };
        let near = self.known.iter().filter(is_near);
        let neighbour = |(address, peer): (&SocketAddr, &Peer)| Neighbour {
            address: *address,
            reads_store: peer.reads_store,
            is_avoided: now < peer.avoided_until,
        };
        near.map(neighbour).collect()
    }

    /// Notes that a peer failed this entry, which followed it.
    pub(crate) fn avoid_reader(&mut self, reader: SocketAddr, until: Moment) {
        if let Some(peer) = self.known.get_mut(&reader) {
            peer.avoided_until = until;
        }
    }

    /// Entries that are known, this one included.
    pub(crate) fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Known entries that have not been heard lately and may still charge teams.
    ///
    /// An entry that is cut off from its peers and the store stops to take keys within the bound for withdrawn keys.
    /// Those that still hear more than half of the entries rely on that after `keys_rejected_after`; the others wait until they
    /// forget their peers, since all of these may be alive together.
    pub(crate) fn silent(&self, keys_rejected_after: Duration, now: Moment) -> usize {
        let silences = self.known.values().map(|peer| now.since(peer.heard_at));
        let silences: Vec<_> = silences.filter(|silence| *silence > SILENT_AFTER).collect();
        let heard = self.count() - silences.len();
        if heard * 2 > self.count() {
            silences
                .iter()
                .filter(|silence| **silence <= keys_rejected_after)
                .count()
        } else {
            silences.len()
        }
    }

    /// Notes the requests that wait at a peer, by this entry's own clock.
    pub(crate) fn note_waiting(&mut self, from: SocketAddr, told: &[ToldWaiting], now: Moment) {
        let rank = |told: &ToldWaiting| {
            let rank = Rank {
                is_late: told.is_late,
                priority: told.priority,
                since: now - Duration::from_millis(told.waited_ms.into()),
            };
            (told.service, rank)
        };
        if let Some(peer) = self.known.get_mut(&from) {
            peer.waiting = told.iter().map(rank).collect();
        }
    }

    /// Requests that wait at peers for a service and go before one of a rank.
    pub(crate) fn ahead_of(&self, service: u64, rank: Rank, now: Moment) -> usize {
        let heard = self.known.values();
        let heard = heard.filter(|peer| now.since(peer.heard_at) <= SILENT_AFTER);
        let waiting = heard.flat_map(|peer| &peer.waiting);
        let goes_before = |(of, other): &&(u64, Rank)| *of == service && *other < rank;
        waiting.filter(goes_before).count()
    }

    /// Tells the peers of a request during which an endpoint crashed.
    pub(crate) fn report_crash(&mut self, fingerprint: Fingerprint) {
        self.last_crash += 1;
        self.untold
            .push((self.last_crash, fingerprint, CRASH_TELLS));
    }

    /// Addresses of peers that were heard lately. The others are not told, or entries would keep one that has ended
    /// alive by telling each other.
    fn heard(&self, now: Moment) -> Vec<SocketAddr> {
        let is_heard = |(_, peer): &(&SocketAddr, &Peer)| {
            peer.incarnation.is_some() && now.since(peer.heard_at) <= SILENT_AFTER
        };
        let heard = self.known.iter().filter(is_heard);
        heard
            .map(|(address, _)| *address)
            .take(MAX_TOLD_PEERS)
            .collect()
    }

    /// Forgets a peer that said goodbye.
    fn end(&mut self, entry: &Entry, address: SocketAddr, incarnation: u64, now: Moment) {
        self.ended.insert(address, (incarnation, now));
        let is_same = |peer: &Peer| peer.incarnation == Some(incarnation);
        if self.known.get(&address).is_some_and(is_same) {
            tracing::info!(event = "peer_ended", %address);
            self.known.remove(&address);
            entry.quotas.borrow_mut().forget_peer(incarnation);
            entry.loads.borrow_mut().forget_peer(incarnation);
        }
    }

    fn crashes(&mut self) -> Vec<(u64, u64)> {
        let told = self.untold.iter();
        let told = told
            .map(|(number, fingerprint, _)| (*number, fingerprint.0))
            .collect();
        for (_, _, left) in &mut self.untold {
            *left -= 1;
        }
        self.untold.retain(|(_, _, left)| *left > 0);
        told
    }
}

/// What a heartbeat tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Content {
    All,
    /// What has changed since the last heartbeat.
    Changes,
    /// All, for the last time.
    Goodbye,
}

/// Sends heartbeats until the entry's tasks are dropped: whole ones in each period, and what was placed at once.
///
/// The load that this answers: tens of entries that place tens of requests a second. Those that don't know of each other's
/// last placements send more to an endpoint than its memory holds.
pub(crate) async fn send_heartbeats(entry: Rc<Entry>, socket: UdpSocket) {
    let mut whole_at = Moment::now();
    loop {
        let peers = entry.peers.borrow().known.len();
        let left = whole_at.since(Moment::now());
        let changed = compio::time::timeout(left, entry.work_changes.changed()).await;
        if changed.is_err() || whole_at <= Moment::now() {
            whole_at = Moment::now() + heartbeat_period(peers);
            send_heartbeat(&entry, &socket, Content::All).await;
            forget_ended(&entry);
        } else {
            send_heartbeat(&entry, &socket, Content::Changes).await;
            let pause = changes_interval(peers).min(whole_at.since(Moment::now()));
            compio::time::sleep(pause).await;
        }
    }
}

/// Tells the peers that this entry's work has ended.
pub(crate) async fn send_goodbye(entry: &Entry, socket: &UdpSocket) {
    for _ in 0..GOODBYES {
        send_heartbeat(entry, socket, Content::Goodbye).await;
    }
}

/// Time between two heartbeats to each of some peers.
pub(crate) fn heartbeat_period(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    HEARTBEAT_PERIOD_PER_PEER
        .saturating_mul(peers)
        .max(HEARTBEAT_PERIOD)
        .min(LONGEST_HEARTBEAT_PERIOD)
}

/// Shortest time between two words on changes to each of some peers.
pub(crate) fn changes_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    Duration::from_secs(1).saturating_mul(peers) / CHANGES_PER_S
}

async fn send_heartbeat(entry: &Entry, socket: &UdpSocket, content: Content) {
    let (addresses, heartbeat) = {
        let now = Moment::now();
        let share = entry.quota_share(now);
        let mut peers = entry.peers.borrow_mut();
        let addresses: Vec<_> = peers.known.keys().copied().collect();
        peers.sequence += 1;
        let mut quotas = entry.quotas.borrow_mut();
        let mut loads = entry.loads.borrow_mut();
        let (told_peers, accounts, work) = match content {
            Content::All | Content::Goodbye => {
                (peers.heard(now), quotas.told(share, now), loads.tell_all())
            }
            Content::Changes => (
                Vec::new(),
                quotas.told_changes(share, now),
                loads.tell_changes(),
            ),
        };
        let heartbeat = Heartbeat {
            incarnation: peers.incarnation,
            is_ending: content == Content::Goodbye,
            sequence: peers.sequence,
            data_centre: peers.data_centre,
            reads_store: entry.reads_store.get() && !entry.is_leaving(),
            peers: told_peers,
            accounts,
            work,
            results: entry.suspicions.borrow_mut().tell(),
            waiting: entry.placement_queue.told_waiting(now),
            crashes: peers.crashes(),
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
        // A peer may be down; its silence is noted by the receiver.
        let _ = socket.send_to(bytes.clone(), address).await;
    }
}

/// Receives heartbeats until the entry's tasks are dropped.
pub(crate) async fn receive_heartbeats(entry: Rc<Entry>, socket: UdpSocket) {
    loop {
        let buffer = Vec::with_capacity(MAX_HEARTBEAT_BYTES);
        let received = socket.recv_from(buffer).await;
        match received.0 {
            Ok((_, from)) => match postcard::from_bytes::<Heartbeat>(&received.1) {
                Ok(heartbeat) => take_heartbeat(&entry, from, heartbeat),
                Err(error) => tracing::debug!(event = "heartbeat_unreadable", %from, %error),
            },
            // A peer that is down answers with an error on the socket.
            Err(error) => {
                tracing::debug!(event = "datagram_failed", %error);
                compio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

fn take_heartbeat(entry: &Entry, from: SocketAddr, heartbeat: Heartbeat) {
    let now = Moment::now();
    let mut peers = entry.peers.borrow_mut();
    if heartbeat.incarnation == peers.incarnation {
        return;
    }
    if heartbeat.is_ending {
        peers.end(entry, from, heartbeat.incarnation, now);
        return;
    }
    let ended = peers.ended.get(&from);
    if ended.is_some_and(|(incarnation, _)| *incarnation == heartbeat.incarnation) {
        return;
    }
    peers.ended.remove(&from);
    let own = entry.settings().peer_address;
    for address in heartbeat.peers {
        // Told addresses count as known from now on, but not as heard.
        let is_new = !peers.known.contains_key(&address) && !peers.ended.contains_key(&address);
        if address != own && address.port() == own.port() && is_new {
            peers.known.insert(address, Peer::unheard(now));
        }
    }
    let peer = peers.known.entry(from).or_insert(Peer::unheard(now));
    if now.since(peer.heard_at) > SILENT_AFTER {
        // Its share was withheld meanwhile, so what it charged since its last heartbeat must not count again.
        entry.quotas.borrow_mut().forget_peer(heartbeat.incarnation);
    }
    peer.heard_at = now;
    if peer.incarnation != Some(heartbeat.incarnation) {
        tracing::info!(event = "peer_found", %from, incarnation = heartbeat.incarnation);
        if let Some(ended) = peer.incarnation.replace(heartbeat.incarnation) {
            entry.quotas.borrow_mut().forget_peer(ended);
            entry.loads.borrow_mut().forget_peer(ended);
        }
        peer.last_crash = 0;
        peer.last_sequence = 0;
    }
    if heartbeat.sequence <= peer.last_sequence {
        // It was overtaken by a later one, which has told more.
        return;
    }
    peer.last_sequence = heartbeat.sequence;
    peer.data_centre = heartbeat.data_centre;
    peer.reads_store = heartbeat.reads_store;
    for (number, fingerprint) in heartbeat.crashes {
        if number > peer.last_crash {
            peer.last_crash = number;
            let fingerprint = Fingerprint(fingerprint);
            entry.poison.borrow_mut().note_crash(fingerprint, now);
        }
    }
    peers.note_waiting(from, &heartbeat.waiting, now);
    drop(peers);
    let mut suspicions = entry.suspicions.borrow_mut();
    suspicions.note_peer(&heartbeat.results, now);
    drop(suspicions);
    let share = entry.quota_share(now);
    let mut quotas = entry.quotas.borrow_mut();
    quotas.note_peer(heartbeat.incarnation, heartbeat.accounts, share, now);
    let mut loads = entry.loads.borrow_mut();
    let may_free = heartbeat.work.may_free();
    loads.note_peer(heartbeat.incarnation, heartbeat.work);
    if may_free {
        entry.placement_queue.changed();
    }
}

fn forget_ended(entry: &Entry) {
    let now = Moment::now();
    let mut peers = entry.peers.borrow_mut();
    peers
        .ended
        .retain(|_, (_, at)| now.since(*at) <= ENDED_AFTER);
    peers.known.retain(|address, peer| {
        let silence = now.since(peer.heard_at);
        if let Some(incarnation) = peer.incarnation
            && silence > WORK_ENDS_AFTER
        {
            entry.loads.borrow_mut().forget_peer(incarnation);
        }
        if silence <= ENDED_AFTER {
            return true;
        }
        tracing::info!(event = "peer_lost", %address);
        if let Some(incarnation) = peer.incarnation {
            entry.quotas.borrow_mut().forget_peer(incarnation);
        }
        false
    });
}
