use std::{net::SocketAddr, rc::Rc, time::Duration};

use compio::net::UdpSocket;

use crate::{
    balance::{
        loads::{Loads, Run, Work},
        placement::{QueueRank, ReportedWaiter, scheduling_round},
    },
    clock::Moment,
    configuration::Configuration,
    contract::quota::Quotas,
    dialect::StoreRevision,
    fleet::peers::{
        Heartbeat, Peers, apply_heartbeat, changes_interval, heartbeat_period, receive_heartbeats,
    },
    fleet::shares::SILENT_AFTER,
    testing::{at_ms, entry_with_empty_dialect, team, wait_limits_until},
};

const KEYS_REJECTED_AFTER: Duration = Duration::from_secs(6);

fn seeds(count: u8) -> Vec<SocketAddr> {
    let seed = |host| SocketAddr::from(([10, 0, 0, host], 8_367));
    (1..=count).map(seed).collect()
}

fn peers(count: u8) -> Peers {
    Peers::new(
        SocketAddr::from(([10, 0, 0, 1], 7_500)),
        7,
        &seeds(count),
        1,
    )
}

#[test]
fn the_local_address_among_the_seeds_is_not_a_peer() {
    assert_eq!(peers(3).count(), 3);
}

#[test]
fn an_entry_without_seeds_is_a_fleet_of_one() {
    let peers = peers(1);
    assert_eq!(peers.count(), 1);
    assert_eq!(
        peers.silent(KEYS_REJECTED_AFTER, Moment::now() + KEYS_REJECTED_AFTER),
        0
    );
}

#[test]
fn an_entry_without_heartbeats_from_peers_withholds_their_shares_beyond_the_bound_for_keys() {
    let peers = peers(3);
    let now = Moment::now();
    assert_eq!(peers.silent(KEYS_REJECTED_AFTER, now), 0);
    assert_eq!(
        peers.silent(KEYS_REJECTED_AFTER, now + Duration::from_secs(2)),
        2
    );
    assert_eq!(
        peers.silent(KEYS_REJECTED_AFTER, now + Duration::from_secs(10)),
        2
    );
}

#[test]
fn further_seeds_are_known_at_once() {
    let mut peers = peers(2);
    peers.add_seeds(&seeds(4));
    assert_eq!(peers.count(), 4);
}

#[test]
fn the_heartbeat_rate_of_an_entry_stays_bounded_in_a_fleet_of_tens() {
    let per_s = |peers: usize| peers as f64 / heartbeat_period(peers).as_secs_f64();
    assert!((per_s(3) - 75.0).abs() < 1e-9);
    assert!(per_s(30) <= 130.0);
    assert!(
        heartbeat_period(1_000) < Duration::from_millis(500),
        "a peer would count as silent"
    );
}

#[test]
fn reports_of_changes_are_bounded_and_quick_in_a_fleet_of_tens() {
    assert!(changes_interval(3) <= Duration::from_millis(5));
    assert!(changes_interval(29) <= Duration::from_millis(30));
    for peers in [3, 29, 349] {
        let per_s = peers as f64 / changes_interval(peers).as_secs_f64();
        assert!(
            per_s <= 1_000.1,
            "{per_s} datagrams a second to {peers} peers"
        );
    }
}

#[test]
fn requests_with_many_ahead_get_no_scheduling_round() {
    assert_eq!(scheduling_round(0), Some(0));
    assert_eq!(scheduling_round(3), Some(3));
    assert_eq!(scheduling_round(100), None);
}

