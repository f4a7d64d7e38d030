//! Stand-in for the platform's configuration service: serves documents with revisions, to be read and watched.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use camphorwall::{
    BoxedBody, Document, DocumentName, FileError, RequestBody, Revision, document_files,
    json_response, read_json_with_comments,
};
use futures_channel::oneshot;
use hyper::{Request, Response};
use serde_json::json;

use crate::RunningServer;

/// Documents of the service at one time.
#[derive(Clone, Default)]
pub struct ConfigurationSnapshot {
    revision: u64,
    documents: BTreeMap<DocumentName, Document>,
}

/// Replica of the service that answers calls.
#[derive(Clone, Default)]
pub enum AnsweringReplica {
    /// A replica that is up to date.
    #[default]
    Current,
    /// A replica that stays at an earlier state.
    Stale(ConfigurationSnapshot),
    /// A replica at an earlier state and one that is up to date, in alternation.
    Alternating(ConfigurationSnapshot),
}

#[derive(Default)]
struct State {
    revision: Cell<u64>,
    documents: RefCell<BTreeMap<DocumentName, Document>>,
    watchers: RefCell<Vec<oneshot::Sender<()>>>,
    calls: Cell<u64>,
    is_down: Cell<bool>,
    answering_replica: RefCell<AnsweringReplica>,
}

/// Stand-in for the configuration service; clones share their state.
#[derive(Clone, Default)]
pub struct ConfigurationService(Rc<State>);

impl ConfigurationService {
    /// Publishes a document with the next revision and notifies the watchers.
    ///
    /// # Panics
    /// When the name is of no known kind.
    #[allow(
        clippy::must_use_candidate,
        reason = "the effect matters; few callers need the revision"
    )]
    pub fn publish(&self, name: &str, body: &serde_json::Value) -> Revision {
        let revision = Revision(self.0.revision.get() + 1);
        self.0.revision.set(revision.get());
        let name: DocumentName = name.parse().expect("a known kind of document");
        let body = serde_json::value::to_raw_value(body).expect("a JSON value can be serialized");
        self.0.documents.borrow_mut().insert(
            name.clone(),
            Document {
                name,
                revision,
                body,
            },
        );
        self.notify_watchers();
        revision
    }

    /// Current documents of the service.
    #[must_use]
    pub fn snapshot(&self) -> ConfigurationSnapshot {
        ConfigurationSnapshot {
            revision: self.0.revision.get(),
            documents: self.0.documents.borrow().clone(),
        }
    }

    /// Selects the replica that answers from now on.
    pub fn set_answering_replica(&self, replica: AnsweringReplica) {
        self.0.answering_replica.replace(replica);
        self.notify_watchers();
    }

    /// Makes later revisions greater than `revision`, so that they increase across restarts.
    pub fn start_revisions_above(&self, revision: Revision) {
        self.0
            .revision
            .set(self.0.revision.get().max(revision.get()));
    }

    /// Publishes a document unless the published one has the same body.
    ///
    /// # Panics
    /// When the name is of no known kind.
    pub fn publish_changed(&self, name: &str, body: &serde_json::Value) {
        let parsed: DocumentName = name.parse().expect("a known kind of document");
        let text = body.to_string();
        let is_same = self
            .0
            .documents
            .borrow()
            .get(&parsed)
            .is_some_and(|published| published.body.get() == text);
        if !is_same {
            self.publish(name, body);
        }
    }

    fn notify_watchers(&self) {
        for watcher in self.0.watchers.take() {
            // The watcher may have timed out.
            let _ = watcher.send(());
        }
    }

    /// Number of calls so far; a watch that waits counts as one call.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.0.calls.get()
    }

    /// Makes the service refuse all calls, or answer them again.
    pub fn set_down(&self, is_down: bool) {
        self.0.is_down.set(is_down);
    }

    /// Serves the documents at an address.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let service = self.clone();
        RunningServer::start(address, move |request| {
            let service = service.clone();
            async move { service.respond(&request).await }
        })
        .await
    }

    async fn respond(&self, request: &Request<RequestBody>) -> Response<BoxedBody> {
        self.0.calls.set(self.0.calls.get() + 1);
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| query_number(query, name).unwrap_or(0);
        let after = number("after");
        match request.uri().path() {
            _ if self.0.is_down.get() => json_response(503, &json!({"error": "down"})),
            "/v1/documents" => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.wait_for_change(after, wait).await;
                if self.0.is_down.get() {
                    return json_response(503, &json!({"error": "down"}));
                }
                self.changed_after(after)
            }
            _ => json_response(
                404,
                &json!({"error": "use /v1/documents?after=REVISION&wait_ms=MILLISECONDS"}),
            ),
        }
    }

    async fn wait_for_change(&self, after: u64, wait: Duration) {
        if self.replica().revision != after || wait.is_zero() {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        {
            let mut watchers = self.0.watchers.borrow_mut();
            watchers.retain(|watcher| !watcher.is_canceled());
            watchers.push(sender);
        }
        // A change and a time-out need no distinction, since the caller reads the documents afterwards.
        let _ = compio::time::timeout(wait, receiver).await;
    }

    /// Documents of the replica that answers now.
    fn replica(&self) -> ConfigurationSnapshot {
        match &*self.0.answering_replica.borrow() {
            AnsweringReplica::Stale(old) => old.clone(),
            AnsweringReplica::Alternating(old) if self.0.calls.get().is_multiple_of(2) => {
                old.clone()
            }
            AnsweringReplica::Alternating(_) | AnsweringReplica::Current => self.snapshot(),
        }
    }

    fn changed_after(&self, after: u64) -> Response<BoxedBody> {
        let replica = self.replica();
        let changed: Vec<_> = replica
            .documents
            .values()
            .filter(|document| document.revision.get() > after)
            .collect();
        json_response(
            200,
            &json!({"revision": replica.revision, "documents": changed}),
        )
    }
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Reads the documents of a directory: a file `KIND.jsonc` for each kind, and its further parts as `KIND.N.jsonc`.
///
/// # Errors
/// When the directory is unreadable, or a file is unreadable or not valid JSON.
pub fn read_documents(directory: &Path) -> Result<Vec<(String, serde_json::Value)>, FileError> {
    let files = document_files(directory)?;
    let read = |(name, path): (DocumentName, PathBuf)| {
        read_json_with_comments(&path).map(|body| (name.to_string(), body))
    };
    files.into_iter().map(read).collect()
}
