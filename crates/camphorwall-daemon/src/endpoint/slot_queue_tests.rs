use std::time::{Duration, Instant};

use camphorwall::{EngineRole, Priority, ProblemKind, RequestId, Reserve, Tokens};
use futures_util::{FutureExt as _, future::join};

use super::SlotQueue;

fn request(team: &str, wait_limit_ms: u64) -> Reserve {
    Reserve {
        request_id: RequestId::generate(),
        attempt: 1,
        entry: "entry-0".parse().unwrap(),
        data_centre: "marousi".parse().unwrap(),
        team: Some(team.parse().unwrap()),
        priority: Priority(0),
        weight: 1,
        route: "drafts".parse().unwrap(),
        service: "summary-llm".parse().unwrap(),
        prompt_tokens: Tokens(100),
        max_output_tokens: Tokens(100),
        wait_limit_ms,
        deadline_ms: 30_000,
        fingerprint: 0,
        engine_role: None,
        setup: None,
        pieces: Vec::new(),
    }
}

#[compio::test]
async fn a_waiting_request_is_assigned_the_slot_that_is_released() {
    let slot_queue = SlotQueue::new(EngineRole::Prefill, 1);
    let first = slot_queue.acquire(&request("ledgers", 10_000)).await.ok();
    let second_request = request("ledgers", 10_000);
    let second = slot_queue.acquire(&second_request);
    let release = async {
        assert_eq!(slot_queue.waiting(), 1);
        drop(first);
    };
    let (second, ()) = join(second, release).await;
    assert!(second.is_ok());
    assert_eq!(slot_queue.waiting(), 0);
}

#[compio::test]
async fn a_request_whose_slot_cannot_be_free_in_time_is_refused_at_once() {
    let slot_queue = SlotQueue::new(EngineRole::Decode, 1);
    let _assignment = slot_queue.acquire(&request("ledgers", 0)).await.ok();
    let _slot = slot_queue.occupy(10_000).await;
    let refused = slot_queue
        .acquire(&request("ledgers", 1_000))
        .now_or_never();
    let refused = refused
        .expect("the request is answered at once")
        .err()
        .unwrap();
    assert_eq!(refused.kind, ProblemKind::Overloaded);
    assert!(refused.retry_after_ms.unwrap() > 1_000);
}

#[compio::test]
async fn a_slot_is_assigned_before_the_running_request_ends() {
    let slot_queue = SlotQueue::new(EngineRole::Decode, 1);
    let _assignment = slot_queue.acquire(&request("ledgers", 0)).await.ok();
    let _slot = slot_queue.occupy(1).await;
    let next = slot_queue.acquire(&request("ledgers", 0)).now_or_never();
    let next = next.expect("the request is answered at once").ok().unwrap();
    assert!(next.ready_in() > Duration::ZERO);
    // The engine's slot itself is not free yet.
    assert!(slot_queue.occupy(1).now_or_never().is_none());
}

#[compio::test]
async fn a_request_of_higher_priority_enters_a_full_queue_and_goes_first() {
    let slot_queue = SlotQueue::new(EngineRole::Plain, 1);
    let first = slot_queue.acquire(&request("batch", 60_000)).await.ok();
    let batch: Vec<_> = (0..16).map(|_| request("batch", 60_000)).collect();
    let mut batch: Vec<_> = batch
        .iter()
        .map(|one| slot_queue.acquire(one).boxed_local())
        .collect();
    for one in &mut batch {
        assert!(one.now_or_never().is_none(), "a batch call waits");
    }
    let one_more = slot_queue.acquire(&request("batch", 60_000)).now_or_never();
    let refused = one_more
        .expect("the request is answered at once")
        .err()
        .unwrap();
    assert_eq!(refused.detail, "the queue is full");
    let urgent = Reserve {
        priority: Priority(2),
        ..request("tills", 60_000)
    };
    let mut urgent = slot_queue.acquire(&urgent).boxed_local();
    assert!(
        (&mut urgent).now_or_never().is_none(),
        "the urgent request waits"
    );
    // The last batch request was displaced and is refused at once.
    let displaced = batch.pop().unwrap().now_or_never();
    let displaced = displaced.expect("the request is answered at once");
    assert_eq!(displaced.err().unwrap().kind, ProblemKind::Overloaded);
    drop(first);
    assert!(
        urgent
            .now_or_never()
            .expect("the free slot is assigned at once")
            .is_ok()
    );
}

#[compio::test]
async fn an_abandoned_request_leaves_the_queue_and_releases_its_slot() {
    let slot_queue = SlotQueue::new(EngineRole::Prefill, 1);
    let first = slot_queue.acquire(&request("ledgers", 0)).await.ok();
    let abandoned_request = request("ledgers", 10_000);
    let mut abandoned = slot_queue.acquire(&abandoned_request).boxed_local();
    assert!((&mut abandoned).now_or_never().is_none());
    assert_eq!(slot_queue.waiting(), 1);
    drop(first);
    drop(abandoned);
    assert_eq!(slot_queue.waiting(), 0);
    assert!(slot_queue.acquire(&request("ledgers", 0)).await.is_ok());
}

