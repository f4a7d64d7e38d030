//! Keeps an entry's beliefs up to date with the configuration store.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::EndpointId;
use http::{Request, StatusCode};

use super::{
    readers::{Source, source},
    relay,
};
use crate::{
    clock::Moment,
    dialect::{Changes, Page, ReadFreshness, StoreItem},
    entry::Entry,
    registry::EndpointChange,
    upstream,
};

/// How long the store may hold a call that waits for changes. Each answer renews the proof that the configuration in
/// force is the newest. A call whose connection has gone silent is noticed after this time.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after changes, so that many in a row come in one answer.
const CHANGES_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for the store's own work on a call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Age of a proof at which the next answer is asked for at once: one call that is lost costs at most this and its timeout.
const OLD_PROOF: Duration = Duration::from_secs(2);

/// Wait of a question that is to be answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Longest time for a reader's own work on a follower's question.
const READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a reader that failed this entry is not asked.
const AVOID_READER: Duration = Duration::from_secs(3);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Largest answer of the store that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to the store brought nothing.
pub(super) enum StoreError {
    /// The store has discarded the changes since the revision.
    HistoryDiscarded,
    Failed(String),
}

impl From<upstream::SendError> for StoreError {
    fn from(error: upstream::SendError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// What a successful step of the follower brought.
pub(super) struct Step {
    /// Revision to go on from.
    pub(super) revision: u64,
    /// Moment up to which all changes are known.
    pub(super) proved_at: Moment,
}

/// Moment that a watch proves. An answer without changes was made once the wait was over, which began after the call was
/// sent; any other may have been made at once.
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

/// Where this entry hears of changes now.
fn choose_source(entry: &Entry) -> Source {
    let own = entry.settings().peer_address;
    let neighbours = entry.peers.borrow().neighbours(Moment::now());
    source(own, &neighbours)
}

/// Notes for the peers whether they may follow this entry.
fn note_reading(entry: &Entry, reads_store: bool) {
    if entry.reads_store.replace(reads_store) != reads_store {
        tracing::info!(event = "store_reading_changed", reads_store);
    }
}

/// How long the next question may wait for a change: not at all while the proof is old.
fn next_wait(entry: &Entry) -> Duration {
    let proof_age = entry.registry.borrow().proof_age(Moment::now());
    if proof_age.is_some_and(|age| age <= OLD_PROOF) {
        WATCH_WAIT
    } else {
        NO_WAIT
    }
}

/// Follows the configuration and the endpoints' registrations until the entry's tasks are dropped.
pub(crate) async fn follow(entry: Rc<Entry>) {
    let mut revision = None;
    let mut is_lost = false;
    loop {
        let source = choose_source(&entry);
        let step = match (revision, source) {
            (None, _) => list_all(&entry).await,
            (Some(revision), Source::Store) => watch(&entry, revision).await,
            (Some(revision), Source::Neighbour(reader)) => {
                follow_reader(&entry, reader, revision).await
            }
        };
        match (step, source) {
            (Ok(step), _) => {
                note_reading(&entry, source == Source::Store);
                entry.registry.borrow_mut().prove(step.proved_at);
                entry.mirror.borrow_mut().advance(step.revision);
                if is_lost {
                    tracing::info!(event = "store_regained", revision = step.revision);
                }
                is_lost = false;
                if revision != Some(step.revision) {
                    entry.placement_queue.changed();
                    compio::time::sleep(CHANGES_PAUSE).await;
                }
                revision = Some(step.revision);
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
                let until = Moment::now() + AVOID_READER;
                entry.peers.borrow_mut().avoid_reader(reader, until);
            }
            (Err(StoreError::Failed(error)), _) => {
                if !is_lost {
                    tracing::warn!(event = "store_lost", error);
                }
                is_lost = true;
                note_reading(&entry, false);
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
    let lapsed = entry.registry.borrow_mut().drop_expired(Moment::now());
    for endpoint in lapsed {
        tracing::info!(event = "endpoint_changed", %endpoint, change = %EndpointChange::Removed);
        entry.suspicions.borrow_mut().forget(&endpoint);
    }
}

/// Lists everything.
async fn list_all(entry: &Entry) -> Result<Step, StoreError> {
    let store = &entry.dialect.store;
    let proved_at = Moment::now();
    // Changes between the two lists lie after the first one's revision, so the watch brings them.
    let fresh = ReadFreshness::Latest;
    let prefix = store.configuration_prefix;
    let (_, revision) = list(entry, prefix, fresh, apply_configuration).await?;
    let prefix = store.endpoints_prefix;
    let (keys, listed_at) = list(entry, prefix, fresh, apply_endpoint).await?;
    let ids: Vec<_> = keys
        .iter()
        .filter_map(|key| endpoint_id(entry, key))
        .collect();
    let mut registry = entry.registry.borrow_mut();
    registry.keep_only(&ids, listed_at, Moment::now());
    entry.mirror.borrow_mut().keep_only(&keys, listed_at);
    Ok(Step {
        revision,
        proved_at,
    })
}

/// Reads all items below a prefix; returns their keys and the revision at which the list began.
async fn list(
    entry: &Entry,
    prefix: &str,
    reading: ReadFreshness,
    apply: fn(&Entry, &StoreItem),
) -> Result<(Vec<Box<str>>, u64), StoreError> {
    let store = &entry.dialect.store;
    let mut keys: Vec<Box<str>> = Vec::new();
    let mut first_revision = None;
    loop {
        let path = (store.list_path)(prefix, keys.last().map(AsRef::as_ref), reading);
        let body = call(entry.settings().store_address, &path, ANSWER_TIMEOUT).await?;
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

/// Waits for changes of all items.
async fn watch(entry: &Entry, after: u64) -> Result<Step, StoreError> {
    let store = &entry.dialect.store;
    let sent_at = Moment::now();
    let wait = next_wait(entry);
    let path = (store.watch_path)("", after, wait);
    let timeout = wait + ANSWER_TIMEOUT;
    let body = call(entry.settings().store_address, &path, timeout).await?;
    let changes: Changes = (store.changes)(&body).map_err(StoreError::Failed)?;
    for item in &changes.items {
        if item.key.starts_with(store.endpoints_prefix) {
            apply_endpoint(entry, item);
        } else if item.key.starts_with(store.configuration_prefix) {
            apply_configuration(entry, item);
        }
    }
    let elapsed = Moment::now().since(sent_at);
    Ok(Step {
        revision: changes.revision.max(after),
        proved_at: proved_by(sent_at, changes.items.is_empty(), elapsed, wait),
    })
}

/// Asks an entry that reads the store for changes.
pub(super) async fn follow_reader(
    entry: &Entry,
    reader: SocketAddr,
    after: u64,
) -> Result<Step, StoreError> {
    let sent_at = Moment::now();
    let wait = next_wait(entry);
    let path = relay::path(after, wait);
    let body = call(reader, &path, wait + READER_TIMEOUT).await?;
    let told: relay::ChangesResponse =
        postcard::from_bytes(&body).map_err(|error| StoreError::Failed(error.to_string()))?;
    let received_at = Moment::now();
    if let Some(age_ms) = told.store_failed_ms {
        // Known before the removals, some of which may be lapses.
        let failed_at = received_at - Duration::from_millis(age_ms.into());
        entry.registry.borrow_mut().note_store_failure(failed_at);
    }
    for told in told.items {
        apply_endpoint(
            entry,
            &StoreItem {
                key: told.key,
                value: told.value,
                revision: told.revision,
            },
        );
    }
    read_configuration(entry, told.configuration_revision).await?;
    let waited = Duration::from_millis(told.waited_ms.into()).min(received_at.since(sent_at));
    let age = Duration::from_millis(told.proof_age_ms.into());
    if age > OLD_PROOF {
        let error = format!("the reader's own proof is {} s old", age.as_secs_f64());
        return Err(StoreError::Failed(error));
    }
    Ok(Step {
        revision: told.revision.max(after),
        proved_at: sent_at + waited - age,
    })
}

/// Reads the configuration until it is at least as new as a revision. The first read may be served from a copy, which
/// costs the store a tenth.
async fn read_configuration(entry: &Entry, revision: u64) -> Result<(), StoreError> {
    let prefix = entry.dialect.store.configuration_prefix;
    for reading in [ReadFreshness::MayBeStale, ReadFreshness::Latest] {
        if entry.mirror.borrow().configuration_revision() >= revision {
            return Ok(());
        }
        list(entry, prefix, reading, apply_configuration).await?;
    }
    if entry.mirror.borrow().configuration_revision() >= revision {
        return Ok(());
    }
    let error = format!("the store's configuration is older than revision {revision}");
    Err(StoreError::Failed(error))
}

async fn call(store: SocketAddr, path: &str, timeout: Duration) -> Result<Bytes, StoreError> {
    let request = Request::get(path)
        .header(http::header::HOST, store.to_string())
        .body(Bytes::new())
        .map_err(|error| StoreError::Failed(error.to_string()))?;
    let calling = async {
        let mut answer = upstream::send(store, request).await?;
        match answer.parts.status {
            StatusCode::OK => Ok(answer.body.collect(MAX_ANSWER_BYTES).await?),
            StatusCode::GONE => Err(StoreError::HistoryDiscarded),
            status => Err(StoreError::Failed(format!("the store answered {status}"))),
        }
    };
    let timed = compio::time::timeout(timeout, calling).await;
    timed.map_err(|_| StoreError::Failed("the store gave no answer in time".into()))?
}

fn apply_configuration(entry: &Entry, item: &StoreItem) {
    let Some(value) = &item.value else { return };
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
            tracing::info!(event = "configuration_read", version, in_force = is_newer);
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
        // A registration that can't be read names no endpoint.
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
