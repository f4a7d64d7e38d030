//! Reserves the two slots of a model request, first for decode and then for prefill, and runs the prefill.
//!
//! A reservation runs nothing at the endpoint, so a request that has to wait queues at a few candidates at once, takes
//! the first slot that it gets and cancels its other reservations.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    DataCentreId, EngineRole, EngineSetup, Frame, Instance, KvSource, LatencyMeasure, Outcome,
    Problem, ProblemKind, Reserve, Work, milliseconds,
};
use futures_util::{FutureExt as _, StreamExt as _, stream::FuturesUnordered};

use super::{
    active::ActiveGuard,
    attempt::{Attempt, AttemptError},
    model::{ModelRequest, attempt_problem, unexpected_frame},
};
use crate::{
    entry::Entry,
    metrics::Requester,
    routing::{RoutingRequest, pieces},
};

/// Maximum endpoints that one search requests a slot from.
const MAX_CANDIDATES: usize = 4;

/// Maximum decode engines that are tried to find one whose weights a prefill engine runs too.
const MAX_PAIRINGS: u32 = 4;

/// A candidate that has not answered within this time has a queue, so the next one gets a reservation too.
const NEXT_CANDIDATE_DELAY: Duration = Duration::from_millis(5);

/// Pause before a new search when no candidate accepts work.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// Time left, besides the prefill, for network delay, the KV cache transfer and the first token.
const FIRST_TOKEN_MARGIN: Duration = Duration::from_millis(100);

/// A request that is ready for decode.
pub(crate) struct PlacedRequest {
    /// Reserved decode slot.
    pub(crate) decode: Attempt,
    /// The completed prefill. Dropping it before decode has the KV cache frees the cache.
    pub(crate) prefill: Attempt,
    /// The prompt's KV cache.
    pub(crate) kv: KvSource,
}

/// Reserves a decode slot, then runs the prefill.
pub(crate) async fn place_request(
    entry: &Rc<Entry>,
    request: &ModelRequest,
    guard: &ActiveGuard,
) -> Result<PlacedRequest, Problem> {
    let pieces = pieces(&request.completion.prompt);
    let search = |role, setup| CandidateSearch {
        entry,
        request,
        pieces: &pieces,
        role,
        setup,
    };
    let mut pairings = 1;
    loop {
        let decode = search(EngineRole::Decode, None)
            .reserve_one(&entry.settings.data_centre)
            .await?;
        guard.add_endpoint(decode.instance.peer_address);
        note_queueing(entry, request, &decode.instance);
        let setup = decode.setup.clone();
        let is_paired = setup.is_some();
        match search(EngineRole::Prefill, setup)
            .prefill(guard, &decode)
            .await
        {
            Ok((prefill, kv)) => {
                return Ok(PlacedRequest {
                    decode,
                    prefill,
                    kv,
                });
            }
            // During a rollout another decode engine may run a version that a prefill engine runs too.
            Err(problem) if is_paired && is_unpaired(&problem) && pairings < MAX_PAIRINGS => {
                pairings += 1;
                request.avoid(&decode.instance.instance);
            }
            Err(problem) => return Err(problem),
        }
    }
}

/// Whether no prefill engine with matching weights accepted the request.
fn is_unpaired(problem: &Problem) -> bool {
    problem.kind == ProblemKind::Unavailable && problem.outcome == Outcome::NotRun
}

/// Records the time until a request got its budget and a decode slot.
fn note_queueing(entry: &Entry, request: &ModelRequest, instance: &Instance) {
    let now = Instant::now();
    let requester = Requester::of(request.admission.contract.as_ref());
    let waited = now.saturating_duration_since(request.arrived_at);
    entry
        .metrics
        .observe(LatencyMeasure::Queueing, &requester, waited);
    let detail = format!(
        "decode at {}, attempt {}",
        instance.instance,
        request.attempt.get()
    );
    entry
        .decisions
        .note(request.request_id, "place", detail, now);
}

/// Search for one slot among ranked candidates.
struct CandidateSearch<'a> {
    entry: &'a Rc<Entry>,
    request: &'a ModelRequest,
    pieces: &'a [u64],
    role: EngineRole,
    /// Setup that the engine must run, apart from its role: a KV cache fits only the weights that made it.
    setup: Option<EngineSetup>,
}

