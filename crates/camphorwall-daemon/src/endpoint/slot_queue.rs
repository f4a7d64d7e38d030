//! Slots of the endpoint: assigns them to requests, and queues the requests that have to wait.
//!
//! A slot is assigned shortly before the request that occupies it ends, so that the prefill of the next request runs
//! meanwhile. Work that arrives before its slot is free waits in [`SlotQueue::occupy`].

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::{EngineRole, Load, ProblemKind, Refused, Reserve, milliseconds};
use futures_channel::oneshot;

use super::{
    fair_queue::{Claim, FairQueue},
    forecast::{Forecast, Progress},
};

/// Maximum number of waiting requests per slot.
const MAX_WAITING_PER_SLOT: usize = 16;

/// Number of prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 4;

/// A request that waits for a slot; dropping it refuses the request.
struct Waiter {
    sender: oneshot::Sender<SlotAssignment>,
    /// The request can't use a slot that is free later than this.
    ready_by: Instant,
}

struct State {
    role: Cell<EngineRole>,
    slots: usize,
    /// Assignments that have not been released, including those that occupy a slot.
    assigned: Cell<usize>,
    occupied: Cell<usize>,
    /// Cost of these assignments.
    assigned_tokens: Cell<u64>,
    running: RefCell<BTreeMap<u64, Progress>>,
    next_run: Cell<u64>,
    queue: RefCell<FairQueue<Waiter>>,
    slot_waiters: RefCell<VecDeque<oneshot::Sender<OccupiedSlot>>>,
    forecast: RefCell<Forecast>,
}

/// Slots and waiting requests of one endpoint; clones share them.
#[derive(Clone)]
pub(super) struct SlotQueue(Rc<State>);

/// A slot assigned to a request, perhaps before the slot is free; released when dropped.
pub(super) struct SlotAssignment {
    slot_queue: SlotQueue,
    claim: Claim,
    assigned_at: Instant,
    ready_in: Duration,
    /// Whether its claim waited in the queue.
    has_waited: bool,
    is_used: Cell<bool>,
}

impl SlotAssignment {
    /// Records that the request's work has started.
    pub(super) fn mark_used(&self, now: Instant) {
        self.is_used.set(true);
        let lead = now.saturating_duration_since(self.assigned_at);
        self.slot_queue.0.forecast.borrow_mut().note_lead(lead);
    }

    /// Time until the slot was expected to be free, as of its assignment.
    pub(super) const fn ready_in(&self) -> Duration {
        self.ready_in
    }
}

impl Drop for SlotAssignment {
    fn drop(&mut self) {
        let state = &self.slot_queue.0;
        state.assigned.set(state.assigned.get() - 1);
        let tokens = state.assigned_tokens.get();
        state.assigned_tokens.set(tokens - self.claim.cost_tokens);
        let now = Instant::now();
        if self.has_waited {
            state
                .forecast
                .borrow_mut()
                .note_wait_end(self.is_used.get());
        }
        if self.is_used.get() {
            let spent = now.saturating_duration_since(self.assigned_at);
            state.forecast.borrow_mut().note_assignment(spent);
        } else {
            state.queue.borrow_mut().refund(&self.claim);
        }
        self.slot_queue.assign_waiting(now);
    }
}

/// A slot that is in use at the engine; free again when dropped.
pub(super) struct OccupiedSlot {
    slot_queue: SlotQueue,
    run: u64,
}

impl OccupiedSlot {
    /// Records one output token.
    pub(super) fn note_token(&self) {
        let now = Instant::now();
        if let Some(progress) = self.slot_queue.0.running.borrow_mut().get_mut(&self.run) {
            progress.note_token(now);
        }
        self.slot_queue.assign_waiting(now);
    }
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        let state = &self.slot_queue.0;
        let ended = state.running.borrow_mut().remove(&self.run);
        if let Some(progress) = ended {
            state.forecast.borrow_mut().note_run(&progress);
        }
        state.occupied.set(state.occupied.get() - 1);
        self.slot_queue.fill_free_slots();
    }
}

