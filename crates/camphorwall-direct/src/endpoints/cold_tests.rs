use std::{collections::HashMap, rc::Rc, time::Duration};

use rstest::rstest;

use crate::{
    balance::placement::candidates,
    clock::Moment,
    configuration::{ColdLimits, Configuration, Endpoint, Service, Stage},
    contract::homes::RequestHomes,
    dialect::AnswerFacts,
    endpoints::{
        cold::{ColdSplit, MemberId, PERMIT_PERIOD},
        cold_times::{Change, ColdTimes},
    },
    entry::Entry,
    testing::{at_ms, endpoint, entry_with_empty_dialect, route},
};

const AFTER_START: Duration = Duration::from_secs(20);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An endpoint that started at a second of Unix time and says how long it stays cold.
fn started(unix_s: u64, cold_time: Option<Result<Duration, Box<str>>>) -> Endpoint {
    Endpoint {
        started_ms: unix_s * 1_000,
        cold_time,
        ..endpoint("a", Stage::Whole)
    }
}

/// Guards against a late registration that makes its endpoint cold for longer than it is.
#[rstest]
#[case::just_started(100, None, 20)]
#[case::registered_late(85, None, 5)]
#[case::started_long_ago(10, None, 0)]
#[case::its_clock_is_ahead(130, None, 20)]
#[case::says_it_is_warm(100, Some(Ok(Duration::ZERO)), 0)]
#[case::says_it_is_cold(10, Some(Ok(seconds(7))), 7)]
#[case::says_nothing_readable(85, Some(Err("soon".into())), 5)]
fn an_endpoint_is_cold_after_its_start_unless_it_says_otherwise(
    #[case] started_s: u64,
    #[case] cold_time: Option<Result<Duration, Box<str>>>,
    #[case] expected_s: u64,
) {
    let endpoint = started(started_s, cold_time);
    let mut times = ColdTimes::default();
    let now = at_ms(500_000);
    times.note_registration(&endpoint, seconds(100), now);
    let cold_for = times.cold_for(endpoint.incarnation(), AFTER_START, now);
    assert_eq!(cold_for, seconds(expected_s));
}

#[test]
fn an_answer_says_more_than_a_later_registration_without_a_time() {
    let endpoint = started(100, None);
    let mut times = ColdTimes::default();
    let now = at_ms(500_000);
    times.note_registration(&endpoint, seconds(100), now);
    times.note_answer(endpoint.incarnation(), Duration::ZERO, now);
    times.note_registration(&endpoint, seconds(101), now + seconds(1));
    let cold_for = times.cold_for(endpoint.incarnation(), AFTER_START, now + seconds(1));
    assert_eq!(cold_for, Duration::ZERO);
}

/// Guards against an old report of a peer that overrides what an endpoint said since.
#[test]
fn of_what_entries_heard_the_newest_counts() {
    let endpoint = started(10, None);
    let incarnation = endpoint.incarnation();
    let now = at_ms(500_000);
    let [mut times, mut peer] = [ColdTimes::default(), ColdTimes::default()];
    for times in [&mut times, &mut peer] {
        times.note_registration(&endpoint, seconds(100), now);
    }
    peer.note_answer(incarnation, seconds(9), now + seconds(1));
    let reports = peer.report(now + seconds(2));
    assert_eq!(reports.len(), 1);
    assert!(
        peer.report(now + seconds(3)).is_empty(),
        "repeated for ever"
    );
    times.note_peer(reports[0], now + seconds(2));
    let cold_for = times.cold_for(incarnation, AFTER_START, now + seconds(2));
    assert_eq!(cold_for, seconds(8));
    times.note_answer(incarnation, Duration::ZERO, now + seconds(3));
    times.note_peer(reports[0], now + seconds(3));
    let cold_for = times.cold_for(incarnation, AFTER_START, now + seconds(3));
    assert_eq!(cold_for, Duration::ZERO);
}

/// Guards against a data centre that starts at once and fills every heartbeat.
#[test]
fn a_heartbeat_reports_a_bounded_number_of_endpoints() {
    let now = at_ms(500_000);
    let mut times = ColdTimes::default();
    for number in 0..300 {
        let endpoint = endpoint(&format!("i-{number}"), Stage::Whole);
        times.note_registration(&endpoint, seconds(100), now);
        times.note_answer(endpoint.incarnation(), seconds(9), now);
    }
    assert_eq!(times.report(now).len(), 32);
}

