//! Detects that the engine has crashed, and keeps suspects from running at the same time.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{CrashId, EngineRole, InstanceId, ProblemKind, Refused, RequestId, Reserve};

use super::{engine::EngineClient, frame_buffer::FrameBuffer, health::EngineHealth};
use crate::quarantine::{Quarantine, SuspectKey};

/// How long an engine may take to report its incarnation.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a waiting suspect checks whether it may run.
const SUSPECT_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How long a suspect waits for other suspects beyond the wait limit of its entry; shorter than the time that the entry
/// adds to its wait limit.
const EXTRA_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Number of frames after which a decoding suspect no longer keeps other suspects from starting. A retried answer
/// continues at the token where the engine died, so a request that crashes engines does so within its first tokens.
const ISOLATION_FRAMES: u64 = 8;

type AttemptKey = (RequestId, u32);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptEnd {
    /// It failed, perhaps with the engine.
    Failed,
    /// It was stopped.
    Stopped,
    /// It ran to its end.
    Completed,
}

/// An attempt that was assigned a slot.
struct ActiveAttempt {
    suspect: SuspectKey,
    /// Frames of the attempt, once it has started.
    frame_buffer: Option<FrameBuffer>,
}

/// Crash detection for one engine.
pub(super) struct CrashDetector {
    local_instance: InstanceId,
    role: Cell<EngineRole>,
    engine: EngineClient,
    health: Rc<EngineHealth>,
    incarnation: Cell<Option<u64>>,
    active: RefCell<BTreeMap<AttemptKey, ActiveAttempt>>,
}

fn suspect_key(reserve: &Reserve) -> SuspectKey {
    SuspectKey {
        service: reserve.service.clone(),
        fingerprint: reserve.fingerprint,
    }
}

impl CrashDetector {
    pub(super) const fn new(
        local_instance: InstanceId,
        role: EngineRole,
        engine: EngineClient,
        health: Rc<EngineHealth>,
    ) -> Self {
        Self {
            local_instance,
            role: Cell::new(role),
            engine,
            health,
            incarnation: Cell::new(None),
            active: RefCell::new(BTreeMap::new()),
        }
    }

    /// Sets the role that the engine was ordered to have.
    pub(super) fn set_role(&self, role: EngineRole) {
        self.role.set(role);
    }

    fn has_engine(&self) -> bool {
        self.role.get() != EngineRole::Plain
    }

    /// Admits an attempt that is no suspect at once. A suspect waits while another suspect is about to start, in
    /// prefill, or within its first [`ISOLATION_FRAMES`] of decode. It waits for at most the wait limit of its entry
    /// plus [`EXTRA_WAIT_LIMIT`], counted from the arrival of its reservation.
    pub(super) async fn admit(
        &self,
        reserve: &Reserve,
        requested_at: Instant,
        quarantine: &Quarantine,
        is_active: impl Fn(AttemptKey) -> bool,
    ) -> Result<(), Refused> {
        if !self.has_engine() {
            return Ok(());
        }
        let key = (reserve.request_id, reserve.attempt);
        let suspect = suspect_key(reserve);
        let give_up_at =
            requested_at + Duration::from_millis(reserve.wait_limit_ms) + EXTRA_WAIT_LIMIT;
        loop {
            if let Some(problem) = quarantine.refusal(&suspect) {
                return Err(refused(problem.kind, problem.detail));
            }
            self.active.borrow_mut().retain(|key, _| is_active(*key));
            if !quarantine.is_suspect(&suspect, self.role.get())
                || !self.has_blocking_suspect(key, quarantine)
            {
                let active = ActiveAttempt {
                    suspect,
                    frame_buffer: None,
                };
                self.active.borrow_mut().insert(key, active);
                return Ok(());
            }
            if Instant::now() >= give_up_at {
                let detail = "the request may have crashed an engine and runs alone; repeat it";
                return Err(refused(ProblemKind::Overloaded, detail.into()));
            }
            compio::time::sleep(SUSPECT_POLL_PERIOD).await;
        }
    }

