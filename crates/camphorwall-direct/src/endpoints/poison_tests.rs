use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    clock::Moment,
    configuration::EndpointIncarnation,
    dialect::PromptPart,
    endpoints::poison::{BlockCause, Content, Fingerprint, Poison, ReportedSuspect},
    testing::at_ms,
};

const REQUEST: Fingerprint = Fingerprint(7);
const HARMFUL: u64 = 66;
const COMMON: u64 = 1;

fn content(fingerprint: Fingerprint, parts: &[u64]) -> Content {
    Content {
        fingerprint,
        shared_parts: parts.iter().copied().map(PromptPart).collect(),
    }
}

fn request() -> Content {
    content(REQUEST, &[])
}

/// Another request for each number.
fn with_parts(number: u64, parts: &[u64]) -> Content {
    content(Fingerprint(1_000 + number), parts)
}

/// Notes crash `number`, which happened 100 ms after the request was sent.
fn crash(poison: &mut Poison, number: u64, content: &Content, at: Moment) {
    let sent_at = at - Duration::from_millis(100);
    poison.note_crash(EndpointIncarnation(number), content, 0, sent_at, at);
}

/// Whether a request is blocked and may not even be tried.
fn is_blocked(poison: &Poison, content: &Content, at: Moment) -> bool {
    let block = poison.block(content);
    block.is_some_and(|block| block.is_in_force(at))
}

#[test]
fn a_request_is_blocked_after_three_crashes() {
    let mut poison = Poison::default();
    for number in 1..=3 {
        assert!(!is_blocked(&poison, &request(), at_ms(3_000)));
        crash(&mut poison, number, &request(), at_ms(1_000 * number));
    }
    assert!(is_blocked(&poison, &request(), at_ms(3_000)));
    assert!(!is_blocked(&poison, &with_parts(8, &[]), at_ms(3_000)));
}

#[test]
fn a_crash_that_several_entries_report_counts_once() {
    let (mut here, mut there) = (Poison::default(), Poison::default());
    for number in 1..=2 {
        crash(&mut here, number, &request(), at_ms(1_000 * number));
        crash(&mut there, number, &request(), at_ms(1_000 * number));
    }
    for suspect in there.report(at_ms(2_010)) {
        assert!(here.note_peer(suspect, at_ms(2_010)).is_none());
    }
    assert!(!is_blocked(&here, &request(), at_ms(2_010)));
}

#[test]
fn an_answered_request_is_cleared() {
    let mut poison = Poison::default();
    crash(&mut poison, 1, &request(), at_ms(1_000));
    crash(&mut poison, 2, &request(), at_ms(2_000));
    poison.note_answer(&request(), 0);
    crash(&mut poison, 3, &request(), at_ms(3_000));
    assert!(!is_blocked(&poison, &request(), at_ms(3_000)));
}

#[test]
fn a_blocked_request_is_tried_after_a_minute_without_a_crash_and_free_after_an_answer() {
    let mut poison = Poison::default();
    for number in 0..3 {
        crash(&mut poison, number, &request(), at_ms(1_000 * number));
    }
    assert!(is_blocked(&poison, &request(), at_ms(62_000)));
    assert!(!is_blocked(&poison, &request(), at_ms(62_001)));
    assert!(poison.block(&request()).is_some());
    poison.note_answer(&request(), 0);
    assert_eq!(poison.block(&request()), None);
}

#[test]
fn memory_is_bounded_under_a_flood_of_crashing_requests() {
    let mut poison = Poison::default();
    for number in 0..20_000 {
        let content = with_parts(number, &[number]);
        crash(&mut poison, number, &content, at_ms(number * 20));
    }
    assert!(poison.len() <= 4_096);
    assert!(poison.report(at_ms(400_000)).len() <= 8);
}

#[test]
fn a_prompt_part_that_all_crashes_share_is_blocked_and_its_companions_are_not() {
    let mut poison = Poison::default();
    for number in 0..3 {
        let at = at_ms(1_000 * number);
        let harmful = with_parts(number, &[COMMON, HARMFUL, 100 + number]);
        assert!(!is_blocked(&poison, &harmful, at));
        crash(&mut poison, number, &harmful, at);
    }
    let now = at_ms(2_010);
    let block = poison.block(&with_parts(9, &[COMMON, HARMFUL, 200]));
    let block = block.expect("a block");
    assert_eq!(
        block.cause,
        BlockCause::Parts([COMMON, HARMFUL].map(PromptPart).to_vec())
    );
    assert_eq!((block.crashes, block.until), (3, at_ms(62_000)));
    for sound in [[COMMON, 300], [COMMON, 101]] {
        assert!(!is_blocked(&poison, &with_parts(10, &sound), now));
    }
    // The answer to one request with the common part shows that it's the other one.
    poison.note_answer(&with_parts(10, &[COMMON, 300]), 0);
    let block = poison.block(&with_parts(11, &[HARMFUL, 400]));
    assert_eq!(
        block.map(|block| block.cause),
        Some(BlockCause::Parts(vec![PromptPart(HARMFUL)]))
    );
}

