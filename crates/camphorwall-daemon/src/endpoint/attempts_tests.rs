use std::time::{Duration, Instant};

use camphorwall::{
    Cancel, CancelReply, EngineRole, Outcome, Renew, RequestId, RequestIdPrefix, ReservationId,
    Reserve, Resume, Start, Tokens, Work,
};

use super::{Attempts, DEADLINE_MARGIN, MAX_RECORDED_ATTEMPTS, REQUEST_LEASE, RESERVATION_LEASE};
use crate::endpoint::slot_queue::SlotQueue;

fn reserve(number: u128) -> Reserve {
    Reserve {
        request_id: RequestId::from_u128(number),
        attempt: 1,
        entry: "entry-0".parse().unwrap(),
        data_centre: "marousi".parse().unwrap(),
        team: None,
        priority: camphorwall::Priority::default(),
        weight: 1,
        route: "drafts".parse().unwrap(),
        service: "summary-llm".parse().unwrap(),
        prompt_tokens: Tokens(1),
        max_output_tokens: Tokens(1),
        wait_limit_ms: 1_000,
        deadline_ms: 30_000,
        fingerprint: 0,
        engine_role: None,
        setup: None,
        pieces: Vec::new(),
    }
}

fn start(number: u128, reservation: ReservationId) -> Start {
    Start {
        request_id: RequestId::from_u128(number),
        attempt: 1,
        reservation,
        work: Work::Prefill { prompt: "p".into() },
    }
}

fn cancel(number: u128) -> Cancel {
    Cancel {
        request_id: RequestId::from_u128(number),
        attempt: 1,
    }
}

fn renew(number: u128) -> Renew {
    Renew {
        entry: "entry-0".parse().unwrap(),
        requests: vec![RequestId::from_u128(number)],
    }
}

async fn reserved(number: u128, now: Instant) -> (Attempts, SlotQueue, ReservationId) {
    let slot_queue = SlotQueue::new(EngineRole::Decode, 4);
    let mut attempts = Attempts::new(slot_queue.clone());
    let request = reserve(number);
    let assignment = slot_queue.acquire(&request).await.ok().unwrap();
    let held = attempts.reserve(&request, assignment, now).ok().unwrap();
    (attempts, slot_queue, held.reservation)
}

#[compio::test]
async fn a_start_that_waited_in_the_buffers_of_a_paused_daemon_is_refused_as_not_run() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let resumed_at = now + RESERVATION_LEASE;
    let refused = attempts
        .begin(&start(1, reservation), resumed_at)
        .err()
        .unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(attempts.load().running, 0);
}

#[compio::test]
async fn a_renewal_that_waited_in_the_buffers_does_not_revive_a_lease() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let resumed_at = now + RESERVATION_LEASE;
    assert_eq!(
        attempts.renew(&renew(1), resumed_at),
        vec![RequestId::from_u128(1)]
    );
    assert!(attempts.begin(&start(1, reservation), resumed_at).is_err());

    let (mut attempts, _, reservation) = reserved(2, now).await;
    let started = attempts.begin(&start(2, reservation), now).ok().unwrap();
    let resumed_at = now + REQUEST_LEASE;
    assert_eq!(
        attempts.renew(&renew(2), resumed_at),
        vec![RequestId::from_u128(2)]
    );
    attempts.expire(resumed_at);
    assert!(started.stop.is_called());
}

#[compio::test]
async fn renewals_extend_a_reservation_and_running_work() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let almost = RESERVATION_LEASE
        .checked_sub(Duration::from_millis(1))
        .unwrap();
    assert!(attempts.renew(&renew(1), now + almost).is_empty());
    attempts.expire(now + RESERVATION_LEASE);
    let started = attempts
        .begin(&start(1, reservation), now + RESERVATION_LEASE)
        .ok()
        .unwrap();
    let renewed_at = now + REQUEST_LEASE;
    assert!(attempts.renew(&renew(1), renewed_at).is_empty());
    attempts.expire(renewed_at + almost);
    assert!(!started.stop.is_called());
}

#[compio::test]
async fn work_is_stopped_a_margin_past_its_deadline_although_it_is_renewed() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let started = attempts.begin(&start(1, reservation), now).ok().unwrap();
    for second in 1..=30 {
        let at = now + Duration::from_secs(second);
        attempts.renew(&renew(1), at);
        attempts.expire(at);
        // The entry may still cancel within the margin after the deadline.
        assert!(!started.stop.is_called());
    }
    attempts.expire(now + Duration::from_secs(30) + DEADLINE_MARGIN);
    assert!(started.stop.is_called());
}

