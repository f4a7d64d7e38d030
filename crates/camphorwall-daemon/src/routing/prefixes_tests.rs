use rstest::rstest;

use super::*;

const PROMPT: [u64; 3] = [1, 2, 3];

fn name(text: &str) -> InstanceId {
    text.parse().unwrap()
}

/// Pieces that an entry believes to be cached at two endpoints, of which one was sent some of them.
fn believed(sent: usize, reported: (&str, usize)) -> (usize, usize) {
    let mut prefixes = PrefixHolders::default();
    prefixes.note(&PROMPT[..sent], &name("a"));
    prefixes.correct(&PROMPT, &name(reported.0), reported.1);
    let at = |one: &str| prefixes.cached_pieces(&PROMPT, &name(one));
    (at("a"), at("b"))
}

#[rstest]
#[case::evicted_pieces_are_forgotten(3, ("a", 1), (1, 0))]
#[case::all_are_evicted(3, ("a", 0), (0, 0))]
#[case::pieces_that_another_entry_sent_are_found(0, ("b", 2), (0, 2))]
#[case::the_endpoint_with_more_pieces_is_the_holder(1, ("b", 3), (0, 3))]
#[case::of_equals_the_first_stays(2, ("b", 2), (2, 0))]
#[case::a_denial_leaves_the_others(3, ("b", 0), (3, 0))]
fn a_belief_is_corrected_both_ways(
    #[case] sent: usize,
    #[case] reported: (&str, usize),
    #[case] expected: (usize, usize),
) {
    assert_eq!(believed(sent, reported), expected);
}

#[test]
fn forgotten_pieces_leave_no_trace_in_the_order() {
    let mut prefixes = PrefixHolders::default();
    for _ in 0..3 {
        prefixes.correct(&PROMPT, &name("a"), 3);
        prefixes.correct(&PROMPT, &name("a"), 0);
    }
    assert_eq!((prefixes.holders.len(), prefixes.order.len()), (0, 0));
}
