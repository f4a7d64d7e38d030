//! Passes the store's changes on from the entries that read it to those that follow them.
//!
//! A follower polls a reader with long-polling calls, as it would poll the store. A response contains the age of the
//! reader's own proof. The follower counts this age from when it sent the call, so that a delayed response doesn't
//! count as a newer proof than it is.

use std::{rc::Rc, time::Duration};

use camphorwall::{BoxedBody, RequestBody, empty_body, full_body};
use http::{Request, StatusCode};
use hyper::Response;
use serde::{Deserialize, Serialize};

use super::mirror::ChangedItem;
use crate::{
    clock::Moment, configuration::KeysDigest, dialect::StoreRevision,
    endpoints::evacuation::ReportedEvacuations, entry::Entry,
};

/// Maximum time for which a reader holds a follower's call.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A reader's response to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ChangesResponse {
    /// Revision of the store up to which the response contains all changes of registrations.
    pub(crate) revision: StoreRevision,
    pub(crate) items: Vec<ChangedItem>,
    /// Whether the items are all registrations, because the follower's revision is of another era, or the reader no longer
    /// has all removals since.
    pub(crate) is_complete: bool,
    /// Time since the reader last knew that these were all changes.
    pub(crate) age_ms: u32,
    pub(crate) configuration: ReportedConfiguration,
    /// Time for which the reader held the call. The follower adds it to the moment when it sent the call, which bounds
    /// the response's age without a common clock.
    pub(crate) waited_ms: u32,
    /// Time since the end of an outage after which registrations may still be missing; 0 during one.
    pub(crate) outage_age_ms: Option<u32>,
    /// Highest revision up to which an entry with a sound way to the store has seen all changes.
    pub(crate) sound_revision: StoreRevision,
    pub(crate) evacuations: ReportedEvacuations,
    /// Time since the reader last knew all evacuations.
    pub(crate) evacuations_age_ms: u32,
}

/// What a reader knows of the newest configuration. Configurations are large and change rarely, so followers get them by
/// calls of their own.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ReportedConfiguration {
    /// Revision of the configuration that the reader read last.
    pub(crate) revision: StoreRevision,
    /// Revision of the store up to which there is no newer one.
    pub(crate) confirmed_to: StoreRevision,
    /// Revision after which one was written that the reader hasn't read yet.
    pub(crate) changed_after: Option<StoreRevision>,
    /// Digest of the keys of the reader's configuration in force.
    pub(crate) keys_digest: KeysDigest,
    /// Time since the reader last proved that its configuration was the newest.
    pub(crate) proof_age_ms: u32,
}

/// Path at which followers ask for a newer configuration.
const CONFIGURATION_PATH: &str = "/configuration";

/// Head of a reader's response to a follower that asks for a newer configuration. The change follows it in the body.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ConfigurationHead {
    /// Revision of the configuration to which the change leads.
    pub(crate) revision: StoreRevision,
    /// Whether the change starts from the follower's configuration; otherwise it starts from an empty one.
    pub(crate) is_from_base: bool,
    /// Revision of the store up to which there is no newer configuration.
    pub(crate) confirmed_to: StoreRevision,
    /// Time since the reader last proved that its configuration was the newest.
    pub(crate) proof_age_ms: u32,
    /// Time for which the reader held the call.
    pub(crate) waited_ms: u32,
}

/// Path and query of a follower's call for changes of registrations after a revision, and of evacuations after another.
pub(crate) fn changes_path(after: StoreRevision, evacuations_after: u64, wait: Duration) -> String {
    let StoreRevision { era, number } = after;
    let wait_ms = wait.as_millis();
    format!(
        "/changes?era={era}&after={number}&evacuations_after={evacuations_after}&wait_ms={wait_ms}"
    )
}

