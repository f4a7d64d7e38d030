//! Serves a model's answer: reserves a decode slot, runs the prefill, then streams the answer's tokens.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{
    Frame, Instance, InstanceId, Outcome, Problem, ProblemKind, RequestId, Reserve, Tokens, Work,
    milliseconds,
};
use futures_util::{
    FutureExt as _,
    future::{Either, LocalBoxFuture, select},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    active::ActiveGuard,
    admission::Admission,
    attempt::{Attempt, AttemptError},
    completion::Completion,
    frames::FrameReader,
    placement::{PlacedRequest, place_request},
};
use crate::{
    budget::{BudgetRefusal, Charge},
    entry::Entry,
    quarantine::SuspectKey,
};

/// Target for the first token of routes that publish none.
const DEFAULT_FIRST_TOKEN_TARGET_MS: u64 = 10_000;

/// Maximum attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Time before the deadline after which no retry may take a slot, because its answer would come too late.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(500);

/// An answer that is being generated for a request.
pub(crate) struct ModelAnswer {
    pub(crate) request_id: RequestId,
    entry: Rc<Entry>,
    request: ModelRequest,
    guard: ActiveGuard,
    started: StartedDecode,
    charge: Option<Charge>,
    next_offset: u64,
    result: &'static str,
}

/// An attempt whose decode has started.
struct StartedDecode {
    decode: Attempt,
    /// Kept, with its KV cache, until the first token shows that decode has the cache.
    prefill: Option<Attempt>,
    frames: FrameReader,
}

/// A request for a model's answer, with the state of its attempts.
pub(crate) struct ModelRequest {
    pub(crate) request_id: RequestId,
    pub(crate) admission: Admission,
    pub(crate) completion: Completion,
    pub(crate) arrived_at: Instant,
    /// Number of the current reservations, from 1. An endpoint daemon accepts each number once, so each new search for
    /// slots uses a new one.
    pub(crate) attempt: Cell<u32>,
    /// Retries after failures.
    retries: Cell<u32>,
    /// Starts that were sent, less those that are known not to have run.
    starts: Cell<u32>,
    avoided: RefCell<BTreeSet<InstanceId>>,
}

impl ModelRequest {
    pub(crate) fn new(
        request_id: RequestId,
        admission: Admission,
        completion: Completion,
        arrived_at: Instant,
    ) -> Self {
        Self {
            request_id,
            admission,
            completion,
            arrived_at,
            attempt: Cell::new(1),
            retries: Cell::new(0),
            starts: Cell::new(0),
            avoided: RefCell::default(),
        }
    }

    /// Notes that a start is about to be sent.
    pub(crate) fn note_start(&self) {
        self.starts.set(self.starts.get() + 1);
    }

    /// Notes that the last start certainly did not run.
    pub(crate) fn note_not_run(&self) {
        self.starts.set(self.starts.get().saturating_sub(1));
    }

    /// Sets the problem's outcome to that of all attempts together instead of the last one alone.
    fn with_combined_outcome(&self, mut problem: Problem) -> Problem {
        if problem.outcome == Outcome::NotRun && self.starts.get() > 0 {
            problem.outcome = Outcome::MayHaveRun;
        }
        problem
    }

    /// Begins a new search for slots under a new attempt number.
    pub(crate) fn advance_attempt(&self) {
        self.attempt.set(self.attempt.get() + 1);
    }

    /// Prefers other instances in later attempts.
    pub(crate) fn avoid(&self, instance: &InstanceId) {
        self.avoided.borrow_mut().insert(instance.clone());
    }

    /// Candidates that are not leaving; those at which an attempt of this request failed come last.
    pub(crate) fn preferred(
        &self,
        entry: &Entry,
        candidates: Vec<Instance>,
    ) -> impl Iterator<Item = Instance> + use<> {
        let avoided = self.avoided.borrow();
        let (last, first): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .filter(|instance| !entry.leaving.contains(instance.peer_address))
            .partition(|instance| avoided.contains(&instance.instance));
        first.into_iter().chain(last)
    }