/// Whether a claim may wait behind `waiting` other claims of its team, instead of being refused.
fn is_queued(slot_queue: &SlotQueue, waiting: usize, wait_limit_ms: u64) -> bool {
    let queued: Vec<_> = (0..waiting).map(|_| request("ledgers", 60_000)).collect();
    let mut queued: Vec<_> = queued
        .iter()
        .map(|one| slot_queue.acquire(one).boxed_local())
        .collect();
    for claim in &mut queued {
        assert!(claim.now_or_never().is_none(), "the claims before it wait");
    }
    let last = request("ledgers", wait_limit_ms);
    slot_queue.acquire(&last).now_or_never().is_none()
}

/// One slot, occupied by a request of about a second; 16 claims may wait for it.
async fn one_slot_for_30_tokens() -> (
    SlotQueue,
    Option<super::SlotAssignment>,
    super::OccupiedSlot,
) {
    let slot_queue = SlotQueue::new(EngineRole::Decode, 1);
    let assignment = slot_queue.acquire(&request("ledgers", 0)).await.ok();
    let slot = slot_queue.occupy(30).await;
    (slot_queue, assignment, slot)
}

#[compio::test]
async fn claims_that_take_slots_elsewhere_do_not_lengthen_the_expected_wait() {
    let (slot_queue, _assignment, _slot) = one_slot_for_30_tokens().await;
    // In each round, three of four claims leave for another endpoint.
    for _ in 0..20 {
        slot_queue.0.forecast.borrow_mut().note_wait_end(true);
        (0..3).for_each(|_| slot_queue.0.forecast.borrow_mut().note_wait_end(false));
    }
    assert!(is_queued(&slot_queue, 6, 2_000));
    // A claim whose wait behind a quarter of the queue is too long is still refused.
    assert!(!is_queued(&slot_queue, 15, 1_000));
}

#[compio::test]
async fn claims_that_all_take_their_slots_here_count_in_full() {
    let (slot_queue, _assignment, _slot) = one_slot_for_30_tokens().await;
    assert!(!is_queued(&slot_queue, 6, 2_000));
}

#[compio::test]
async fn a_claim_that_leaves_the_queue_lowers_the_expected_acquisitions() {
    let (slot_queue, _assignment, _slot) = one_slot_for_30_tokens().await;
    for _ in 0..40 {
        assert!(is_queued(&slot_queue, 3, 60_000));
    }
    assert_eq!(slot_queue.0.forecast.borrow().expected_acquisitions(6), 1);
}

/// Whether a request that waits up to two seconds is assigned a slot when the running request is 450 ms from its end at
/// the time that `at` gives.
fn is_assigned_at(slot_queue: &SlotQueue, run: u64, at: impl Fn(Instant) -> Instant) -> bool {
    for _ in 0..60 {
        let mut forecast = slot_queue.0.forecast.borrow_mut();
        forecast.note_lead(Duration::from_millis(500));
    }
    let request = request("ledgers", 2_000);
    let before = Instant::now();
    let mut waits = slot_queue.acquire(&request).boxed_local();
    assert!((&mut waits).now_or_never().is_none(), "the request waits");
    let assign_at = at(before);
    let mut running = slot_queue.0.running.borrow_mut();
    let progress = running.get_mut(&run).unwrap();
    (0..45).for_each(|_| progress.note_token(assign_at));
    drop(running);
    slot_queue.assign_waiting(assign_at);
    let outcome = waits.now_or_never();
    outcome.expect("the request is answered at once").is_ok()
}

/// One slot, occupied by a request that decodes for 1.8 s.
async fn one_slot_for_60_tokens() -> (
    SlotQueue,
    Option<super::SlotAssignment>,
    super::OccupiedSlot,
) {
    let slot_queue = SlotQueue::new(EngineRole::Decode, 1);
    let assignment = slot_queue.acquire(&request("ledgers", 0)).await.ok();
    let slot = slot_queue.occupy(60).await;
    (slot_queue, assignment, slot)
}

#[compio::test]
async fn a_slot_that_is_free_in_time_is_assigned() {
    let (slot_queue, _assignment, slot) = one_slot_for_60_tokens().await;
    let in_time = |requested_at: Instant| requested_at + Duration::from_secs(1);
    assert!(is_assigned_at(&slot_queue, slot.run, in_time));
}

#[compio::test]
async fn a_slot_that_is_free_too_late_is_refused_instead_of_assigned() {
    let (slot_queue, _assignment, slot) = one_slot_for_60_tokens().await;
    let too_late = |_| Instant::now() + Duration::from_millis(1_800);
    assert!(!is_assigned_at(&slot_queue, slot.run, too_late));
}
