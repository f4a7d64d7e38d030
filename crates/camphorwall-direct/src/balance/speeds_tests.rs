use std::time::Duration;

use rstest::rstest;

use crate::{
    balance::speeds::{ReportedSpeed, Speeds},
    clock::Moment,
    configuration::{Endpoint, EndpointIncarnation, Stage},
    dialect::StatedLoad,
    testing::{at_ms, endpoint},
};

const TOKENS: f64 = 5_000.0;

fn millis(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn prefill(name: &str) -> Endpoint {
    endpoint(name, Stage::Prefill)
}

fn stated(running: u32, pace_percent: Option<u32>) -> StatedLoad {
    StatedLoad {
        running,
        waiting: 0,
        slots: 4,
        pace_percent,
    }
}

/// Expected time of a prefill of [`TOKENS`] tokens.
fn expected_ms(speeds: &Speeds, endpoint: &Endpoint, now: Moment) -> f64 {
    let speed = speeds.expected(endpoint, now);
    speed.time_ms(speed.usual.at(TOKENS))
}

/// Speeds after ten seconds in which each endpoint answered a call every 100 ms within its own time.
fn observed(endpoints: &[(&Endpoint, u64)]) -> (Speeds, Moment) {
    let mut speeds = Speeds::default();
    for round in 1..=100 {
        for (endpoint, time_ms) in endpoints {
            speeds.observe(endpoint, TOKENS, millis(*time_ms), at_ms(round * 100));
        }
    }
    (speeds, at_ms(10_000))
}

#[test]
fn an_engine_of_half_the_speed_is_expected_to_take_about_twice_as_long() {
    let (fast, slow) = (prefill("fast"), prefill("slow"));
    let (speeds, now) = observed(&[(&fast, 60), (&slow, 130)]);
    let (fast, slow) = (
        expected_ms(&speeds, &fast, now),
        expected_ms(&speeds, &slow, now),
    );
    assert!((1.7..2.3).contains(&(slow / fast)), "{fast} {slow}");
}

/// Guards against a busy endpoint that is avoided for seconds because its machine was slow for 600 ms.
#[rstest]
#[case::a_call_every_100_ms(100)]
#[case::a_call_every_10_ms(10)]
fn a_slow_period_of_600_ms_does_not_make_an_endpoint_slow(#[case] every_ms: u64) {
    let (steady, hit) = (prefill("steady"), prefill("hit"));
    let (mut speeds, now) = observed(&[(&steady, 80), (&hit, 80)]);
    let mut now = now;
    for _ in 0..600 / every_ms {
        now = now + millis(every_ms);
        speeds.observe(&hit, TOKENS, millis(200), now);
        speeds.observe(&steady, TOKENS, millis(80), now);
    }
    let ratio = expected_ms(&speeds, &hit, now) / expected_ms(&speeds, &steady, now);
    assert!((1.0..1.15).contains(&ratio), "{ratio}");
}

#[test]
fn an_endpoint_without_observations_counts_as_the_mean_of_its_pool() {
    let (fast, slow, new) = (prefill("fast"), prefill("slow"), prefill("new"));
    let (speeds, now) = observed(&[(&fast, 60), (&slow, 130)]);
    let new = expected_ms(&speeds, &new, now);
    assert!(new > expected_ms(&speeds, &fast, now));
    assert!(new < expected_ms(&speeds, &slow, now));
}

#[test]
fn observations_lose_their_influence_with_age() {
    let (fast, slow) = (prefill("fast"), prefill("slow"));
    let (speeds, now) = observed(&[(&fast, 60), (&slow, 130)]);
    let later = now + Duration::from_secs(60);
    let ratio = expected_ms(&speeds, &slow, later) / expected_ms(&speeds, &fast, later);
    assert!((1.0..1.05).contains(&ratio), "{ratio}");
}

#[test]
fn a_new_start_under_the_same_name_has_no_history() {
    let (fast, slow) = (prefill("fast"), prefill("slow"));
    let (speeds, now) = observed(&[(&fast, 60), (&slow, 130)]);
    let restarted = Endpoint {
        started_ms: slow.started_ms + 1,
        ..slow
    };
    assert!((speeds.expected(&restarted, now).slowness - 1.0).abs() < 1e-9);
}

/// Guards against a change of the choice when all machines are slow together.
#[test]
fn endpoints_that_are_all_slow_at_once_keep_their_order() {
    let (fast, slow) = (prefill("fast"), prefill("slow"));
    let (mut speeds, now) = observed(&[(&fast, 60), (&slow, 120)]);
    let before = expected_ms(&speeds, &slow, now) / expected_ms(&speeds, &fast, now);
    let mut now = now;
    for _ in 0..30 {
        now = now + millis(100);
        speeds.observe(&fast, TOKENS, millis(150), now);
        speeds.observe(&slow, TOKENS, millis(300), now);
        speeds.note_load(&fast, stated(0, Some(250)), 0, now);
        speeds.note_load(&slow, stated(0, Some(250)), 0, now);
    }
    let after = expected_ms(&speeds, &slow, now) / expected_ms(&speeds, &fast, now);
    assert!((0.8..1.25).contains(&(after / before)), "{before} {after}");
}

#[test]
fn a_stated_pace_ages_out_within_300_ms() {
    let (slow, usual) = (prefill("slow"), prefill("usual"));
    let mut speeds = Speeds::default();
    let now = at_ms(1_000);
    for _ in 0..5 {
        speeds.note_load(&usual, stated(0, Some(100)), 0, now);
    }
    speeds.note_load(&slow, stated(0, Some(250)), 0, now);
    let pace = |endpoint, age_ms| speeds.expected(endpoint, now + millis(age_ms)).pace;
    assert!((pace(&slow, 0) - 2.5).abs() < 1e-9);
    assert!(pace(&slow, 150) < 2.0);
    assert!((pace(&slow, 300) - pace(&usual, 300)).abs() < 1e-9);
    assert!(pace(&slow, 300) < 1.25);
}

/// Guards against a herd that runs to the endpoints that have not stated yet that they are slow, too.
#[test]
fn an_endpoint_that_states_nothing_is_expected_to_be_as_slow_as_the_others() {
    let silent = prefill("silent");
    let mut speeds = Speeds::default();
    let now = at_ms(1_000);
    for n in 0..5 {
        speeds.note_load(&prefill(&format!("p{n}")), stated(0, Some(250)), 0, now);
    }
    assert!(speeds.expected(&silent, now).pace > 2.2);
    let later = now + Duration::from_secs(2);
    assert!(speeds.expected(&silent, later).pace < 1.05);
}

/// Guards against endpoints that attract work by what they state.
#[rstest]
#[case::idle(stated(0, Some(100)))]
#[case::fast(stated(0, Some(1)))]
#[case::without_a_pace(stated(0, None))]
fn no_statement_makes_an_endpoint_look_faster_or_emptier(#[case] claim: StatedLoad) {
    let (plain, claiming) = (prefill("plain"), prefill("claiming"));
    let (mut speeds, now) = observed(&[(&plain, 100), (&claiming, 100)]);
    speeds.note_load(&claiming, claim, 5, now);
    assert!(expected_ms(&speeds, &claiming, now) >= expected_ms(&speeds, &plain, now) - 1e-9);
    assert!(speeds.expected(&claiming, now).unknown_runs.abs() < 1e-9);
}

#[test]
fn stated_work_that_no_entry_reported_counts_for_half_a_second() {
    let endpoint = prefill("p1");
    let mut speeds = Speeds::default();
    let now = at_ms(1_000);
    speeds.note_load(&endpoint, stated(9, Some(100)), 3, now);
    let unknown = |age_ms| {
        let speed = speeds.expected(&endpoint, now + millis(age_ms));
        speed.unknown_runs
    };
    assert!((unknown(0) - 5.0).abs() < 1e-9);
    assert!(unknown(250) < 3.0);
    assert!(unknown(500).abs() < 1e-9);
}

/// Guards against an endpoint that stays avoided because its figures do not change any more.
#[test]
fn a_slow_pace_that_does_not_change_for_seconds_is_ignored() {
    let (frozen, usual) = (prefill("frozen"), prefill("usual"));
    let mut speeds = Speeds::default();
    for round in 0..30 {
        speeds.note_load(&frozen, stated(0, Some(250)), 0, at_ms(round * 100));
        speeds.note_load(&usual, stated(0, Some(100)), 0, at_ms(round * 100));
    }
    let pace = |speeds: &Speeds, at| speeds.expected(&frozen, at_ms(at)).pace;
    assert!(pace(&speeds, 2_900) < 1.05);
    speeds.note_load(&frozen, stated(0, Some(240)), 0, at_ms(3_000));
    assert!(pace(&speeds, 3_000) > 2.0);
}

#[test]
fn expected_times_are_in_effect_while_paces_are_stated_or_as_the_settings_say() {
    let endpoint = prefill("p1");
    let other = "other".parse().expect("a name");
    let mut speeds = Speeds::default();
    let now = at_ms(1_000);
    speeds.note_load(&endpoint, stated(0, None), 0, now);
    assert!(!speeds.is_in_effect(&endpoint.service, None, now));
    assert!(speeds.is_in_effect(&endpoint.service, Some(true), now));
    speeds.note_load(&endpoint, stated(0, Some(100)), 0, now);
    assert!(speeds.is_in_effect(&endpoint.service, None, now));
    assert!(!speeds.is_in_effect(&other, None, now));
    assert!(!speeds.is_in_effect(&endpoint.service, Some(false), now));
    let later = now + Duration::from_secs(11);
    assert!(!speeds.is_in_effect(&endpoint.service, None, later));
}

#[test]
fn a_peer_learns_of_a_slow_engine_from_reports_of_bounded_size() {
    let endpoints: Vec<_> = (0..50).map(|n| prefill(&format!("p{n}"))).collect();
    let mut speeds = Speeds::default();
    let mut peer = Speeds::default();
    for round in 1..=100_u64 {
        let now = at_ms(round * 100);
        for (n, endpoint) in endpoints.iter().enumerate() {
            let time_ms = if n == 7 { 200 } else { 100 };
            speeds.observe(endpoint, TOKENS, millis(time_ms), now);
        }
        for _ in 0..4 {
            let reports = speeds.report(now);
            assert!(reports.len() <= 16);
            peer.note_peer(&reports, now);
        }
    }
    let now = at_ms(10_000);
    assert!(speeds.report(now).is_empty(), "nothing is reported twice");
    let slowness = |n: usize| peer.expected(&endpoints[n], now).slowness;
    assert!(slowness(7) > 1.6 * slowness(8));
}

#[test]
fn a_report_of_16_endpoints_takes_less_than_400_bytes() {
    let report = ReportedSpeed {
        incarnation: EndpointIncarnation(u64::MAX),
        ln_slowness_milli: -1_400,
        count: 32,
        age_ms: u16::MAX,
        pace_percent: 10_000,
        pace_age_ms: u16::MAX,
    };
    let bytes = postcard::to_stdvec(&vec![report; 16]).expect("encodable");
    assert!(bytes.len() < 400, "{}", bytes.len());
}

/// Guards against memory that grows with names that unauthenticated datagrams make up.
#[test]
fn reports_of_unknown_endpoints_take_bounded_memory() {
    let mut speeds = Speeds::default();
    for n in 0..20_000 {
        let report = ReportedSpeed {
            incarnation: EndpointIncarnation(n),
            ln_slowness_milli: i16::MIN,
            count: u8::MAX,
            age_ms: 0,
            pace_percent: u16::MAX,
            pace_age_ms: 0,
        };
        speeds.note_peer(&[report], at_ms(1_000));
    }
    assert!(speeds.record_count() <= 4_096);
}

#[test]
fn the_wait_of_a_slow_period_is_bounded_by_its_usual_length() {
    let endpoint = prefill("p1");
    let (mut speeds, now) = observed(&[(&endpoint, 100)]);
    speeds.note_load(&endpoint, stated(0, Some(250)), 0, now);
    let speed = speeds.expected(&endpoint, now);
    assert!((speed.time_ms(100.0) - 250.0).abs() < 5.0);
    assert!((speed.time_ms(2_000.0) - 2_180.0).abs() < 60.0);
}

/// Guards against an entry with little traffic that changes between the two kinds of scores.
#[test]
fn paces_that_peers_report_keep_expected_times_in_effect() {
    let endpoint = prefill("p1");
    let (mut speeds, mut peer) = (Speeds::default(), Speeds::default());
    speeds.note_load(&endpoint, stated(0, Some(100)), 0, at_ms(1_000));
    peer.note_load(&endpoint, stated(0, Some(100)), 0, at_ms(15_000));
    let is_in_effect =
        |speeds: &Speeds| speeds.is_in_effect(&endpoint.service, None, at_ms(15_100));
    assert!(!is_in_effect(&speeds));
    speeds.note_peer(&peer.report(at_ms(15_050)), at_ms(15_100));
    assert!(is_in_effect(&speeds));
}
