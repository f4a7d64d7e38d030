use std::collections::BTreeMap;

use camphorwall::Priority;

use super::{Claim, FairQueue};

fn claim(team: &str, priority: u8, weight: u32, cost_tokens: u64) -> Claim {
    Claim {
        team: Some(team.parse().unwrap()),
        priority: Priority(priority),
        weight,
        cost_tokens,
    }
}

/// Tokens served to each team by the first `count` items taken from a queue.
fn served_tokens(mut pop: impl FnMut() -> Option<Claim>, count: usize) -> BTreeMap<String, u64> {
    let mut tokens = BTreeMap::new();
    for taken in std::iter::from_fn(&mut pop).take(count) {
        let team = taken.team.map(|team| team.to_string()).unwrap_or_default();
        *tokens.entry(team).or_default() += taken.cost_tokens;
    }
    tokens
}

fn flood_and_trickle() -> Vec<Claim> {
    let flood = (0..500).map(|_| claim("flood", 0, 1, 100));
    let trickle = (0..50).map(|_| claim("trickle", 0, 1, 100));
    flood.chain(trickle).collect()
}

/// Whether each of two teams has at least nine tenths of an equal share.
fn is_fair(tokens: &BTreeMap<String, u64>) -> bool {
    let total: u64 = tokens.values().sum();
    let least = tokens.values().min().copied().unwrap_or_default();
    tokens.len() == 2 && least as f64 >= 0.9 * total as f64 / 2.0
}

#[test]
fn a_team_with_ten_times_the_requests_gets_no_more_than_its_share() {
    let mut queue = FairQueue::default();
    for one in flood_and_trickle() {
        queue.push(one, ());
    }
    assert!(is_fair(&served_tokens(
        || queue.pop().map(|(one, ())| one),
        80
    )));
}

#[test]
fn the_check_of_fairness_catches_a_first_in_first_out_queue() {
    let mut arrived = flood_and_trickle().into_iter();
    assert!(!is_fair(&served_tokens(|| arrived.next(), 80)));
}

#[test]
fn tokens_are_divided_by_weight_whatever_the_size_of_the_requests() {
    let mut queue = FairQueue::default();
    for _ in 0..1_000 {
        queue.push(claim("large", 0, 3, 50), ());
        queue.push(claim("small", 0, 1, 200), ());
    }
    let tokens = served_tokens(|| queue.pop().map(|(one, ())| one), 400);
    let ratio = tokens["large"] as f64 / tokens["small"] as f64;
    assert!((2.8..3.2).contains(&ratio), "{tokens:?}");
}

#[test]
fn a_higher_priority_goes_first() {
    let mut queue = FairQueue::default();
    queue.push(claim("batch", 0, 100, 1), "batch");
    queue.push(claim("till", 2, 1, 1_000), "till");
    assert_eq!(queue.pop().unwrap().1, "till");
}

#[test]
fn an_idle_team_gains_no_credit() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push(claim("busy", 0, 1, 100), ());
    }
    for _ in 0..50 {
        queue.pop();
    }
    for _ in 0..50 {
        queue.push(claim("late", 0, 1, 100), ());
    }
    assert!(is_fair(&served_tokens(
        || queue.pop().map(|(one, ())| one),
        40
    )));
}

#[test]
fn the_position_of_a_new_claim_counts_only_what_goes_before_it() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push(claim("flood", 0, 1, 100), ());
    }
    queue.push(claim("till", 2, 1, 100), ());
    assert_eq!(queue.count_before(&claim("till", 2, 1, 100)), 1);
    assert_eq!(queue.count_before(&claim("trickle", 0, 1, 100)), 2);
    assert_eq!(queue.count_before(&claim("flood", 0, 1, 100)), 101);
}

#[test]
fn a_removed_claim_is_not_served() {
    let mut queue = FairQueue::default();
    let removed = claim("removed", 0, 1, 1);
    let ticket = queue.push(removed.clone(), "removed");
    queue.push(claim("kept", 0, 1, 1), "kept");
    queue.remove(&removed, ticket);
    assert_eq!((queue.len(), queue.pop().unwrap().1), (1, "kept"));
}

/// The item that a claim displaces from a queue that holds ten of `batch` and ten of `flood`, if any.
fn displaced_by(new: &Claim) -> Option<&'static str> {
    let mut queue = FairQueue::default();
    for _ in 0..10 {
        queue.push(claim("batch", 0, 1, 100), "batch");
        queue.push(claim("flood", 1, 1, 100), "flood");
    }
    let displaced = queue.displace_last(new).map(|(_, item)| item);
    assert_eq!(queue.len(), 20 - usize::from(displaced.is_some()));
    displaced
}

#[test]
fn a_higher_priority_displaces_the_lowest_from_a_full_queue() {
    assert_eq!(displaced_by(&claim("till", 2, 1, 100)), Some("batch"));
    assert_eq!(displaced_by(&claim("flood", 1, 1, 100)), Some("batch"));
}

#[test]
fn a_team_that_is_behind_displaces_an_item_of_a_team_ahead() {
    assert_eq!(displaced_by(&claim("trickle", 0, 1, 100)), Some("batch"));
}

#[test]
fn a_team_that_fills_the_queue_displaces_nothing() {
    assert_eq!(displaced_by(&claim("batch", 0, 1, 100)), None);
}
