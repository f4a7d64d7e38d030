use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    balance::{
        choice::{Candidate, choose_decode},
        loads::Run,
        placement::kv_fill_limit,
    },
    endpoints::suspicion::Suspicions,
    testing::{at_ms, endpoint_id},
};

#[test]
fn an_unreachable_endpoint_is_skipped_for_longer_each_time() {
    let (mut suspicions, id) = (Suspicions::default(), endpoint_id("a"));
    suspicions.note_unreachable(&id, at_ms(0));
    assert!(suspicions.is_unreachable(&id, at_ms(399)));
    assert!(!suspicions.is_unreachable(&id, at_ms(400)));
    suspicions.note_unreachable(&id, at_ms(400));
    assert!(suspicions.is_unreachable(&id, at_ms(1_199)));
    assert!(!suspicions.is_unreachable(&id, at_ms(1_200)));
    for _ in 0..20 {
        suspicions.note_unreachable(&id, at_ms(2_000));
    }
    assert!(!suspicions.is_unreachable(&id, at_ms(6_000)));
}

#[test]
fn one_answer_makes_an_endpoint_reachable_again() {
    let (mut suspicions, id) = (Suspicions::default(), endpoint_id("a"));
    suspicions.note_unreachable(&id, at_ms(0));
    suspicions.note_success(&id, at_ms(10));
    assert!(!suspicions.is_unreachable(&id, at_ms(10)));
}

#[test]
fn a_partially_failing_endpoint_stands_out_from_one_with_rare_failures() {
    let mut suspicions = Suspicions::default();
    let (failing, healthy) = (endpoint_id("failing"), endpoint_id("healthy"));
    for number in 0..100 {
        let now = at_ms(number * 20);
        if number % 2 == 0 {
            suspicions.note_failure(&failing, now);
        } else {
            suspicions.note_success(&failing, now);
        }
        if number % 10 == 0 {
            suspicions.note_failure(&healthy, now);
        } else {
            suspicions.note_success(&healthy, now);
        }
    }
    let now = at_ms(2_000);
    assert!(suspicions.expected_loss(&failing, now) > 0.35);
    assert!(suspicions.expected_loss(&healthy, now) < 0.25);
}

#[test]
fn failures_decay_so_that_an_endpoint_is_tried_again() {
    let (mut suspicions, id) = (Suspicions::default(), endpoint_id("a"));
    for _ in 0..50 {
        suspicions.note_failure(&id, at_ms(0));
    }
    assert!(suspicions.expected_loss(&id, at_ms(0)) > 0.99);
    assert!(suspicions.expected_loss(&id, at_ms(15_000)) < 0.05);
}

/// Share of requests that a fleet loses while half of the endpoints lose two answers of five, counted in the last three
/// of four seconds, as the mean of some seeds. All endpoints are idle, so that only their failures differ.
fn lost_share(entries: usize, sends_reports: bool) -> f64 {
    const SEEDS: u64 = 10;
    let shares = (0..SEEDS).map(|seed| lost_share_of_seed(entries, sends_reports, seed));
    shares.sum::<f64>() / SEEDS as f64
}

fn lost_share_of_seed(entries: usize, sends_reports: bool, seed: u64) -> f64 {
    const ENDPOINTS: usize = 46;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let ids: Vec<_> = (0..ENDPOINTS)
        .map(|number| endpoint_id(&format!("e{number}")))
        .collect();
    let mut fleet: Vec<Suspicions> = (0..entries).map(|_| Suspicions::default()).collect();
    let (mut requests, mut lost) = (0, 0);
    // Fifty requests a second in total.
    for now_ms in (0..4_000_u64).step_by(20) {
        let now = at_ms(now_ms);
        let entry = random.random_range(0..entries);
        let mut order: Vec<usize> = (0..ENDPOINTS).collect();
        order.shuffle(&mut random);
        let candidate = |endpoint: &usize| Candidate {
            slots: 128,
            is_near: true,
            expected_loss: fleet[entry].expected_loss(&ids[*endpoint], now),
            ..Candidate::default()
        };
        let candidates: Vec<_> = order.iter().map(candidate).collect();
        let run = Run {
            held_tokens: 5_000,
            left_tokens: 500,
        };
        let chosen = choose_decode(&candidates, run, 47_582, kv_fill_limit(false))
            .expect("an endpoint with free capacity");
        let endpoint = order[chosen];
        let is_lost = endpoint.is_multiple_of(2) && random.random::<f64>() < 0.4;
        if is_lost {
            fleet[entry].note_failure(&ids[endpoint], now);
        } else {
            fleet[entry].note_success(&ids[endpoint], now);
        }
        if now_ms >= 1_000 {
            requests += 1;
            lost += u32::from(is_lost);
        }
        if sends_reports {
            let report = fleet[entry].report();
            for (peer, suspicions) in fleet.iter_mut().enumerate() {
                if peer != entry {
                    suspicions.note_peer(&report, now);
                }
            }
        }
    }
    f64::from(lost) / f64::from(requests)
}