#[test]
fn a_part_is_blocked_longer_after_each_crash_that_follows_a_block() {
    let mut poison = Poison::default();
    let harmful = |number| with_parts(number, &[HARMFUL]);
    let mut at = 0;
    for (number, blocked_s) in [(0, 0), (1, 0), (2, 60), (3, 240), (4, 960), (5, 3_840)] {
        crash(&mut poison, number, &harmful(number), at_ms(at));
        let last = at_ms(at + 1_000 * blocked_s);
        assert_eq!(is_blocked(&poison, &harmful(99), last), blocked_s > 0);
        at += 1_000 * blocked_s + 1_000;
        assert!(!is_blocked(&poison, &harmful(99), at_ms(at)), "{number}");
    }
}

/// Guards against a part whose few requests in an hour crash an endpoint each, as what is known of them is forgotten between them.
#[test]
fn few_requests_an_hour_with_a_harmful_part_crash_few_endpoints_in_a_day() {
    let mut poison = Poison::default();
    let mut crashes = 0;
    for number in 0..72 {
        let now = at_ms(1_000 + number * 20 * 60_000);
        poison.report(now);
        let harmful = with_parts(number, &[COMMON, HARMFUL]);
        if is_blocked(&poison, &harmful, now) {
            continue;
        }
        crash(&mut poison, number, &harmful, now);
        poison.note_answer(&with_parts(10_000 + number, &[COMMON]), 40);
        crashes += 1;
    }
    assert!(crashes <= 8, "{crashes} crashes");
}

/// Guards against a harmful part that is forgotten because many endpoints crash for other reasons.
#[test]
fn what_several_crashes_share_outlasts_a_flood_of_others() {
    let mut poison = Poison::default();
    let harmful = |number| with_parts(number, &[HARMFUL]);
    for number in 0..5 {
        crash(&mut poison, number, &harmful(number), at_ms(1_000 * number));
    }
    for number in 100..2_000 {
        let other = with_parts(number, &[10_000 + number]);
        crash(&mut poison, number, &other, at_ms(5_000 + number));
    }
    assert!(is_blocked(&poison, &harmful(99), at_ms(8_000)));
}

/// Guards against sound requests that share all parts with one that crashes endpoints in the middle of its answers.
#[test]
fn crashes_of_one_request_do_not_incriminate_its_parts() {
    let mut poison = Poison::default();
    let parts = [COMMON, 300];
    for number in 0..6 {
        let (sent_at, now) = (at_ms(1_000 * number), at_ms(1_000 * number + 500));
        let crash = EndpointIncarnation(number);
        poison.note_crash(crash, &content(REQUEST, &parts), 8, sent_at, now);
    }
    let now = at_ms(6_000);
    assert!(is_blocked(&poison, &content(REQUEST, &parts), now));
    assert!(!is_blocked(&poison, &with_parts(1, &parts), now));
}

#[test]
fn a_common_part_is_not_blocked_when_many_endpoints_crash_together() {
    let mut poison = Poison::default();
    for number in 0..5 {
        let sound = with_parts(number, &[COMMON]);
        crash(&mut poison, number, &sound, at_ms(1_000 + number));
    }
    assert!(!is_blocked(
        &poison,
        &with_parts(9, &[COMMON]),
        at_ms(1_100)
    ));
}

#[test]
fn an_entry_that_starts_anew_learns_of_blocked_parts_from_a_peer() {
    let mut old = Poison::default();
    for number in 0..3 {
        let harmful = with_parts(number, &[HARMFUL]);
        crash(&mut old, number, &harmful, at_ms(1_000 * number));
    }
    // The urgent reports are over when the entry starts.
    for tick in 0..10 {
        old.report(at_ms(2_000 + 40 * tick));
    }
    let mut new = Poison::default();
    for tick in 0..40 {
        let now = at_ms(10_000 + 40 * tick);
        for suspect in old.report(now) {
            new.note_peer(suspect, now);
        }
    }
    assert!(is_blocked(&new, &with_parts(9, &[HARMFUL]), at_ms(12_000)));
}

#[test]
fn a_part_that_one_entry_cleared_is_cleared_everywhere() {
    let (mut first, mut second) = (Poison::default(), Poison::default());
    for number in 0..3 {
        let content = with_parts(number, &[COMMON]);
        crash(&mut first, number, &content, at_ms(1_000 * number));
    }
    for suspect in first.report(at_ms(2_010)) {
        second.note_peer(suspect, at_ms(2_010));
    }
    let sound = with_parts(9, &[COMMON]);
    assert!(is_blocked(&second, &sound, at_ms(2_020)));
    second.note_answer(&sound, 0);
    for suspect in second.report(at_ms(2_040)) {
        first.note_peer(suspect, at_ms(2_040));
    }
    for suspect in first.report(at_ms(4_000)) {
        second.note_peer(suspect, at_ms(4_000));
    }
    for poison in [&first, &second] {
        assert!(!is_blocked(poison, &sound, at_ms(4_000)));
    }
}