    /// Takes a retry after a failure, if the failure, the deadline and the retry budget allow it.
    fn take_retry(&self, entry: &Entry, problem: &Problem) -> bool {
        let is_retryable = matches!(
            problem.kind,
            ProblemKind::EndpointFailed | ProblemKind::Unknown
        );
        let retries = self.retries.get();
        let is_allowed = is_retryable
            && self.admission.route.idempotent
            && retries + 1 < MAX_ATTEMPTS
            && Instant::now() < self.deadline();
        let is_taken =
            is_allowed && entry.take_retry(self.request_id, retries + 1, &problem.detail);
        if is_taken {
            self.retries.set(retries + 1);
            self.advance_attempt();
        }
        is_taken
    }

    /// When a slot must be free. A retry may wait for one as long as its answer can still be generated in time.
    fn slot_deadline(&self) -> Instant {
        if self.retries.get() == 0 {
            return self.first_token_deadline();
        }
        let deadline = Duration::from_millis(self.admission.route.deadline_ms);
        self.arrived_at + deadline.saturating_sub(MIN_ANSWER_TIME)
    }

    fn first_token_deadline(&self) -> Instant {
        let target_ms = self
            .admission
            .route
            .first_token_target_ms
            .unwrap_or(DEFAULT_FIRST_TOKEN_TARGET_MS);
        self.arrived_at + Duration::from_millis(target_ms)
    }

    fn deadline(&self) -> Instant {
        self.arrived_at + Duration::from_millis(self.admission.route.deadline_ms)
    }

    pub(crate) fn reserve(
        &self,
        entry: &Entry,
        attempt: u32,
        max_output_tokens: Tokens,
    ) -> Reserve {
        let admission = &self.admission;
        Reserve {
            prompt_tokens: self.completion.prompt_tokens,
            max_output_tokens,
            wait_limit_ms: milliseconds_until(self.slot_deadline()),
            fingerprint: self.fingerprint(),
            ..admission.reserve(entry, self.request_id, attempt, self.deadline())
        }
    }

    fn fingerprint(&self) -> u64 {
        xxh3_64(self.completion.prompt.as_bytes())
    }

    /// Key under which the quarantine lists the request.
    fn suspect_key(&self) -> SuspectKey {
        SuspectKey {
            service: self.admission.route.service.clone(),
            fingerprint: self.fingerprint(),
        }
    }
}

pub(crate) fn milliseconds_until(instant: Instant) -> u64 {
    let left = instant.saturating_duration_since(Instant::now());
    milliseconds(left)
}

/// Charges a cost to the team's budget; requests on open routes are free.
pub(crate) async fn charge(
    entry: &Entry,
    admission: &Admission,
    cost: Tokens,
    wait_until: Instant,
) -> Result<Option<Charge>, Problem> {
    let Some(contract) = &admission.contract else {
        return Ok(None);
    };
    match entry.budgets.acquire(contract, cost, wait_until).await {
        Ok(charge) => Ok(Some(charge)),
        Err(BudgetRefusal::OverBurst { burst_tokens }) => Err(Problem::not_run(
            ProblemKind::CostOverBurst,
            format!(
                "the request costs {cost} tokens and the contract's burst is {burst_tokens}; ask for less"
            ),
        )),
        Err(BudgetRefusal::NoOwner { retry_after }) => Err(Problem::not_run(
            ProblemKind::Unavailable,
            "no instance divides your team's budget at the moment; repeat after the given time",
        )
        .with_retry_after(retry_after)),
        Err(BudgetRefusal::RateExceeded { retry_after }) => Err(Problem::not_run(
            ProblemKind::RateExceeded,
            "your team's rate is used up; repeat after the given time",
        )
        .with_retry_after(retry_after)),
    }
}

