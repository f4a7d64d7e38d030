//! Reads configurations in a task of their own, so that small and urgent changes don't wait for a large one.

use std::rc::Rc;

use super::{
    call::StoreError,
    follow::{RETRY_PAUSE, list},
};
use crate::{
    clock::{Moment, processor_time},
    dialect::StoreItem,
    entry::Entry,
};

/// Reads the configuration whenever there is a newer one, until the entry's tasks are dropped.
pub(crate) async fn keep_configuration(entry: Rc<Entry>) {
    let mut has_failed = false;
    loop {
        while entry.tracker.borrow().needs_read() {
            match read_configuration(&entry).await {
                Ok(()) => has_failed = false,
                Err(error) => {
                    if !has_failed {
                        tracing::warn!(event = "configuration_not_read", %error);
                    }
                    has_failed = true;
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        entry.configuration_wanted.notified().await;
    }
}

/// Reads the newest configuration.
async fn read_configuration(entry: &Entry) -> Result<(), StoreError> {
    let sent_at = Moment::now();
    let prefix = entry.dialect.store.configuration_prefix;
    let (_, revision) = list(entry, prefix, apply_configuration).await?;
    entry.tracker.borrow_mut().confirm(revision);
    entry.registry.borrow_mut().prove(sent_at);
    entry.configuration_read.notify();
    entry.mirror.borrow_mut().wake_followers();
    Ok(())
}

/// Puts a configuration in force unless a newer one is.
pub(super) fn apply_configuration(entry: &Entry, item: &StoreItem) {
    let Some(value) = &item.value else { return };
    let (began_at, processor_before) = (Moment::now(), processor_time());
    let read = (entry.dialect.store.configuration)(&item.key, value);
    let has_same_keys = match read {
        None => return,
        Some(Ok(configuration)) => {
            let version = configuration.version;
            let mut registry = entry.registry.borrow_mut();
            let in_force = registry.configuration();
            let has_same_keys =
                in_force.is_some_and(|current| current.has_same_keys(&configuration));
            let is_newer = registry.apply_configuration(configuration);
            tracing::info!(
                event = "configuration_read",
                version,
                in_force = is_newer,
                revision = item.revision,
                bytes = value.len(),
                parse_ms = Moment::now().since(began_at).as_millis(),
                parse_processor_ms = processor_time()
                    .saturating_sub(processor_before)
                    .as_secs_f64()
                    * 1e3,
            );
            has_same_keys
        }
        Some(Err(error)) => {
            tracing::warn!(event = "configuration_unreadable", key = &*item.key, error);
            true
        }
    };
    let mut tracker = entry.tracker.borrow_mut();
    tracker.note_read(item.revision, has_same_keys);
}