impl CandidateSearch<'_> {
    /// Reservation that is sent to each candidate. It must be granted early enough for prefill and the first token.
    fn reserve(&self) -> Reserve {
        let completion = &self.request.completion;
        let attempt = self.request.attempt.get();
        let reserve = self
            .request
            .reserve(self.entry, attempt, completion.max_output_tokens);
        let prompt_tokens = completion.prompt_tokens.get();
        let margin = self.entry.router.expected_prefill(prompt_tokens) + FIRST_TOKEN_MARGIN;
        let margin_ms = milliseconds(margin);
        Reserve {
            wait_limit_ms: reserve.wait_limit_ms.saturating_sub(margin_ms),
            engine_role: Some(self.role),
            setup: self.setup.clone(),
            pieces: self.cacheable_pieces().to_vec(),
            ..reserve
        }
    }

    /// Pieces of the prompt, for work that a prefix cache shortens.
    fn cacheable_pieces(&self) -> &[u64] {
        match self.role {
            EngineRole::Prefill => self.pieces,
            EngineRole::Decode | EngineRole::Plain => &[],
        }
    }

    fn candidates(&self, near: &DataCentreId, reserve: &Reserve) -> Vec<Instance> {
        let routing_request = RoutingRequest {
            service: &reserve.service,
            role: self.role,
            near,
            prompt_tokens: reserve.prompt_tokens.get(),
            pieces: self.cacheable_pieces(),
            fingerprint: reserve.fingerprint,
        };
        let published = self.entry.published.get();
        let router = &self.entry.router;
        let ranked = router.candidates(&published, &routing_request, Instant::now());
        let ranked = ranked.iter().map(|one| Instance::clone(one)).collect();
        let preferred = self.request.preferred(self.entry, ranked);
        preferred.take(MAX_CANDIDATES).collect()
    }

    /// Reserves a slot; while no candidate accepts work, searches again until a slot would come too late.
    async fn reserve_one(&self, near: &DataCentreId) -> Result<Attempt, Problem> {
        loop {
            let reserve = self.reserve();
            match self.reserve_first(&reserve, near).await {
                Err(problem) if reserve.wait_limit_ms > 0 && is_transient(&problem) => {
                    compio::time::sleep(SEARCH_PAUSE).await;
                    self.request.advance_attempt();
                }
                found => return found,
            }
        }
    }

    /// Reserves a slot at the candidate that grants one first, starting with the best.
    async fn reserve_first(
        &self,
        reserve: &Reserve,
        near: &DataCentreId,
    ) -> Result<Attempt, Problem> {
        let candidates = self.candidates(near, reserve);
        let mut candidates = candidates.into_iter();
        let mut pending = FuturesUnordered::new();
        let mut refusal = self.unavailable(reserve);
        loop {
            match candidates.next() {
                Some(instance) => {
                    pending.push(
                        PendingReservation::new(self.entry, reserve, instance)
                            .send()
                            .boxed_local(),
                    );
                }
                None if pending.is_empty() => return Err(refusal),
                None => {}
            }
            let answer = if candidates.len() == 0 {
                pending.next().await
            } else {
                let next = compio::time::timeout(NEXT_CANDIDATE_DELAY, pending.next()).await;
                next.unwrap_or_default()
            };
            match answer {
                Some(Ok(attempt)) => return Ok(attempt),
                Some(Err(error)) => refusal = clearer_refusal(refusal, attempt_problem(&error)),
                None => {}
            }
        }
    }

    fn unavailable(&self, reserve: &Reserve) -> Problem {
        Problem::not_run(
            ProblemKind::Unavailable,
            format!("service {} has no {} endpoint", reserve.service, self.role),
        )
    }

    /// Runs the prefill; afterwards the KV cache is ready at the prefill endpoint.
    async fn prefill(
        &self,
        guard: &ActiveGuard,
        decode: &Attempt,
    ) -> Result<(Attempt, KvSource), Problem> {
        let mut attempt = self.reserve_one(&decode.instance.data_centre).await?;
        guard.add_endpoint(attempt.instance.peer_address);
        let instance = attempt.instance.instance.clone();
        let problem = |error: AttemptError| {
            self.request.avoid(&instance);
            if error.outcome() == Outcome::NotRun {
                self.request.note_not_run();
            }
            attempt_problem(&error)
        };
        self.request.note_start();
        let started_at = Instant::now();
        let prompt = self.request.completion.prompt.clone();
        let mut frames = attempt
            .start(Work::Prefill { prompt })
            .await
            .map_err(problem)?;
        match frames.next().await.map_err(problem)? {
            Frame::Prefilled { tokens } => {
                let spent = started_at.elapsed();
                let router = &self.entry.router;
                router.note_prefill(&instance, self.pieces, tokens.get(), spent);
                let kv = KvSource {
                    instance: instance.clone(),
                    address: attempt.instance.peer_address,
                    tokens,
                };
                Ok((attempt, kv))
            }
            frame => Err(unexpected_frame(&frame)),
        }
    }
}

/// Whether a later search may succeed, because endpoints are being replaced or can't be reached at the moment.
fn is_transient(problem: &Problem) -> bool {
    matches!(
        problem.kind,
        ProblemKind::ShuttingDown | ProblemKind::Unavailable
    )
}

/// Selects which of two refusals the caller gets: an overload before all others, because it states when a retry can
/// succeed; of two overloads, the one with the earlier retry.
fn clearer_refusal(kept: Problem, newest: Problem) -> Problem {
    match (kept.kind, newest.kind) {
        (ProblemKind::Overloaded, ProblemKind::Overloaded)
            if newest.retry_after_ms < kept.retry_after_ms =>
        {
            newest
        }
        (ProblemKind::Overloaded, _) => kept,
        _ => newest,
    }
}

/// A reservation that was sent; it counts as load of its endpoint until it is answered or dropped.
struct PendingReservation<'a> {
    entry: &'a Rc<Entry>,
    reserve: &'a Reserve,
    instance: Instance,
}

impl<'a> PendingReservation<'a> {
    fn new(entry: &'a Rc<Entry>, reserve: &'a Reserve, instance: Instance) -> Self {
        entry.router.note_reservation_sent(&instance.instance);
        Self {
            entry,
            reserve,
            instance,
        }
    }

    async fn send(self) -> Result<Attempt, AttemptError> {
        let answer = Attempt::reserve(self.entry, self.reserve, self.instance.clone()).await;
        if let Err(AttemptError::NotStarted { .. }) = &answer {
            let router = &self.entry.router;
            router.note_unreachable(&self.instance, Instant::now());
        }
        answer
    }
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        self.entry
            .router
            .note_reservation_answered(&self.instance.instance);
    }
}