#[test]
fn a_large_fleet_detects_failing_endpoints_as_fast_as_one_entry() {
    let one = lost_share(1, false);
    let without_reports = lost_share(100, false);
    let with_reports = lost_share(100, true);
    println!(
        "lost by one entry {one:.3}, by a hundred without reports {without_reports:.3}, with reports {with_reports:.3}"
    );
    assert!(
        with_reports + 0.02 < without_reports,
        "{with_reports} of {without_reports}"
    );
    assert!(
        (with_reports - one).abs() < 0.02,
        "{with_reports} and {one}"
    );
}

#[test]
fn records_from_a_flood_of_unauthenticated_reports_are_bounded_and_expire() {
    let (mut sender, mut suspicions) = (Suspicions::default(), Suspicions::default());
    for number in 0..20_000_u64 {
        sender.note_failure(&endpoint_id(&format!("e{number}")), at_ms(0));
    }
    suspicions.note_peer(&sender.report(), at_ms(0));
    assert!(suspicions.record_count() <= 1_024);
    // Half a minute later, a report on an existing endpoint is accepted again.
    let (mut peer, failing) = (Suspicions::default(), endpoint_id("failing"));
    peer.note_failure(&failing, at_ms(30_000));
    suspicions.note_peer(&peer.report(), at_ms(30_000));
    assert!(suspicions.expected_loss(&failing, at_ms(30_000)) > 0.1);
    assert_eq!(suspicions.record_count(), 1);
}

/// A quarter of 46 endpoints goes dark, and 25 entries send fifty requests a second. Each request that meets a dark
/// endpoint waits for a connect timeout.
#[test]
fn a_fleet_notices_a_dark_endpoint_once() {
    const ENTRIES: usize = 25;
    let ids: Vec<_> = (0..46)
        .map(|number| endpoint_id(&format!("e{number}")))
        .collect();
    let is_dark = |endpoint: usize| endpoint.is_multiple_of(4);
    let met = [false, true].map(|sends_reports| {
        let mut random = ChaCha8Rng::seed_from_u64(5);
        let mut fleet: Vec<Suspicions> = (0..ENTRIES).map(|_| Suspicions::default()).collect();
        let mut met = 0;
        for now_ms in (0..4_000_u64).step_by(20) {
            let now = at_ms(now_ms);
            let entry = random.random_range(0..ENTRIES);
            let reachable: Vec<_> = (0..ids.len())
                .filter(|endpoint| !fleet[entry].is_unreachable(&ids[*endpoint], now))
                .collect();
            let endpoint = reachable[random.random_range(0..reachable.len())];
            if is_dark(endpoint) {
                met += 1;
                fleet[entry].note_unreachable(&ids[endpoint], now);
            } else {
                fleet[entry].note_success(&ids[endpoint], now);
            }
            let report = fleet[entry].report();
            for (peer, suspicions) in fleet.iter_mut().enumerate() {
                if sends_reports && peer != entry {
                    suspicions.note_peer(&report, now);
                }
            }
        }
        met
    });
    println!("requests that met a dark endpoint, without reports and with: {met:?}");
    assert!(met[1] * 3 < met[0] * 2, "{met:?}");
}

/// An entry that is cut off from the endpoints reports all of them as unreachable.
#[test]
fn a_report_on_an_endpoint_that_has_just_answered_is_ignored() {
    let (mut cut_off, mut connected) = (Suspicions::default(), Suspicions::default());
    let (answering, unused) = (endpoint_id("answering"), endpoint_id("unused"));
    connected.note_success(&answering, at_ms(0));
    for id in [&answering, &unused] {
        cut_off.note_unreachable(id, at_ms(100));
    }
    connected.note_peer(&cut_off.report(), at_ms(100));
    assert!(!connected.is_unreachable(&answering, at_ms(100)));
    assert!(connected.is_unreachable(&unused, at_ms(100)));
    assert!(!connected.is_unreachable(&unused, at_ms(500)));
}
