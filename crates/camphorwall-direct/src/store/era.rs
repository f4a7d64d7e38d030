//! Begins a new era when the store has been restored from a copy.
//!
//! The store's answers, and those of the entries that read it, carry its era. What the store acknowledged after the copy may
//! be lost, and its revisions are issued again, so nothing that rests on a revision of an earlier era proves anything.

use super::call::StoreError;
use crate::{clock::Moment, entry::Entry};

/// Checks the era of an answer, and begins it if it is later than the one that is known.
///
/// # Errors
/// When the answer is from an earlier era, and so proves nothing.
pub(super) fn enter_era(entry: &Entry, era: u64) -> Result<(), StoreError> {
    match entry.store_era.get() {
        Some(known) if era < known => Err(StoreError::Failed(format!(
            "the answer is of era {era} of the store, and era {known} has begun"
        ))),
        Some(known) if era > known => {
            begin_era(entry, Some(known), era);
            Ok(())
        }
        Some(_) => Ok(()),
        None => {
            begin_era(entry, None, era);
            Ok(())
        }
    }
}

fn begin_era(entry: &Entry, previous: Option<u64>, era: u64) {
    let now = Moment::now();
    entry.store_era.set(Some(era));
    let Some(previous) = previous else {
        // The entry has just started; it knows nothing of an earlier era, and its peers may.
        if era > 0 {
            entry.tracker.borrow_mut().start_in_era(era);
            entry.withhold_proofs_until_peers_report(now);
        }
        return;
    };
    tracing::warn!(event = "store_restored", previous, era);
    {
        let mut registry = entry.registry.borrow_mut();
        registry.contact.note_restored(now);
        registry.evacuations.begin_era();
    }
    entry.tracker.borrow_mut().begin_era(era, now);
    entry.withhold_proofs_until_peers_report(now);
    entry.configuration_wanted.notify();
}
