use std::time::Duration;

use camphorwall::ServiceId;

use crate::{
    retries::{Fleet, RetryBounds, RetryBudget},
    testing::at_ms,
};

const BOUNDS: RetryBounds = RetryBounds {
    share: 0.2,
    window: Duration::from_secs(10),
    allowance: 52.0,
};

const ALONE: Fleet = Fleet {
    entries: 1,
    are_all_heard: true,
};

fn service() -> ServiceId {
    "drafts".parse().expect("a name")
}

/// Repeats of a fleet over half a minute, with the most in any window and the bound of that window.
struct Day {
    by_entry: Vec<usize>,
    most: usize,
    bound: f64,
}

/// Plays entries of which each gets a request every so many milliseconds, and wishes to repeat each of them several
/// times where it has failures. Words take a tenth of a second; entries that are cut off hear nothing.
fn play(entries: usize, fails: impl Fn(usize) -> bool, is_cut: impl Fn(u64) -> bool) -> Day {
    const REQUEST_PERIOD_MS: u64 = 50;
    let mut budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(BOUNDS)).collect();
    let mut taken = Vec::new();
    let mut by_entry = vec![0; entries];
    for now_ms in (0..30_000).step_by(10) {
        let now = at_ms(now_ms);
        if now_ms % 100 == 0 && !is_cut(now_ms) {
            let told: Vec<_> = budgets.iter_mut().map(|budget| budget.told(now)).collect();
            for (to, budget) in budgets.iter_mut().enumerate() {
                for from in (0..entries).filter(|from| *from != to) {
                    budget.note_peer(from as u64, told[from].clone());
                }
            }
        }
        let fleet = Fleet {
            entries,
            are_all_heard: !is_cut(now_ms),
        };
        for (number, budget) in budgets.iter_mut().enumerate() {
            if now_ms % REQUEST_PERIOD_MS == 0 {
                budget.earn(&service(), now);
            }
            let wishes = if fails(number) { 5 } else { 0 };
            for _ in 0..wishes {
                if budget.take(&service(), fleet, now) {
                    taken.push(now_ms);
                    by_entry[number] += 1;
                }
            }
        }
    }
    let in_window = |start: &u64| {
        taken
            .iter()
            .filter(|at| (*start..start + 10_000).contains(at))
            .count()
    };
    let requests = entries as f64 * 10_000.0 / REQUEST_PERIOD_MS as f64;
    Day {
        by_entry,
        most: taken.iter().map(in_window).max().unwrap_or(0),
        bound: BOUNDS.share * requests + BOUNDS.allowance,
    }
}

#[test]
fn a_fleet_in_which_everything_fails_stays_within_the_bound_and_uses_it() {
    for entries in [1, 2, 4, 7, 30] {
        let day = play(entries, |_| true, |_| false);
        assert!(
            day.most as f64 <= day.bound,
            "{entries} entries sent {}, bound {}",
            day.most,
            day.bound
        );
        assert!(
            day.most as f64 >= day.bound * 0.7,
            "{entries} entries sent only {} of {}",
            day.most,
            day.bound
        );
    }
}

#[test]
fn a_fleet_that_is_cut_apart_stays_within_the_bound() {
    for entries in [2, 4, 30] {
        for cut_from_ms in [0, 5_000, 12_000] {
            let day = play(entries, |_| true, |now_ms| now_ms >= cut_from_ms);
            assert!(
                day.most as f64 <= day.bound,
                "{entries} entries sent {}, bound {}",
                day.most,
                day.bound
            );
        }
    }
}

#[test]
fn an_entry_that_alone_meets_failures_gets_far_more_than_an_even_share() {
    let day = play(20, |number| number == 3, |_| false);
    let even = day.bound / 20.0 * 3.0;
    assert!(
        day.by_entry[3] as f64 > even * 2.0,
        "{} where an even share is {even}",
        day.by_entry[3]
    );
    assert!(day.most as f64 <= day.bound);
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let mut budget = RetryBudget::new(BOUNDS);
    for now_ms in 0..9_000 {
        budget.take(&service(), ALONE, at_ms(now_ms));
    }
    assert!(!budget.take(&service(), ALONE, at_ms(9_000)));
    assert!(budget.take(&service(), ALONE, at_ms(19_001)));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(BOUNDS);
    while budget.take(&service(), ALONE, at_ms(0)) {}
    let other = "numbers".parse().expect("a name");
    assert!(budget.take(&other, ALONE, at_ms(0)));
}
