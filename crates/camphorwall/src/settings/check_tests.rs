use std::path::Path;

use rstest::rstest;

use super::*;

const ENTRY: &str = r#"{
    // An entry.
    "instance": "entry-1",
    "data_centre": "marousi",
    "role": "entry",
    "peer_address": "127.0.0.1:7001",
    "entry": {
        "caller_address": "127.0.0.1:8001",
        "configuration_address": "127.0.0.1:7000"
    }
}"#;

fn error_of(text: &str) -> String {
    Settings::parse(Path::new("entry.jsonc"), text)
        .unwrap_err()
        .to_string()
}

#[test]
fn settings_with_comments_are_read() {
    assert!(Settings::parse(Path::new("entry.jsonc"), ENTRY).is_ok());
}

#[rstest]
#[case::unknown_field(
    r#""data_centre""#,
    r#""zone""#,
    "entry.jsonc:4: field zone: unknown field `zone`, expected one of"
)]
#[case::wrong_unit(
    r#""configuration_address""#,
    r#""max_body_kb": 4, "configuration_address""#,
    "entry.jsonc:9: field entry.max_body_kb: unknown field `max_body_kb`"
)]
#[case::missing_value(
    r#""instance": "entry-1","#,
    "",
    "entry.jsonc:11: field instance: missing field `instance`; add the field"
)]
#[case::bad_address(
    "127.0.0.1:7001",
    "localhost",
    "entry.jsonc:6: field peer_address: invalid socket address syntax; write it as IP:PORT"
)]
#[case::bad_name(
    "entry-1",
    "entry 1",
    "entry.jsonc:3: field instance: \"entry 1\" is no identifier: use 1 to 64"
)]
#[case::duplicate_field(
    r#""role": "entry","#,
    r#""role": "entry", "role": "entry","#,
    "entry.jsonc:5: field role: duplicate field `role`; write the field once"
)]
#[case::duplicate_address(
    "127.0.0.1:8001",
    "127.0.0.1:7001",
    "entry.jsonc:8: field entry.caller_address: 127.0.0.1:7001 is used by peer_address too; choose another port"
)]
#[case::other_role(
    r#""role": "entry""#,
    r#""role": "endpoint""#,
    "entry.jsonc:1: field endpoint: missing; role endpoint needs it, add the section"
)]
#[case::zero(
    r#""configuration_address""#,
    r#""max_body_bytes": 0, "configuration_address""#,
    "entry.jsonc:9: field entry.max_body_bytes: 0 is too small; write 1 or more"
)]
#[case::no_secret(
    "127.0.0.1:7001",
    "10.0.0.1:7001",
    "entry.jsonc:1: field peer_secrets: missing; address 10.0.0.1:7001 is not on loopback"
)]
#[case::short_secret(
    r#""role": "entry","#,
    r#""role": "entry", "peer_secrets": ["short"],"#,
    "entry.jsonc:5: field peer_secrets[0]: a secret has 32 to 256 printable ASCII characters"
)]
#[case::unspecified_address(
    "127.0.0.1:7001",
    "0.0.0.0:7001",
    "entry.jsonc:6: field peer_address: 0.0.0.0:7001 names no machine"
)]
fn each_fault_names_file_line_field_and_remedy(
    #[case] right: &str,
    #[case] wrong: &str,
    #[case] expected: &str,
) {
    let error = error_of(&ENTRY.replace(right, wrong));
    assert!(error.starts_with(expected), "{error}");
}