/// Removes a waiting claim from the queue when its request is abandoned.
struct WaitGuard {
    slot_queue: SlotQueue,
    claim: Claim,
    ticket: u64,
    /// Whether the claim was assigned a slot or refused.
    has_ended: Cell<bool>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let state = &self.slot_queue.0;
        state.queue.borrow_mut().remove(&self.claim, self.ticket);
        if !self.has_ended.get() {
            state.forecast.borrow_mut().note_wait_end(false);
        }
    }
}

fn claim_of(role: EngineRole, request: &Reserve) -> Claim {
    let prompt_tokens = request.prompt_tokens.get();
    let output_tokens = request.max_output_tokens.get();
    let cost_tokens = match role {
        EngineRole::Decode => output_tokens + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN,
        EngineRole::Plain => 1,
        EngineRole::Prefill => prompt_tokens,
    };
    Claim {
        team: request.team.clone(),
        priority: request.priority,
        weight: request.weight,
        cost_tokens,
    }
}

fn refuse(detail: &str, retry_after: Duration) -> Refused {
    Refused {
        kind: ProblemKind::Overloaded,
        detail: detail.into(),
        retry_after_ms: Some(milliseconds(retry_after)),
        load: Load::default(),
    }
}

impl SlotQueue {
    pub(super) fn new(role: EngineRole, slots: usize) -> Self {
        Self(Rc::new(State {
            role: Cell::new(role),
            slots,
            assigned: Cell::new(0),
            occupied: Cell::new(0),
            assigned_tokens: Cell::new(0),
            running: RefCell::default(),
            next_run: Cell::new(0),
            queue: RefCell::default(),
            slot_waiters: RefCell::default(),
            forecast: RefCell::default(),
        }))
    }

    /// Sets the role that the engine was ordered to have. No slot may be assigned at that time.
    pub(super) fn set_role(&self, role: EngineRole) {
        self.0.role.set(role);
    }

    /// Number of requests that can run at once.
    pub(super) fn slots(&self) -> usize {
        self.0.slots
    }

