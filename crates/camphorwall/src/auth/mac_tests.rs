use proptest::prelude::*;

use super::*;
use crate::{HeaderError, auth::PeerSecret};

const SECRET: &str = "a-secret-with-enough-characters-0001";
const OTHER_SECRET: &str = "a-secret-with-enough-characters-0002";
const BODY: &[u8] = b"{\"method\":\"reserve\"}";

fn auth(secrets: &[&str]) -> PeerAuth {
    let secrets: Vec<PeerSecret> = secrets.iter().map(|one| one.parse().unwrap()).collect();
    PeerAuth::new(&secrets)
}

fn target() -> CallTarget<'static> {
    CallTarget {
        method: "POST",
        path: "/rpc",
        receiver: "10.0.0.1:7100".parse().unwrap(),
    }
}

fn sign(auth: &PeerAuth, epoch: u64, nonce: u64) -> CallHeader {
    let sender = "entry-0".parse().unwrap();
    auth.sign_call(target(), &sender, epoch, nonce, BODY)
        .unwrap()
}

#[test]
fn a_call_verifies_and_any_other_method_path_receiver_or_sender_does_not() {
    let auth = auth(&[SECRET]);
    let header = sign(&auth, 7, 9);
    assert!(auth.verify_call(target(), &header));
    let others = [
        CallTarget {
            method: "GET",
            ..target()
        },
        CallTarget {
            path: "/start",
            ..target()
        },
        CallTarget {
            receiver: "10.0.0.2:7100".parse().unwrap(),
            ..target()
        },
    ];
    assert!(
        others
            .iter()
            .all(|other| !auth.verify_call(*other, &header))
    );
    let impersonated = CallHeader {
        sender: "entry-1".parse().unwrap(),
        ..header
    };
    assert!(!auth.verify_call(target(), &impersonated));
}

#[test]
fn a_secret_can_be_replaced_in_three_steps_without_a_refused_call() {
    let steps = [
        auth(&[SECRET]),
        auth(&[SECRET, OTHER_SECRET]),
        auth(&[OTHER_SECRET, SECRET]),
        auth(&[OTHER_SECRET]),
    ];
    for pair in steps.windows(2) {
        assert!(pair[0].verify_call(target(), &sign(&pair[1], 1, 1)));
        assert!(pair[1].verify_call(target(), &sign(&pair[0], 1, 1)));
    }
    assert!(!steps[0].verify_call(target(), &sign(&steps[3], 1, 1)));
}

#[test]
fn an_answer_is_bound_to_its_call_its_status_and_its_body() {
    let auth = auth(&[SECRET]);
    let (call, other_call) = (sign(&auth, 7, 9), sign(&auth, 7, 10));
    let proof = auth.sign_answer(&call, 200, 8, Some(b"yes")).unwrap();
    assert!(auth.verify_answer(&call, 200, &proof, Some(b"yes")));
    assert!(!auth.verify_answer(&other_call, 200, &proof, Some(b"yes")));
    assert!(!auth.verify_answer(&call, 500, &proof, Some(b"yes")));
    assert!(!auth.verify_answer(&call, 200, &proof, Some(b"no")));
    assert!(!auth.verify_answer(&call, 200, &proof, None));
}

#[test]
fn a_secret_appears_in_no_debug_output_json_or_error() {
    let secret: PeerSecret = SECRET.parse().unwrap();
    let shown = format!("{secret:?} {}", serde_json::to_string(&secret).unwrap());
    assert!(!shown.contains(SECRET), "{shown}");
    let error = "too-short-secret".parse::<PeerSecret>().unwrap_err();
    assert!(!error.to_string().contains("too-short-secret"));
}

proptest! {
    #[test]
    fn a_header_parsed_from_any_text_survives_its_text_form(text in "[ -~]{0,200}") {
        if let Ok(header) = text.parse::<CallHeader>() {
            prop_assert_eq!(header.to_string().parse::<CallHeader>(), Ok(header));
        }
        if let Ok(proof) = text.parse::<ProofHeader>() {
            prop_assert_eq!(proof.to_string().parse::<ProofHeader>(), Ok(proof));
        }
    }

    #[test]
    fn a_header_survives_its_text_form_and_one_changed_character_is_detected(
        epoch: u64, nonce: u64, position in 0_usize..90, replacement in "[0-9a-z;]",
    ) {
        let auth = auth(&[SECRET]);
        let header = sign(&auth, epoch, nonce);
        let text = header.to_string();
        prop_assert_eq!(text.parse(), Ok(header.clone()));
        let position = position % text.len();
        let mut changed = text;
        changed.replace_range(position..=position, &replacement);
        let read: Result<CallHeader, HeaderError> = changed.parse();
        let is_other = read.as_ref().is_ok_and(|read| *read != header);
        prop_assert!(!is_other || !auth.verify_call(target(), &read.unwrap()));
    }

    #[test]
    fn a_datagram_opens_only_complete_and_unchanged_with_a_shared_secret(
        content in prop::collection::vec(any::<u8>(), 0..300), position: prop::sample::Index, bit in 0_u8..8,
    ) {
        let (first, second) = (auth(&[SECRET]), auth(&[OTHER_SECRET, SECRET]));
        let sealed = first.seal(&content);
        prop_assert_eq!(second.open(&sealed), Some(content));
        prop_assert_eq!(auth(&[OTHER_SECRET]).open(&sealed), None);
        prop_assert_eq!(first.open(&sealed[..sealed.len() - 1]), None);
        let mut changed = sealed;
        let position = position.index(changed.len());
        changed[position] ^= 1 << bit;
        prop_assert_eq!(first.open(&changed), None);
    }
}
