use bytes::Bytes;

use crate::{dialect::StoreItem, store::mirror::StoreMirror, testing::at_ms};

fn item(key: &str, value: Option<&str>, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: value.map(|value| Bytes::copy_from_slice(value.as_bytes())),
        revision: revision.into(),
    }
}

fn keys(mirror: &StoreMirror, after: u64) -> Vec<(String, bool)> {
    let changes = mirror.changes(after).expect("known changes");
    let mut keys: Vec<_> = changes
        .iter()
        .map(|change| (change.key.to_string(), change.value.is_some()))
        .collect();
    keys.sort();
    keys
}

#[test]
fn a_follower_gets_each_item_changed_since_its_revision_once_and_in_its_newest_form() {
    let mut mirror = StoreMirror::default();
    mirror.note_registration(&item("a", Some("ready"), 3));
    mirror.note_registration(&item("b", Some("ready"), 4));
    mirror.note_registration(&item("a", Some("draining"), 6));
    // A page of an older list arrives late.
    mirror.note_registration(&item("a", Some("ready"), 3));
    mirror.advance(6, Some(at_ms(0)));
    assert_eq!(keys(&mirror, 4), [("a".to_owned(), true)]);
    assert_eq!(
        mirror.changes(5).expect("changes")[0].value.as_deref(),
        Some(&b"draining"[..])
    );
    assert!(keys(&mirror, 6).is_empty());
}

#[test]
fn registrations_missing_from_a_list_are_reported_as_removed() {
    let mut mirror = StoreMirror::default();
    mirror.note_registration(&item("a", Some("ready"), 3));
    mirror.note_registration(&item("b", Some("ready"), 4));
    mirror.keep_only(&["b".into()], 9);
    mirror.advance(9, Some(at_ms(0)));
    assert_eq!(keys(&mirror, 4), [("a".to_owned(), false)]);
}

#[test]
fn old_removals_are_dropped_and_a_follower_that_lacks_them_gets_no_changes() {
    let mut mirror = StoreMirror::default();
    for number in 0..1_000 {
        mirror.note_registration(&item(&format!("e{number}"), None, 10 + number));
        mirror.advance(10 + number, Some(at_ms(0)));
    }
    assert!(mirror.changes(5).is_none());
    assert!(mirror.changes(1_000).is_some());
    let kept = mirror.changes(900).expect("known changes").len();
    assert_eq!(kept, 109);
}

#[test]
fn a_waiting_follower_is_woken_by_each_answer_of_the_store() {
    let mut mirror = StoreMirror::default();
    mirror.advance(3, Some(at_ms(0)));
    let mut waiting = mirror.next_update();
    assert_eq!(waiting.try_recv(), Ok(None));
    mirror.advance(3, Some(at_ms(0)));
    assert_eq!(waiting.try_recv(), Ok(Some(())));
    assert_eq!(mirror.revision(), 3.into());
}