/// Path and query of a follower's call for a configuration newer than that of a revision.
pub(crate) fn configuration_path(after: StoreRevision, wait: Duration) -> String {
    let StoreRevision { era, number } = after;
    let wait_ms = wait.as_millis();
    format!("{CONFIGURATION_PATH}?era={era}&after={number}&wait_ms={wait_ms}")
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Answers an entry that follows this one.
pub(crate) async fn answer_follower(
    entry: Rc<Entry>,
    request: Request<RequestBody>,
) -> Response<BoxedBody> {
    let query = request.uri().query().unwrap_or_default();
    let (Some(after), Some(wait_ms)) = (number(query, "after"), number(query, "wait_ms")) else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let after = StoreRevision::from(after).in_era(number(query, "era").unwrap_or(0));
    let received_at = Moment::now();
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    if request.uri().path() == CONFIGURATION_PATH {
        return answer_configuration(&entry, after, wait).await;
    }
    // A follower of an earlier version doesn't ask for evacuations.
    let evacuations_after = number(query, "evacuations_after").unwrap_or(u64::MAX);
    let has_changes = entry.mirror.borrow().revision() > after
        || entry
            .registry
            .borrow()
            .evacuations
            .has_change_after(evacuations_after);
    if !has_changes && entry.reads_store.get() {
        let renewed = entry.mirror.borrow_mut().next_update();
        // After a timeout as after an update, the response contains what is known by then.
        let _ = compio::time::timeout(wait, renewed).await;
    }
    if !entry.reads_store.get() || entry.is_leaving() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    changes_response(&entry, after, received_at)
}

/// Milliseconds in a time, rounded up, so that an age is never reported too low.
pub(super) fn ceil_ms(time: Duration) -> u32 {
    let ms = time.as_nanos().div_ceil(1_000_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Whole milliseconds in a time, so that a wait is never reported too long.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// What this entry knows of the newest configuration; `None` before the first read.
fn reported_configuration(entry: &Entry, now: Moment) -> Option<ReportedConfiguration> {
    let tracker = entry.tracker.borrow();
    let registry = entry.registry.borrow();
    let proof_age = registry.proof_age(now)?;
    Some(ReportedConfiguration {
        revision: tracker.read_revision(),
        confirmed_to: tracker.confirmed_to()?,
        changed_after: tracker.changed_after(),
        keys_digest: registry.keys_digest(),
        proof_age_ms: ceil_ms(proof_age),
    })
}

fn changes_response(
    entry: &Entry,
    after: StoreRevision,
    received_at: Moment,
) -> Response<BoxedBody> {
    let now = Moment::now();
    let mirror = entry.mirror.borrow();
    let (Some(age), Some(configuration)) = (mirror.age(now), reported_configuration(entry, now))
    else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let is_of_era = after.era == mirror.revision().era;
    let changes = mirror.changes(after).filter(|_| is_of_era);
    let is_complete = changes.is_none();
    let items = changes.unwrap_or_else(|| mirror.registered());
    let registry = entry.registry.borrow();
    let contact = &registry.contact;
    let (Some(evacuations), Some(evacuations_age)) =
        (registry.evacuations.report(), registry.evacuations.age(now))
    else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let response = ChangesResponse {
        revision: mirror.revision(),
        items,
        is_complete,
        age_ms: ceil_ms(age),
        configuration,
        waited_ms: whole_ms(now.since(received_at)),
        outage_age_ms: contact.outage_age(now).map(whole_ms),
        sound_revision: contact.sound_revision(),
        evacuations,
        evacuations_age_ms: ceil_ms(evacuations_age),
    };
    match postcard::to_stdvec(&response) {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            tracing::warn!(event = "changes_not_encoded", %error);
            refuse(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Answers a follower that asks for a configuration newer than that of a revision, once there is one.
async fn answer_configuration(
    entry: &Entry,
    after: StoreRevision,
    wait: Duration,
) -> Response<BoxedBody> {
    let received_at = Moment::now();
    let has_newer = || entry.registry.borrow().configuration_revision() > after;
    while !has_newer() && entry.reads_store.get() {
        let left = wait.saturating_sub(Moment::now().since(received_at));
        let renewed = entry.mirror.borrow_mut().next_update();
        if left.is_zero() || compio::time::timeout(left, renewed).await.is_err() {
            break;
        }
    }
    if !entry.reads_store.get() || entry.is_leaving() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    let now = Moment::now();
    let Some(reported) = reported_configuration(entry, now) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Some((is_from_base, change)) = entry.recent.borrow_mut().change_since(after) else {
        return refuse(StatusCode::NOT_FOUND);
    };
    let head = ConfigurationHead {
        revision: entry.registry.borrow().configuration_revision(),
        is_from_base,
        confirmed_to: reported.confirmed_to,
        proof_age_ms: reported.proof_age_ms,
        waited_ms: whole_ms(now.since(received_at)),
    };
    match postcard::to_stdvec(&head) {
        Ok(mut bytes) => {
            bytes.extend_from_slice(&change);
            Response::new(full_body(bytes))
        }
        Err(error) => {
            tracing::warn!(event = "changes_not_encoded", %error);
            refuse(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn refuse(status: StatusCode) -> Response<BoxedBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