#[test]
fn a_change_is_told_once() {
    let endpoint = started(100, None);
    let incarnation = endpoint.incarnation();
    let mut times = ColdTimes::default();
    times.note_registration(&endpoint, seconds(100), at_ms(0));
    assert_eq!(times.note_state(incarnation, Duration::ZERO), None);
    let left = seconds(3);
    assert_eq!(
        times.note_state(incarnation, left),
        Some(Change::Cold { left })
    );
    assert_eq!(times.note_state(incarnation, seconds(2)), None);
    assert_eq!(
        times.note_state(incarnation, Duration::ZERO),
        Some(Change::Warm)
    );
    assert!(times.note_unreadable(incarnation));
    assert!(!times.note_unreadable(incarnation));
}

/// An entry without peers and two endpoints, of which the first is cold for an hour.
fn entry(limits: Option<ColdLimits>) -> (Rc<Entry>, Endpoint, Endpoint) {
    let entry = entry_with_empty_dialect();
    let service = Service {
        engine: None,
        cold: limits,
    };
    let configuration = Configuration {
        version: 1,
        services: HashMap::from([("drafts".parse().expect("a name"), service)]),
        ..Configuration::default()
    };
    entry
        .registry
        .borrow_mut()
        .apply_configuration(configuration, 1);
    let cold = Endpoint {
        cold_time: Some(Ok(seconds(3_600))),
        ..endpoint("cold", Stage::Whole)
    };
    let warm = Endpoint {
        cold_time: Some(Ok(Duration::ZERO)),
        ..endpoint("warm", Stage::Whole)
    };
    for endpoint in [&cold, &warm] {
        entry.note_cold_registration(endpoint, Moment::now());
        let mut registry = entry.registry.borrow_mut();
        registry.register(endpoint.clone(), 1);
    }
    (entry, cold, warm)
}

/// Two requests a second: the default settings add nothing to the rate.
const LIMITS: ColdLimits = ColdLimits {
    start_ms: 20_000,
    requests_per_1000_s: 2_000,
};

/// A moment at which the entry has waited for what an earlier process may have sent.
fn settled(entry: &Entry, cold: &Endpoint) -> Moment {
    let now = Moment::now();
    entry.report_cold(now);
    assert!(
        !entry.begin_send(cold, now),
        "an entry that has just started sends to a cold endpoint"
    );
    now + seconds(5)
}

#[test]
fn an_entry_sends_a_cold_endpoint_what_it_sustains_and_a_warm_one_anything() {
    let (entry, cold, warm) = entry(Some(LIMITS));
    let now = settled(&entry, &cold);
    assert!(entry.begin_send(&cold, now));
    assert!(entry.begin_send(&cold, now));
    assert!(!entry.begin_send(&cold, now));
    assert!(entry.is_cold_denied(&cold, now));
    assert!(!entry.begin_send(&cold, now + PERMIT_PERIOD - Duration::from_millis(1)));
    assert!(entry.begin_send(&cold, now + PERMIT_PERIOD));
    assert!((0..100).all(|_| entry.begin_send(&warm, now)));
}

/// Guards against permits that are lost to requests that never arrived.
#[test]
fn a_request_that_did_not_arrive_gives_its_permit_back() {
    let (entry, cold, _) = entry(Some(LIMITS));
    let now = settled(&entry, &cold);
    let later = now + Duration::from_millis(10);
    assert!(entry.begin_send(&cold, now));
    assert!(entry.begin_send(&cold, later));
    entry.undo_send(&cold, now);
    assert!(entry.begin_send(&cold, later));
    assert!(!entry.begin_send(&cold, later));
}

/// Guards against requests just before an endpoint says that it is cold, which count in the same second.
#[test]
fn requests_sent_before_an_endpoint_said_that_it_is_cold_count() {
    let (entry, cold, warm) = entry(Some(LIMITS));
    let now = settled(&entry, &cold);
    assert!((0..5).all(|_| entry.begin_send(&warm, now)));
    let facts = AnswerFacts {
        cold_time: Some(Ok(seconds(9))),
        ..AnswerFacts::default()
    };
    entry.note_cold_answer(&warm, &facts, now);
    assert!(!entry.begin_send(&warm, now + seconds(1)));
    assert!(entry.begin_send(&warm, now + PERMIT_PERIOD));
}

