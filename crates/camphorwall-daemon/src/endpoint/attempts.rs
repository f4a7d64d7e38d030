//! Attempts at this endpoint and their states: reserved, running or closed.
//!
//! An attempt starts only from a reservation whose lease has not ended, judged by the monotonic clock at the moment
//! of the start, so that a daemon that was paused starts no work late.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use camphorwall::{
    Cancel, CancelReply, Failed, InstanceId, Load, Outcome, ProblemKind, Refused, Renew, RequestId,
    RequestIdPrefix, ReservationId, Reserve, Reserved, Resume, Start, Stop, StopHandle,
    milliseconds, stop_pair,
};

use super::{
    frame_buffer::FrameBuffer,
    slot_queue::{SlotAssignment, SlotQueue},
};

/// How long a reservation lasts without a start or a renewal.
const RESERVATION_LEASE: Duration = Duration::from_secs(3);

/// How long running work goes on without a renewal from its entry.
const REQUEST_LEASE: Duration = Duration::from_secs(5);

/// How long work goes on past its deadline when its entry, which sees the deadline first, does not cancel it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// How long an ended or cancelled attempt stays recorded.
const CLOSED_RETENTION: Duration = Duration::from_secs(60);

/// How long the frames of ended work can be read again.
const FRAME_RETENTION: Duration = Duration::from_secs(10);

/// How long an exported KV cache that no decode daemon fetches stays in the engine.
const EXPORT_RETENTION: Duration = Duration::from_secs(2);

/// Number of recorded attempts above which a cancellation of an unknown attempt is no longer recorded, so that
/// cancellations take bounded memory.
const MAX_RECORDED_ATTEMPTS: usize = 20_000;

type AttemptKey = (RequestId, u32);

/// Highest sequence of the datagrams that renewed an attempt.
#[derive(Clone, Copy, Default)]
struct LastSequence(u64);

impl LastSequence {
    /// Records a datagram's sequence and returns whether it is newer than the last one. RPC calls have none, because
    /// replayed calls are already rejected.
    fn try_advance(&mut self, sequence: Option<u64>) -> bool {
        let Some(sequence) = sequence else {
            return true;
        };
        let is_newer = sequence > self.0;
        self.0 = self.0.max(sequence);
        is_newer
    }
}

struct Running {
    entry: InstanceId,
    renewed_at: Instant,
    last_sequence: LastSequence,
    deadline_at: Instant,
    stop: StopHandle,
    frame_buffer: FrameBuffer,
    _assignment: SlotAssignment,
}

enum AttemptState {
    /// Waits for a start that names the reservation.
    Reserved {
        entry: InstanceId,
        reservation: ReservationId,
        lease_ends_at: Instant,
        last_sequence: LastSequence,
        deadline_at: Instant,
        assignment: SlotAssignment,
    },
    /// Runs as long as its entry renews it.
    Running(Running),
    /// Ended, stopped, or cancelled before the start; a later start is refused.
    Closed {
        at: Instant,
        frame_buffer: Option<FrameBuffer>,
        holds_export: bool,
    },
}

impl AttemptState {
    const fn not_run(at: Instant) -> Self {
        Self::Closed {
            at,
            frame_buffer: None,
            holds_export: false,
        }
    }
}

/// A started attempt.
pub(super) struct StartedAttempt {
    /// Triggered when the work must stop.
    pub(super) stop: Stop,
    /// Takes the frames of the work.
    pub(super) frame_buffer: FrameBuffer,
}

/// All attempts at this endpoint.
pub(super) struct Attempts {
    slot_queue: SlotQueue,
    is_leaving: bool,
    by_key: BTreeMap<AttemptKey, AttemptState>,
}

fn failed(kind: ProblemKind, outcome: Outcome, detail: &str) -> Failed {
    Failed {
        kind,
        outcome,
        detail: detail.into(),
    }
}

impl Attempts {
    pub(super) const fn new(slot_queue: SlotQueue) -> Self {
        Self {
            slot_queue,
            is_leaving: false,
            by_key: BTreeMap::new(),
        }
    }

