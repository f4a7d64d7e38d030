use proptest::prelude::*;

use super::*;
use crate::auth::PeerSecret;

const SECRET: &str = "a-secret-with-enough-characters-0001";
const OTHER_SECRET: &str = "a-secret-with-enough-characters-0002";

fn auth(secrets: &[&str]) -> PeerAuth {
    let secrets: Vec<PeerSecret> = secrets.iter().map(|one| one.parse().unwrap()).collect();
    PeerAuth::new(&secrets)
}

fn name(text: &str) -> InstanceId {
    text.parse().unwrap()
}

#[test]
fn a_query_opens_only_at_its_receiver_and_with_a_known_secret() {
    let (tag, datagram) = auth(&[SECRET]).seal_query(&name("decode-1"), b"content");
    let opened = auth(&[OTHER_SECRET, SECRET]);
    let opened = opened.open_query(&name("decode-1"), &datagram);
    assert_eq!(opened, Some((tag, &b"content"[..])));
    let other_receiver = auth(&[SECRET]);
    assert_eq!(
        other_receiver.open_query(&name("decode-2"), &datagram),
        None
    );
    let other_secret = auth(&[OTHER_SECRET]);
    assert_eq!(other_secret.open_query(&name("decode-1"), &datagram), None);
}

#[test]
fn a_reply_verifies_only_for_the_query_that_it_answers() {
    let auth = auth(&[SECRET]);
    let (first, _) = auth.seal_query(&name("decode-1"), b"first");
    let (second, _) = auth.seal_query(&name("decode-1"), b"second");
    let reply = auth.seal_reply(first, b"reply");
    assert!(auth.verify_reply(first, &reply));
    assert!(!auth.verify_reply(second, &reply));
}

proptest! {
    #[test]
    fn no_changed_or_truncated_datagram_verifies(
        content in proptest::collection::vec(any::<u8>(), 1..64), position: prop::sample::Index, bit in 0..8_u32,
    ) {
        let auth = auth(&[SECRET]);
        let (tag, query) = auth.seal_query(&name("decode-1"), &content);
        let reply = auth.seal_reply(tag, &content);
        for datagram in [query, reply] {
            let mut changed = datagram.clone();
            changed[position.index(datagram.len())] ^= 1 << bit;
            let truncated = &datagram[..position.index(datagram.len())];
            for invalid in [&changed, truncated] {
                prop_assert_eq!(auth.open_query(&name("decode-1"), invalid), None);
                prop_assert!(!auth.verify_reply(tag, invalid));
            }
        }
    }
}
