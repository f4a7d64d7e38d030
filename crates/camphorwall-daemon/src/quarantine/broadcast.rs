//! The suspects known to one process, reported to all processes that they concern.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{
    CrashId, EngineRole, Instance, InstanceId, InstanceRole, METHOD_SUSPECTS, Problem, ProblemKind,
    QuarantineEntry, QuarantineLift, ReportedSuspects, RpcClient,
};
use futures_util::StreamExt as _;

use super::suspects::{SuspectKey, Suspects};
use crate::published::PublishedStore;

/// Maximum number of concurrent reports.
const MAX_PARALLEL_CALLS: usize = 64;

/// How long one process may take to answer a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a broadcast waits for all its reports.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(500);

/// Suspects known to one process.
pub(crate) struct Quarantine {
    local_instance: InstanceId,
    suspects: RefCell<Suspects>,
    published: PublishedStore,
    client: RpcClient,
}

impl Quarantine {
    pub(crate) fn new(
        local_instance: InstanceId,
        published: PublishedStore,
        client: RpcClient,
    ) -> Self {
        Self {
            local_instance,
            suspects: RefCell::default(),
            published,
            client,
        }
    }

    /// Refusal of a request, if it is quarantined.
    pub(crate) fn refusal(&self, suspect: &SuspectKey) -> Option<Problem> {
        let suspects = self.suspects.borrow();
        suspects
            .is_quarantined(suspect, Instant::now())
            .then(|| Problem::not_run(ProblemKind::Quarantined, quarantined_detail(suspect)))
    }

    /// Whether a request was running when an engine of this role crashed.
    pub(crate) fn is_suspect(&self, suspect: &SuspectKey, role: EngineRole) -> bool {
        self.suspects
            .borrow()
            .is_suspect(suspect, role, Instant::now())
    }

    /// Records what was running when an engine crashed, and reports it to peers before any of it is retried.
    pub(crate) async fn note_crash(
        &self,
        crash: &CrashId,
        role: EngineRole,
        running: Vec<SuspectKey>,
    ) {
        let now = Instant::now();
        tracing::warn!(
            event = "engine_crashed",
            incarnation = crash.incarnation,
            running = running.len()
        );
        for suspect in running {
            self.suspects
                .borrow_mut()
                .note_crash(suspect, crash.clone(), role, now);
        }
        self.broadcast().await;
    }

    /// Clears a suspect that ran to its end.
    pub(crate) async fn clear_suspect(&self, suspect: &SuspectKey, role: EngineRole) {
        let is_cleared = self
            .suspects
            .borrow_mut()
            .clear_suspect(suspect, role, Instant::now());
        if is_cleared {
            self.broadcast().await;
        }
    }

    /// Merges the report of another process.
    pub(crate) fn merge(&self, report: ReportedSuspects) {
        let now = Instant::now();
        self.suspects.borrow_mut().merge(report.records, now);
    }

    /// All suspects, as shown to operators.
    pub(crate) fn list(&self) -> Vec<QuarantineEntry> {
        let now = Instant::now();
        self.suspects.borrow_mut().expire(now);
        self.suspects.borrow().list(now)
    }

    /// Clears a request of its crashes in all processes; `false` when it is unknown here.
    pub(crate) async fn lift(&self, lift: &QuarantineLift) -> bool {
        let Ok(fingerprint) = u64::from_str_radix(&lift.fingerprint, 16) else {
            return false;
        };
        let is_lifted = self.suspects.borrow_mut().lift(fingerprint);
        if is_lifted {
            self.broadcast().await;
        }
        is_lifted
    }

    /// Reports all suspects to all entries, and to the endpoint daemons of the services concerned.
    async fn broadcast(&self) {
        let records = self.suspects.borrow().records(Instant::now());
        let is_concerned = |instance: &Instance| {
            let service = instance.service.as_ref();
            instance.role == InstanceRole::Entry
                || records
                    .iter()
                    .any(|record| Some(&record.service) == service)
        };
        let mut peers: Vec<Instance> = self
            .published
            .get()
            .instances
            .values()
            .filter(|instance| instance.instance != self.local_instance && is_concerned(instance))
            .cloned()
            .collect();
        // Endpoint daemons first, because they keep suspects from running at the same time.
        peers.sort_by_key(|instance| instance.role == InstanceRole::Entry);
        let report = ReportedSuspects { records };
        let calls = peers
            .iter()
            .map(|peer| self.report_to(peer.peer_address, &report));
        let reporting = futures_util::stream::iter(calls)
            .buffer_unordered(MAX_PARALLEL_CALLS)
            .for_each(|()| std::future::ready(()));
        if compio::time::timeout(BROADCAST_TIMEOUT, Box::pin(reporting))
            .await
            .is_err()
        {
            tracing::warn!(event = "suspects_told_in_part", others = peers.len());
        }
    }

    async fn report_to(&self, address: SocketAddr, report: &ReportedSuspects) {
        let reply: Result<(), _> = self
            .client
            .call(address, METHOD_SUSPECTS, report, CALL_TIMEOUT)
            .await;
        if let Err(error) = reply {
            tracing::debug!(event = "suspects_not_told", %error);
        }
    }
}

/// Text of the refusal: its cause and what the caller can do.
pub(crate) fn quarantined_detail(suspect: &SuspectKey) -> String {
    format!(
        "requests with this content crashed engines twice; change the content, or ask your operator about \
         fingerprint {:016x}",
        suspect.fingerprint
    )
}