/// What callers of a fleet get while requests with a harmful part come.
#[derive(Debug, Default)]
struct Totals {
    crashes: u32,
    sound: u32,
    sound_refused: u32,
    harmful_refused: u32,
}

/// A request on its way: at `ends_ms` it is answered, or it crashes its endpoint.
struct Sent {
    content: Content,
    is_harmful: bool,
    entry: usize,
    endpoint: usize,
    left_ms: u64,
    ends_ms: u64,
}

const ENTRIES: usize = 4;
const ENDPOINTS: usize = 8;
const REPORT_PERIOD_MS: u64 = 40;

/// Plays 40 s of ten requests a second before eight endpoints, of which a share has the harmful part. Each third second an
/// endpoint crashes for another reason.
fn play(seed: u64, share: f64, knows_parts: bool) -> Totals {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| Poison::default()).collect();
    let mut totals = Totals::default();
    let mut down_until_ms = [0_u64; ENDPOINTS];
    let mut sent: Vec<Sent> = Vec::new();
    let mut crashes = 0;
    for now_ms in 0..40_000_u64 {
        let now = at_ms(now_ms);
        if random.random_bool(0.01) {
            let is_harmful = now_ms > 2_000 && random.random_bool(share);
            let mut parts = vec![COMMON + random.random_range(0..3)];
            parts.extend(is_harmful.then_some(HARMFUL));
            parts.push(1_000 + random.random_range(0..40));
            let mut content = with_parts(now_ms, &parts);
            if !knows_parts {
                content.shared_parts.clear();
            }
            let entry = random.random_range(0..ENTRIES);
            let endpoint = random.random_range(0..ENDPOINTS);
            let is_refused = is_blocked(&entries[entry], &content, now);
            totals.sound += u32::from(!is_harmful);
            match (is_refused, is_harmful) {
                (true, true) => totals.harmful_refused += 1,
                (true, false) => totals.sound_refused += 1,
                (false, _) if now_ms < down_until_ms[endpoint] => {}
                (false, _) => sent.push(Sent {
                    content,
                    is_harmful,
                    entry,
                    endpoint,
                    left_ms: now_ms,
                    ends_ms: now_ms + random.random_range(40..150),
                }),
            }
        }
        let mut failing = (now_ms % 3_000 == 2_999).then(|| random.random_range(0..ENDPOINTS));
        for request in sent.iter().filter(|request| request.ends_ms == now_ms) {
            if request.is_harmful {
                failing = Some(request.endpoint);
                totals.crashes += 1;
            } else {
                entries[request.entry].note_answer(&request.content, 0);
            }
        }
        if let Some(endpoint) = failing {
            crashes += 1;
            down_until_ms[endpoint] = now_ms + 3_000;
            let broken = sent.iter().filter(|request| request.endpoint == endpoint);
            for request in broken {
                let sent_at = at_ms(request.left_ms);
                let poison = &mut entries[request.entry];
                let crash = EndpointIncarnation(crashes);
                poison.note_crash(crash, &request.content, 0, sent_at, now);
            }
            sent.retain(|request| request.endpoint != endpoint);
        }
        sent.retain(|request| request.ends_ms > now_ms);
        if now_ms % REPORT_PERIOD_MS == 0 {
            for from in 0..ENTRIES {
                let reports: Vec<ReportedSuspect> = entries[from].report(now);
                for (to, poison) in entries.iter_mut().enumerate() {
                    for suspect in reports.iter().filter(|_| to != from) {
                        // One report in ten is lost.
                        if random.random_bool(0.9) {
                            poison.note_peer(suspect.clone(), now);
                        }
                    }
                }
            }
        }
    }
    totals
}

#[rstest]
#[case(0.05)]
#[case(0.2)]
fn few_crashes_stop_unlike_requests_with_a_harmful_part_and_sound_ones_are_served(
    #[case] share: f64,
) {
    for seed in 0..20 {
        let totals = play(seed, share, true);
        assert!(totals.crashes <= 5, "seed {seed}: {totals:?}");
        assert!(totals.harmful_refused >= 5, "seed {seed}: {totals:?}");
        assert_eq!(totals.sound_refused, 0, "seed {seed}: {totals:?}");
    }
}

#[test]
fn without_the_parts_of_prompts_the_requests_crash_endpoint_after_endpoint() {
    let crashes = (0..20).map(|seed| play(seed, 0.05, false).crashes);
    assert!(crashes.min().expect("seeds") > 5);
}
