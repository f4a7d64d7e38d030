//! Notices that the engine has crashed, and keeps suspects apart from each other.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{CrashId, EngineRole, InstanceId, ProblemKind, Refused, RequestId, Reserve};

use super::{engine::EngineClient, frame_buffer::FrameBuffer, health::EngineHealth};
use crate::quarantine::{Quarantine, SuspectKey};

/// How long an engine may take to tell its incarnation.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a suspect looks whether it may run.
const SUSPECT_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How long a suspect waits for its turn beyond the wait that its entry allows; shorter than the time that the entry
/// adds.
const EXTRA_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Frames of an answer after which its suspect no longer keeps others from starting: a continued answer goes on where
/// the engine died, so that one that crashes engines does so within its first tokens.
const ISOLATION_FRAMES: u64 = 8;

type AttemptKey = (RequestId, u32);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptEnd {
    /// It failed, perhaps with the engine.
    Failed,
    /// It was stopped.
    Stopped,
    /// It ended whole.
    Completed,
}

/// An attempt that holds a place.
struct ActiveAttempt {
    suspect: SuspectKey,
    /// Frames of the attempt, once it has started.
    frame_buffer: Option<FrameBuffer>,
}

/// Watch over one engine.
pub(super) struct CrashDetector {
    instance: InstanceId,
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
        instance: InstanceId,
        role: EngineRole,
        engine: EngineClient,
        health: Rc<EngineHealth>,
    ) -> Self {
        Self {
            instance,
            role: Cell::new(role),
            engine,
            health,
            incarnation: Cell::new(None),
            active: RefCell::new(BTreeMap::new()),
        }
    }

    /// Takes the role that the engine was ordered to.
    pub(super) fn set_role(&self, role: EngineRole) {
        self.role.set(role);
    }

    fn has_engine(&self) -> bool {
        self.role.get() != EngineRole::Plain
    }

    /// Lets an attempt pass when it is no suspect, or no other one has just begun or is about to. It waits for its turn
    /// as long as its entry allows, reckoned from the arrival of its reservation.
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

    /// Notes that an attempt has started.
    pub(super) fn note_started(&self, key: AttemptKey, frame_buffer: &FrameBuffer) {
        if let Some(active) = self.active.borrow_mut().get_mut(&key) {
            active.frame_buffer = Some(frame_buffer.clone());
        }
    }

    /// Notes how an attempt ended. A failure may mean that the engine has crashed, which is found out and told before
    /// the failure itself.
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
                instance: self.instance.clone(),
                incarnation,
            };
            let running = self.running();
            quarantine
                .note_crash(&crash, self.role.get(), running)
                .await;
        }
        let ended = self.active.borrow_mut().remove(&key);
        if let (AttemptEnd::Completed, Some(active)) = (end, ended) {
            quarantine
                .clear_suspect(&active.suspect, self.role.get())
                .await;
        }
    }

    /// Names of what has started; an attempt that only holds a place has not reached the engine.
    fn running(&self) -> Vec<SuspectKey> {
        let active = self.active.borrow();
        let started = active.values().filter(|one| one.frame_buffer.is_some());
        started.map(|one| one.suspect.clone()).collect()
    }

    /// Incarnation that has crashed, if the engine is gone or another one answers.
    async fn detect_crash(&self) -> Option<u64> {
        let known = self.incarnation.get();
        let found = self.probe().await;
        match (known, found) {
            (Some(known), Some(found)) if known == found => None,
            (Some(known), found) => {
                self.incarnation.set(found);
                Some(known)
            }
            // An earlier failure noted this crash, or the engine was never seen alive.
            (None, found) => {
                self.incarnation.set(found);
                None
            }
        }
    }

    /// Learns the incarnation of an engine that answers again. While attempts of an earlier one have not ended, that
    /// one is kept, so that its crash is noticed at their ends.
    pub(super) async fn learn_incarnation(&self, is_active: impl Fn(AttemptKey) -> bool) {
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
