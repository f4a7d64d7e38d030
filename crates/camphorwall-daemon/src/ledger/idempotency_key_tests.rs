use http::{HeaderMap, HeaderValue};
use rstest::rstest;

use super::{ISSUED_AT_HEADER, KEY_HEADER, KeyError, key_and_issue_time};

const V7: &str = "0193a1f0-0000-7000-8000-000000000001";
const V4: &str = "6ff6aa72-5d2e-4f51-a7a3-0f6f5a1d8a11";

#[rstest]
#[case::uuid_v7(Some(V7), None, Ok(0x0193_a1f0_0000))]
#[case::uuid_v7_ignores_the_header(Some(V7), Some("5"), Ok(0x0193_a1f0_0000))]
#[case::other_form_with_time(Some("sale-17"), Some("1700000000000"), Ok(1_700_000_000_000))]
#[case::uuid_v4_without_time(Some(V4), None, Err(KeyError::NoIssueTime))]
#[case::time_is_no_number(Some("sale-17"), Some("yesterday"), Err(KeyError::NoIssueTime))]
#[case::empty(Some(""), Some("5"), Err(KeyError::Unusable))]
#[case::with_space(Some("a b"), Some("5"), Err(KeyError::Unusable))]
#[case::missing(None, Some("5"), Err(KeyError::Missing))]
fn a_key_needs_an_issue_time(
    #[case] key: Option<&'static str>,
    #[case] issued_at: Option<&'static str>,
    #[case] expected: Result<u64, KeyError>,
) {
    let mut headers = HeaderMap::new();
    let fields = [(KEY_HEADER, key), (ISSUED_AT_HEADER, issued_at)];
    for (name, value) in fields {
        if let Some(value) = value {
            headers.insert(name, HeaderValue::from_static(value));
        }
    }
    assert_eq!(
        key_and_issue_time(&headers).map(|(_, issued_ms)| issued_ms),
        expected
    );
}
