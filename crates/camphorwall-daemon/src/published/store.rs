//! Stores the documents in force at this process, and the refused ones with the reason.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
};

use camphorwall::{
    Document, DocumentName, DocumentUpdate, HeldDocument, InstanceId, Published, Revision,
};
use futures_channel::oneshot;

use crate::metrics::Metrics;

/// Maximum changes that are kept, so that followers can get changes instead of full documents.
const MAX_CHANGES: usize = 256;

struct Change {
    digest_before: u64,
    name: DocumentName,
    revision_before: Revision,
}

#[derive(Default)]
struct State {
    published: RefCell<Published>,
    refused: RefCell<BTreeMap<String, String>>,
    changes: RefCell<VecDeque<Change>>,
    digest: Cell<u64>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    confirmed_at: Cell<Option<Instant>>,
    read_at: Cell<Option<Instant>>,
    is_ready: Cell<bool>,
}

/// The documents in force; clones share them.
#[derive(Clone, Default)]
pub(crate) struct PublishedStore(Rc<State>);

impl PublishedStore {
    /// Puts documents from the service into force whose revision is above the one in force.
    pub(crate) fn apply(&self, documents: Vec<Document>) {
        for document in documents {
            self.apply_one(&document);
        }
    }

    /// Returns a function that looks up the address at which an instance is listed when the function is called.
    pub(crate) fn listed_address_of(
        &self,
        instance: &InstanceId,
    ) -> impl Fn() -> Option<SocketAddr> + 'static {
        let (store, instance) = (self.clone(), instance.clone());
        move || {
            let published = store.get();
            let listed = published.instances.get(&instance);
            listed.map(|one| one.peer_address)
        }
    }

    fn apply_one(&self, document: &Document) {
        let name = document.name.clone();
        let (revision, revision_before) = (document.revision, self.get().revision(&name));
        let applied = self.0.published.borrow_mut().apply(document);
        match applied {
            Ok(true) => self.note_change(name, revision_before),
            Ok(false) => tracing::debug!(event = "document_not_newer", document = %name, %revision),
            Err(error) => {
                tracing::warn!(event = "document_refused", document = %name, %revision, %error);
                let mut refused = self.0.refused.borrow_mut();
                refused.insert(name.to_string(), error.to_string());
            }
        }
    }

    /// Puts a peer's updates into force. Returns the documents whose update doesn't fit and that must be requested in
    /// full.
    pub(crate) fn apply_updates(&self, updates: &[DocumentUpdate]) -> BTreeSet<DocumentName> {
        let mut misfits = BTreeSet::new();
        for update in updates {
            let revision_before = self.get().revision(&update.name);
            let applied = self.0.published.borrow_mut().apply_update(update);
            match applied {
                Ok(true) => self.note_change(update.name.clone(), revision_before),
                Ok(false) => {}
                Err(reason) => {
                    tracing::debug!(event = "change_does_not_fit", document = %update.name, reason);
                    misfits.insert(update.name.clone());
                }
            }
        }
        misfits
    }

    fn note_change(&self, name: DocumentName, revision_before: Revision) {
        let revision = self.get().revision(&name);
        tracing::info!(event = "document_in_force", document = %name, %revision);
        for (document, item, reason) in self.get().refused().filter(|one| *one.0 == name) {
            tracing::warn!(event = "item_refused", %document, %item, %revision, reason);
        }
        self.0.refused.borrow_mut().remove(&name.to_string());
        let mut changes = self.0.changes.borrow_mut();
        changes.push_back(Change {
            digest_before: self.0.digest.get(),
            name,
            revision_before,
        });
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
        }
        self.0.digest.set(self.get().digest());
        for waiting in self.0.waiting.take() {
            // The waiting task may have ended.
            let _ = waiting.send(());
        }
    }

    /// Documents in force now.
    pub(crate) fn get(&self) -> Ref<'_, Published> {
        self.0.published.borrow()
    }

    /// Digest of all documents in force.
    pub(crate) fn digest(&self) -> u64 {
        self.0.digest.get()
    }

    /// Waits for the next change.
    pub(crate) async fn changed(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.0.waiting.borrow_mut();
            waiting.retain(|one| !one.is_canceled());
            waiting.push(sender);
        }
        // The sender is dropped only with the store.
        let _ = receiver.await;
    }

    /// Revisions in force by document.
    pub(crate) fn revisions(&self) -> BTreeMap<String, Revision> {
        self.get()
            .revisions()
            .map(|(name, revision)| (name.to_string(), revision))
            .collect()
    }

    /// Documents changed since a digest, each with the revision that it had then; `None` if the kept changes don't go
    /// back to the digest.
    pub(crate) fn changes_since(&self, digest: u64) -> Option<BTreeMap<DocumentName, Revision>> {
        if digest == self.digest() {
            return Some(BTreeMap::new());
        }
        let changes = self.0.changes.borrow();
        let start = changes
            .iter()
            .rposition(|change| change.digest_before == digest)?;
        let mut since = BTreeMap::new();
        for change in changes.range(start..) {
            since
                .entry(change.name.clone())
                .or_insert(change.revision_before);
        }
        Some(since)
    }

    /// Revision and content of each document in force.
    pub(crate) fn held(&self) -> BTreeMap<DocumentName, HeldDocument> {
        self.get().held()
    }

    /// Notes that the service had nothing newer than the documents in force at an instant.
    pub(crate) fn confirm(&self, at: Instant) {
        let newest = self
            .0
            .confirmed_at
            .get()
            .map_or(at, |before| before.max(at));
        self.0.confirmed_at.set(Some(newest));
    }

    /// Notes that this process itself read the service.
    pub(crate) fn note_read(&self, at: Instant) {
        self.0.read_at.set(Some(at));
        self.confirm(at);
    }

    /// When this process itself last read the service.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        self.0.read_at.get()
    }

    /// When the service last confirmed the documents in force, as far as this process knows.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.0.confirmed_at.get()
    }

    /// Notes that this process has queried its peers and may serve.
    pub(crate) fn set_ready(&self) {
        self.0.is_ready.set(true);
    }

    /// Whether this process may serve: it has queried its peers and has the highest revisions that they knew.
    pub(crate) fn is_ready(&self) -> bool {
        self.0.is_ready.get()
    }

    /// Updates the metrics of the configuration: refused documents and the time since the last confirmation.
    pub(crate) fn update_metrics(&self, metrics: &Metrics, now: Instant) {
        let confirmed_at = self.confirmed_at();
        let age = confirmed_at.map(|at| now.saturating_duration_since(at));
        metrics.note_configuration(self.refused().len(), age);
    }

    /// Refused documents and items with the reason.
    pub(crate) fn refused(&self) -> BTreeMap<String, String> {
        let mut refused = self.0.refused.borrow().clone();
        for (document, item, reason) in self.get().refused() {
            refused.insert(format!("{document} {item}"), reason.to_owned());
        }
        refused
    }
}