#[test]
fn a_request_waits_for_requests_at_peers_that_rank_before_it() {
    let mut peers = peers(3);
    let now = Moment::now();
    let waiting = |service, is_late, priority, waited_ms| ReportedWaiter {
        service,
        needs_prefill: true,
        is_late,
        priority,
        waited_ms,
    };
    let reported = [
        waiting(1, false, 1, 400),
        waiting(1, false, 1, 100),
        waiting(1, false, 0, 0),
        waiting(1, true, 0, 900),
        waiting(2, false, 0, 900),
    ];
    peers.note_waiting(SocketAddr::from(([10, 0, 0, 2], 7_500)), &reported, now);
    let rank = |is_late, priority, waited_ms| QueueRank {
        needs_prefill: true,
        is_late,
        priority,
        since: now - Duration::from_millis(waited_ms),
    };
    let ahead = |rank| peers.ahead_of(1, rank, now);
    assert_eq!(
        ahead(rank(false, 1, 200)),
        2,
        "one is older, one more urgent"
    );
    assert_eq!(ahead(rank(false, 0, 50)), 0, "as urgent, and older");
    assert_eq!(ahead(rank(true, 1, 900)), 4, "late requests come last");
    let with_kv_cache = QueueRank {
        needs_prefill: false,
        ..rank(true, 9, 0)
    };
    assert_eq!(
        ahead(with_kv_cache),
        0,
        "a request with a KV cache goes first"
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        peers.ahead_of(1, rank(true, 1, 900), later),
        0,
        "requests at a silent peer don't count"
    );
}

/// Bytes of a heartbeat of an entry with some runs under way, teams and peers.
fn heartbeat_bytes(runs: usize, teams: usize, peers: u8) -> usize {
    let mut quotas = Quotas::default();
    for number in 0..teams {
        let mut team = team(1e5, 1e5);
        team.name = format!("team-{number}").parse().expect("a name");
        quotas.charge(&team, 1.0, 1.0, wait_limits_until(at_ms(0)), at_ms(0));
    }
    let run = Run {
        held_tokens: 7_000,
        left_tokens: 4_000,
    };
    let mut loads = Loads::default();
    for number in 0..runs {
        let endpoint = format!("endpoint-{number}").parse().expect("a name");
        loads.begin(&endpoint, Work::Fixed(run));
    }
    let heartbeat = Heartbeat {
        incarnation: u64::MAX / 3,
        is_ending: false,
        sequence: 1_000,
        data_centre: u16::MAX,
        reads_store: true,
        sound_revision: 0.into(),
        configuration: (0, 0.into()),
        link_mbps: 10,
        is_serving: true,
        fleet_size: 2,
        peers: seeds(peers),
        accounts: quotas.report(1.0, at_ms(0)),
        work: loads.report_all(),
        results: Vec::new(),
        waiting: Vec::new(),
        leaving: Vec::new(),
        suspects: Vec::new(),
        cold: None,
        speeds: Vec::new(),
    };
    postcard::to_stdvec(&heartbeat).expect("a heartbeat").len()
}

#[test]
fn a_heartbeat_of_usual_size_fits_one_packet() {
    let usual = heartbeat_bytes(20, 5, 3);
    let large = heartbeat_bytes(40, 16, 16);
    println!("20 runs, 5 teams, 3 peers: {usual} B; 40 runs, 16 teams, 16 peers: {large} B");
    assert!(usual <= 1_400, "{usual}");
    assert!(large <= 1_400, "{large}");
}

fn heartbeat(sequence: u64, is_serving: bool, waiting: Vec<ReportedWaiter>) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        is_ending: false,
        sequence,
        data_centre: 0,
        reads_store: false,
        sound_revision: 0.into(),
        configuration: (0, 0.into()),
        link_mbps: 10,
        is_serving,
        fleet_size: 2,
        peers: Vec::new(),
        accounts: Vec::new(),
        work: Loads::default().report_all(),
        results: Vec::new(),
        waiting,
        leaving: Vec::new(),
        suspects: Vec::new(),
        cold: None,
        speeds: Vec::new(),
    }
}

