//! Exchanges documents with one peer: answers its queries and applies its answers.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use camphorwall::{
    DocumentName, DocumentUpdate, DocumentsQuery, DocumentsReply, Revision, Stop, milliseconds,
};
use futures_util::{FutureExt as _, future::select};

use super::PublishedStore;

/// Maximum time that an answer waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Size of the items in one answer, in bytes, after which the remaining documents are left to the next answer.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Answers a query at once or, if the peer has all documents, after the next change.
pub(super) async fn answer_query(
    store: &PublishedStore,
    query: DocumentsQuery,
    stop: Stop,
) -> DocumentsReply {
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    if query.held.is_none() && store.digest() == query.known && !wait.is_zero() {
        let change_or_stop = select(store.changed().boxed_local(), stop.called().boxed_local());
        // The answer is made after the wait even if nothing has changed.
        let _ = compio::time::timeout(wait, change_or_stop).await;
    }
    answer_now(store, &query, Instant::now())
}

/// Time since an instant, in milliseconds.
pub(super) fn ago_ms(at: Option<Instant>, now: Instant) -> Option<u64> {
    let ago = now.saturating_duration_since(at?);
    u64::try_from(ago.as_millis()).ok()
}

/// Answers a query from the documents in force now.
pub(super) fn answer_now(
    store: &PublishedStore,
    query: &DocumentsQuery,
    now: Instant,
) -> DocumentsReply {
    let mut reply = DocumentsReply {
        digest: store.digest(),
        confirmed_ago_ms: ago_ms(store.confirmed_at(), now),
        read_ago_ms: ago_ms(store.read_at(), now),
        ..DocumentsReply::default()
    };
    let Some(missing) = missing_documents(store, query) else {
        reply.is_unknown = true;
        return reply;
    };
    let published = store.get();
    let mut bytes = 0;
    for (name, from) in missing {
        if bytes > MAX_REPLY_BYTES {
            reply.has_more = true;
            break;
        }
        let update = published.update(&name, from);
        bytes += update.as_ref().map_or(0, DocumentUpdate::item_bytes);
        reply.updates.extend(update);
    }
    reply
}

/// Documents of which the sender lacks changes, with the revision that it has, or `None` for the full document. Returns
/// `None` if the digest in the query is unknown here.
fn missing_documents(
    store: &PublishedStore,
    query: &DocumentsQuery,
) -> Option<Vec<(DocumentName, Option<Revision>)>> {
    let Some(held) = &query.held else {
        let since = store.changes_since(query.known)?;
        return Some(
            since
                .into_iter()
                .map(|(name, from)| (name, Some(from)))
                .collect(),
        );
    };
    let missing = |(name, local): (DocumentName, camphorwall::HeldDocument)| {
        let remote = held.get(&name).copied().unwrap_or_default();
        match remote {
            _ if remote.revision > local.revision || remote == local => None,
            // Same revision, other content: the sender may lack an earlier value of an item that was refused later.
            _ if remote.revision == local.revision => Some((name, None)),
            _ => Some((name, Some(remote.revision))),
        }
    };
    Some(store.held().into_iter().filter_map(missing).collect())
}

/// State of the exchange with one peer.
#[derive(Default)]
pub(super) struct PeerState {
    known: u64,
    is_synced: bool,
    requested_in_full: BTreeSet<DocumentName>,
}

impl PeerState {
    /// Whether all documents that the peer had at its last answer are in force here.
    pub(super) const fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Next query for the peer.
    pub(super) fn query(&self, store: &PublishedStore, wait: Duration) -> DocumentsQuery {
        let held = (!self.is_synced).then(|| {
            let mut held = store.held();
            held.retain(|name, _| !self.requested_in_full.contains(name));
            held
        });
        let wait = if self.is_synced { wait } else { Duration::ZERO };
        DocumentsQuery {
            known: self.known,
            held,
            wait_ms: milliseconds(wait),
            entry_address: None,
        }
    }

    /// Puts the documents of a peer's answer into force. The answer was made at `queried_at` or later.
    pub(super) fn apply_reply(
        &mut self,
        store: &PublishedStore,
        reply: &DocumentsReply,
        queried_at: Instant,
    ) {
        let misfits = store.apply_updates(&reply.updates);
        self.is_synced = !reply.is_unknown && !reply.has_more && misfits.is_empty();
        self.requested_in_full = misfits;
        self.known = reply.digest;
        // The peer's confirmation covers the documents in force here only after all of its documents have arrived.
        let ago = reply.confirmed_ago_ms.filter(|_| self.is_synced);
        let ago = ago.map(Duration::from_millis);
        if let Some(at) = ago.and_then(|ago| queried_at.checked_sub(ago)) {
            store.confirm(at);
        }
    }
}
