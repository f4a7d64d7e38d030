//! Follows the changes of the configuration and of the endpoints' registrations, from the store or from an entry that
//! reads it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::EndpointId;

use super::{
    call::{CallTimeouts, StoreError, call},
    readers::{Source, source},
    relay,
};
use crate::{
    clock::{Moment, processor_time},
    dialect::{Changes, Page, ReadFreshness, StoreItem},
    entry::Entry,
    registry::EndpointChange,
};

/// How long the store may hold a call that waits for changes. Each answer renews the proof that the configuration in
/// force is the newest. A dead connection is detected after this time plus the call's timeout.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after changes, so that several in quick succession arrive in one answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of the store's own work on a call, beyond the wait for changes, and of each further part of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Age above which a proof is stale. The next call then doesn't wait for changes, so that one lost call delays the next
/// proof by at most this time plus the call's timeout.
const STALE_PROOF_AGE: Duration = Duration::from_secs(2);

/// Wait for changes of a call that should be answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Timeout of a reader's own work on a follower's call, beyond the wait for changes, and of each further part of its
/// answer.
const READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which this entry doesn't follow a reader that failed to answer it.
const READER_AVOIDANCE: Duration = Duration::from_secs(3);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of a list, a watch or a call to a reader.
pub(super) struct StoreUpdate {
    /// Revision from which the next call continues.
    pub(super) revision: u64,
    /// Moment up to which all changes are known.
    pub(super) proved_at: Moment,
}

/// Moment up to which a watch proves that all changes are known. The store answers without changes only at the end of
/// the wait, which began after the call was sent; it may have given any other answer at once.
pub(crate) fn proved_by(
    sent_at: Moment,
    is_empty: bool,
    elapsed: Duration,
    wait: Duration,
) -> Moment {
    if is_empty && elapsed >= wait {
        sent_at + wait
    } else {
        sent_at
    }
}

/// Chooses the source from which this entry gets changes now.
fn choose_source(entry: &Entry) -> Source {
    let local = entry.settings().peer_address;
    let neighbours = entry.peers.borrow().neighbours(Moment::now());
    source(local, &neighbours)
}

/// Records whether this entry reads the store, which heartbeats report to the peers.
fn note_reads_store(entry: &Entry, reads_store: bool) {
    if entry.reads_store.replace(reads_store) != reads_store {
        tracing::info!(event = "store_reading_changed", reads_store);
    }
}

/// How long the next call may wait for a change: not at all while the proof is stale.
fn next_wait(entry: &Entry) -> Duration {
    let proof_age = entry.registry.borrow().proof_age(Moment::now());
    if proof_age.is_some_and(|age| age <= STALE_PROOF_AGE) {
        WATCH_WAIT
    } else {
        NO_WAIT
    }
}