    /// Number of requests that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.0.queue.borrow().len()
    }

    /// Prompt tokens of all requests that are assigned a prefill slot or wait for one.
    pub(super) fn prompt_tokens(&self) -> u64 {
        let queue = self.0.queue.borrow();
        match self.0.role.get() {
            EngineRole::Prefill => self.0.assigned_tokens.get() + queue.cost_tokens(),
            EngineRole::Decode | EngineRole::Plain => 0,
        }
    }

    /// Number of running requests expected to end within the assignment lead; their slots can be assigned already.
    fn count_ending_within_lead(&self, now: Instant) -> usize {
        let forecast = self.0.forecast.borrow();
        let running = self.0.running.borrow();
        let lead = forecast.assignment_lead();
        let ends_in_time = |one: &&Progress| forecast.remaining(one, now) <= lead;
        running.values().filter(ends_in_time).count()
    }

    fn has_assignable_slot(&self, now: Instant) -> bool {
        let assigned = self.0.assigned.get();
        assigned < self.0.slots || assigned < self.0.slots + self.count_ending_within_lead(now)
    }

    /// Expected time until the slot of a claim with `waiting` claims before it is free. Most of those claims wait at
    /// other endpoints too, and some will take a slot there.
    fn expected_wait(&self, waiting: usize, now: Instant) -> Duration {
        let running = self.0.running.borrow();
        let unstarted = self.0.assigned.get().saturating_sub(running.len());
        let forecast = self.0.forecast.borrow();
        let before = unstarted + forecast.expected_acquisitions(waiting);
        forecast.wait(running.values(), before, self.0.slots, now)
    }

    /// Expected time until the slot that is assigned next is free.
    fn next_ready_in(&self, now: Instant) -> Duration {
        if self.0.assigned.get() < self.0.slots {
            Duration::ZERO
        } else {
            self.expected_wait(0, now)
        }
    }

    fn assign(&self, claim: Claim, has_waited: bool, now: Instant) -> SlotAssignment {
        let ready_in = self.next_ready_in(now);
        self.0.assigned.set(self.0.assigned.get() + 1);
        let tokens = self.0.assigned_tokens.get();
        self.0.assigned_tokens.set(tokens + claim.cost_tokens);
        SlotAssignment {
            slot_queue: self.clone(),
            claim,
            assigned_at: now,
            ready_in,
            has_waited,
            is_used: Cell::new(false),
        }
    }

    /// Assigns available slots to waiting claims, and refuses claims whose slot would be free too late.
    fn assign_waiting(&self, now: Instant) {
        while self.waiting() > 0 && self.has_assignable_slot(now) {
            let Some((claim, waiter)) = self.0.queue.borrow_mut().pop() else {
                return;
            };
            if now + self.next_ready_in(now) > waiter.ready_by {
                self.0.queue.borrow_mut().refund(&claim);
                continue;
            }
            let assignment = self.assign(claim, true, now);
            // If the request was abandoned, the assignment is dropped here and thereby released.
            let _ = waiter.sender.send(assignment);
        }
    }

    /// Assigns a slot to a request. Waits within the request's wait limit, or refuses at once when the wait is
    /// expected to be longer.
    pub(super) async fn acquire(&self, request: &Reserve) -> Result<SlotAssignment, Refused> {
        let now = Instant::now();
        let claim = claim_of(self.0.role.get(), request);
        if self.waiting() == 0 && self.has_assignable_slot(now) {
            self.0.queue.borrow_mut().charge(&claim);
            return Ok(self.assign(claim, false, now));
        }
        let limit = Duration::from_millis(request.wait_limit_ms);
        let before = self.0.queue.borrow().count_before(&claim);
        let expected = self.expected_wait(before, now);
        if expected > limit {
            return Err(refuse("no place is free before the target", expected));
        }
        let is_full = self.waiting() >= self.0.slots * MAX_WAITING_PER_SLOT;
        if is_full && self.0.queue.borrow_mut().displace_last(&claim).is_none() {
            return Err(refuse("the queue is full", expected));
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            sender,
            ready_by: now + limit,
        };
        let ticket = self.0.queue.borrow_mut().push(claim.clone(), waiter);
        let guard = WaitGuard {
            slot_queue: self.clone(),
            claim,
            ticket,
            has_ended: Cell::new(false),
        };
        let outcome = compio::time::timeout(limit, receiver).await;
        guard.has_ended.set(true);
        match outcome {
            Ok(Ok(assignment)) => Ok(assignment),
            Ok(Err(_)) => Err(refuse(
                "others go first, and no place is free before the target",
                expected,
            )),
            Err(_) => Err(refuse("no place was free before the target", expected)),
        }
    }

    /// Waits until a slot of the engine is free for work that was assigned one.
    pub(super) async fn occupy(&self, max_output_tokens: u64) -> OccupiedSlot {
        let (sender, receiver) = oneshot::channel();
        self.0.slot_waiters.borrow_mut().push_back(sender);
        self.fill_free_slots();
        let slot = receiver.await.expect("the slot queue outlives its waiters");
        let progress = Progress::new(max_output_tokens, Instant::now());
        self.0.running.borrow_mut().insert(slot.run, progress);
        slot
    }

    fn fill_free_slots(&self) {
        while self.0.occupied.get() < self.0.slots {
            let Some(sender) = self.0.slot_waiters.borrow_mut().pop_front() else {
                return;
            };
            let run = self.0.next_run.get();
            self.0.next_run.set(run + 1);
            self.0.occupied.set(self.0.occupied.get() + 1);
            let slot_queue = self.clone();
            // If the work was abandoned, the slot is dropped here and thereby free again.
            let _ = sender.send(OccupiedSlot { slot_queue, run });
        }
    }
}

#[cfg(test)]
#[path = "slot_queue_tests.rs"]
mod tests;