    /// Refuses new reservations from now on.
    pub(super) const fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    pub(super) fn load(&self) -> Load {
        let count = |is_counted: fn(&AttemptState) -> bool| {
            let counted = self.by_key.values().filter(|state| is_counted(state));
            u32::try_from(counted.count()).unwrap_or(u32::MAX)
        };
        Load {
            running: count(|state| matches!(state, AttemptState::Running(_))),
            reserved: count(|state| matches!(state, AttemptState::Reserved { .. })),
            waiting: u32::try_from(self.slot_queue.waiting()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.slot_queue.slots()).unwrap_or(u32::MAX),
            queued_prompt_tokens: self.slot_queue.prompt_tokens(),
        }
    }

    /// Whether no attempt is reserved or running and no frames wait to be read.
    pub(super) fn is_idle(&self) -> bool {
        self.by_key.values().all(|state| match state {
            AttemptState::Reserved { .. } | AttemptState::Running(_) => false,
            AttemptState::Closed { frame_buffer, .. } => {
                frame_buffer.as_ref().is_none_or(FrameBuffer::is_drained)
            }
        })
    }

    /// Whether the engine may hold an attempt's exported KV cache.
    pub(super) fn holds_export(&self, cancel: &Cancel) -> bool {
        let state = self.by_key.get(&(cancel.request_id, cancel.attempt));
        matches!(
            state,
            Some(AttemptState::Closed {
                holds_export: true,
                ..
            })
        )
    }

    /// Whether no attempt is reserved or running and the engine holds no exported KV cache.
    pub(super) fn is_engine_free(&self) -> bool {
        self.by_key.values().all(|state| match state {
            AttemptState::Reserved { .. } | AttemptState::Running(_) => false,
            AttemptState::Closed { holds_export, .. } => !holds_export,
        })
    }

    /// Whether the engine may hold memory for a request.
    pub(super) fn may_hold_memory(&self, request_id: RequestId) -> bool {
        self.of_request(request_id).any(|state| match state {
            AttemptState::Reserved { .. } => false,
            AttemptState::Running(_) => true,
            AttemptState::Closed { holds_export, .. } => *holds_export,
        })
    }

    fn of_request(&self, request_id: RequestId) -> impl Iterator<Item = &AttemptState> {
        let attempts = (request_id, 0)..=(request_id, u32::MAX);
        self.by_key.range(attempts).map(|(_, state)| state)
    }

    /// Why an attempt can't be reserved here; checked before it waits for a slot.
    pub(super) fn refusal(&self, request: &Reserve) -> Option<Refused> {
        let refuse = |kind, detail: &str| {
            Some(Refused {
                kind,
                detail: detail.into(),
                retry_after_ms: None,
                load: self.load(),
            })
        };
        let key = (request.request_id, request.attempt);
        let is_active = |state: &AttemptState| !matches!(state, AttemptState::Closed { .. });
        match () {
            () if self.is_leaving => refuse(ProblemKind::ShuttingDown, "the endpoint is leaving"),
            () if self.by_key.contains_key(&key) => refuse(
                ProblemKind::Unavailable,
                "the attempt was reserved or cancelled before",
            ),
            // Engines identify a request by its id alone, so its attempts must not run side by side.
            () if self.of_request(request.request_id).any(is_active) => refuse(
                ProblemKind::Unavailable,
                "an earlier attempt of the request has not ended here",
            ),
            () => None,
        }
    }

    /// Reserves an assigned slot for an attempt.
    pub(super) fn reserve(
        &mut self,
        request: &Reserve,
        assignment: SlotAssignment,
        now: Instant,
    ) -> Result<Reserved, Refused> {
        if let Some(refused) = self.refusal(request) {
            return Err(refused);
        }
        let reservation = ReservationId::generate();
        let ready_in_ms = milliseconds(assignment.ready_in());
        let state = AttemptState::Reserved {
            entry: request.entry.clone(),
            reservation,
            lease_ends_at: now + RESERVATION_LEASE,
            last_sequence: LastSequence::default(),
            deadline_at: now + Duration::from_millis(request.deadline_ms) + DEADLINE_MARGIN,
            assignment,
        };
        self.by_key
            .insert((request.request_id, request.attempt), state);
        let lease_ms = milliseconds(RESERVATION_LEASE);
        Ok(Reserved {
            reservation,
            lease_ms,
            ready_in_ms,
            load: self.load(),
            setup: None,
            cached_pieces: None,
        })
    }