/// Problem that the caller gets for an attempt that brought no answer.
pub(crate) fn attempt_problem(error: &AttemptError) -> Problem {
    let problem = Problem::new(error.kind(), error.outcome(), error.to_string());
    match error.retry_after() {
        Some(retry_after) => problem.with_retry_after(retry_after),
        None => problem,
    }
}

/// Charges the budget and starts the answer of a request; returns once decode has started.
pub(crate) async fn open_answer(
    entry: &Rc<Entry>,
    request: ModelRequest,
) -> Result<ModelAnswer, Problem> {
    if let Some(problem) = entry.quarantine.refusal(&request.suspect_key()) {
        return Err(problem);
    }
    let charge = charge(
        entry,
        &request.admission,
        request.completion.cost(),
        request.first_token_deadline(),
    )
    .await?;
    let detail = format!("{} tokens charged", request.completion.cost());
    entry
        .decisions
        .note(request.request_id, "budget", detail, Instant::now());
    entry.retries.earn();
    let guard = entry.active.add(request.request_id, request.admission.key);
    let interruption = interruption(&guard, request.deadline());
    let opening = open_with_retries(entry, &request, &guard, 0).boxed_local();
    let started = match select(opening, interruption).await {
        Either::Left((started, _)) => started,
        Either::Right((mut problem, opening)) => {
            drop(opening);
            problem.outcome = Outcome::NotRun;
            Err(problem)
        }
    };
    match started {
        Ok(started) => Ok(ModelAnswer {
            request_id: request.request_id,
            entry: Rc::clone(entry),
            request,
            guard,
            started,
            charge,
            next_offset: 0,
            result: "caller_left",
        }),
        Err(mut problem) => {
            // A retry means that an earlier attempt ran in part, even if the last one did not run.
            if request.retries.get() > 0 && problem.outcome == Outcome::NotRun {
                problem.outcome = Outcome::Incomplete;
            }
            if let Some(charge) = &charge {
                entry.budgets.settle(charge, Tokens(0));
            }
            Err(request.with_combined_outcome(problem))
        }
    }
}

async fn open_with_retries(
    entry: &Rc<Entry>,
    request: &ModelRequest,
    guard: &ActiveGuard,
    from_offset: u64,
) -> Result<StartedDecode, Problem> {
    loop {
        match open_once(entry, request, guard, from_offset).await {
            Err(problem) if request.take_retry(entry, &problem) => guard.forget_endpoints(),
            started => return started,
        }
    }
}

async fn open_once(
    entry: &Rc<Entry>,
    request: &ModelRequest,
    guard: &ActiveGuard,
    from_offset: u64,
) -> Result<StartedDecode, Problem> {
    let PlacedRequest {
        mut decode,
        prefill,
        kv,
    } = place_request(entry, request, guard).await?;
    let work = Work::Decode {
        prompt: request.completion.prompt.clone(),
        max_output_tokens: request.completion.max_output_tokens,
        kv,
        from_offset,
    };
    let started = decode.start(work).await;
    let frames = started.map_err(|error| {
        request.avoid(&decode.instance.instance);
        attempt_problem(&error)
    })?;
    Ok(StartedDecode {
        decode,
        prefill: Some(prefill),
        frames,
    })
}

/// Resolves when the API key is withdrawn or the deadline passes.
fn interruption(guard: &ActiveGuard, deadline: Instant) -> LocalBoxFuture<'static, Problem> {
    let withdrawn = guard.withdrawn.clone();
    async move {
        let late = compio::time::sleep_until(deadline).boxed_local();
        match select(withdrawn.called().boxed_local(), late).await {
            Either::Left(_) => incomplete(ProblemKind::KeyWithdrawn, "the key was withdrawn"),
            Either::Right(_) => incomplete(ProblemKind::DeadlinePassed, "the answer came too late"),
        }
    }
    .boxed_local()
}

