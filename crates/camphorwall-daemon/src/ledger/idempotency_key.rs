//! Parses an idempotency key and its issue time, and computes the digest of a call's content.
//!
//! By the issue time an owner decides whether the key may have been used before the owner's records begin.

use camphorwall::PlainCall;
use http::HeaderMap;
use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_128;

/// Header with the key.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

/// Header with the issue time of a key that is not a `UUIDv7`, in milliseconds of Unix time.
pub(crate) const ISSUED_AT_HEADER: &str = "idempotency-issued-at";

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// A key that can't be used.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub(crate) enum KeyError {
    /// The header is missing.
    #[snafu(display("send an Idempotency-Key header with a UUIDv7 made for this call"))]
    Missing,
    /// The key is empty, too long, or contains characters other than visible ASCII.
    #[snafu(display(
        "the Idempotency-Key is not usable: send 1 to {MAX_KEY_BYTES} visible ASCII characters, best a UUIDv7"
    ))]
    Unusable,
    /// The key has no issue time.
    #[snafu(display(
        "the Idempotency-Key does not tell when it was made: send a UUIDv7, or add Idempotency-Issued-At with the \
         milliseconds of Unix time, the same with each repeat"
    ))]
    NoIssueTime,
}

/// Key of a request and its issue time in milliseconds of Unix time.
pub(crate) fn key_and_issue_time(headers: &HeaderMap) -> Result<(String, u64), KeyError> {
    let key = headers.get(KEY_HEADER).ok_or(KeyError::Missing)?;
    let key = key.to_str().map_err(|_| KeyError::Unusable)?;
    let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_visible {
        return Err(KeyError::Unusable);
    }
    let issued_at = headers
        .get(ISSUED_AT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse().ok());
    let issued_ms = uuid_issue_time(key)
        .or(issued_at)
        .ok_or(KeyError::NoIssueTime)?;
    Ok((key.to_owned(), issued_ms))
}

fn uuid_issue_time(key: &str) -> Option<u64> {
    let uuid: Uuid = key.parse().ok()?;
    let is_v7 = uuid.get_version() == Some(uuid::Version::SortRand);
    let (seconds, nanoseconds) = uuid.get_timestamp().filter(|_| is_v7)?.to_unix();
    Some(seconds * 1_000 + u64::from(nanoseconds / 1_000_000))
}

/// Digest of a call's content, to detect a repeated key with other content.
pub(crate) fn content_digest(call: &PlainCall) -> String {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    format!("{:032x}", xxh3_128(&text))
}

#[cfg(test)]
#[path = "idempotency_key_tests.rs"]
mod tests;
