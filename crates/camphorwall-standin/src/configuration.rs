//! Stand-in for the platform's configuration service: documents with revisions that can be read and watched.

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
    BoxedBody, Document, DocumentName, FileError, Revision, document_files, json_response,
    read_json_with_comments,
};
use futures_channel::oneshot;
use hyper::{Request, Response, body::Incoming};
use serde_json::json;

use crate::RunningServer;

/// What the service held at one time.
#[derive(Clone, Default)]
pub struct ConfigurationSnapshot {
    revision: u64,
    documents: BTreeMap<DocumentName, Document>,
}

/// Which replica of the service answers.
#[derive(Clone, Default)]
pub enum AnsweringReplica {
    /// One that is up to date.
    #[default]
    Current,
    /// One that stands still at an earlier time.
    Stale(ConfigurationSnapshot),
    /// By turns one that stands still and one that is up to date.
    Alternating(ConfigurationSnapshot),
}

#[derive(Default)]
struct State {
    revision: Cell<u64>,
    documents: RefCell<BTreeMap<DocumentName, Document>>,
    watchers: RefCell<Vec<oneshot::Sender<()>>>,
    calls: Cell<u64>,
    is_down: Cell<bool>,
    answering: RefCell<AnsweringReplica>,
}

/// The service; clones share their state.
#[derive(Clone, Default)]
pub struct ConfigurationService(Rc<State>);

impl ConfigurationService {
    /// Publishes a document under the next revision and wakes the watchers.
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
        let body = serde_json::value::to_raw_value(body).expect("a JSON value has a text");
        self.0.documents.borrow_mut().insert(
            name.clone(),
            Document {
                name,
                revision,
                body,
            },
        );
        self.wake();
        revision
    }

    /// What the service holds now.
    #[must_use]
    pub fn snapshot(&self) -> ConfigurationSnapshot {
        ConfigurationSnapshot {
            revision: self.0.revision.get(),
            documents: self.0.documents.borrow().clone(),
        }
    }

    /// Chooses the replica that answers from now on.
    pub fn set_answering_replica(&self, answering: AnsweringReplica) {
        self.0.answering.replace(answering);
        self.wake();
    }

    /// Lets the revisions begin above a number, so that they rise over restarts.
    pub fn start_revisions_above(&self, revision: Revision) {
        self.0
            .revision
            .set(self.0.revision.get().max(revision.get()));
    }

    /// Publishes a document unless it is published as it is.
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
            .is_some_and(|held| held.body.get() == text);
        if !is_same {
            self.publish(name, body);
        }
    }

    fn wake(&self) {
        for watcher in self.0.watchers.take() {
            // The watcher may have gone.
            let _ = watcher.send(());
        }
    }

    /// Calls counted so far; a waiting watch counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.0.calls.get()
    }

    /// Makes the service fail all calls, or end that.
    pub fn set_down(&self, is_down: bool) {
        self.0.is_down.set(is_down);
    }

    /// Serves the documents.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let service = self.clone();
        RunningServer::start(address, move |request| {
            let service = service.clone();
            async move { service.answer(&request).await }
        })
        .await
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<BoxedBody> {
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
        // Either a change or the end of the wait; the answer is read afterwards.
        let _ = compio::time::timeout(wait, receiver).await;
    }

    /// What the replica holds that answers now.
    fn replica(&self) -> ConfigurationSnapshot {
        match &*self.0.answering.borrow() {
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

/// Reads the published documents of a directory: `KIND.jsonc` each, and further parts as `KIND.N.jsonc`.
///
/// # Errors
/// When the directory or a file is unreadable or no JSON.
pub fn read_documents(directory: &Path) -> Result<Vec<(String, serde_json::Value)>, FileError> {
    let files = document_files(directory)?;
    let read = |(name, path): (DocumentName, PathBuf)| {
        read_json_with_comments(&path).map(|body| (name.to_string(), body))
    };
    files.into_iter().map(read).collect()
}
