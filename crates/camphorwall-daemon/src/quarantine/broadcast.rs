//! The suspects of one process, told to all others that they concern.

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

/// Processes that are told at once.
const MAX_PARALLEL_CALLS: usize = 64;

/// How long one process may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the teller waits for all of them.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(500);

/// Suspects known to one process.
pub(crate) struct Quarantine {
    instance: InstanceId,
    suspects: RefCell<Suspects>,
    published: PublishedStore,
    client: RpcClient,
}

impl Quarantine {
    pub(crate) fn new(instance: InstanceId, published: PublishedStore, client: RpcClient) -> Self {
        Self {
            instance,
            suspects: RefCell::default(),
            published,
            client,
        }
    }

    /// Refusal of a quarantined request.
    pub(crate) fn refusal(&self, name: &SuspectKey) -> Option<Problem> {
        let suspects = self.suspects.borrow();
        suspects
            .is_quarantined(name, Instant::now())
            .then(|| Problem::not_run(ProblemKind::Quarantined, quarantined_detail(name)))
    }

    /// Whether a request took part in a crash of an engine of this role.
    pub(crate) fn is_suspect(&self, name: &SuspectKey, role: EngineRole) -> bool {
        self.suspects
            .borrow()
            .is_suspect(name, role, Instant::now())
    }

    /// Notes what ran when an engine crashed, and tells the others before anything is retried.
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
        for name in running {
            self.suspects
                .borrow_mut()
                .note_crash(name, crash.clone(), role, now);
        }
        self.broadcast().await;
    }

    /// Clears a suspect that ran to its end.
    pub(crate) async fn clear_suspect(&self, name: &SuspectKey, role: EngineRole) {
        let is_cleared = self
            .suspects
            .borrow_mut()
            .clear_suspect(name, role, Instant::now());
        if is_cleared {
            self.broadcast().await;
        }
    }

    /// Takes what another process tells.
    pub(crate) fn merge(&self, report: ReportedSuspects) {
        let now = Instant::now();
        self.suspects.borrow_mut().merge(report.records, now);
    }

    /// All suspects for operators.
    pub(crate) fn list(&self) -> Vec<QuarantineEntry> {
        let now = Instant::now();
        self.suspects.borrow_mut().expire(now);
        self.suspects.borrow().list(now)
    }

    /// Clears a request of its crashes here and elsewhere; `false` when it is unknown here.
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

    /// Tells all entries and all endpoint daemons of the services concerned.
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
            .filter(|instance| instance.instance != self.instance && is_concerned(instance))
            .cloned()
            .collect();
        // Endpoint daemons first: they keep suspects apart.
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

/// Cause and remedy of the refusal.
pub(crate) fn quarantined_detail(name: &SuspectKey) -> String {
    format!(
        "requests with this content crashed engines twice; change the content, or ask your operator about \
         fingerprint {:016x}",
        name.fingerprint
    )
}
