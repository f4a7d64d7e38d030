use std::time::Duration;

use bytes::Bytes;

use crate::{
    clock::Moment,
    dialect::StoreItem,
    store::evacuations::{apply_evacuation, apply_listed, is_covered, note_watched_all},
    testing::entry_with_empty_dialect,
};

/// An evacuation that was written at a revision, or its end.
fn item(key: &str, is_evacuated: bool, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: is_evacuated.then(Bytes::new),
        revision: revision.into(),
    }
}

/// Guards against an evacuation that is missed between a list and a watch of all keys that began later, as when another
/// entry passed on the configuration after which the watch begins.
#[compio::test]
async fn a_watch_that_began_after_the_known_revision_proves_nothing() {
    let entry = entry_with_empty_dialect();
    apply_listed(&entry, &[], 5.into());
    entry.tracker.borrow_mut().confirm(9, Moment::now());
    entry.is_watching_all.set(true);
    assert!(!is_covered(&entry, 5));
    note_watched_all(&entry, 9, 12, Moment::now());
    assert_eq!(entry.registry.borrow().evacuations.revision(), Some(5));
    // The task's own watch has caught up.
    entry.registry.borrow_mut().evacuations.advance(10, None);
    assert!(is_covered(&entry, 10));
    note_watched_all(&entry, 9, 12, Moment::now());
    assert_eq!(entry.registry.borrow().evacuations.revision(), Some(12));
}

/// Guards against an evacuation that is missed while only endpoints are watched.
#[compio::test]
async fn a_watch_of_endpoints_shows_no_evacuations() {
    let entry = entry_with_empty_dialect();
    apply_listed(&entry, &[], 5.into());
    entry.tracker.borrow_mut().confirm(5, Moment::now());
    assert!(!is_covered(&entry, 5));
    entry.is_watching_all.set(true);
    assert!(is_covered(&entry, 5));
    // A configuration must be read, so that the watch of all keys doesn't begin again.
    entry.tracker.borrow_mut().note_change(5, Moment::now());
    assert!(!is_covered(&entry, 5));
}

/// Guards against calls to a store that answers none, beside those of the task that notices its return.
#[compio::test]
async fn nothing_is_asked_while_calls_to_the_store_fail() {
    let entry = entry_with_empty_dialect();
    apply_listed(&entry, &[], 5.into());
    assert!(!is_covered(&entry, 5));
    let since = Moment::now() - Duration::from_secs(1);
    entry.registry.borrow_mut().contact.note_failure(since);
    assert!(is_covered(&entry, 5));
}

/// Guards against other keys that are taken for evacuations.
#[compio::test]
async fn only_keys_with_the_prefix_and_a_name_are_evacuations() {
    let entry = entry_with_empty_dialect();
    assert!(!apply_evacuation(&entry, &item("configuration", true, 3)));
    assert!(apply_evacuation(&entry, &item("evacuations/", true, 4)));
    let evacuated = |entry: &crate::entry::Entry| {
        let registry = entry.registry.borrow();
        registry.evacuations.names().count()
    };
    assert_eq!(evacuated(&entry), 0);
    assert!(apply_evacuation(&entry, &item("evacuations/a", true, 5)));
    assert_eq!(evacuated(&entry), 1);
    let listed = [
        item("configuration", true, 3),
        item("evacuations/", true, 4),
    ];
    apply_listed(&entry, &listed, 6.into());
    assert_eq!(evacuated(&entry), 0);
}
