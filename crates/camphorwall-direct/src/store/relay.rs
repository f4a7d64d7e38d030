//! How the entries that read the store tell the others of its changes.
//!
//! A follower asks again and again, as it would ask the store. An answer tells how old the reader's own proof is, and the
//! follower counts from when it asked, so that an answer that was held up on its way proves no more than it may.

use std::{rc::Rc, time::Duration};

use camphorwall::{BoxedBody, empty_body, full_body};
use http::{Request, StatusCode};
use hyper::{Response, body::Incoming};
use serde::{Deserialize, Serialize};

use super::mirror::ChangedItem;
use crate::{clock::Moment, entry::Entry};

/// Longest time that a reader holds a follower's question.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// What a reader tells a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct ChangesResponse {
    /// Store's revision up to which all changes are told.
    pub(crate) revision: u64,
    pub(crate) items: Vec<ChangedItem>,
    /// Revision of the newest configuration.
    pub(crate) configuration_revision: u64,
    /// Time since all this was known to be the store's newest.
    pub(crate) proof_age_ms: u32,
    /// Time for which the question has waited here. The follower's clock tells when it asked, so both bound the answer's age.
    pub(crate) waited_ms: u32,
    /// Time since the reader's last call to the store that failed.
    pub(crate) store_failed_ms: Option<u32>,
}

/// Path and query of a follower's question.
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
    let asked_at = Moment::now();
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    let has_changes = entry.mirror.borrow().revision() > after;
    if !has_changes && entry.reads_store.get() {
        let renewed = entry.mirror.borrow_mut().next_update();
        // Whether the time is over or there is something new, the answer is what is known by then.
        let _ = compio::time::timeout(wait, renewed).await;
    }
    if !entry.reads_store.get() || entry.is_leaving() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    }
    tell(&entry, after, asked_at)
}

fn tell(entry: &Entry, after: u64, asked_at: Moment) -> Response<BoxedBody> {
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
    let told = ChangesResponse {
        revision: mirror.revision(),
        items,
        configuration_revision: mirror.configuration_revision(),
        proof_age_ms: ms(proof_age).saturating_add(1),
        waited_ms: ms(now.since(asked_at)),
        store_failed_ms: registry.store_failed_age(now).map(ms),
    };
    match postcard::to_stdvec(&told) {
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
