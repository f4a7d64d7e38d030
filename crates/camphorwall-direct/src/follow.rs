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

/// How long the store may hold a call that waits for changes of the configuration. Each answer renews the proof that
/// the configuration in force is the newest, which must be younger than the bound for withdrawn keys.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// How long the store may hold a call that waits for changes of endpoints.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(3);

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

/// What one follower does with the items below its prefix.
struct Duty {
    name: &'static str,
    prefix: &'static str,
    wait: Duration,
    apply: fn(&Entry, &StoreItem),
    /// Called with the keys of a whole list and the revision that it began at.
    listed: fn(&Entry, &[Box<str>], u64),
    /// Called with the moment at which a call was sent that has brought all changes until then.
    proved: fn(&Entry, Moment),
}

/// Follows the configuration until the entry's tasks are dropped.
pub(crate) async fn follow_configuration(entry: Rc<Entry>) {
    let duty = Duty {
        name: "configuration",
        prefix: entry.dialect.store.configuration_prefix,
        wait: CONFIGURATION_WAIT,
        apply: apply_configuration,
        listed: |_, _, _| {},
        proved: |entry, moment| entry.registry.borrow_mut().prove(moment),
    };
    follow(&entry, &duty).await;
}

/// Follows the endpoints' registrations until the entry's tasks are dropped.
pub(crate) async fn follow_endpoints(entry: Rc<Entry>) {
    let duty = Duty {
        name: "endpoints",
        prefix: entry.dialect.store.endpoints_prefix,
        wait: ENDPOINTS_WAIT,
        apply: apply_endpoint,
        listed: |entry, keys, revision| {
            let ids: Vec<_> = keys
                .iter()
                .filter_map(|key| endpoint_id(entry, key))
                .collect();
            let mut registry = entry.registry.borrow_mut();
            registry.keep_only(&ids, revision, Moment::now());
        },
        proved: |_, _| {},
    };
    follow(&entry, &duty).await;
}

async fn follow(entry: &Rc<Entry>, duty: &Duty) {
    let mut revision = None;
    let mut is_lost = false;
    loop {
        let sent_at = Moment::now();
        let step = match revision {
            None => list(entry, duty).await,
            Some(revision) => watch(entry, duty, revision).await,
        };
        match step {
            Ok(next) => {
                (duty.proved)(entry, sent_at);
                if is_lost {
                    tracing::info!(event = "store_regained", what = duty.name, revision = next);
                }
                is_lost = false;
                revision = Some(next);
                entry.placed.changed();
            }
            Err(StoreError::HistoryLost) => {
                tracing::info!(event = "store_history_lost", what = duty.name);
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                revision = None;
            }
            Err(StoreError::Failed(error)) => {
                if !is_lost {
                    tracing::warn!(event = "store_lost", what = duty.name, error);
                }
                is_lost = true;
                entry
                    .registry
                    .borrow_mut()
                    .note_store_failure(Moment::now());
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        let lapsed = entry.registry.borrow_mut().drop_lapsed(Moment::now());
        for endpoint in lapsed {
            tracing::info!(event = "endpoint_changed", %endpoint, change = %EndpointChange::Removed);
            entry.suspicions.borrow_mut().forget(&endpoint);
        }
    }
}

/// Reads all items below the prefix; returns the revision from which to watch.
async fn list(entry: &Rc<Entry>, duty: &Duty) -> Result<u64, StoreError> {
    let store = &entry.dialect.store;
    let mut keys: Vec<Box<str>> = Vec::new();
    let mut first_revision = None;
    loop {
        let path = (store.list_path)(duty.prefix, keys.last().map(AsRef::as_ref));
        let body = call(entry.settings().store_address, &path, ANSWER_TIMEOUT).await?;
        let page: Page = (store.page)(&body).map_err(StoreError::Failed)?;
        let revision = *first_revision.get_or_insert(page.revision);
        for item in page.items {
            (duty.apply)(entry, &item);
            keys.push(item.key);
        }
        if !page.has_more {
            (duty.listed)(entry, &keys, revision);
            return Ok(revision);
        }
    }
}

/// Waits for changes; returns the revision to go on from.
async fn watch(entry: &Rc<Entry>, duty: &Duty, after: u64) -> Result<u64, StoreError> {
    let store = &entry.dialect.store;
    let path = (store.watch_path)(duty.prefix, after, duty.wait);
    let body = call(
        entry.settings().store_address,
        &path,
        duty.wait + ANSWER_TIMEOUT,
    )
    .await?;
    let changes: Changes = (store.changes)(&body).map_err(StoreError::Failed)?;
    for item in &changes.items {
        (duty.apply)(entry, item);
    }
    Ok(changes.revision.max(after))
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
