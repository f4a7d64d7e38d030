use rstest::rstest;

use super::*;

#[rstest]
#[case("")]
#[case("a b")]
#[case("a/b")]
fn an_empty_name_or_one_with_other_characters_is_refused(#[case] text: &str) {
    assert!(text.parse::<TeamId>().is_err());
}

#[test]
fn a_key_digest_parses_from_its_text_and_only_equal_keys_have_equal_digests() {
    let digest = KeyDigest::of_key("secret");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!(digest, KeyDigest::of_key("secret"));
    assert_ne!(digest, KeyDigest::of_key("other"));
}