#[compio::test]
async fn an_entry_with_much_to_report_does_not_count_as_silent() {
    let entry = entry_with_empty_dialect();
    let bind = async || UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let (socket, peer) = (bind().await, bind().await);
    let address = socket.local_addr().expect("an address");
    let receiving = receive_heartbeats(Rc::clone(&entry), socket);
    entry.tasks.spawn(receiving);
    let waiter = || ReportedWaiter {
        service: u64::MAX,
        needs_prefill: true,
        is_late: true,
        priority: u32::MAX,
        waited_ms: u32::MAX,
    };
    let waiting = (0..2_000).map(|_| waiter()).collect();
    let bytes = postcard::to_stdvec(&heartbeat(1, true, waiting)).expect("bytes");
    assert!(bytes.len() > 40_000, "{} bytes", bytes.len());
    peer.send_to(bytes, address).await.0.expect("a datagram");
    for _ in 0..100 {
        if entry.peers.borrow().is_any_serving(Moment::now()) {
            return;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the heartbeat was not received");
}

/// Guards against proofs of a restored store that count before a peer has reported a newer configuration that the store lost.
#[test]
fn proofs_of_a_restored_store_count_once_all_peers_have_reported() {
    let entry = entry_with_empty_dialect();
    let (peer, silent) = (seeds(2)[0], seeds(2)[1]);
    apply_heartbeat(&entry, peer, heartbeat(1, true, Vec::new()));
    entry.peers.borrow_mut().add_seeds(&[silent]);
    let restored_at = Moment::now();
    let (bound, later) = (Duration::from_secs(5), Duration::from_secs(3));
    let are_fresh_at = |now| entry.registry.borrow().keys_are_fresh(now, bound);
    entry.registry.borrow_mut().prove(restored_at - later);
    entry.withhold_proofs_until_peers_report(restored_at);
    entry.registry.borrow_mut().prove(restored_at + later);
    assert!(are_fresh_at(restored_at), "the proof from before counts");
    assert!(!are_fresh_at(restored_at + later), "the new one doesn't");
    apply_heartbeat(&entry, peer, heartbeat(2, true, Vec::new()));
    assert!(
        !are_fresh_at(restored_at + later),
        "the other may still report"
    );
    entry.release_proofs_if_peers_reported(restored_at + SILENT_AFTER / 2);
    assert!(
        !are_fresh_at(restored_at + later),
        "which is not silent yet"
    );
    entry.release_proofs_if_peers_reported(restored_at + 2 * SILENT_AFTER);
    assert!(are_fresh_at(restored_at + later));
}

/// The store turns one entry away, so that it can't prove its keys, while it serves the others. A caller that is refused
/// here is served there at once.
#[test]
fn a_refused_caller_is_told_to_come_back_at_once_if_a_peer_serves() {
    let entry = entry_with_empty_dialect();
    assert!(!entry.retry_elsewhere_after().is_zero());
    let from = SocketAddr::from(([10, 0, 0, 2], 7_500));
    apply_heartbeat(&entry, from, heartbeat(1, true, Vec::new()));
    assert!(entry.retry_elsewhere_after().is_zero());
    apply_heartbeat(&entry, from, heartbeat(2, false, Vec::new()));
    assert!(!entry.retry_elsewhere_after().is_zero());
}

/// Guards against an entry that starts at a restored store and serves keys that a lost configuration withdrew.
#[compio::test]
async fn keys_close_at_an_entry_whose_peer_has_a_configuration_that_the_store_has_lost() {
    let revision = |era, number| StoreRevision { era, number };
    let entry = entry_with_empty_dialect();
    let is_open = || {
        let registry = entry.registry.borrow();
        registry.keys_are_fresh(Moment::now(), Duration::from_secs(5))
    };
    {
        let mut tracker = entry.tracker.borrow_mut();
        tracker.start_in_era(2);
        tracker.note_read(revision(2, 4));
        tracker.note_version(11, revision(2, 4));
        let mut registry = entry.registry.borrow_mut();
        let configuration = Configuration {
            version: 11,
            ..Configuration::default()
        };
        registry.apply_configuration(configuration, revision(2, 4));
        registry.prove(Moment::now());
    }
    let mut peer = heartbeat(1, true, Vec::new());
    peer.configuration = (11, revision(1, 4));
    let from = SocketAddr::from(([10, 0, 0, 2], 7_500));
    apply_heartbeat(&entry, from, peer);
    assert!(is_open());
    let mut peer = heartbeat(2, true, Vec::new());
    peer.configuration = (12, revision(1, 9));
    apply_heartbeat(&entry, from, peer);
    assert!(!is_open());
}