/// Follows the configuration and the endpoints' registrations until the entry's tasks are dropped.
pub(crate) async fn follow(entry: Rc<Entry>) {
    let mut revision = None;
    let mut is_store_unreachable = false;
    loop {
        let source = choose_source(&entry);
        let update = match (revision, source) {
            (None, _) => list_all(&entry).await,
            (Some(revision), Source::Store) => watch(&entry, revision).await,
            (Some(revision), Source::Neighbour(reader)) => {
                follow_reader(&entry, reader, revision).await
            }
        };
        match (update, source) {
            (Ok(update), _) => {
                note_reads_store(&entry, source == Source::Store);
                entry.registry.borrow_mut().prove(update.proved_at);
                entry.mirror.borrow_mut().advance(update.revision);
                if is_store_unreachable {
                    tracing::info!(event = "store_regained", revision = update.revision);
                }
                is_store_unreachable = false;
                if revision != Some(update.revision) {
                    entry.placement_queue.notify();
                    compio::time::sleep(CHANGES_PAUSE).await;
                }
                revision = Some(update.revision);
            }
            (Err(StoreError::HistoryDiscarded), Source::Neighbour(_)) => revision = None,
            (Err(StoreError::HistoryDiscarded), Source::Store) => {
                tracing::info!(event = "store_history_lost");
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                revision = None;
            }
            (Err(StoreError::Failed(error)), Source::Neighbour(reader)) if revision.is_some() => {
                tracing::info!(event = "store_reader_failed", %reader, error);
                let until = Moment::now() + READER_AVOIDANCE;
                entry.peers.borrow_mut().avoid_reader(reader, until);
            }
            (Err(StoreError::Failed(error)), _) => {
                if !is_store_unreachable {
                    tracing::warn!(event = "store_lost", error);
                }
                is_store_unreachable = true;
                note_reads_store(&entry, false);
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        drop_expired(&entry);
    }
}

fn drop_expired(entry: &Entry) {
    let expired = entry.registry.borrow_mut().drop_expired(Moment::now());
    for endpoint in expired {
        tracing::info!(event = "endpoint_changed", %endpoint, change = %EndpointChange::Removed);
        entry.suspicions.borrow_mut().forget(&endpoint);
    }
}

/// Lists the configuration and all registrations.
async fn list_all(entry: &Entry) -> Result<StoreUpdate, StoreError> {
    let store = &entry.dialect.store;
    let proved_at = Moment::now();
    // The watch starts at the revision of the first list, so it delivers changes made between the two lists.
    let freshness = ReadFreshness::Latest;
    let prefix = store.configuration_prefix;
    let (_, revision) = list(entry, prefix, freshness, apply_configuration).await?;
    let prefix = store.endpoints_prefix;
    let (keys, listed_at) = list(entry, prefix, freshness, apply_endpoint).await?;
    let ids: Vec<_> = keys
        .iter()
        .filter_map(|key| endpoint_id(entry, key))
        .collect();
    let mut registry = entry.registry.borrow_mut();
    registry.keep_only(&ids, listed_at, Moment::now());
    entry.mirror.borrow_mut().keep_only(&keys, listed_at);
    Ok(StoreUpdate {
        revision,
        proved_at,
    })
}

/// Reads all items below a prefix; returns their keys and the revision at which the list began.
async fn list(
    entry: &Entry,
    prefix: &str,
    freshness: ReadFreshness,
    apply: fn(&Entry, &StoreItem),
) -> Result<(Vec<Box<str>>, u64), StoreError> {
    let store = &entry.dialect.store;
    let mut keys: Vec<Box<str>> = Vec::new();
    let mut first_revision = None;
    loop {
        let path = (store.list_path)(prefix, keys.last().map(AsRef::as_ref), freshness);
        let body = call_store(entry, &path, Duration::ZERO).await?;
        let page: Page = (store.page)(&body).map_err(StoreError::Failed)?;
        let revision = *first_revision.get_or_insert(page.revision);
        for item in page.items {
            apply(entry, &item);
            keys.push(item.key);
        }
        if !page.has_more {
            return Ok((keys, revision));
        }
    }
}

/// Waits for changes of any item in the store.
async fn watch(entry: &Entry, after: u64) -> Result<StoreUpdate, StoreError> {
    let store = &entry.dialect.store;
    let sent_at = Moment::now();
    let wait = next_wait(entry);
    let path = (store.watch_path)("", after, wait);
    let body = call_store(entry, &path, wait).await?;
    let changes: Changes = (store.changes)(&body).map_err(StoreError::Failed)?;
    for item in &changes.items {
        if item.key.starts_with(store.endpoints_prefix) {
            apply_endpoint(entry, item);
        } else if item.key.starts_with(store.configuration_prefix) {
            apply_configuration(entry, item);
        }
    }
    let elapsed = Moment::now().since(sent_at);
    Ok(StoreUpdate {
        revision: changes.revision.max(after),
        proved_at: proved_by(sent_at, changes.items.is_empty(), elapsed, wait),
    })
}

/// Gets changes from an entry that reads the store.
pub(super) async fn follow_reader(
    entry: &Entry,
    reader: SocketAddr,
    after: u64,
) -> Result<StoreUpdate, StoreError> {
    let sent_at = Moment::now();
    let wait = next_wait(entry);
    let path = relay::path(after, wait);
    let timeouts = CallTimeouts {
        head: wait + READER_TIMEOUT,
        silence: READER_TIMEOUT,
    };
    let body = call(reader, &path, timeouts).await?;
    let response: relay::ChangesResponse =
        postcard::from_bytes(&body).map_err(|error| StoreError::Failed(error.to_string()))?;
    let received_at = Moment::now();
    if let Some(age_ms) = response.store_failed_ms {
        // Recorded before the removals are applied, since some may be expired registrations of living endpoints.
        let failed_at = received_at - Duration::from_millis(age_ms.into());
        entry.registry.borrow_mut().note_store_failure(failed_at);
    }
    for item in response.items {
        apply_endpoint(
            entry,
            &StoreItem {
                key: item.key,
                value: item.value,
                revision: item.revision,
            },
        );
    }
    read_configuration(entry, response.configuration_revision).await?;
    let waited = Duration::from_millis(response.waited_ms.into()).min(received_at.since(sent_at));
    let age = Duration::from_millis(response.proof_age_ms.into());
    if age > STALE_PROOF_AGE {
        let error = format!("the reader's proof is {} s old", age.as_secs_f64());
        return Err(StoreError::Failed(error));
    }
    Ok(StoreUpdate {
        revision: response.revision.max(after),
        proved_at: sent_at + waited - age,
    })
}

/// Reads the configuration until it is at least as new as a revision. The first read may be stale, which costs the
/// store a tenth of a linearizable read.
async fn read_configuration(entry: &Entry, revision: u64) -> Result<(), StoreError> {
    let prefix = entry.dialect.store.configuration_prefix;
    for freshness in [ReadFreshness::MayBeStale, ReadFreshness::Latest] {
        if entry.mirror.borrow().configuration_revision() >= revision {
            return Ok(());
        }
        list(entry, prefix, freshness, apply_configuration).await?;
    }
    if entry.mirror.borrow().configuration_revision() >= revision {
        return Ok(());
    }
    let error = format!("the store's configuration is older than revision {revision}");
    Err(StoreError::Failed(error))
}

/// Calls the store, which may hold the call for a time.
async fn call_store(entry: &Entry, path: &str, wait: Duration) -> Result<Bytes, StoreError> {
    let timeouts = CallTimeouts {
        head: wait + ANSWER_TIMEOUT,
        silence: ANSWER_TIMEOUT,
    };
    call(entry.settings().store_address, path, timeouts).await
}

fn apply_configuration(entry: &Entry, item: &StoreItem) {
    let Some(value) = &item.value else { return };
    let (began_at, processor_before) = (Moment::now(), processor_time());
    let read = (entry.dialect.store.configuration)(&item.key, value);
    if read.is_some() {
        entry.mirror.borrow_mut().note_configuration(item.revision);
    }
    match read {
        None => {}
        Some(Ok(configuration)) => {
            let version = configuration.version;
            let is_newer = entry
                .registry
                .borrow_mut()
                .apply_configuration(configuration);
            tracing::info!(
                event = "configuration_read",
                version,
                in_force = is_newer,
                bytes = value.len(),
                parse_ms = Moment::now().since(began_at).as_millis(),
                parse_processor_ms = processor_time()
                    .saturating_sub(processor_before)
                    .as_secs_f64()
                    * 1e3,
            );
        }
        Some(Err(error)) => {
            tracing::warn!(event = "configuration_unreadable", key = &*item.key, error);
        }
    }
}

fn apply_endpoint(entry: &Entry, item: &StoreItem) {
    let now = Moment::now();
    entry.mirror.borrow_mut().note_registration(item);
    let parsed = item.value.as_deref().map(|value| {
        let endpoint = (entry.dialect.store.endpoint)(&item.key, value);
        endpoint.map_err(|error| {
            tracing::warn!(event = "endpoint_unreadable", key = &*item.key, error);
        })
    });
    let change = match (parsed, endpoint_id(entry, &item.key)) {
        (Some(Ok(endpoint)), _) => entry
            .registry
            .borrow_mut()
            .register(endpoint, item.revision),
        // A registration that can't be parsed counts as a removal.
        (_, Some(id)) => {
            let change = entry.registry.borrow_mut().remove(&id, item.revision, now);
            if change == EndpointChange::Removed {
                entry.suspicions.borrow_mut().forget(&id);
            }
            change
        }
        (_, None) => EndpointChange::Unchanged,
    };
    if change != EndpointChange::Unchanged {
        tracing::info!(event = "endpoint_changed", key = &*item.key, %change, revision = item.revision);
    }
}

fn endpoint_id(entry: &Entry, key: &str) -> Option<EndpointId> {
    let name = key.strip_prefix(entry.dialect.store.endpoints_prefix)?;
    name.parse().ok()
}
