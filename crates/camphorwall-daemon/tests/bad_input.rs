//! Malformed input from callers to an entry, over raw TCP.

use std::{net::SocketAddr, time::Duration};

use camphorwall_standin::{Caller, Fleet, FleetOptions};
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWrite as _, AsyncWriteExt as _},
    net::TcpStream,
};
use rstest::rstest;
use serde_json::json;

/// Maximum wait for an answer or a close.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

const HEAD: &str =
    "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ledger-key\r\n";

async fn start() -> Fleet {
    let options = FleetOptions {
        entry_settings: json!({
            "leave_grace_ms": 0, "body_timeout_ms": 300, "max_body_bytes": 2_000,
        }),
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

/// Sends bytes and reads until the entry closes the connection or the limit has passed. Returns the received text and
/// whether the connection was closed.
async fn exchange(address: SocketAddr, bytes: Vec<u8>, is_half_closed: bool) -> (String, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The entry may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    if is_half_closed {
        let _ = stream.shutdown().await;
    }
    let mut received = Vec::new();
    let reading = async {
        loop {
            let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
            match read {
                Ok(1..) => received.extend_from_slice(&buffer),
                Ok(0) | Err(_) => break,
            }
        }
    };
    let is_closed = compio::time::timeout(ANSWER_LIMIT, Box::pin(reading))
        .await
        .is_ok();
    (String::from_utf8_lossy(&received).into_owned(), is_closed)
}

fn with_body(head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{HEAD}{head}connection: close\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

#[rstest]
#[case::garbage(b"\x16\x03\x01 garbage\r\n\r\n".to_vec(), "HTTP/1.1 400")]
#[case::a_head_over_the_limit(
    format!("{HEAD}x-large: {}\r\n\r\n", "x".repeat(64 * 1024)).into_bytes(),
    "HTTP/1.1 431",
)]
#[case::too_many_header_fields(
    format!("{HEAD}{}\r\n", "x-one: 1\r\n".repeat(100)).into_bytes(),
    "HTTP/1.1 431",
)]
#[case::a_body_over_the_limit(with_body("", &"x".repeat(3_000)), "HTTP/1.1 413")]
#[case::a_body_that_never_arrives(
    format!("{HEAD}content-length: 100\r\n\r\n{{\"prompt\"").into_bytes(),
    "HTTP/1.1 408",
)]
#[case::chunks_without_end(
    format!("{HEAD}transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n").into_bytes(),
    "HTTP/1.1 408",
)]
#[case::a_broken_chunk(
    format!("{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n").into_bytes(),
    "HTTP/1.1 4",
)]
#[case::two_lengths(
    format!("{HEAD}content-length: 1\r\ncontent-length: 2\r\n\r\nab").into_bytes(),
    "HTTP/1.1 400",
)]
#[case::no_json(with_body("", "{prompt"), "HTTP/1.1 400")]
#[compio::test]
async fn bad_input_gets_a_clear_status_and_a_closed_connection(
    #[case] bytes: Vec<u8>,
    #[case] expected: &str,
) {
    let fleet = start().await;
    let (answer, is_closed) = exchange(fleet.caller_address(0), bytes, false).await;
    assert!(answer.starts_with(expected), "{answer}");
    assert!(is_closed, "the connection stays open after: {answer}");
    assert!(fleet.ran().is_empty());
    fleet.stop().await;
}

#[compio::test]
async fn garbage_after_a_request_closes_only_its_own_connection() {
    let fleet = start().await;
    let body = r#"{"prompt": "one two three", "max_tokens": 3}"#;
    let length = body.len();
    let bytes = format!("{HEAD}content-length: {length}\r\n\r\n{body}\x00\x01 garbage\r\n\r\n");
    let address = fleet.caller_address(0);
    let (answer, is_closed) = exchange(address, bytes.into_bytes(), false).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("HTTP/1.1 400") && is_closed, "{answer}");
    let other = Caller::new(address, Some("ledger-key"));
    assert_eq!(other.complete("one two", 2).await.unwrap().status, 200);
    fleet.stop().await;
}

#[compio::test]
async fn a_caller_that_half_closes_its_connection_counts_as_departed() {
    let fleet = start().await;
    let bytes = with_body("", r#"{"prompt": "one two", "max_tokens": 100000}"#);
    let (_, is_closed) = exchange(fleet.caller_address(0), bytes, true).await;
    assert!(is_closed);
    assert_eq!(fleet.check(Vec::new()).await, Vec::new());
    fleet.stop().await;
}
