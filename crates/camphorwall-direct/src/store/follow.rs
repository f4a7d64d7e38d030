//! Follows the changes of the configuration and of the endpoints' registrations, from the store or from an entry that
//! reads it.

use std::{cell::Cell, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{self, Either};

use super::{
    call::{READER_TIMEOUT, StoreError, call_reader_with, call_store, call_store_with},
    configuration::apply_configuration,
    era::enter_era,
    evacuations::{apply_evacuated, apply_evacuation, note_watched_all},
    news::RevisionLag,
    readers::{LocalEntry, Neighbour, Source, should_leave, source},
    relay::{self, ceil_ms},
};
use crate::{
    clock::Moment,
    dialect::{Changes, Page, StoreItem, StoreRevision},
    endpoints::registry::{EndpointChange, STALE_PROOF_AGE},
    entry::Entry,
    names::EndpointName,
};

/// Maximum long-poll timeout of a call to the store, and age at which the proof that the configuration in force is the
/// newest is renewed. A dead connection is detected after this time plus the call's timeout.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after changes, so that several in quick succession arrive in one answer, and minimum period of calls that bring none.
pub(crate) const CHANGES_PAUSE: Duration = Duration::from_millis(50);

/// Long-poll timeout of a call that should be answered at once.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Long-poll timeout of a follower whose proof is stale: short enough to detect a lost reader soon, long enough not to
/// flood a reader that has no newer proof.
const STALE_WAIT: Duration = Duration::from_millis(100);

/// Timeout of an answer of a reader whose news are overdue. The change that is in them must be known 2 s after it was written.
const OVERDUE_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Period at which a follower compares its revision with that of its peers during a call to a reader.
const LAG_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time for which this entry doesn't follow a reader that failed to answer it.
const READER_AVOIDANCE: Duration = Duration::from_secs(3);

/// Size of an answer to a watch above which the rest of it is not read.
const MAX_WATCH_BYTES: usize = 64 * 1024;

/// Maximum number of failures in a row of one page of a list.
const MAX_PAGE_FAILURES: u32 = 10;

/// Pause after a failed call to the store.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of a list, a watch or a call to a reader.
pub(super) struct StoreUpdate {
    /// Revision up to which all changes of endpoints are known.
    pub(super) revision: StoreRevision,
    /// Moment up to which all changes of endpoints are known; `None` if nothing new is known of them.
    pub(super) known_to: Option<Moment>,
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

/// Decides on a source by a rule that takes this entry and the others of its data centre.
pub(super) fn choose_source<T>(
    entry: &Entry,
    rule: impl FnOnce(LocalEntry, &[Neighbour]) -> T,
) -> T {
    let settings = entry.settings();
    let local = LocalEntry {
        address: settings.peer_address,
        link_mbps: settings.link_mbps_or_zero(),
    };
    let neighbours = entry.peers.borrow().neighbours(Moment::now());
    rule(local, &neighbours)
}

/// Records whether this entry reads the store, which heartbeats report to the peers.
fn note_reads_store(entry: &Entry, reads_store: bool) {
    if entry.reads_store.replace(reads_store) != reads_store {
        tracing::info!(event = "store_reading_changed", reads_store);
    }
}

/// Long-poll timeout of a watch, such that the proof is renewed when it is `WATCH_WAIT` old. A response with changes only
/// proves the state at the moment when the call was sent; with a full timeout after it, the age could reach twice that.
pub(crate) fn proof_wait(proof_age: Option<Duration>) -> Duration {
    let left = proof_age.map(|age| WATCH_WAIT.saturating_sub(age));
    left.unwrap_or_default().max(NO_WAIT)
}

/// Follows the endpoints' registrations and learns of changed configurations until the entry's tasks are dropped.
pub(crate) async fn follow(entry: Rc<Entry>) {
    let mut revision: Option<StoreRevision> = None;
    let mut is_store_unreachable = false;
    // Whether a watch has succeeded since the store last discarded its history.
    let mut is_history_kept = true;
    loop {
        // Another call may have learned that the store was restored; changes since an earlier era would be incomplete.
        let era = entry.store_era.get();
        revision = revision.filter(|revision| Some(revision.era) == era);
        let source = choose_source(&entry, source);
        let called_at = Moment::now();
        let update = match (revision, source) {
            (None, _) => list_endpoints(&entry).await,
            (Some(revision), Source::Store) => watch(&entry, revision).await,
            (Some(revision), Source::Neighbour(reader)) => {
                entry.is_following_reader.set(true);
                let update = follow_reader(&entry, reader, revision).await;
                entry.is_following_reader.set(false);
                update
            }
        };
        match (update, source) {
            (Ok(update), _) => {
                note_reads_store(&entry, source == Source::Store);
                entry
                    .mirror
                    .borrow_mut()
                    .advance(update.revision, update.known_to);
                if source == Source::Store {
                    let mut registry = entry.registry.borrow_mut();
                    let contact = &mut registry.contact;
                    contact.note_known_revision(update.revision, Moment::now());
                }
                if is_store_unreachable {
                    tracing::info!(event = "store_regained", revision = %update.revision);
                }
                is_store_unreachable = false;
                let mut pause = CHANGES_PAUSE;
                if revision == Some(update.revision) {
                    pause = pause.saturating_sub(Moment::now().since(called_at));
                } else {
                    entry.placement_queue.notify();
                }
                is_history_kept |= revision.is_some();
                revision = Some(update.revision);
                if !pause.is_zero() {
                    compio::time::sleep(pause).await;
                }
            }
            (Err(StoreError::HistoryDiscarded), Source::Neighbour(_))
            | (Err(StoreError::Restored), _) => revision = None,
            (Err(StoreError::HistoryDiscarded), Source::Store) => {
                note_history_lost(&entry, revision, called_at);
                revision = None;
                if !std::mem::replace(&mut is_history_kept, false) {
                    compio::time::sleep(RETRY_PAUSE).await;
                }
            }
            (Err(error), Source::Neighbour(reader)) if revision.is_some() => {
                tracing::info!(event = "store_reader_failed", %reader, %error);
                let until = Moment::now() + READER_AVOIDANCE;
                entry.peers.borrow_mut().avoid_reader(reader, until);
            }
            (Err(error), _) => {
                if !is_store_unreachable {
                    tracing::warn!(event = "store_lost", %error);
                }
                is_store_unreachable = true;
                note_reads_store(&entry, false);
                let since = match error {
                    StoreError::Silent(_) => called_at,
                    StoreError::Failed(_) | StoreError::Restored | StoreError::HistoryDiscarded => {
                        Moment::now()
                    }
                };
                entry.registry.borrow_mut().contact.note_failure(since);
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
        drop_expired(&entry);
    }
}

/// Records an answer of the store before its removals are applied, since what they mean depends on it.
fn note_store_answer(entry: &Entry, sent_at: Moment, wait: Duration) {
    let mut registry = entry.registry.borrow_mut();
    registry.contact.note_answer(sent_at, wait, Moment::now());
}

/// Records that the store answered a watch after a revision by saying that it has discarded the changes.
fn note_history_lost(entry: &Entry, revision: Option<StoreRevision>, sent_at: Moment) {
    let now = Moment::now();
    let mut tracker = entry.tracker.borrow_mut();
    tracing::info!(
        event = "store_history_lost",
        after = revision.map(|revision| revision.number),
        configuration_confirmed_to = tracker.confirmed_to().map(|known| known.number),
    );
    note_store_answer(entry, sent_at, WATCH_WAIT);
    // A change of the configuration may be among the lost ones.
    tracker.doubt(now);
    entry.configuration_wanted.notify();
}

fn drop_expired(entry: &Entry) {
    let expired = entry.registry.borrow_mut().drop_expired(Moment::now());
    for endpoint in expired {
        tracing::info!(event = "endpoint_changed", %endpoint, change = %EndpointChange::Removed);
        entry.suspicions.borrow_mut().forget(&endpoint);
    }
}

/// Lists all registrations.
async fn list_endpoints(entry: &Entry) -> Result<StoreUpdate, StoreError> {
    let known_to = Moment::now();
    let prefix = entry.dialect.store.endpoints_prefix;
    let (items, revision) = list(entry, prefix).await?;
    note_store_answer(entry, known_to, Duration::ZERO);
    apply_all(entry, items, revision);
    Ok(StoreUpdate {
        revision,
        known_to: Some(known_to),
    })
}

/// Applies all registrations: those that are missing were removed.
fn apply_all(entry: &Entry, items: Vec<StoreItem>, revision: StoreRevision) {
    let mut keys = Vec::with_capacity(items.len());
    for item in items {
        apply_endpoint(entry, &item);
        keys.push(item.key);
    }
    let ids: Vec<_> = keys
        .iter()
        .filter_map(|key| endpoint_id(entry, key))
        .collect();
    let mut registry = entry.registry.borrow_mut();
    for (endpoint, change) in registry.keep_only(&ids, revision, Moment::now()) {
        tracing::info!(event = "endpoint_changed", %endpoint, %change, %revision);
    }
    entry.mirror.borrow_mut().keep_only(&keys, revision);
}

/// Reads all items below a prefix; returns them with the revision at which the list began. A page that fails is requested
/// again, so that a long list doesn't begin anew.
pub(super) async fn list(
    entry: &Entry,
    prefix: &str,
) -> Result<(Vec<StoreItem>, StoreRevision), StoreError> {
    let store = &entry.dialect.store;
    let mut items: Vec<StoreItem> = Vec::new();
    let mut first_revision: Option<StoreRevision> = None;
    let mut failures = 0;
    loop {
        let path = (store.list_path)(prefix, items.last().map(|item| &*item.key));
        let page = call_store(entry, &path, Duration::ZERO, usize::MAX).await;
        let era = entry.store_era.get().unwrap_or(0);
        let page: Page = match page {
            // Another call may have begun the era, so that the pages so far are of an earlier one.
            Ok(_) if first_revision.is_some_and(|first| first.era != era) => {
                return Err(StoreError::Restored);
            }
            Ok(body) => (store.page)(&body.bytes)
                .map_err(StoreError::Failed)?
                .in_era(era),
            Err(error @ (StoreError::Failed(_) | StoreError::Silent(_)))
                if !items.is_empty() && failures < MAX_PAGE_FAILURES =>
            {
                failures += 1;
                tracing::info!(event = "list_page_failed", items = items.len(), %error);
                compio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        failures = 0;
        let revision = *first_revision.get_or_insert(page.revision);
        items.extend(page.items);
        if !page.has_more {
            return Ok((items, revision));
        }
    }
}

/// Waits for changes in the store. Watches only the endpoints while a configuration is being read, and until all changes
/// of endpoints up to the configuration's revision are known; a watch of all keys from an earlier revision would return
/// the configuration again.
async fn watch(entry: &Entry, revision: StoreRevision) -> Result<StoreUpdate, StoreError> {
    let newest_to = entry.tracker.borrow().newest_to();
    match newest_to {
        Some(newest_to) if revision >= newest_to => watch_all(entry, newest_to).await,
        Some(newest_to) => {
            let update = watch_endpoints(entry, revision, NO_WAIT).await?;
            // The call was sent after the configuration was read, so its answer has all changes up to then.
            Ok(StoreUpdate {
                revision: update.revision.max(newest_to),
                ..update
            })
        }
        None => {
            let age = entry.mirror.borrow().age(Moment::now());
            let watching = pin!(watch_endpoints(entry, revision, proof_wait(age)));
            let read = pin!(entry.configuration_read.notified());
            match future::select(watching, read).await {
                Either::Left((update, _)) => update,
                Either::Right(_) => Ok(StoreUpdate {
                    revision,
                    known_to: None,
                }),
            }
        }
    }
}

/// Waits for changes of any item. A response that is too large is abandoned, because it may contain several versions of
/// the configuration, of which only the newest is needed.
async fn watch_all(entry: &Entry, after: StoreRevision) -> Result<StoreUpdate, StoreError> {
    let store = &entry.dialect.store;
    let sent_at = Moment::now();
    let wait = if entry.registry.borrow().contact.is_failing() {
        NO_WAIT
    } else if !entry.tracker.borrow().may_prove() {
        // Nothing is proved before the next configuration comes, but followers need news of the endpoints.
        proof_wait(entry.mirror.borrow().age(sent_at))
    } else {
        proof_wait(entry.registry.borrow().proof_age(sent_at))
    };
    let path = (store.watch_path)("", after.number, wait);
    entry.is_watching_all.set(true);
    // The body of a large answer may take seconds; later changes are not in it.
    let note_head = || entry.is_watching_all.set(false);
    let body = call_store_with(entry, &path, wait, MAX_WATCH_BYTES, note_head).await;
    entry.is_watching_all.set(false);
    let body = body?;
    note_store_answer(entry, sent_at, wait);
    if !body.is_complete {
        let now = Moment::now();
        entry.tracker.borrow_mut().note_change(after, now);
        entry.configuration_wanted.notify();
        return Ok(StoreUpdate {
            revision: after,
            known_to: None,
        });
    }
    let changes: Changes = (store.changes)(&body.bytes).map_err(StoreError::Failed)?;
    let changes = changes.in_era(after.era);
    for item in &changes.items {
        if apply_evacuation(entry, item) {
            continue;
        }
        if item.key.starts_with(store.endpoints_prefix) {
            apply_endpoint(entry, item);
        } else if item.key.starts_with(store.configuration_prefix) {
            apply_configuration(entry, item).await;
            if entry.store_era.get() != Some(after.era) {
                return Err(StoreError::Restored);
            }
        }
    }
    let elapsed = Moment::now().since(sent_at);
    let known_to = proved_by(sent_at, changes.items.is_empty(), elapsed, wait);
    note_watched_all(entry, after.number, changes.revision.number, known_to);
    let mut tracker = entry.tracker.borrow_mut();
    tracker.confirm(changes.revision, known_to);
    if tracker.may_prove() {
        entry.registry.borrow_mut().prove(known_to);
    }
    Ok(StoreUpdate {
        revision: changes.revision.max(after),
        known_to: Some(known_to),
    })
}

/// Waits for changes of endpoints.
async fn watch_endpoints(
    entry: &Entry,
    revision: StoreRevision,
    wait: Duration,
) -> Result<StoreUpdate, StoreError> {
    let store = &entry.dialect.store;
    let sent_at = Moment::now();
    let is_failing = entry.registry.borrow().contact.is_failing();
    let wait = if is_failing { NO_WAIT } else { wait };
    let path = (store.watch_path)(store.endpoints_prefix, revision.number, wait);
    let body = call_store(entry, &path, wait, usize::MAX).await?;
    note_store_answer(entry, sent_at, wait);
    let changes: Changes = (store.changes)(&body.bytes).map_err(StoreError::Failed)?;
    let changes = changes.in_era(revision.era);
    for item in &changes.items {
        apply_endpoint(entry, item);
    }
    let elapsed = Moment::now().since(sent_at);
    let known_to = proved_by(sent_at, changes.items.is_empty(), elapsed, wait);
    Ok(StoreUpdate {
        revision: changes.revision.max(revision),
        known_to: Some(known_to),
    })
}

/// Time for which this entry has been behind the revision that its peers report.
fn revision_lag(entry: &Entry, known: StoreRevision, reported: StoreRevision) -> Duration {
    let mut lag = entry.revision_lag.borrow_mut();
    if entry.tracker.borrow().needs_read() {
        // While a reader reads a configuration, its revision stays behind, although it passes on all changes of endpoints.
        *lag = RevisionLag::default();
    }
    lag.update(known, reported, Moment::now())
}

/// Resolves once a call that waits at a reader for the changes after a revision should be ended, because the reader is behind its
/// peers.
async fn reader_behind(
    entry: &Entry,
    reader: SocketAddr,
    after: StoreRevision,
    is_waiting: &Cell<bool>,
) -> StoreError {
    loop {
        compio::time::sleep(LAG_CHECK_PERIOD).await;
        if !is_waiting.get() {
            // The answer has begun.
            return future::pending().await;
        }
        let reported = entry.registry.borrow().contact.sound_revision();
        let lag = revision_lag(entry, after, reported);
        let should_leave = choose_source(entry, |local, neighbours| {
            should_leave(local, neighbours, reader, lag)
        });
        if should_leave {
            return StoreError::Failed(format!(
                "the reader is behind: peers report revision {reported}, it has passed on {after}"
            ));
        }
    }
}

/// Gets changes from an entry that reads the store.
pub(super) async fn follow_reader(
    entry: &Entry,
    reader: SocketAddr,
    after: impl Into<StoreRevision>,
) -> Result<StoreUpdate, StoreError> {
    let after = after.into();
    let sent_at = Moment::now();
    let is_current = entry.registry.borrow().has_fresh_proof(sent_at);
    let wait = if is_current || !entry.tracker.borrow().may_prove() {
        WATCH_WAIT
    } else {
        STALE_WAIT
    };
    let limit = entry.news_ages.borrow().limit();
    let age = entry.mirror.borrow().age(sent_at).unwrap_or_default();
    let due_in = limit.saturating_sub(age);
    let wait = wait.min(due_in).max(NO_WAIT);
    let head_timeout = (wait + READER_TIMEOUT).min(due_in + OVERDUE_ANSWER_TIMEOUT);
    let evacuations_known = entry.registry.borrow().evacuations.revision();
    let path = relay::changes_path(after, evacuations_known.unwrap_or(0), wait);
    let is_waiting = Cell::new(true);
    let note_head = || is_waiting.set(false);
    let call = pin!(call_reader_with(
        entry,
        reader,
        &path,
        head_timeout,
        note_head
    ));
    let behind = pin!(reader_behind(entry, reader, after, &is_waiting));
    let body = match future::select(call, behind).await {
        Either::Left((body, _)) => body?,
        Either::Right((error, _)) => return Err(error),
    };
    let response: relay::ChangesResponse =
        postcard::from_bytes(&body.bytes).map_err(|error| StoreError::Failed(error.to_string()))?;
    enter_era(entry, response.revision.era)?;
    let received_at = Moment::now();
    {
        // Recorded before the removals are applied, since some may be expired registrations of living endpoints.
        let outage_age = response.outage_age_ms;
        let ended_at = outage_age.map(|age_ms| received_at - Duration::from_millis(age_ms.into()));
        let contact = &mut entry.registry.borrow_mut().contact;
        contact.note_reader_answer(ended_at, received_at);
        contact.note_sound_revision(response.sound_revision);
    }
    let items = response.items.into_iter();
    let items = items.map(|item| StoreItem {
        key: item.key,
        value: item.value.map(Bytes::from),
        revision: item.revision,
    });
    if response.is_complete {
        apply_all(entry, items.collect(), response.revision);
    } else {
        items.for_each(|item| apply_endpoint(entry, &item));
    }
    let evacuations = &response.evacuations;
    apply_evacuated(entry, &evacuations.evacuated, evacuations.revision);
    let waited = Duration::from_millis(response.waited_ms.into()).min(received_at.since(sent_at));
    let moment = |age_ms: u32| sent_at + waited - Duration::from_millis(age_ms.into());
    let known_to = moment(response.age_ms);
    let evacuations_known_to = moment(response.evacuations_age_ms);
    let mut registry = entry.registry.borrow_mut();
    let known_revision = evacuations.revision;
    registry
        .evacuations
        .advance(known_revision, Some(evacuations_known_to));
    drop(registry);
    let news_age = received_at.since(known_to);
    if news_age > limit || response.evacuations_age_ms > ceil_ms(STALE_PROOF_AGE) {
        let error = format!(
            "the reader's knowledge is {news_age:?} old, up to {limit:?} are usual, and that of evacuations {} ms",
            response.evacuations_age_ms
        );
        return Err(StoreError::Failed(error));
    }
    entry.news_ages.borrow_mut().note(news_age);
    let reported = &response.configuration;
    note_reported_configuration(entry, reported, moment(reported.proof_age_ms));
    Ok(StoreUpdate {
        revision: response.revision.max(after),
        known_to: Some(known_to),
    })
}

/// Applies what a reader knows of the newest configuration, which it proved to be the newest at `proved_at`.
fn note_reported_configuration(
    entry: &Entry,
    reported: &relay::ReportedConfiguration,
    proved_at: Moment,
) {
    let now = Moment::now();
    let mut tracker = entry.tracker.borrow_mut();
    if reported.revision > tracker.read_revision() {
        tracker.note_change(reported.revision.before(), now);
    } else {
        tracker.confirm(reported.confirmed_to, proved_at);
    }
    if let Some(after) = reported.changed_after {
        tracker.note_change(after, now);
    }
    let mut registry = entry.registry.borrow_mut();
    if tracker.needs_read() {
        entry.configuration_wanted.notify();
    } else if tracker.may_prove() {
        registry.prove(proved_at);
    }
    if registry.keys_digest() == reported.keys_digest && !tracker.is_behind() {
        registry.prove_keys(proved_at);
    }
}

/// Applies a changed registration.
fn apply_endpoint(entry: &Entry, item: &StoreItem) {
    let now = Moment::now();
    entry.mirror.borrow_mut().note_registration(item);
    let parsed = item.value.as_deref().map(|value| {
        let endpoint = (entry.dialect.store.endpoint)(&item.key, value);
        endpoint.map_err(|error| {
            tracing::warn!(event = "endpoint_unreadable", key = &*item.key, error);
        })
    });
    if let Some(Ok(endpoint)) = &parsed
        && let Some(Err(value)) = &endpoint.cold_time
    {
        tracing::warn!(event = "cold_time_unreadable", endpoint = %endpoint.id, value = &**value);
    }
    if let Some(Ok(endpoint)) = &parsed
        && entry
            .registry
            .borrow()
            .is_newer(&endpoint.id, item.revision)
    {
        entry.note_cold_registration(endpoint, now);
    }
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
        tracing::info!(event = "endpoint_changed", key = &*item.key, %change, revision = %item.revision);
    }
}

fn endpoint_id(entry: &Entry, key: &str) -> Option<EndpointName> {
    let name = key.strip_prefix(entry.dialect.store.endpoints_prefix)?;
    (!name.is_empty()).then(|| EndpointName::from(Box::from(name)))
}
