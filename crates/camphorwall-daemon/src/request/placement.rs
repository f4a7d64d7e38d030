//! Finds the two places of a model request: one for decode first, then one for prefill, which then runs.
//!
//! A reservation has no effect at the endpoint, so a request that has to wait stands in the queues of a few
//! candidates, takes the first place that it is given and cancels the others.

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

/// Endpoints that are asked for a place before the request is refused.
const MAX_CANDIDATES: usize = 4;

/// Decode engines that are tried until a prefill engine runs the same weights.
const MAX_PAIRINGS: u32 = 4;

/// A candidate that has not answered for this long has a queue; the next one is asked too.
const NEXT_CANDIDATE_DELAY: Duration = Duration::from_millis(5);

/// Pause before candidates are looked for again when none takes work.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// Time kept for the way, the transfer and the first token after prefill.
const FIRST_TOKEN_MARGIN: Duration = Duration::from_millis(100);

/// A request that is ready for decode.
pub(crate) struct PlacedRequest {
    /// Held place for decode.
    pub(crate) decode: Attempt,
    /// The prefill, whose KV cache is freed if it is dropped before decode has it.
    pub(crate) prefill: Attempt,
    /// The prompt's KV cache.
    pub(crate) kv: KvSource,
}

/// Reserves a place for decode, then has the prompt read.
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
            // While a version spreads, another decode engine may run one that a prefill engine has too.
            Err(problem) if is_paired && is_unpaired(&problem) && pairings < MAX_PAIRINGS => {
                pairings += 1;
                request.avoid(&decode.instance.instance);
            }
            Err(problem) => return Err(problem),
        }
    }
}

/// Whether no prefill engine took the request.
fn is_unpaired(problem: &Problem) -> bool {
    problem.kind == ProblemKind::Unavailable && problem.outcome == Outcome::NotRun
}

/// Notes that a request has budget and a place.
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

/// CandidateSearch for one place.
struct CandidateSearch<'a> {
    entry: &'a Rc<Entry>,
    request: &'a ModelRequest,
    pieces: &'a [u64],
    role: EngineRole,
    /// What the engine must run but for its role: a KV cache fits only the weights that made it.
    setup: Option<EngineSetup>,
}

impl CandidateSearch<'_> {
    /// What is asked of each candidate: a place that is free early enough for prefill and the first token.
    fn reserve(&self) -> Reserve {
        let completion = &self.request.completion;
        let attempt = self.request.attempt.get();
        let reserve = self
            .request
            .reserve(self.entry, attempt, completion.max_output_tokens);
        let prompt_tokens = completion.prompt_tokens.get();
        let kept = self.entry.router.expected_prefill(prompt_tokens) + FIRST_TOKEN_MARGIN;
        let kept_ms = milliseconds(kept);
        Reserve {
            wait_limit_ms: reserve.wait_limit_ms.saturating_sub(kept_ms),
            engine_role: Some(self.role),
            setup: self.setup.clone(),
            pieces: self.cacheable_pieces().to_vec(),
            ..reserve
        }
    }

    /// Pieces of the prompt, where a prefix cache shortens the work.
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

    /// Reserves a place; while no candidate takes work, others are looked for until the place would be too late.
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

    /// Reserves a place at the candidate that gives one first; the best is asked first.
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
                            .answer()
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

    /// Has the prompt read; its KV cache is then ready at a prefill daemon.
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

/// Whether endpoints that take work may be found soon: they are being replaced, or can't be reached.
fn is_transient(problem: &Problem) -> bool {
    matches!(
        problem.kind,
        ProblemKind::ShuttingDown | ProblemKind::Unavailable
    )
}

/// Of two refusals the one to tell: an overload, which says when a repeat can succeed, before all others.
fn clearer_refusal(held: Problem, newest: Problem) -> Problem {
    match (held.kind, newest.kind) {
        (ProblemKind::Overloaded, ProblemKind::Overloaded)
            if newest.retry_after_ms < held.retry_after_ms =>
        {
            newest
        }
        (ProblemKind::Overloaded, _) => held,
        _ => newest,
    }
}

/// A reservation under way, which counts as load until its answer.
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

    async fn answer(self) -> Result<Attempt, AttemptError> {
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
