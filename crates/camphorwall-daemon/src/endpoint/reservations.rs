//! Reserves slots for entries and renews the leases of their requests.

use std::time::Instant;

use camphorwall::{
    DatagramReply, EngineSetup, ProblemKind, Refused, Renew, RenewReply, RequestIdPrefix, Reserve,
    ReserveReply, Reserved, Tokens, milliseconds,
};

use super::{daemon::EndpointDaemon, engine_monitor::RECOVERY_PERIOD};
use crate::routing::PIECE_TOKENS;

impl EndpointDaemon {
    pub(super) async fn reserve(&self, reserve: &Reserve) -> ReserveReply {
        match self.try_reserve(reserve).await {
            Ok(reserved) => ReserveReply::Reserved(reserved),
            Err(refused) => ReserveReply::Refused(refused),
        }
    }

    async fn try_reserve(&self, reserve: &Reserve) -> Result<Reserved, Refused> {
        let requested_at = Instant::now();
        self.check_engine()?;
        self.admit(reserve)?;
        if let Some(refused) = self.attempts.borrow().refusal(reserve) {
            return Err(refused);
        }
        let with_load = |refused: Refused| Refused {
            load: self.attempts.borrow().load(),
            ..refused
        };
        let cached_pieces = self.worker.cache.cached(&reserve.pieces);
        let uncached_request = without_cached(reserve, cached_pieces);
        let assignment = self
            .slot_queue
            .acquire(&uncached_request)
            .await
            .map_err(with_load)?;
        let is_active = |key| self.attempts.borrow().is_active(key);
        self.crashes
            .admit(reserve, requested_at, &self.quarantine, is_active)
            .await?;
        // The engine may have died, or its gate may have closed, during the wait.
        self.check_engine()?;
        let setup = self.admit(reserve)?;
        let mut attempts = self.attempts.borrow_mut();
        let reserved = attempts.reserve(reserve, assignment, Instant::now())?;
        Ok(Reserved {
            setup,
            cached_pieces,
            ..reserved
        })
    }

    /// Checks a reservation against what the engine runs.
    fn admit(&self, reserve: &Reserve) -> Result<Option<EngineSetup>, Refused> {
        self.gate.admit(reserve).map_err(|detail| Refused {
            kind: ProblemKind::Unavailable,
            detail,
            retry_after_ms: None,
            load: self.attempts.borrow().load(),
        })
    }

    /// Whether the engine answers; always true for plain services, which have none.
    pub(super) fn has_live_engine(&self) -> bool {
        !self.has_engine || self.health.is_answering()
    }

    fn check_engine(&self) -> Result<(), Refused> {
        if self.has_live_engine() {
            return Ok(());
        }
        Err(Refused {
            kind: ProblemKind::Unavailable,
            detail: "the engine beside the endpoint daemon does not answer; it is asked again within the given time"
                .into(),
            retry_after_ms: Some(milliseconds(RECOVERY_PERIOD)),
            load: self.attempts.borrow().load(),
        })
    }

    pub(super) fn renew(&self, renew: &Renew) -> RenewReply {
        let mut attempts = self.attempts.borrow_mut();
        let unknown = attempts.renew(renew, Instant::now());
        RenewReply {
            unknown,
            load: attempts.load(),
            leaving: attempts.is_leaving(),
        }
    }

    pub(super) fn renew_by_prefix(
        &self,
        sequence: u64,
        prefixes: &[RequestIdPrefix],
    ) -> DatagramReply {
        let mut attempts = self.attempts.borrow_mut();
        let unknown = attempts.renew_by_prefix(sequence, prefixes, Instant::now());
        DatagramReply::Renewed {
            unknown,
            load: attempts.load(),
            leaving: attempts.is_leaving(),
        }
    }

    pub(super) async fn expire(&self) {
        let unfetched = self.attempts.borrow_mut().expire(Instant::now());
        for request_id in unfetched {
            self.worker.free(&request_id.to_string()).await;
            self.attempts.borrow_mut().note_export_released(request_id);
        }
    }
}

/// The reservation without the prompt tokens that the prefix cache holds.
fn without_cached(reserve: &Reserve, cached_pieces: Option<usize>) -> Reserve {
    let cached_tokens = (cached_pieces.unwrap_or(0) * PIECE_TOKENS) as u64;
    let prompt_tokens = reserve.prompt_tokens.get().saturating_sub(cached_tokens);
    Reserve {
        prompt_tokens: Tokens(prompt_tokens),
        ..reserve.clone()
    }
}
