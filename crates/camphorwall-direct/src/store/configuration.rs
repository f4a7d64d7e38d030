//! Reads configurations in a task of their own, so that small and urgent changes don't wait for a large one.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use xxhash_rust::xxh3::xxh3_128;

use super::{
    call::{READER_TIMEOUT, StoreError, call_reader},
    era::enter_era,
    evacuations::apply_listed,
    follow::{RETRY_PAUSE, choose_source, list},
    readers::{Source, configuration_source},
    relay::{self, ConfigurationHead},
};
use crate::{
    clock::Moment,
    configuration::{Configuration, Route},
    configuration_change::ConfigurationChange,
    contract::homes::check_homes,
    dialect::{ConfigurationDraft, StoreItem, StoreRevision, UnreadableConfiguration},
    entry::Entry,
};

/// Long-poll timeout of a follower's call for a newer configuration. When it expires, the follower reads the store.
const READER_WAIT: Duration = Duration::from_millis(500);

/// Number of routes that are parsed at once.
const ROUTES_PER_PART: usize = 256;

/// Maximum number of unreadable parts of one configuration that are logged.
const MAX_LOGGED_ERRORS: usize = 8;

/// Pause after each part of the routes.
const PART_PAUSE: Duration = Duration::from_millis(1);

/// Routes of the configuration that was parsed last, by the hash of their text. In most configurations all but a few
/// routes are those of the one before.
pub(crate) type ParsedRoutes = HashMap<u128, Rc<Route>>;