    /// Starts a reserved attempt.
    pub(super) fn begin(&mut self, start: &Start, now: Instant) -> Result<StartedAttempt, Failed> {
        let not_run = |detail: &str| failed(ProblemKind::EndpointFailed, Outcome::NotRun, detail);
        // The new attempt's KV cache replaces the one that an earlier attempt exported; the expiry of the earlier
        // attempt must not free it.
        self.note_export_released(start.request_id);
        let Some(state) = self.by_key.get_mut(&(start.request_id, start.attempt)) else {
            return Err(not_run("no such reservation"));
        };
        match std::mem::replace(state, AttemptState::not_run(now)) {
            AttemptState::Reserved {
                entry,
                reservation,
                lease_ends_at,
                last_sequence,
                deadline_at,
                assignment,
            } if reservation == start.reservation && now < lease_ends_at => {
                let (stop_handle, stop) = stop_pair();
                assignment.mark_used(now);
                let frame_buffer = FrameBuffer::default();
                *state = AttemptState::Running(Running {
                    entry,
                    renewed_at: now,
                    last_sequence,
                    deadline_at,
                    stop: stop_handle,
                    frame_buffer: frame_buffer.clone(),
                    _assignment: assignment,
                });
                Ok(StartedAttempt { stop, frame_buffer })
            }
            AttemptState::Reserved { .. } => Err(not_run("the reservation's lease has ended")),
            unchanged @ AttemptState::Closed {
                frame_buffer: None, ..
            } => {
                *state = unchanged;
                Err(not_run("the attempt was cancelled before its start"))
            }
            unchanged @ (AttemptState::Running(_) | AttemptState::Closed { .. }) => {
                *state = unchanged;
                Err(failed(
                    ProblemKind::Unknown,
                    Outcome::MayHaveRun,
                    "the attempt was started before",
                ))
            }
        }
    }

    /// Whether an attempt is reserved or running.
    pub(super) fn is_active(&self, key: AttemptKey) -> bool {
        matches!(
            self.by_key.get(&key),
            Some(AttemptState::Reserved { .. } | AttemptState::Running(_))
        )
    }

    /// Frames of a started attempt. An attempt that has not started is closed, so that a late start is refused.
    pub(super) fn resume(&mut self, resume: &Resume, now: Instant) -> Result<FrameBuffer, Failed> {
        let Some(state) = self.by_key.get_mut(&(resume.request_id, resume.attempt)) else {
            return Err(failed(
                ProblemKind::Unknown,
                Outcome::MayHaveRun,
                "the endpoint daemon remembers nothing of the attempt",
            ));
        };
        match state {
            AttemptState::Running(Running { frame_buffer, .. })
            | AttemptState::Closed {
                frame_buffer: Some(frame_buffer),
                ..
            } => Ok(frame_buffer.clone()),
            AttemptState::Reserved { .. } | AttemptState::Closed { .. } => {
                *state = AttemptState::not_run(now);
                Err(failed(
                    ProblemKind::EndpointFailed,
                    Outcome::NotRun,
                    "the start did not arrive",
                ))
            }
        }
    }

    /// Records the end of running work.
    pub(super) fn end(&mut self, key: (RequestId, u32), holds_export: bool, now: Instant) {
        if let Some(state) = self.by_key.get_mut(&key) {
            let frame_buffer = match state {
                AttemptState::Running(running) => Some(running.frame_buffer.clone()),
                AttemptState::Reserved { .. } | AttemptState::Closed { .. } => None,
            };
            *state = AttemptState::Closed {
                at: now,
                frame_buffer,
                holds_export,
            };
        }
    }

    /// Records that a request's exported KV cache was fetched from the engine or freed.
    pub(super) fn note_export_released(&mut self, request_id: RequestId) {
        let attempts = (request_id, 0)..=(request_id, u32::MAX);
        for (_, state) in self.by_key.range_mut(attempts) {
            if let AttemptState::Closed { holds_export, .. } = state {
                *holds_export = false;
            }
        }
    }

    /// Stops an attempt and refuses its later start.
    pub(super) fn cancel(&mut self, cancel: &Cancel, now: Instant) -> CancelReply {
        let key = (cancel.request_id, cancel.attempt);
        match self.by_key.get_mut(&key) {
            Some(AttemptState::Running(running)) => {
                running.frame_buffer.abandon();
                running.stop.stop();
                CancelReply::Stopped
            }
            Some(AttemptState::Closed {
                frame_buffer: Some(frame_buffer),
                ..
            }) => {
                frame_buffer.abandon();
                CancelReply::Ended
            }
            Some(state) => {
                *state = AttemptState::not_run(now);
                CancelReply::NotRun
            }
            None => {
                if self.by_key.len() < MAX_RECORDED_ATTEMPTS {
                    self.by_key.insert(key, AttemptState::not_run(now));
                }
                CancelReply::Unknown
            }
        }
    }

