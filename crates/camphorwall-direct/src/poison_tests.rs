use crate::{
    poison::{Fingerprint, Poison},
    testing::at_ms,
};

const REQUEST: Fingerprint = Fingerprint(7);

#[test]
fn a_request_is_blocked_after_three_crashes() {
    let mut poison = Poison::default();
    for crashes in 1..=3 {
        assert!(!poison.is_blocked(REQUEST, at_ms(0)));
        assert_eq!(poison.note_crash(REQUEST, at_ms(0)), crashes);
    }
    assert!(poison.is_blocked(REQUEST, at_ms(0)));
    assert!(!poison.is_blocked(Fingerprint(8), at_ms(0)));
}

#[test]
fn an_answered_request_is_cleared() {
    let mut poison = Poison::default();
    poison.note_crash(REQUEST, at_ms(0));
    poison.note_crash(REQUEST, at_ms(0));
    poison.note_answer(REQUEST);
    poison.note_crash(REQUEST, at_ms(0));
    assert!(!poison.is_blocked(REQUEST, at_ms(0)));
}

#[test]
fn a_block_expires_after_a_minute_without_a_crash() {
    let mut poison = Poison::default();
    for _ in 0..3 {
        poison.note_crash(REQUEST, at_ms(0));
    }
    assert!(poison.is_blocked(REQUEST, at_ms(60_000)));
    assert!(!poison.is_blocked(REQUEST, at_ms(60_001)));
}

#[test]
fn memory_is_bounded_under_a_flood_of_crashing_requests() {
    let mut poison = Poison::default();
    for number in 0..20_000 {
        poison.note_crash(Fingerprint(number), at_ms(number * 20));
    }
    assert!(poison.len() <= 4_096);
}
