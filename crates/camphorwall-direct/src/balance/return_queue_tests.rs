use crate::{
    balance::{
        placement::QueueRank,
        return_queue::{Pool, Turn},
    },
    configuration::Stage,
    testing::{at_ms, endpoint, endpoint_id, entry_with_empty_dialect},
};

fn rank(priority: u32, since_ms: u64) -> QueueRank {
    QueueRank {
        needs_prefill: true,
        is_late: false,
        priority,
        since: at_ms(since_ms),
    }
}

fn pool() -> Pool {
    ("drafts".parse().expect("a name"), Stage::Whole)
}

#[test]
fn callers_return_by_priority_and_then_in_the_order_of_their_arrival() {
    let entry = entry_with_empty_dialect();
    let join = |rank| Turn::join(&entry, &pool(), rank, &[]);
    let mut turns = vec![
        ("third", join(rank(1, 20))),
        ("second", join(rank(1, 10))),
        ("first", join(rank(0, 30))),
    ];
    let newcomer = (pool(), rank(1, 20), u64::MAX);
    let replica = endpoint("s1", Stage::Whole);
    let mut order = Vec::new();
    while !turns.is_empty() {
        let queue = &entry.return_queue;
        assert!(!queue.is_in_turn(&newcomer, &replica));
        let in_turn = |(_, turn): &(&str, Turn)| queue.is_in_turn(&turn.position, &replica);
        assert_eq!(turns.iter().filter(|turn| in_turn(turn)).count(), 1);
        let next = turns.iter().position(in_turn).expect("one is in turn");
        order.push(turns.remove(next).0);
    }
    assert_eq!(order, ["first", "second", "third"]);
    assert!(entry.return_queue.is_in_turn(&newcomer, &replica));
}

#[test]
fn a_request_that_cannot_use_an_endpoint_holds_nobody_back_from_it() {
    let entry = entry_with_empty_dialect();
    let first = Turn::join(&entry, &pool(), rank(1, 10), &[endpoint_id("s1")]);
    let newcomer = (pool(), rank(1, 20), u64::MAX);
    let queue = &entry.return_queue;
    assert!(queue.is_in_turn(&newcomer, &endpoint("s1", Stage::Whole)));
    assert!(!queue.is_in_turn(&newcomer, &endpoint("s2", Stage::Whole)));
    drop(first);
    assert!(queue.is_in_turn(&newcomer, &endpoint("s2", Stage::Whole)));
}