    /// Renews the leases of an entry's requests; returns those that are neither reserved nor running here.
    /// An expired lease is not renewed, even when this process was paused and sees the renewal before it handles the
    /// expiry.
    pub(super) fn renew(&mut self, renew: &Renew, now: Instant) -> Vec<RequestId> {
        let requests = renew.requests.iter().copied();
        requests
            .filter(|one| !self.renew_range((*one, *one), None, now))
            .collect()
    }

    /// Renews leases by prefixes of request ids; returns the positions of those that are neither reserved nor running
    /// here.
    /// A request accepts only rising sequences, so that a replayed datagram renews nothing.
    pub(super) fn renew_by_prefix(
        &mut self,
        sequence: u64,
        prefixes: &[RequestIdPrefix],
        now: Instant,
    ) -> Vec<u8> {
        let numbered = (0..=u8::MAX).zip(prefixes);
        numbered
            .filter(|(_, prefix)| !self.renew_range(prefix.range(), Some(sequence), now))
            .map(|(position, _)| position)
            .collect()
    }

    /// Renews the requests of a range of ids; returns whether any is reserved or running here.
    fn renew_range(
        &mut self,
        (from, to): (RequestId, RequestId),
        sequence: Option<u64>,
        now: Instant,
    ) -> bool {
        let mut is_held = false;
        for (_, state) in self.by_key.range_mut((from, 0)..=(to, u32::MAX)) {
            match state {
                AttemptState::Running(running) if now < running.renewed_at + REQUEST_LEASE => {
                    is_held = true;
                    if running.last_sequence.try_advance(sequence) {
                        running.renewed_at = now;
                    }
                }
                AttemptState::Reserved {
                    lease_ends_at,
                    last_sequence,
                    ..
                } if now < *lease_ends_at => {
                    is_held = true;
                    if last_sequence.try_advance(sequence) {
                        *lease_ends_at = now + RESERVATION_LEASE;
                    }
                }
                AttemptState::Reserved { .. }
                | AttemptState::Running(_)
                | AttemptState::Closed { .. } => {}
            }
        }
        is_held
    }

    /// Stops work whose lease or deadline has passed, closes reservations whose lease has expired, and removes attempts
    /// that were closed long ago. Returns requests whose exported KV cache nobody fetched.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<RequestId> {
        let mut unfetched = Vec::new();
        for ((request_id, _), state) in &mut self.by_key {
            match state {
                AttemptState::Reserved { lease_ends_at, .. } if *lease_ends_at <= now => {
                    tracing::info!(event = "reservation_lease_ended", %request_id);
                    *state = AttemptState::not_run(now);
                }
                AttemptState::Running(running) if running.renewed_at + REQUEST_LEASE <= now => {
                    tracing::warn!(event = "request_lease_ended", %request_id, entry = %running.entry);
                    running.frame_buffer.abandon();
                    running.stop.stop();
                }
                AttemptState::Running(running) if running.deadline_at <= now => {
                    tracing::info!(event = "deadline_passed", %request_id, entry = %running.entry);
                    running.stop.stop();
                }
                AttemptState::Closed {
                    at,
                    holds_export: true,
                    ..
                } if *at + EXPORT_RETENTION <= now => unfetched.push(*request_id),
                AttemptState::Closed {
                    at, frame_buffer, ..
                } if *at + FRAME_RETENTION <= now => {
                    // The emptied buffer still records that the attempt ran.
                    if let Some(frame_buffer) = frame_buffer {
                        *frame_buffer = FrameBuffer::discarded();
                    }
                }
                AttemptState::Reserved { .. }
                | AttemptState::Running(_)
                | AttemptState::Closed { .. } => {}
            }
        }
        self.by_key.retain(|_, state| match state {
            AttemptState::Closed { at, .. } => now < *at + CLOSED_RETENTION,
            AttemptState::Reserved { .. } | AttemptState::Running(_) => true,
        });
        unfetched
    }
}

#[cfg(test)]
#[path = "attempts_tests.rs"]
mod tests;