#[compio::test]
async fn a_cancelled_attempt_never_starts() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    assert_eq!(attempts.cancel(&cancel(1), now), CancelReply::NotRun);
    let refused = attempts.begin(&start(1, reservation), now).err().unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun);
}

#[compio::test]
async fn a_cancellation_that_overtakes_its_reservation_refuses_it() {
    let now = Instant::now();
    let slot_queue = SlotQueue::new(EngineRole::Decode, 4);
    let mut attempts = Attempts::new(slot_queue.clone());
    assert_eq!(attempts.cancel(&cancel(1), now), CancelReply::Unknown);
    let assignment = slot_queue.acquire(&reserve(1)).await.ok().unwrap();
    assert!(attempts.reserve(&reserve(1), assignment, now).is_err());
}

#[test]
fn cancellations_of_unknown_attempts_take_bounded_memory() {
    let now = Instant::now();
    let mut attempts = Attempts::new(SlotQueue::new(EngineRole::Decode, 4));
    for number in 0..2 * MAX_RECORDED_ATTEMPTS as u128 {
        attempts.cancel(&cancel(number), now);
    }
    assert_eq!(attempts.by_key.len(), MAX_RECORDED_ATTEMPTS);
    attempts.expire(now + super::CLOSED_RETENTION);
    assert!(attempts.by_key.is_empty());
}

#[compio::test]
async fn resuming_an_attempt_that_has_not_started_closes_it() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let resume = Resume {
        request_id: RequestId::from_u128(1),
        attempt: 1,
        from_frame: 0,
    };
    let failed = attempts.resume(&resume, now).err().unwrap();
    assert_eq!(failed.outcome, Outcome::NotRun);
    assert!(attempts.begin(&start(1, reservation), now).is_err());
}

#[compio::test]
async fn an_attempt_that_ran_is_never_reported_as_not_run() {
    let now = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, now).await;
    let started = attempts.begin(&start(1, reservation), now).ok().unwrap();
    let again = attempts.begin(&start(1, reservation), now).err().unwrap();
    assert_eq!(again.outcome, Outcome::MayHaveRun);
    started.frame_buffer.close();
    attempts.end((RequestId::from_u128(1), 1), false, now);
    let late = now + super::FRAME_RETENTION;
    attempts.expire(late);
    assert_eq!(attempts.cancel(&cancel(1), late), CancelReply::Ended);
    let again = attempts.begin(&start(1, reservation), late).err().unwrap();
    assert_eq!(again.outcome, Outcome::MayHaveRun);
}

#[compio::test]
async fn a_leaving_daemon_refuses_reservations_and_starts_what_it_has_reserved() {
    let now = Instant::now();
    let (mut attempts, slot_queue, reservation) = reserved(1, now).await;
    attempts.leave();
    let assignment = slot_queue.acquire(&reserve(2)).await.ok().unwrap();
    assert!(attempts.reserve(&reserve(2), assignment, now).is_err());
    assert!(attempts.begin(&start(1, reservation), now).is_ok());
    assert!(!attempts.is_idle());
}

#[compio::test]
async fn a_replayed_or_reordered_datagram_renews_nothing_and_a_newer_one_does() {
    let began = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, began).await;
    assert!(attempts.begin(&start(1, reservation), began).is_ok());
    let prefixes = [1, 1 << 64].map(|one| RequestIdPrefix::of(RequestId::from_u128(one)));
    let second = Duration::from_secs(1);
    // The second request is unknown here.
    assert_eq!(attempts.renew_by_prefix(7, &prefixes, began + second), [1]);
    for replayed in [7, 6] {
        let unknown = attempts.renew_by_prefix(replayed, &prefixes[..1], began + 3 * second);
        assert_eq!(unknown, [] as [u8; 0]);
    }
    let lease_end = began + second + REQUEST_LEASE;
    assert_eq!(attempts.renew_by_prefix(8, &prefixes[..1], lease_end), [0]);
}

#[compio::test]
async fn a_datagram_of_a_higher_sequence_keeps_work_running() {
    let began = Instant::now();
    let (mut attempts, _, reservation) = reserved(1, began).await;
    assert!(attempts.begin(&start(1, reservation), began).is_ok());
    let prefix = RequestIdPrefix::of(RequestId::from_u128(1));
    for round in 1..5 {
        let now = began + REQUEST_LEASE.mul_f64(0.9) * round;
        let unknown = attempts.renew_by_prefix(u64::from(round), &[prefix], now);
        assert_eq!(unknown, [] as [u8; 0]);
    }
}
