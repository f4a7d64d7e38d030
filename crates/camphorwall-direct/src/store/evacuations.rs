//! Follows the evacuations whenever a watch of all keys doesn't show them: while a configuration is being read and only
//! endpoints are watched, after an answer that was too large, and after the store has discarded changes.

use std::{rc::Rc, time::Duration};

use super::{
    call::{StoreError, call_store},
    follow::{CHANGES_PAUSE, RETRY_PAUSE, choose_source, list, proof_wait, proved_by},
    readers::{Source, source},
};
use crate::{
    clock::Moment,
    dialect::{Changes, StoreItem, StoreRevision},
    endpoints::evacuation::{ChangedCentre, EvacuatedCentre, EvacuationChange},
    entry::Entry,
    names::DataCentreName,
};

/// How often the task checks whether another source shows the evacuations. Longer than the pause between two watches of
/// all keys, so that none of its own begins in that pause.
const COVERAGE_CHECK_PERIOD: Duration = Duration::from_millis(80);

/// Keeps the evacuations up to date until the entry's tasks are dropped.
pub(crate) async fn follow_evacuations(entry: Rc<Entry>) {
    let mut is_list_needed = true;
    let mut has_failed = false;
    let mut was_covered = false;
    loop {
        let known = entry.registry.borrow().evacuations.revision();
        // Nothing is known of an era that has just begun.
        let is_listed = |known: &u64| *known > 0 && !is_list_needed;
        let followed = match known.filter(is_listed) {
            None => list_evacuations(&entry).await,
            Some(known) => {
                let is_covered = is_covered(&entry, known);
                if is_covered || std::mem::replace(&mut was_covered, is_covered) {
                    was_covered = is_covered;
                    compio::time::sleep(COVERAGE_CHECK_PERIOD).await;
                    continue;
                }
                watch_evacuations(&entry, known).await
            }
        };
        match followed {
            Ok(revision) => {
                is_list_needed = false;
                has_failed = false;
                if known != Some(revision) || revision == 0 {
                    compio::time::sleep(CHANGES_PAUSE).await;
                }
            }
            Err(StoreError::HistoryDiscarded | StoreError::Restored) => {
                is_list_needed = true;
                compio::time::sleep(CHANGES_PAUSE).await;
            }
            Err(error) => {
                if !has_failed {
                    tracing::warn!(event = "evacuations_not_read", %error);
                }
                has_failed = true;
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Whether another source shows all evacuations after a revision: a watch of all keys that began at or before it, or the
/// entry that this one follows. While calls to the store fail, the task that watches it finds out when they work again.
pub(super) fn is_covered(entry: &Entry, known: u64) -> bool {
    let is_failing = entry.registry.borrow().contact.is_failing();
    if is_failing {
        return true;
    }
    if choose_source(entry, source) != Source::Store {
        // While the entry lists the endpoints anew, it asks its reader for nothing.
        return entry.is_following_reader.get();
    }
    let newest_to = entry.tracker.borrow().newest_to();
    entry.is_watching_all.get() && newest_to.is_some_and(|newest_to| newest_to.number <= known)
}

/// Lists all evacuations.
async fn list_evacuations(entry: &Entry) -> Result<u64, StoreError> {
    let known_to = Moment::now();
    let prefix = entry.dialect.store.evacuations_prefix;
    let (items, revision) = list(entry, prefix).await?;
    apply_listed(entry, &items, revision);
    let revision = revision.number;
    let mut registry = entry.registry.borrow_mut();
    registry.evacuations.advance(revision, Some(known_to));
    Ok(revision)
}

/// Waits for changes of evacuations.
async fn watch_evacuations(entry: &Entry, after: u64) -> Result<u64, StoreError> {
    let store = &entry.dialect.store;
    let sent_at = Moment::now();
    let age = entry.registry.borrow().evacuations.age(sent_at);
    let wait = proof_wait(age);
    let path = (store.watch_path)(store.evacuations_prefix, after, wait);
    let body = call_store(entry, &path, wait, usize::MAX).await?;
    let changes: Changes = (store.changes)(&body.bytes).map_err(StoreError::Failed)?;
    for item in &changes.items {
        apply_evacuation(entry, item);
    }
    let elapsed = Moment::now().since(sent_at);
    let known_to = proved_by(sent_at, changes.items.is_empty(), elapsed, wait);
    let revision = changes.revision.number.max(after);
    let mut registry = entry.registry.borrow_mut();
    registry.evacuations.advance(revision, Some(known_to));
    drop(registry);
    if !changes.items.is_empty() {
        entry.mirror.borrow_mut().wake_followers();
    }
    Ok(revision)
}

/// Applies an item of the store if it is an evacuation or the end of one; returns whether it is.
pub(super) fn apply_evacuation(entry: &Entry, item: &StoreItem) -> bool {
    let store = &entry.dialect.store;
    if !item.key.starts_with(store.evacuations_prefix) {
        return false;
    }
    if let Some(name) = evacuated_centre(entry, item) {
        let mut registry = entry.registry.borrow_mut();
        let is_evacuated = item.value.is_some();
        let evacuations = &mut registry.evacuations;
        let change = evacuations.apply(&name, is_evacuated, item.revision.number, Moment::now());
        drop(registry);
        enforce(entry, change.as_slice());
    }
    true
}

/// Applies a list of items that contains all evacuations, which began at a revision.
pub(super) fn apply_listed(entry: &Entry, items: &[StoreItem], revision: StoreRevision) {
    let prefix = entry.dialect.store.evacuations_prefix;
    let evacuations = items.iter().filter(|item| item.key.starts_with(prefix));
    let evacuated = evacuations.filter_map(|item| {
        let name = evacuated_centre(entry, item)?;
        Some((name, item.revision.number))
    });
    let evacuated: Vec<_> = evacuated.collect();
    apply_evacuated(entry, &evacuated, revision.number);
}

/// Applies a complete list of evacuated data centres, as of a revision.
pub(super) fn apply_evacuated(entry: &Entry, evacuated: &[EvacuatedCentre], revision: u64) {
    let mut registry = entry.registry.borrow_mut();
    let evacuations = &mut registry.evacuations;
    let changes = evacuations.apply_list(evacuated, revision, Moment::now());
    drop(registry);
    enforce(entry, &changes);
}

/// Records that a watch of all keys after a revision has shown all changes up to another one and a moment.
pub(super) fn note_watched_all(entry: &Entry, after: u64, revision: u64, known_to: Moment) {
    let mut registry = entry.registry.borrow_mut();
    let evacuations = &mut registry.evacuations;
    // Changes before the watch may still be missing.
    if evacuations.revision().is_some_and(|known| known >= after) {
        evacuations.advance(revision, Some(known_to));
    }
}

/// The data centre that an item names.
fn evacuated_centre(entry: &Entry, item: &StoreItem) -> Option<DataCentreName> {
    let prefix = entry.dialect.store.evacuations_prefix;
    let name = item.key.strip_prefix(prefix).unwrap_or_default();
    if name.is_empty() {
        let key = &*item.key;
        tracing::warn!(
            event = "evacuation_unreadable",
            key,
            revision = %item.revision
        );
        return None;
    }
    Some(DataCentreName::from(Box::from(name)))
}

/// Logs changes and makes waiting requests and followers take note of them.
fn enforce(entry: &Entry, changes: &[ChangedCentre]) {
    if changes.is_empty() {
        return;
    }
    for (data_centre, change, revision) in changes {
        let registry = entry.registry.borrow();
        let endpoints = registry.count_in(data_centre);
        match change {
            EvacuationChange::Began if endpoints == 0 => {
                tracing::warn!(event = "evacuation_began", %data_centre, revision, endpoints);
            }
            EvacuationChange::Began => {
                tracing::info!(event = "evacuation_began", %data_centre, revision, endpoints);
            }
            EvacuationChange::Ended => {
                tracing::info!(event = "evacuation_ended", %data_centre, revision, endpoints);
            }
        }
    }
    entry.reject_closed();
    entry.placement_queue.notify();
    entry.mirror.borrow_mut().wake_followers();
}
