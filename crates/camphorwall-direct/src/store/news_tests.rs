use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    store::{
        follow::{CHANGES_PAUSE, proof_wait, proved_by},
        news::{NewsAges, RevisionLag},
    },
    testing::at_ms,
};

/// Time within which a follower must know a change.
const BOUND: Duration = Duration::from_secs(2);

/// Time that a follower has after the limit to ask another reader that doesn't answer and then the store.
const TIME_TO_ASK: Duration = Duration::from_millis(250);

/// Plays a minute of a reader's calls to the store and what its follower has of them; returns how often the follower leaves a
/// reader that works, and the longest time after news until the next are overdue.
fn play(seed: u64, delay: Duration, max_until_change_ms: u64) -> (u32, Duration) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ages = NewsAges::default();
    let (mut now, mut known_to) = (at_ms(10_000), at_ms(10_000));
    let (mut left, mut longest) = (0, Duration::ZERO);
    while now < at_ms(70_000) {
        let sent_at = now;
        let wait = proof_wait(Some(now.since(known_to)));
        let until_change = Duration::from_millis(random.random_range(1..max_until_change_ms));
        let is_empty = until_change >= wait;
        now = sent_at + until_change.min(wait) + delay;
        left += u32::from(now.since(known_to) > ages.limit());
        known_to = proved_by(sent_at, is_empty, now.since(sent_at), wait).max(known_to);
        let age = now.since(known_to);
        ages.note(age);
        longest = longest.max(ages.limit().saturating_sub(age));
        if !is_empty {
            now = now + CHANGES_PAUSE;
        }
    }
    (left, longest)
}

/// Guards against followers that learn of a change too late because their reader has lost the store, and against followers that
/// call the store themselves although their reader works.
#[rstest]
#[case::near_store(5, 3_000)]
#[case::distant_store(40, 3_000)]
#[case::many_changes(20, 200)]
#[case::few_changes(20, 60_000)]
fn news_are_overdue_soon_enough_for_the_bound_and_never_while_the_store_answers(
    #[case] delay_ms: u64,
    #[case] max_until_change_ms: u64,
) {
    for seed in 0..100 {
        let (left, longest) = play(seed, Duration::from_millis(delay_ms), max_until_change_ms);
        assert_eq!(left, 0, "seed {seed}");
        assert!(longest + TIME_TO_ASK <= BOUND, "seed {seed}: {longest:?}");
    }
}

/// Guards against followers that all call a store whose answers take long.
#[test]
fn a_store_that_is_slow_is_not_called_by_followers_too() {
    for seed in 0..100 {
        let (left, _) = play(seed, Duration::from_millis(240), 30_000);
        assert!(left <= 3, "seed {seed}: {left} times");
    }
}

/// Guards against followers that leave their readers for good because of a revision that no source ever has, such as one of a
/// store that has been replaced.
#[rstest]
#[case::up_to_date(&[(0, 5, 5), (200, 5, 5)], 0)]
#[case::behind(&[(0, 5, 6), (200, 5, 6)], 200)]
#[case::further_changes_while_behind(&[(0, 5, 6), (100, 5, 7), (200, 5, 8)], 200)]
#[case::caught_up_with_the_first_change(&[(0, 5, 6), (100, 6, 7), (200, 6, 7)], 100)]
#[case::caught_up_meanwhile(&[(0, 5, 6), (2_000, 9, 10)], 0)]
#[case::never_confirmed(&[(0, 5, 900), (1_000, 6, 900), (3_100, 7, 900)], 0)]
fn the_lag_behind_reported_revisions_counts_until_it_is_caught_up_or_not_credible(
    #[case] updates: &[(u64, u64, u64)],
    #[case] lag_ms: u64,
) {
    let mut lag = RevisionLag::default();
    let update = |(at, known, reported): &(u64, u64, u64)| {
        lag.update((*known).into(), (*reported).into(), at_ms(10_000 + at))
    };
    let last = updates.iter().map(update).last();
    assert_eq!(last, Some(Duration::from_millis(lag_ms)));
}
