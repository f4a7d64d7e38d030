//! Passes the store's changes on from the entries that read it to those that follow them.
//!
//! A follower polls a reader with long-polling calls, as it would poll the store. A response contains the age of the
//! reader's own proof. The follower counts this age from when it sent the call, so that a delayed response doesn't
//! count as a newer proof than it is.

use std::{rc::Rc, time::Duration};

use camphorwall::{BoxedBody, empty_body, full_body};
use http::{Request, StatusCode};
use hyper::{Response, body::Incoming};
use serde::{Deserialize, Serialize};

use super::mirror::ChangedItem;
use crate::{clock::Moment, entry::Entry};

/// Maximum time for which a reader holds a follower's call.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A reader's response to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ChangesResponse {
    /// Revision of the store up to which the response contains all changes.
    pub(crate) revision: u64,
    pub(crate) items: Vec<ChangedItem>,
    /// Revision of the newest configuration.
    pub(crate) configuration_revision: u64,
    /// Time since the reader last proved that this was the newest state of the store.
    pub(crate) proof_age_ms: u32,
    /// Time for which the reader held the call. The follower adds it to the moment when it sent the call, which bounds
    /// the response's age without a common clock.
    pub(crate) waited_ms: u32,
    /// Time since a call of the reader to the store last failed.
    pub(crate) store_failed_ms: Option<u32>,
}

/// Path and query of a follower's call.
pub(crate) fn path(after: u64, wait: Duration) -> String {
    format!("/changes?after={after}&wait_ms={}", wait.as_millis())
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Answers an entry that follows this one.
pub(crate) async fn answer_follower(
    entry: Rc<Entry>,
    request: Request<Incoming>,
) -> Response<BoxedBody> {
    let query = request.uri().query().unwrap_or_default();
    let (Some(after), Some(wait_ms)) = (number(query, "after"), number(query, "wait_ms")) else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let received_at = Moment::now();
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    let has_changes = entry.mirror.borrow().revision() > after;
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

fn changes_response(entry: &Entry, after: u64, received_at: Moment) -> Response<BoxedBody> {
    let now = Moment::now();
    let mirror = entry.mirror.borrow();
    let registry = entry.registry.borrow();
    let Some(proof_age) = registry.proof_age(now) else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Some(items) = mirror.changes(after) else {
        return refuse(StatusCode::GONE);
    };
    let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    let response = ChangesResponse {
        revision: mirror.revision(),
        items,
        configuration_revision: mirror.configuration_revision(),
        proof_age_ms: ms(proof_age).saturating_add(1),
        waited_ms: ms(now.since(received_at)),
        store_failed_ms: registry.store_failed_age(now).map(ms),
    };
    match postcard::to_stdvec(&response) {
        Ok(bytes) => Response::new(full_body(bytes)),
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
