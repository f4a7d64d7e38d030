use futures_util::{FutureExt as _, StreamExt as _};
use http_body_util::BodyExt as _;
use proptest::prelude::*;

use super::*;
use crate::{auth::CallTarget, stream_body};

const SECRET: &str = "a-secret-with-enough-characters-0001";

fn auth() -> PeerAuth {
    PeerAuth::new(&[SECRET.parse().unwrap()])
}

fn call(nonce: u64) -> CallHeader {
    let target = CallTarget {
        method: "POST",
        path: "/start",
        receiver: "10.0.0.1:7100".parse().unwrap(),
    };
    let sender = "entry-0".parse().unwrap();
    auth().sign_call(target, &sender, 1, nonce, b"").unwrap()
}

/// Returns the records of an answer as they are sent, one element for each write.
fn sealed(nonce: u64, parts: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let parts: Vec<_> = parts.iter().cloned().map(|one| Ok(one.into())).collect();
    let body = stream_body(futures_util::stream::iter(parts));
    let sealer = RecordSealer::new(auth(), call(nonce));
    let body = SealedBody::new(body, sealer).into_data_stream();
    let writes = body.map(|bytes| bytes.unwrap().to_vec());
    writes.collect().now_or_never().unwrap()
}

/// Returns the content that a reader accepts before the end or the first error.
fn opened(nonce: u64, wire: &[u8], chunk_bytes: usize) -> (Vec<u8>, io::Result<()>) {
    let mut opener = RecordOpener::new(auth(), call(nonce));
    let mut accepted = Vec::new();
    for chunk in wire.chunks(chunk_bytes) {
        opener.push(chunk);
        loop {
            match opener.next_content() {
                Ok(Some(content)) => accepted.extend_from_slice(&content),
                Ok(None) => break,
                Err(error) => return (accepted, Err(error)),
            }
        }
    }
    (accepted, opener.finish())
}

fn parts() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let part = proptest::collection::vec(any::<u8>(), 1..40);
    proptest::collection::vec(part, 1..6)
}

#[test]
fn a_part_longer_than_a_record_arrives_complete() {
    let part = vec![7; 2 * MAX_CONTENT_BYTES + 5];
    let wire = sealed(1, std::slice::from_ref(&part)).concat();
    let (accepted, end) = opened(1, &wire, 100_000);
    assert_eq!((accepted, end.is_ok()), (part, true));
}

#[test]
fn a_record_with_an_excessive_length_is_refused_before_memory_is_used() {
    let mut opener = RecordOpener::new(auth(), call(1));
    opener.push(&u32::MAX.to_le_bytes());
    assert!(opener.next_content().is_err());
}

proptest! {
    #[test]
    fn an_answer_arrives_unchanged_whatever_the_size_of_reads(parts in parts(), chunk_bytes in 1..50_usize) {
        let wire = sealed(1, &parts).concat();
        let (accepted, end) = opened(1, &wire, chunk_bytes);
        prop_assert!(end.is_ok());
        prop_assert_eq!(accepted, parts.concat());
    }

    #[test]
    fn without_the_secret_an_answer_can_only_be_truncated_which_is_detected(
        parts in parts(), other in parts(), position: prop::sample::Index, bit in 0..8_u32, tampering in 0..6_usize,
    ) {
        let writes = sealed(1, &parts);
        let (original, at) = (writes.concat(), position.index(writes.len()));
        let mut changed = writes.clone();
        match tampering {
            0 => changed[at][position.index(writes[at].len())] ^= 1 << bit,
            1 => changed.insert(at, writes[at].clone()),
            2 => drop(changed.remove(at)),
            // From the answer to another call.
            3 => changed[at].clone_from(&sealed(2, &other)[0]),
            4 => changed.insert(at, vec![b'x'; 1 + position.index(64)]),
            _ => changed.swap(at, 0),
        }
        let wire = changed.concat();
        prop_assume!(wire != original);
        let (accepted, end) = opened(1, &wire, 16);
        prop_assert!(end.is_err());
        prop_assert!(parts.concat().starts_with(&accepted));
    }

    #[test]
    fn arbitrary_bytes_yield_no_content_and_an_error(wire in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (accepted, end) = opened(1, &wire, 7);
        prop_assert!(accepted.is_empty() && end.is_err());
    }
}
