//! Keeps an entry's beliefs up to date with the configuration store.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::EndpointId;
use http::{Request, StatusCode};

use crate::{
    clock::Moment,
    dialect::{Changes, Page, StoreItem},
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

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Largest answer of the store that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to the store brought nothing.
enum StoreError {
    /// The store has discarded the changes since the revision.
    HistoryLost,
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
struct Step {
    /// Revision to go on from.
    revision: u64,
    /// Moment up to which all changes are known.
    proved_at: Moment,
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

/// Follows the configuration and the endpoints' registrations until the entry's tasks are dropped.
pub(crate) async fn follow(entry: Rc<Entry>) {
    let mut revision = None;
    let mut is_lost = false;
    loop {
        let step = match revision {
            None => list_all(&entry).await,
            Some(revision) => watch(&entry, revision).await,
        };
        match step {
            Ok(Step {
                revision: next,
                proved_at,
            }) => {
                entry.registry.borrow_mut().prove(proved_at);
                if is_lost {
                    tracing::info!(event = "store_regained", revision = next);
                }
                is_lost = false;
                if revision != Some(next) {
                    entry.placed.changed();
                    compio::time::sleep(CHANGES_PAUSE).await;
                }
                revision = Some(next);
            }
            Err(StoreError::HistoryLost) => {
                tracing::info!(event = "store_history_lost");
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                revision = None;
            }
            Err(StoreError::Failed(error)) => {
                if !is_lost {
                    tracing::warn!(event = "store_lost", error);
                }
                is_lost = true;
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        drop_lapsed(&entry);
    }
}

fn drop_lapsed(entry: &Entry) {
    let lapsed = entry.registry.borrow_mut().drop_lapsed(Moment::now());
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
    let (_, revision) = list(entry, store.configuration_prefix, apply_configuration).await?;
    let (keys, listed_at) = list(entry, store.endpoints_prefix, apply_endpoint).await?;
    let ids: Vec<_> = keys
        .iter()
        .filter_map(|key| endpoint_id(entry, key))
        .collect();
    let mut registry = entry.registry.borrow_mut();
    registry.keep_only(&ids, listed_at, Moment::now());
    Ok(Step {
        revision,
        proved_at,
    })
}

/// Reads all items below a prefix; returns their keys and the revision at which the list began.
async fn list(
    entry: &Entry,
    prefix: &str,
    apply: fn(&Entry, &StoreItem),
) -> Result<(Vec<Box<str>>, u64), StoreError> {
    let store = &entry.dialect.store;
    let mut keys: Vec<Box<str>> = Vec::new();
    let mut first_revision = None;
    loop {
        let path = (store.list_path)(prefix, keys.last().map(AsRef::as_ref));
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
    let path = (store.watch_path)("", after, WATCH_WAIT);
    let timeout = WATCH_WAIT + ANSWER_TIMEOUT;
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
        proved_at: proved_by(sent_at, changes.items.is_empty(), elapsed, WATCH_WAIT),
    })
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
            StatusCode::GONE => Err(StoreError::HistoryLost),
            status => Err(StoreError::Failed(format!("the store answered {status}"))),
        }
    };
    let timed = compio::time::timeout(timeout, calling).await;
    timed.map_err(|_| StoreError::Failed("the store gave no answer in time".into()))?
}

fn apply_configuration(entry: &Entry, item: &StoreItem) {
    let Some(value) = &item.value else { return };
    match (entry.dialect.store.configuration)(&item.key, value) {
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
