//! One attempt of a request at one endpoint daemon, seen from the entry: reserve, start, cancel.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    Cancel, CancelReply, EngineSetup, Failed, Instance, METHOD_CANCEL, METHOD_RESERVE, Outcome,
    ProblemKind, Refused, ReservationId, Reserve, ReserveReply, START_PATH, Start, Work,
};
use snafu::Snafu;

use super::frames::{AttemptId, FrameReader};
use crate::entry::Entry;

/// Time-out of a reservation, in addition to the time that the reservation may wait for a slot.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of one cancellation call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out for sending a start and receiving the head of its answer.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum cancellation calls; if all fail, the lease expires at the endpoint daemon, which then frees the engine.
const CANCEL_TRIES: u32 = 3;

/// An attempt that brought no complete answer.
#[derive(Debug, Snafu)]
pub(crate) enum AttemptError {
    /// The endpoint daemon refused; nothing ran.
    #[snafu(display("refused: {}", refused.detail))]
    Refused {
        /// Refusal from the endpoint daemon.
        refused: Refused,
    },
    /// The endpoint daemon reported that the work failed.
    #[snafu(display("failed: {}", failed.detail))]
    Failed {
        /// Failure from the endpoint daemon.
        failed: Failed,
    },
    /// No slot was reserved or no start was sent; nothing ran.
    #[snafu(display("not asked: {message}"))]
    NotStarted {
        /// Cause.
        message: String,
    },
    /// Contact was lost after the start was sent.
    #[snafu(display("contact lost: {message}"))]
    ContactLost {
        /// Cause.
        message: String,
    },
}

impl AttemptError {
    /// Whether the attempt's work ran, as far as this entry knows.
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Refused { .. } | Self::NotStarted { .. } => Outcome::NotRun,
            Self::Failed { failed } => failed.outcome,
            Self::ContactLost { .. } => Outcome::MayHaveRun,
        }
    }

    /// When a retry can succeed, if the endpoint daemon reported it.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { refused } => refused.retry_after_ms.map(Duration::from_millis),
            Self::Failed { .. } | Self::ContactLost { .. } | Self::NotStarted { .. } => None,
        }
    }

    /// Kind of the problem that the caller gets.
    pub(crate) const fn kind(&self) -> ProblemKind {
        match self {
            Self::Refused { refused } => refused.kind,
            Self::Failed { failed } => failed.kind,
            Self::NotStarted { .. } => ProblemKind::Unavailable,
            Self::ContactLost { .. } => ProblemKind::Unknown,
        }
    }
}

/// A reserved slot and the work started in it. Dropping it cancels both, unless the attempt has ended.
pub(crate) struct Attempt {
    entry: Rc<Entry>,
    id: AttemptId,
    /// Absent until the endpoint daemon has granted the reservation.
    reservation: Option<ReservationId>,
    /// Instance at which the attempt is made.
    pub(crate) instance: Instance,
    /// Setup that the engine runs; absent where no deployment is published for it.
    pub(crate) setup: Option<EngineSetup>,
    has_ended: bool,
}

impl Attempt {
    /// Reserves a slot at an endpoint daemon.
    pub(crate) async fn reserve(
        entry: &Rc<Entry>,
        reserve: &Reserve,
        instance: Instance,
    ) -> Result<Self, AttemptError> {
        let address = instance.peer_address;
        let mut attempt = Self {
            entry: Rc::clone(entry),
            id: AttemptId {
                address,
                request_id: reserve.request_id,
                attempt: reserve.attempt,
            },
            reservation: None,
            instance,
            setup: None,
            has_ended: false,
        };
        let limit = RESERVE_TIMEOUT + Duration::from_millis(reserve.wait_limit_ms);
        let reply = entry
            .client
            .call(address, METHOD_RESERVE, reserve, limit)
            .await;
        match reply {
            Ok(ReserveReply::Reserved(reserved)) => {
                let prompt_tokens = reserve.prompt_tokens.get();
                let instance = &attempt.instance.instance;
                entry.router.note_slot_reserved(
                    instance,
                    reserved.load,
                    prompt_tokens,
                    Instant::now(),
                );
                attempt.reservation = Some(reserved.reservation);
                attempt.setup = reserved.setup;
                if let Some(cached) = reserved.cached_pieces {
                    entry.router.note_cached(instance, &reserve.pieces, cached);
                }
                Ok(attempt)
            }
            Ok(ReserveReply::Refused(refused)) => {
                attempt.mark_ended();
                entry
                    .router
                    .note_load(&attempt.instance.instance, refused.load, Instant::now());
                if refused.kind == ProblemKind::ShuttingDown {
                    entry.leaving.note(address);
                }
                Err(AttemptError::Refused { refused })
            }
            // The endpoint daemon may have reserved a slot even so: dropping the attempt cancels it.
            Err(error) => {
                attempt.has_ended = error.is_not_sent();
                Err(AttemptError::NotStarted {
                    message: error.to_string(),
                })
            }
        }
    }

    /// Starts the work. If the start gets no answer, the reader requests the frames again; the reply shows whether the
    /// work started.
    pub(crate) async fn start(&mut self, work: Work) -> Result<FrameReader, AttemptError> {
        let not_started = |message: String| AttemptError::NotStarted { message };
        let Some(reservation) = self.reservation else {
            return Err(not_started("no place is reserved".into()));
        };
        let start = Start {
            request_id: self.id.request_id,
            attempt: self.id.attempt,
            reservation,
            work,
        };
        let body = serde_json::to_vec(&start).map_err(|error| not_started(error.to_string()))?;
        let client = self.entry.client.clone();
        let posting = client.post_peer(self.id.address, START_PATH, body);
        let response = match compio::time::timeout(START_TIMEOUT, posting).await {
            Ok(Ok(response)) if response.status().is_success() => Some(response),
            Ok(Ok(response)) => {
                let message = format!("the start was answered with {}", response.status());
                return Err(AttemptError::ContactLost { message });
            }
            Ok(Err(error)) if error.is_not_sent() => return Err(not_started(error.to_string())),
            Ok(Err(_)) | Err(_) => None,
        };
        Ok(FrameReader::new(self.id, client, response))
    }

    /// Notes that the attempt has ended, so that dropping it cancels nothing.
    pub(crate) const fn mark_ended(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.reservation.is_some() {
            self.entry
                .router
                .note_slot_released(&self.instance.instance);
        }
        if self.has_ended {
            return;
        }
        let entry = Rc::clone(&self.entry);
        let id = self.id;
        self.entry
            .tasks
            .spawn(async move { cancel_attempt(&entry, id).await });
    }
}

async fn cancel_attempt(entry: &Entry, id: AttemptId) {
    let AttemptId {
        address,
        request_id,
        attempt,
    } = id;
    let cancel = Cancel {
        request_id,
        attempt,
    };
    for _ in 0..CANCEL_TRIES {
        let reply: Result<CancelReply, _> = entry
            .client
            .call(address, METHOD_CANCEL, &cancel, CANCEL_TIMEOUT)
            .await;
        match reply {
            Ok(found) => {
                tracing::info!(event = "cancelled", %request_id, attempt, %found);
                return;
            }
            // Without a cancellation the request's lease expires at the endpoint daemon, which then frees the engine.
            Err(error) => {
                tracing::warn!(event = "cancel_failed", %request_id, attempt, %error);
                if error.is_not_sent() {
                    return;
                }
            }
        }
    }
}
