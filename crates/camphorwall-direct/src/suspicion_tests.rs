use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    choice::{Candidate, choose_decode},
    loads::Run,
    suspicion::Suspicions,
    testing::{at_ms, endpoint_id},
};

#[test]
fn an_endpoint_out_of_reach_is_passed_over_for_longer_each_time() {
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
fn a_grey_endpoint_stands_out_from_one_with_seldom_failures() {
    let mut suspicions = Suspicions::default();
    let (grey, sound) = (endpoint_id("grey"), endpoint_id("sound"));
    for number in 0..100 {
        let now = at_ms(number * 20);
        if number % 2 == 0 {
            suspicions.note_failure(&grey, now);
        } else {
            suspicions.note_success(&grey, now);
        }
        if number % 10 == 0 {
            suspicions.note_failure(&sound, now);
        } else {
            suspicions.note_success(&sound, now);
        }
    }
    let now = at_ms(2_000);
    assert!(suspicions.failure_share(&grey, now) > 0.35);
    assert!(suspicions.failure_share(&sound, now) < 0.25);
}

#[test]
fn failures_fade_so_that_an_endpoint_is_tried_again() {
    let (mut suspicions, id) = (Suspicions::default(), endpoint_id("a"));
    for _ in 0..50 {
        suspicions.note_failure(&id, at_ms(0));
    }
    assert!(suspicions.failure_share(&id, at_ms(0)) > 0.99);
    assert!(suspicions.failure_share(&id, at_ms(15_000)) < 0.05);
}

/// Share of its requests that a fleet loses in the last three of four seconds in which half of the endpoints lose two
/// answers of five. All are empty, so that only their failures differ.
fn lost_share(entries: usize, tells: bool) -> f64 {
    const ENDPOINTS: usize = 46;
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let ids: Vec<_> = (0..ENDPOINTS)
        .map(|number| endpoint_id(&format!("e{number}")))
        .collect();
    let mut fleet: Vec<Suspicions> = (0..entries).map(|_| Suspicions::default()).collect();
    let (mut asked, mut lost) = (0, 0);
    // Fifty requests a second in all.
    for now_ms in (0..4_000_u64).step_by(20) {
        let now = at_ms(now_ms);
        let entry = random.random_range(0..entries);
        let mut order: Vec<usize> = (0..ENDPOINTS).collect();
        order.shuffle(&mut random);
        let candidate = |endpoint: &usize| Candidate {
            slots: 128,
            is_near: true,
            failure_share: fleet[entry].failure_share(&ids[*endpoint], now),
            ..Candidate::default()
        };
        let candidates: Vec<_> = order.iter().map(candidate).collect();
        let run = Run {
            held_tokens: 5_000,
            left_tokens: 500,
        };
        let chosen = choose_decode(&candidates, run, 47_582, 0.95).expect("room");
        let endpoint = order[chosen];
        let is_lost = endpoint.is_multiple_of(2) && random.random::<f64>() < 0.4;
        if is_lost {
            fleet[entry].note_failure(&ids[endpoint], now);
        } else {
            fleet[entry].note_success(&ids[endpoint], now);
        }
        if now_ms >= 1_000 {
            asked += 1;
            lost += u32::from(is_lost);
        }
        if tells {
            let told = fleet[entry].report();
            for (peer, suspicions) in fleet.iter_mut().enumerate() {
                if peer != entry {
                    suspicions.note_peer(&told, now);
                }
            }
        }
    }
    f64::from(lost) / f64::from(asked)
}

#[test]
fn a_large_fleet_learns_of_failing_endpoints_as_fast_as_one_entry() {
    let one = lost_share(1, false);
    let alone = lost_share(100, false);
    let telling = lost_share(100, true);
    println!(
        "lost by one entry {one:.3}, by a hundred each for itself {alone:.3}, telling {telling:.3}"
    );
    assert!(telling + 0.02 < alone, "{telling} of {alone}");
    assert!((telling - one).abs() < 0.02, "{telling} and {one}");
}

#[test]
fn what_strangers_tell_without_end_fills_no_memory_and_is_forgotten() {
    let (mut stranger, mut suspicions) = (Suspicions::default(), Suspicions::default());
    for number in 0..20_000_u64 {
        stranger.note_failure(&endpoint_id(&format!("e{number}")), at_ms(0));
    }
    suspicions.note_peer(&stranger.report(), at_ms(0));
    assert!(suspicions.remembered() <= 1_024);
    // Half a minute later, an endpoint that does exist is learned of.
    let (mut peer, grey) = (Suspicions::default(), endpoint_id("grey"));
    peer.note_failure(&grey, at_ms(30_000));
    suspicions.note_peer(&peer.report(), at_ms(30_000));
    assert!(suspicions.failure_share(&grey, at_ms(30_000)) > 0.1);
    assert_eq!(suspicions.remembered(), 1);
}
