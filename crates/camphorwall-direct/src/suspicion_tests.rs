use crate::{
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