#[test]
fn an_answer_that_says_warm_ends_the_limit_at_once() {
    let (entry, cold, _) = entry(Some(LIMITS));
    let now = settled(&entry, &cold);
    let facts = AnswerFacts {
        cold_time: Some(Ok(Duration::ZERO)),
        ..AnswerFacts::default()
    };
    entry.note_cold_answer(&cold, &facts, now);
    assert!((0..100).all(|_| entry.begin_send(&cold, now)));
}

/// Guards against a limit on services whose configuration has none.
#[test]
fn without_a_limit_in_the_configuration_nothing_is_cold_or_reported() {
    let (entry, cold, _) = entry(None);
    let now = Moment::now();
    assert!((0..100).all(|_| entry.begin_send(&cold, now)));
    assert!(entry.report_cold(now).is_none());
    let (service, local) = (&cold.service, &cold.data_centre);
    let homes = RequestHomes::new(Rc::new(route("localhost", "/")), None);
    let (endpoints, candidates) = candidates(&entry, service, Stage::Whole, local, &homes, &[]);
    assert_eq!(endpoints.len(), 2);
    assert!(candidates.iter().all(|candidate| !candidate.is_cold));
}

#[test]
fn an_endpoint_without_a_permit_is_no_candidate() {
    let (entry, cold, _) = entry(Some(LIMITS));
    let (service, local) = (&cold.service, &cold.data_centre);
    let homes = RequestHomes::new(Rc::new(route("localhost", "/")), None);
    let (endpoints, candidates) = candidates(&entry, service, Stage::Whole, local, &homes, &[]);
    let names: Vec<_> = endpoints.iter().map(|found| found.id.as_str()).collect();
    assert_eq!(names, ["warm"]);
    assert!(!candidates[0].is_cold);
}

#[test]
fn the_number_of_cold_endpoints_is_known_to_the_metrics() {
    let (entry, _, _) = entry(Some(LIMITS));
    entry.log_cold_changes(Moment::now() + seconds(1));
    assert_eq!(entry.cold_endpoints(), 1);
}

/// Guards against heartbeats that grow with the fleet.
#[test]
fn what_a_heartbeat_tells_of_the_split_is_bounded() {
    let member = |entry: u64| MemberId(entry.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut split = ColdSplit::new(member(0), u64::MAX, at_ms(0));
    for generation in 0..2 {
        for entry in 1..=350_u64 {
            let mut peer = ColdSplit::new(
                member(entry),
                u64::MAX - entry - 1_000 * generation,
                at_ms(0),
            );
            let now = at_ms(4_000 * (generation + 1));
            peer.report(at_ms(10));
            let mut report = peer.report(now);
            report.pretend_to_hold(generation == 0);
            split.note_peer(u64::MAX - entry - 1_000 * generation, report, now);
        }
    }
    let report = split.report(at_ms(8_100));
    let bytes = postcard::to_stdvec(&report).expect("a report").len();
    println!("{bytes} bytes");
    assert!((300..700).contains(&bytes), "{bytes}");
}

/// Guards against prompts that are prefilled for requests that are then not sent, for want of a permit.
#[test]
fn a_cold_endpoint_is_chosen_for_as_many_requests_as_it_may_get() {
    let (entry, cold, _) = entry(Some(LIMITS));
    let now = settled(&entry, &cold);
    let is_denied = || entry.is_cold_denied(&cold, now);
    let choose = |at| {
        let mut state = entry.cold.borrow_mut();
        state.times.count_choice(cold.incarnation(), at);
    };
    choose(now);
    assert!(!is_denied());
    choose(now);
    assert!(is_denied());
    assert!(
        entry.begin_send(&cold, now),
        "its own choice counts against it"
    );
    assert!(is_denied());
    assert!(entry.begin_send(&cold, now));
    // A choice that comes to nothing counts for a while only.
    let later = now + seconds(3);
    choose(later);
    choose(later);
    assert!(entry.is_cold_denied(&cold, later));
    entry.report_cold(later + seconds(2));
    assert!(!entry.is_cold_denied(&cold, later + seconds(2)));
}