/// Reads the configuration whenever there is a newer one, until the entry's tasks are dropped.
pub(crate) async fn keep_configuration(entry: Rc<Entry>) {
    let mut has_failed = false;
    loop {
        while entry.tracker.borrow().needs_read() {
            match read_configuration(&entry).await {
                Ok(()) => {
                    has_failed = false;
                    if entry.tracker.borrow().needs_read() {
                        compio::time::sleep(RETRY_PAUSE).await;
                    }
                }
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

/// Reads a newer configuration, from a reader with a faster link if there is one, and otherwise from the store.
async fn read_configuration(entry: &Entry) -> Result<(), StoreError> {
    if let Source::Neighbour(reader) = choose_source(entry, configuration_source) {
        match read_from_reader(entry, reader).await {
            Ok(()) => return Ok(()),
            Err(error) => {
                tracing::info!(event = "configuration_reader_failed", %reader, %error);
            }
        }
    }
    read_from_store(entry).await
}

/// Reads the newest configuration from the store.
async fn read_from_store(entry: &Entry) -> Result<(), StoreError> {
    let sent_at = Moment::now();
    let prefix = entry.dialect.store.configuration_prefix;
    let (items, revision) = list(entry, prefix).await?;
    if entry.dialect.store.evacuations_prefix.starts_with(prefix) {
        apply_listed(entry, &items, revision);
    }
    for item in &items {
        apply_configuration(entry, item).await;
    }
    note_confirmed(entry, revision, sent_at);
    Ok(())
}

/// Gets the change from the configuration in force to a newer one from a reader.
pub(super) async fn read_from_reader(entry: &Entry, reader: SocketAddr) -> Result<(), StoreError> {
    let sent_at = Moment::now();
    let (base, after) = {
        let registry = entry.registry.borrow();
        (
            registry.configuration().cloned(),
            registry.configuration_revision(),
        )
    };
    let path = relay::configuration_path(after, READER_WAIT);
    let body = call_reader(entry, reader, &path, READER_WAIT + READER_TIMEOUT).await?;
    let unreadable = |error: postcard::Error| StoreError::Failed(error.to_string());
    let (head, change) =
        postcard::take_from_bytes::<ConfigurationHead>(&body.bytes).map_err(unreadable)?;
    enter_era(entry, head.confirmed_to.era)?;
    let began_at = Moment::now();
    let change: ConfigurationChange = postcard::from_bytes(change).map_err(unreadable)?;
    let base = base.filter(|_| head.is_from_base).unwrap_or_default();
    put_in_force(
        entry,
        change.apply(&base),
        head.revision,
        ReadFigures {
            bytes: body.bytes.len(),
            began_at,
        },
    );
    let waited = Duration::from_millis(head.waited_ms.into()).min(began_at.since(sent_at));
    let proved_at = sent_at + waited - Duration::from_millis(head.proof_age_ms.into());
    note_confirmed(entry, head.confirmed_to, proved_at);
    Ok(())
}

/// Records that the configuration that was read last was the newest up to a revision and a moment.
fn note_confirmed(entry: &Entry, revision: StoreRevision, proved_at: Moment) {
    let mut tracker = entry.tracker.borrow_mut();
    tracker.confirm(revision, proved_at);
    if tracker.may_prove() {
        entry.registry.borrow_mut().prove(proved_at);
    }
    entry.configuration_read.notify();
    entry.mirror.borrow_mut().wake_followers();
}

/// Figures of a read for the log.
#[derive(Clone, Copy)]
pub(super) struct ReadFigures {
    pub(super) bytes: usize,
    /// When parsing began.
    pub(super) began_at: Moment,
}

/// Parses a configuration and puts it in force unless a newer one is.
pub(super) async fn apply_configuration(entry: &Entry, item: &StoreItem) {
    let Some(value) = &item.value else { return };
    let figures = ReadFigures {
        bytes: value.len(),
        began_at: Moment::now(),
    };
    let draft = (entry.dialect.store.configuration)(&item.key, value);
    match draft {
        None => {}
        Some(Ok(draft)) => {
            let configuration = parse_routes(entry, draft).await;
            put_in_force(entry, configuration, item.revision, figures);
        }
        Some(Err(cause)) => note_stuck(entry, item, cause),
    }
}

/// Records a configuration that can't be put in force, and logs it once.
fn note_stuck(entry: &Entry, item: &StoreItem, cause: UnreadableConfiguration) {
    let now = Moment::now();
    let mut tracker = entry.tracker.borrow_mut();
    if !tracker.note_stuck(item.revision, cause, now) {
        return;
    }
    let Some(stuck) = tracker.stuck() else { return };
    let registry = entry.registry.borrow();
    tracing::warn!(
        event = "configuration_unreadable",
        key = &*item.key,
        revision = %item.revision,
        version = stuck.cause.version,
        in_force = registry.configuration().map(|current| current.version),
        outdated_for_ms = now.since(stuck.since).as_millis(),
        reason = %stuck.cause.reason,
        error = stuck.cause.error,
    );
}

/// Parses the routes of a configuration, with a pause after each part of them in which requests are served.
async fn parse_routes(entry: &Entry, draft: ConfigurationDraft) -> Configuration {
    let ConfigurationDraft {
        mut configuration,
        routes: texts,
        mut errors,
    } = draft;
    let mut earlier = entry.parsed_routes.take();
    let mut parsed = ParsedRoutes::default();
    let mut routes = Vec::with_capacity(texts.len());
    for (number, text) in texts.iter().enumerate() {
        if number > 0 && number.is_multiple_of(ROUTES_PER_PART) {
            compio::time::sleep(PART_PAUSE).await;
        }
        let name = xxh3_128(text);
        let route = match earlier.remove(&name) {
            Some(route) => route,
            None => match (entry.dialect.store.route)(text) {
                Ok(route) => Rc::new(route),
                Err(unreadable) => {
                    errors.push(unreadable.error);
                    let Some(refusing) = unreadable.refusing else {
                        configuration.unreadable.routes += 1;
                        continue;
                    };
                    // Not kept for later versions, so that each of them logs the error.
                    routes.push(Rc::new(refusing));
                    continue;
                }
            },
        };
        parsed.insert(name, Rc::clone(&route));
        routes.push(route);
    }
    entry.parsed_routes.replace(parsed);
    for error in errors.iter().take(MAX_LOGGED_ERRORS) {
        let version = configuration.version;
        tracing::warn!(
            event = "configuration_part_unreadable",
            version,
            parts = errors.len(),
            error
        );
    }
    configuration.routes = routes.into_iter().collect();
    configuration
}

/// Reports what is wrong with the homes of the configuration in force, and rejects waiting requests that have none left.
fn apply_homes(entry: &Entry, version: u64) {
    let settings = entry.settings();
    let faults = {
        let registry = entry.registry.borrow();
        let configuration = registry.configuration();
        configuration.map(|newest| check_homes(newest, |region| settings.has_region(region)))
    };
    let faults = faults.unwrap_or_default();
    for (region, holder) in faults.unknown {
        tracing::warn!(event = "home_region_unknown", version, %region, holder);
    }
    for (route, team) in faults.disjoint {
        tracing::warn!(event = "homes_disjoint", version, route, team);
    }
    entry.reject_closed();
    entry.placement_queue.notify();
}

/// Puts a configuration in force unless a newer one is.
pub(super) fn put_in_force(
    entry: &Entry,
    configuration: Configuration,
    revision: impl Into<StoreRevision>,
    figures: ReadFigures,
) {
    let revision = revision.into();
    let version = configuration.version;
    let mut registry = entry.registry.borrow_mut();
    let is_newer = registry.apply_configuration(configuration, revision);
    if let Some(configuration) = registry.configuration().filter(|_| is_newer) {
        let configuration = Rc::clone(configuration);
        entry.recent.borrow_mut().add(revision, configuration);
    }
    drop(registry);
    note_read(entry, version, revision);
    if is_newer {
        apply_homes(entry, version);
    }
    tracing::info!(
        event = "configuration_read",
        version,
        in_force = is_newer,
        %revision,
        bytes = figures.bytes,
        parse_ms = Moment::now().since(figures.began_at).as_millis(),
    );
}

/// Records that a configuration was read, and logs the first one that is older than one that was published before the
/// store was restored.
fn note_read(entry: &Entry, version: u64, revision: StoreRevision) {
    let mut tracker = entry.tracker.borrow_mut();
    let was_behind = tracker.is_behind();
    tracker.note_read(revision);
    tracker.note_version(version, revision);
    if tracker.is_behind() && !was_behind {
        tracing::warn!(event = "configuration_behind", version, %revision);
    }
}
