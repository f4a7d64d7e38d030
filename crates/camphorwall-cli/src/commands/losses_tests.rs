use super::*;

const LINES: [&str; 4] = [
    "front-a 2026-01-05T22:43:04.1Z  INFO event=\"request_ended\" request_id=\"r-1\" outcome=\"answered\" route=\"drafts\"",
    "front-a 2026-01-05T22:43:04.2Z  INFO event=\"request_ended\" request_id=\"r-2\" outcome=\"no_place_in_time\" route=\"drafts\" \
        quota_wait_ms=0 place_wait_ms=2700 prefill_ms=0 endpoint=\"\" elapsed_ms=2700",
    "front-b 2026-01-05T22:43:04.3Z  INFO event=\"request_ended\" request_id=\"r-3\" outcome=\"no_place_in_time\" route=\"drafts\" \
        quota_wait_ms=100 place_wait_ms=2500 prefill_ms=200 endpoint=\"e-1\" elapsed_ms=2800",
    "front-b 2026-01-05T22:43:04.4Z  INFO event=\"stream_broke\" request_id=\"r-4\" endpoint=e-2 outcome=\"none\"",
];

#[test]
fn unanswered_requests_are_counted_by_route_and_outcome_with_their_mean_times() {
    let output = losses(LINES.into_iter());
    let lines: Vec<Vec<&str>> = output
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    let expected = "drafts no_place_in_time 2 50 2600 100 2750 e-1 (1)";
    assert_eq!(lines[1].join(" "), expected, "{output}");
    assert!(
        output.ends_with("\n2 requests were not answered"),
        "{output}"
    );
}

#[test]
fn logs_without_losses_give_an_empty_table() {
    let output = losses(LINES.into_iter().take(1));
    assert!(
        output.ends_with("\n0 requests were not answered"),
        "{output}"
    );
}
