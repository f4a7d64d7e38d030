use std::time::Duration;

use crate::{
    configuration::{Endpoint, EndpointIncarnation, Stage},
    endpoints::notices::{Availability, Notices, first_return},
    testing::{at_ms, endpoint},
};

fn plain() -> Endpoint {
    endpoint("s1", Stage::Whole)
}

#[test]
fn an_endpoint_that_leaves_is_not_used_but_its_next_start_is() {
    let mut notices = Notices::default();
    assert!(notices.note_leaving(plain().incarnation(), at_ms(0)));
    assert!(!notices.note_leaving(plain().incarnation(), at_ms(1)));
    assert_eq!(
        notices.availability(&plain(), at_ms(500_000)),
        Availability::Never
    );
    assert!(!notices.may_send(plain().incarnation(), at_ms(500_000)));
    let restarted = Endpoint {
        started_ms: plain().started_ms + 1,
        ..plain()
    };
    assert_eq!(
        notices.availability(&restarted, at_ms(1)),
        Availability::Now
    );
}

#[test]
fn an_endpoint_is_left_alone_until_the_later_of_two_times() {
    let mut notices = Notices::default();
    let incarnation = plain().incarnation();
    notices.note_hold_off(incarnation, Duration::from_secs(3), at_ms(0));
    notices.note_hold_off(incarnation, Duration::from_secs(1), at_ms(100));
    let until = Availability::From(at_ms(3_000));
    assert_eq!(notices.availability(&plain(), at_ms(2_999)), until);
    assert!(!notices.may_send(incarnation, at_ms(2_999)));
    assert!(notices.may_send(incarnation, at_ms(3_000)));
}

#[test]
fn an_endless_hold_off_ends_after_ten_minutes() {
    let mut notices = Notices::default();
    let until = notices.note_hold_off(plain().incarnation(), Duration::MAX, at_ms(0));
    assert_eq!(until, at_ms(600_000));
}

#[test]
fn a_returning_endpoint_gets_one_request_then_twice_as_many_after_each_answer() {
    let mut notices = Notices::default();
    let incarnation = plain().incarnation();
    notices.note_hold_off(incarnation, Duration::from_secs(1), at_ms(0));
    let now = at_ms(1_000);
    let mut most = Vec::new();
    let mut under_way = 0;
    for _ in 0..4 {
        while notices.availability(&plain(), now) == Availability::Now {
            assert!(notices.begin_trial(incarnation));
            under_way += 1;
        }
        most.push(under_way);
        notices.note_taken(incarnation, now);
        notices.end_trial(incarnation);
        under_way -= 1;
    }
    assert_eq!(most, [1, 2, 4, 8]);
    for _ in 0..2 {
        notices.note_taken(incarnation, now);
    }
    assert!(
        !notices.begin_trial(incarnation),
        "it is used like any other"
    );
}

#[test]
fn an_endpoint_that_holds_off_again_returns_with_one_request() {
    let mut notices = Notices::default();
    let incarnation = plain().incarnation();
    notices.note_hold_off(incarnation, Duration::from_secs(1), at_ms(0));
    notices.note_taken(incarnation, at_ms(1_100));
    notices.note_taken(incarnation, at_ms(1_100));
    notices.note_hold_off(incarnation, Duration::from_secs(1), at_ms(1_200));
    assert!(notices.begin_trial(incarnation));
    let now = at_ms(2_200);
    assert_eq!(notices.availability(&plain(), now), Availability::From(now));
}

#[test]
fn an_answer_that_was_under_way_ends_no_hold_off() {
    let mut notices = Notices::default();
    let incarnation = plain().incarnation();
    notices.note_hold_off(incarnation, Duration::from_secs(1), at_ms(0));
    for _ in 0..10 {
        notices.note_taken(incarnation, at_ms(500));
    }
    assert!(notices.holds_off(incarnation, at_ms(999)));
}

#[test]
fn the_first_endpoint_to_return_decides_how_long_callers_wait() {
    let from = |ms| Availability::From(at_ms(ms));
    let first = |all: &[Availability]| first_return(all.iter().copied());
    assert_eq!(
        first(&[from(9), Availability::Never, from(5)]),
        Some(at_ms(5))
    );
    assert_eq!(first(&[from(9), Availability::Now]), None);
    assert_eq!(first(&[Availability::Never]), None);
    assert_eq!(first(&[]), None);
}

#[test]
fn an_entry_that_starts_anew_learns_which_endpoints_leave() {
    let (mut old, mut new) = (Notices::default(), Notices::default());
    old.note_leaving(plain().incarnation(), at_ms(0));
    for tick in 0..10 {
        old.report(at_ms(40 * tick));
    }
    for tick in 0..30 {
        let now = at_ms(20_000 + 40 * tick);
        for leaving in old.report(now) {
            new.note_peer(leaving, now);
        }
    }
    assert_eq!(
        new.availability(&plain(), at_ms(21_200)),
        Availability::Never
    );
}

#[test]
fn reports_between_peers_do_not_keep_a_departed_endpoint_for_ever() {
    let (mut first, mut second) = (Notices::default(), Notices::default());
    first.note_leaving(plain().incarnation(), at_ms(0));
    for second_number in 0..1_300_u64 {
        let now = at_ms(1_000 * second_number);
        for leaving in first.report(now) {
            second.note_peer(leaving, now);
        }
        for leaving in second.report(now) {
            first.note_peer(leaving, now);
        }
    }
    assert_eq!((first.len(), second.len()), (0, 0));
}

#[test]
fn records_and_reports_are_bounded() {
    let mut notices = Notices::default();
    for number in 0..20_000 {
        let now = at_ms(number);
        notices.note_leaving(EndpointIncarnation(number), now);
        notices.note_unreadable_time(EndpointIncarnation(30_000 + number), now);
    }
    assert!(notices.len() <= 4_096);
    assert!(notices.report(at_ms(20_000)).len() <= 32);
}