    fn has_blocking_suspect(&self, attempt: AttemptKey, quarantine: &Quarantine) -> bool {
        let active = self.active.borrow();
        let mut others = active.iter().filter(|(key, _)| **key != attempt);
        others.any(|(_, one)| {
            self.blocks_other_suspects(one) && quarantine.is_suspect(&one.suspect, self.role.get())
        })
    }

    fn blocks_other_suspects(&self, one: &ActiveAttempt) -> bool {
        let frames = one
            .frame_buffer
            .as_ref()
            .map_or(0, FrameBuffer::added_frames);
        self.role.get() != EngineRole::Decode || frames < ISOLATION_FRAMES
    }

    /// Records that an attempt has started.
    pub(super) fn note_started(&self, key: AttemptKey, frame_buffer: &FrameBuffer) {
        if let Some(active) = self.active.borrow_mut().get_mut(&key) {
            active.frame_buffer = Some(frame_buffer.clone());
        }
    }

    /// Records how an attempt ended. A failure may mean that the engine has crashed; this is checked, and reported to
    /// peers, before the failure is reported to the entry.
    pub(super) async fn note_ended(
        &self,
        key: AttemptKey,
        end: AttemptEnd,
        quarantine: &Quarantine,
    ) {
        if !self.has_engine() {
            return;
        }
        if end == AttemptEnd::Failed
            && let Some(incarnation) = self.detect_crash().await
        {
            let crash = CrashId {
                instance: self.local_instance.clone(),
                incarnation,
            };
            let running_suspects = self.running_suspects();
            quarantine
                .note_crash(&crash, self.role.get(), running_suspects)
                .await;
        }
        let ended = self.active.borrow_mut().remove(&key);
        if let (AttemptEnd::Completed, Some(active)) = (end, ended) {
            quarantine
                .clear_suspect(&active.suspect, self.role.get())
                .await;
        }
    }

    /// Contents of the running attempts, which a crash makes suspects. An attempt that has not started is left out,
    /// because it has not reached the engine.
    fn running_suspects(&self) -> Vec<SuspectKey> {
        let active = self.active.borrow();
        let started = active.values().filter(|one| one.frame_buffer.is_some());
        started.map(|one| one.suspect.clone()).collect()
    }

    /// Incarnation that has crashed, if the engine does not answer or has another incarnation now.
    async fn detect_crash(&self) -> Option<u64> {
        let known = self.incarnation.get();
        let found = self.probe().await;
        match (known, found) {
            (Some(known), Some(found)) if known == found => None,
            (Some(known), found) => {
                self.incarnation.set(found);
                Some(known)
            }
            // An earlier failure recorded this crash, or the engine never answered.
            (None, found) => {
                self.incarnation.set(found);
                None
            }
        }
    }

    /// Reads the incarnation of an engine that answers again. While attempts of the earlier incarnation have not ended,
    /// the earlier one is kept, so that its crash is detected when they fail.
    pub(super) async fn update_incarnation(&self, is_active: impl Fn(AttemptKey) -> bool) {
        self.active.borrow_mut().retain(|key, _| is_active(*key));
        if self.incarnation.get().is_none() || self.active.borrow().is_empty() {
            let found = self.probe().await;
            self.incarnation.set(found);
        }
    }

    async fn probe(&self) -> Option<u64> {
        let engine = self.engine.reconnected();
        let probing = Box::pin(async move { engine.incarnation().await });
        let found = compio::time::timeout(PROBE_TIMEOUT, probing).await;
        let found = found.ok().and_then(Result::ok);
        if found.is_none() {
            self.health.note_silence();
        }
        found
    }
}

fn refused(kind: ProblemKind, detail: String) -> Refused {
    Refused {
        kind,
        detail,
        retry_after_ms: None,
        load: camphorwall::Load::default(),
    }
}
