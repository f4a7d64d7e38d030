use rstest::rstest;

use super::*;

const PROMPT: [u64; 3] = [1, 2, 3];

fn name(text: &str) -> InstanceId {
    text.parse().unwrap()
}

/// Numbers of pieces recorded for endpoints "a" and "b" after "a" was sent `sent` pieces and one endpoint reported its
/// cached pieces.
fn recorded(sent: usize, reported: (&str, usize)) -> (usize, usize) {
    let mut prefixes = PrefixHolders::default();
    prefixes.note(&PROMPT[..sent], &name("a"));
    prefixes.correct(&PROMPT, &name(reported.0), reported.1);
    let at = |one: &str| prefixes.cached_pieces(&PROMPT, &name(one));
    (at("a"), at("b"))
}

#[rstest]
#[case::evicted_pieces_are_removed(3, ("a", 1), (1, 0))]
#[case::all_are_evicted(3, ("a", 0), (0, 0))]
#[case::pieces_that_another_entry_sent_are_found(0, ("b", 2), (0, 2))]
#[case::the_endpoint_with_more_pieces_is_the_holder(1, ("b", 3), (0, 3))]
#[case::on_a_tie_the_first_holder_stays(2, ("b", 2), (2, 0))]
#[case::a_report_of_no_pieces_leaves_other_holders(3, ("b", 0), (3, 0))]
fn recorded_holders_follow_the_endpoints_reports(
    #[case] sent: usize,
    #[case] reported: (&str, usize),
    #[case] expected: (usize, usize),
) {
    assert_eq!(recorded(sent, reported), expected);
}

#[test]
fn removed_pieces_are_also_removed_from_the_eviction_order() {
    let mut prefixes = PrefixHolders::default();
    for _ in 0..3 {
        prefixes.correct(&PROMPT, &name("a"), 3);
        prefixes.correct(&PROMPT, &name("a"), 0);
    }
    assert_eq!((prefixes.holders.len(), prefixes.order.len()), (0, 0));
}
