//! Measures the bytes of heartbeats, the time of budget and ownership decisions, and the memory of active teams.

use std::time::{Duration, Instant};

use super::group::{address, name};
use crate::{
    budget::{GrantPool, GrantTimes, LocalGrant, OwnedAccounts, Share},
    membership::{Identity, PromiseRules, Promises},
};
use camphorwall::{GrantClose, GrantRequest, PeerAuth, PeerSecret, Tokens};

/// Maximum control traffic of one node.
const MAX_BYTES_PER_S: u64 = 2_000;

/// Number of entries in a data centre of the target size.
const TARGET_GROUP: usize = 17;

/// Size of the IPv4 and UDP headers.
const HEADER_BYTES: u64 = 28;

/// Default period of heartbeats.
const HEARTBEAT_PERIOD_S: u64 = 5;

const LEASE: Duration = Duration::from_secs(20);

fn member(index: usize, listed: usize, now: Instant) -> Promises {
    let identity = Identity {
        instance: name(index),
        incarnation: 1_790_000_000_000_000,
        group: u64::MAX,
    };
    let mut promises = Promises::new(identity, LEASE, PromiseRules::default(), now);
    let listed = (0..listed).map(|one| (name(one), address(one))).collect();
    promises.set_list(&listed, now);
    promises
}

/// Bytes per second that one node sends for promise requests and promises, if the members have the same list or not.
fn bytes_per_s(size: usize, lists_agree: bool) -> u64 {
    let now = Instant::now();
    let later = now + Duration::from_secs(3_600);
    let secret: PeerSecret = "a-secret-of-the-size-in-use-by-all".parse().expect("valid");
    let auth = PeerAuth::new(&[secret]);
    let sent = |heartbeat: &camphorwall::Heartbeat| {
        HEADER_BYTES + auth.seal(&heartbeat.encode()).len() as u64
    };
    let mut requester = member(0, size, now);
    let mut responder = member(1, if lists_agree { size } else { size + 1 }, now);
    let request = requester.promise_requests(&[], later).remove(0).heartbeat;
    let request_bytes = sent(&request);
    let answers = responder.receive(request, address(0), later);
    let answer_bytes = sent(answers.first().expect("a promise"));
    requester.receive(answers[0].clone(), address(1), later);
    (size as u64 - 1) * (request_bytes + answer_bytes) / HEARTBEAT_PERIOD_S
}

#[test]
fn heartbeats_of_a_data_centre_stay_below_the_target() {
    for lists_agree in [true, false] {
        let bytes = bytes_per_s(TARGET_GROUP, lists_agree);
        assert!(bytes <= MAX_BYTES_PER_S, "{bytes} bytes/s");
    }
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn control_bytes_by_group_size() {
    println!("| members | bytes/s, lists agree | bytes/s, lists differ |");
    for size in [3, 9, 17, 34, 68, 136] {
        let (agreed, differing) = (bytes_per_s(size, true), bytes_per_s(size, false));
        println!("| {size} | {agreed} | {differing} |");
    }
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    1_024 * kilobytes.expect("the resident size")
}

fn request(team: usize, closes: Vec<GrantClose>) -> GrantRequest {
    GrantRequest {
        team: format!("team-{team}").parse().expect("a name"),
        data_centre: "marousi".parse().expect("a name"),
        need_tokens: Tokens(10),
        prefetch_tokens: Tokens(10),
        closes,
    }
}

#[test]
#[ignore = "a measurement; the design note gives its figures"]
fn cost_of_decisions_and_of_active_teams() {
    let share = Share {
        rate_tokens_per_s: 500.0,
        burst_tokens: 2_000,
    };
    println!("| active teams | owner's decision, us | entry's decision, us | bytes per team |");
    for teams in [280, 2_800, 28_000] {
        let epoch = Instant::now() + Duration::from_secs(3_600);
        let since = epoch
            .checked_sub(Duration::from_secs(600))
            .expect("a margin");
        let accounts = OwnedAccounts::new(GrantTimes::new(Duration::from_secs(2)), 1);
        let requests: Vec<_> = (0..teams).map(|team| request(team, Vec::new())).collect();
        let with_requests = resident_bytes();
        let mut grant_pools = vec![GrantPool::default(); teams];
        let started_at = Instant::now();
        for (request, grant_pool) in requests.iter().zip(&mut grant_pools) {
            let reply = accounts.answer(request, share, since, epoch);
            let grant = reply.grant.expect("the level is above 0");
            grant_pool.add(LocalGrant {
                data_centre: request.data_centre.clone(),
                grant_id: grant.grant_id,
                free_tokens: grant.tokens.get(),
                expires_at: epoch + Duration::from_secs(2),
            });
        }
        let owner_us = started_at.elapsed().as_secs_f64() * 1e6 / teams as f64;
        let bytes = resident_bytes().saturating_sub(with_requests) / teams as u64;
        let started_at = Instant::now();
        let paid = grant_pools
            .iter_mut()
            .filter_map(|grant_pool| grant_pool.spend(10, epoch));
        assert_eq!(paid.count(), teams);
        let entry_us = started_at.elapsed().as_secs_f64() * 1e6 / teams as f64;
        println!("| {teams} | {owner_us:.2} | {entry_us:.2} | {bytes} |");
    }
    println!("| members | ownership, us |");
    for size in [3, 17, 68] {
        let now = Instant::now();
        let mut members: Vec<_> = (0..size).map(|index| member(index, size, now)).collect();
        let later = now + LEASE * 2;
        for to in 1..size {
            let request = members[0].promise_requests(&[], later).remove(0).heartbeat;
            let answers = members[to].receive(request, address(0), later);
            members[0].receive(answers[0].clone(), address(to), later);
        }
        let started_at = Instant::now();
        let rounds = 10_000;
        let owned = (0..rounds).filter(|round| {
            let key = format!("team-{round}");
            members[0].ownership(&key, later).is_some()
        });
        let owned = owned.count();
        let us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        println!("| {size} | {us:.2} ({owned} owned) |");
    }
}
