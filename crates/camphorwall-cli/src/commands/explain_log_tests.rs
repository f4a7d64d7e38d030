use super::*;

const FIRST: &str = "front-b 2026-01-05T22:43:04.2Z  INFO event=\"request_ended\" request_id=\"r-1\" \
    outcome=\"over_quota\" status=429 elapsed_ms=0";
const OTHER: &str = "front-a 2026-01-05T22:43:04.1Z  INFO event=\"request_ended\" request_id=\"r-12\" outcome=\"answered\"";
const EARLIER: &str =
    "front-a 2026-01-05T22:43:03.9Z  INFO event=\"attempt_failed\" request_id=r-1 endpoint=e-1";

#[test]
fn lines_of_one_request_are_sorted_by_time_and_followed_by_the_meaning_of_the_outcome() {
    let history =
        request_history([FIRST, OTHER, EARLIER].into_iter(), "r-1").expect("lines of the request");
    let lines: Vec<_> = history.lines().collect();
    assert!(
        lines[0].starts_with("2026-01-05T22:43:03.9Z front-a"),
        "{history}"
    );
    assert!(
        lines[1].starts_with("2026-01-05T22:43:04.2Z front-b"),
        "{history}"
    );
    assert_eq!(
        lines[3],
        format!("over_quota: {}", RequestEnd::OverQuota.meaning())
    );
    assert_eq!(lines.len(), 4);
}

#[test]
fn a_request_without_a_log_line_has_no_history() {
    assert_eq!(request_history([FIRST, OTHER].into_iter(), "r-2"), None);
    let error = explain_logs(&["/nonexistent".into()], "r-1").unwrap_err();
    assert!(error.to_string().contains("/nonexistent"), "{error}");
}

#[test]
fn fields_are_found_by_their_full_name() {
    let line = "a xrequest_id=\"no\" request_id=\"yes\" quota_wait_ms=7";
    assert_eq!(field(line, "request_id"), Some("yes"));
    assert_eq!(field(line, "quota_wait_ms"), Some("7"));
    assert_eq!(field(line, "wait_ms"), None);
}