pub(crate) fn unexpected_frame(frame: &Frame) -> Problem {
    let detail = format!("the endpoint daemon sent an unexpected frame: {frame:?}");
    Problem::new(ProblemKind::Unknown, Outcome::MayHaveRun, detail)
}

impl ModelAnswer {
    /// Next token; `None` after the last.
    pub(crate) async fn next_token(&mut self) -> Result<Option<String>, Problem> {
        let interruption = interruption(&self.guard, self.request.deadline());
        let token = match select(self.next_frame().boxed_local(), interruption).await {
            Either::Left((token, _)) => token,
            Either::Right((problem, _)) => Err(problem),
        };
        match &token {
            Ok(Some(_)) => {}
            Ok(None) => self.result = "whole",
            Err(problem) => self.result = problem.kind.into(),
        }
        token
    }

    async fn next_frame(&mut self) -> Result<Option<String>, Problem> {
        loop {
            match self.started.frames.next().await {
                Ok(Frame::Token { offset, text }) if offset == self.next_offset => {
                    self.next_offset += 1;
                    if let Some(mut prefill) = self.started.prefill.take() {
                        prefill.mark_ended();
                        self.guard.remove_endpoint(prefill.instance.peer_address);
                    }
                    return Ok(Some(text));
                }
                // A resumed stream may repeat tokens that the caller already has.
                Ok(Frame::Token { offset, .. }) if offset < self.next_offset => {}
                Ok(Frame::End { output_tokens }) if output_tokens.get() == self.next_offset => {
                    self.started.decode.mark_ended();
                    return Ok(None);
                }
                Ok(frame) => return Err(unexpected_frame(&frame)),
                Err(error) => self.reopen(&attempt_problem(&error)).await?,
            }
        }
    }

    /// Continues the answer at another endpoint, from the next token on.
    async fn reopen(&mut self, problem: &Problem) -> Result<(), Problem> {
        self.request.avoid(&self.started.decode.instance.instance);
        if let Some(prefill) = &self.started.prefill {
            self.request.avoid(&prefill.instance.instance);
        }
        if !self.request.take_retry(&self.entry, problem) {
            return Err(self.with_earlier_work(problem.clone()));
        }
        self.guard.forget_endpoints();
        let opening =
            open_with_retries(&self.entry, &self.request, &self.guard, self.next_offset).await;
        self.started = opening.map_err(|problem| self.with_earlier_work(problem))?;
        Ok(())
    }

    /// Corrects the outcome of a problem for the work that earlier attempts did, even if the last one did not run.
    fn with_earlier_work(&self, mut problem: Problem) -> Problem {
        problem.outcome = match problem.outcome {
            _ if self.next_offset > 0 => Outcome::Incomplete,
            // The prefill ran before decode started.
            Outcome::NotRun => Outcome::Incomplete,
            outcome => outcome,
        };
        problem
    }

    /// Tokens of the prompt, and of the answer so far.
    pub(crate) const fn usage(&self) -> (Tokens, Tokens) {
        (
            self.request.completion.prompt_tokens,
            Tokens(self.next_offset),
        )
    }
}

impl Drop for ModelAnswer {
    fn drop(&mut self) {
        let (prompt_tokens, output_tokens) = self.usage();
        if let Some(charge) = &self.charge {
            let used = Tokens(prompt_tokens.get() + output_tokens.get());
            self.entry.budgets.settle(charge, used);
        }
        let route = self.request.admission.route.route.as_str();
        self.entry.metrics.count_answer(route, self.result);
        tracing::info!(
            event = "answer_ended", request_id = %self.request_id, route, result = self.result, %output_tokens,
            attempts = self.request.retries.get() + 1,
        );
    }
}

fn incomplete(kind: ProblemKind, detail: &str) -> Problem {
    Problem::new(kind, Outcome::Incomplete, detail)
}
