use std::time::{Duration, Instant};

use camphorwall::{InstanceId, LedgerKey, LedgerOutcome};
use rstest::rstest;

use super::{IncomingCall, KeyStatus, Moment, RecordLimits, RecordStore, Verdict};
use crate::membership::Ownership;

const LIMITS: RecordLimits = RecordLimits {
    retention: Duration::from_mins(10),
    skew_margin: Duration::from_secs(2),
    max_bytes: 64 * 1024,
};

/// Unix time at which the ownership begins in these tests.
const SINCE_MS: u64 = 1_000_000_000;

fn key(team: &str, key: &str) -> LedgerKey {
    LedgerKey {
        service: "orders-app".parse().unwrap(),
        team: Some(team.parse().unwrap()),
        route: "place-order".parse().unwrap(),
        key: key.into(),
    }
}

fn instance(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn answer(body: &str) -> LedgerOutcome {
    LedgerOutcome::Answer {
        status: 201,
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
    }
}

struct Owner {
    store: RecordStore,
    start: Instant,
    since: Instant,
}

impl Owner {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            store: RecordStore::new(instance("orders-0")),
            start,
            since: start,
        }
    }

    fn moment(&self, after: Duration) -> Moment {
        Moment {
            now: self.start + after,
            unix_ms: SINCE_MS + super::milliseconds(after),
        }
    }

    fn key_status(&self) -> KeyStatus {
        KeyStatus {
            ownership: Some(Ownership { since: self.since }),
            state_complete_since: self.start,
        }
    }

    fn admit(
        &mut self,
        key: &LedgerKey,
        issued_ms: u64,
        content: &str,
        after: Duration,
    ) -> Verdict {
        let incoming = IncomingCall {
            key,
            issued_ms,
            content,
        };
        let moment = self.moment(after);
        self.store
            .admit(&incoming, self.key_status(), &LIMITS, moment)
    }
}

const MINUTE: Duration = Duration::from_mins(1);
const ISSUED_MS: u64 = SINCE_MS + 60_000;

#[test]
fn a_repeated_call_waits_for_the_running_one_and_then_gets_its_answer() {
    let mut owner = Owner::new();
    let key = key("arima", "k");
    assert_eq!(owner.admit(&key, ISSUED_MS, "roof", MINUTE), Verdict::Run);
    assert_eq!(
        owner.admit(&key, ISSUED_MS, "roof", MINUTE),
        Verdict::Running
    );
    let now = owner.moment(MINUTE).now;
    owner.store.settle(&key, Some(answer("7")), now);
    assert_eq!(
        owner.admit(&key, ISSUED_MS, "roof", 2 * MINUTE),
        Verdict::Settled(answer("7"))
    );
}

#[test]
fn other_content_or_another_issue_time_is_refused_and_another_team_has_its_own_key() {
    let mut owner = Owner::new();
    let first = key("arima", "k");
    assert_eq!(owner.admit(&first, ISSUED_MS, "roof", MINUTE), Verdict::Run);
    let other_content = owner.admit(&first, ISSUED_MS, "two roofs", MINUTE);
    assert_eq!(other_content, Verdict::ContentDiffers);
    let other_issue_time = owner.admit(&first, ISSUED_MS + 1, "roof", MINUTE);
    assert_eq!(other_issue_time, Verdict::ContentDiffers);
    let other_team = owner.admit(&key("couva", "k"), ISSUED_MS, "roof", MINUTE);
    assert_eq!(other_team, Verdict::Run);
}

#[test]
fn an_outcome_that_is_unknown_stays_unknown_and_a_call_that_did_not_run_may_run() {
    let mut owner = Owner::new();
    let now = owner.moment(MINUTE).now;
    let lost = key("arima", "lost");
    owner.admit(&lost, ISSUED_MS, "roof", MINUTE);
    owner
        .store
        .settle(&lost, Some(LedgerOutcome::MayHaveRun), now);
    assert_eq!(
        owner.admit(&lost, ISSUED_MS, "roof", 9 * MINUTE),
        Verdict::Settled(LedgerOutcome::MayHaveRun)
    );
    let unused = key("arima", "unused");
    owner.admit(&unused, ISSUED_MS, "roof", MINUTE);
    owner.store.settle(&unused, None, now);
    assert_eq!(
        owner.admit(&unused, ISSUED_MS, "roof", MINUTE),
        Verdict::Run
    );
}

#[rstest]
#[case::before_the_owner_began(SINCE_MS - 1, Verdict::IssuedBeforeRecords)]
#[case::within_the_skew_margin(SINCE_MS + 2_000, Verdict::IssuedBeforeRecords)]
#[case::just_after_the_margin(SINCE_MS + 2_001, Verdict::Run)]
#[case::slightly_ahead_of_the_owner(SINCE_MS + 61_000, Verdict::Run)]
#[case::in_the_future(SINCE_MS + 61_001, Verdict::IssuedInFuture)]
fn a_key_runs_only_if_it_was_issued_during_the_ownership(
    #[case] issued_ms: u64,
    #[case] expected: Verdict,
) {
    let mut owner = Owner::new();
    let verdict = owner.admit(&key("arima", "k"), issued_ms, "roof", MINUTE);
    assert_eq!(verdict, expected);
}

#[test]
fn a_process_without_ownership_runs_nothing_and_still_knows_its_outcomes() {
    let mut owner = Owner::new();
    let known = key("arima", "known");
    owner.admit(&known, ISSUED_MS, "roof", MINUTE);
    let moment = owner.moment(MINUTE);
    owner.store.settle(&known, Some(answer("7")), moment.now);
    let not_owned = KeyStatus {
        ownership: None,
        ..owner.key_status()
    };
    let mut admit = |key: &LedgerKey| {
        let incoming = IncomingCall {
            key,
            issued_ms: ISSUED_MS,
            content: "roof",
        };
        owner.store.admit(&incoming, not_owned, &LIMITS, moment)
    };
    assert_eq!(admit(&known), Verdict::Settled(answer("7")));
    assert_eq!(admit(&key("arima", "fresh")), Verdict::NotOwner);
}

#[test]
fn an_outcome_is_kept_for_the_retention_time_and_its_key_never_runs_again() {
    let mut owner = Owner::new();
    let key = key("arima", "k");
    owner.admit(&key, ISSUED_MS, "roof", MINUTE);
    let now = owner.moment(MINUTE).now;
    owner.store.settle(&key, Some(answer("7")), now);
    for minutes in 2..40 {
        let after = MINUTE * minutes;
        let moment = owner.moment(after);
        owner.store.expire(&LIMITS, moment);
        let verdict = owner.admit(&key, ISSUED_MS, "roof", after);
        let is_kept = minutes < 11;
        let expected = if is_kept {
            Verdict::Settled(answer("7"))
        } else {
            Verdict::IssuedBeforeRecords
        };
        assert_eq!(verdict, expected, "after {minutes} min");
    }
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_all_live_ones() {
    let mut owner = Owner::new();
    let moment = owner.moment(MINUTE);
    let keys: Vec<_> = (0..100)
        .map(|number| key("arima", &format!("k{number}")))
        .collect();
    let mut admitted = Vec::new();
    for key in &keys {
        match owner.admit(key, ISSUED_MS, "roof", MINUTE) {
            Verdict::Run => admitted.push(key),
            Verdict::Full { retry_after } => assert_eq!(retry_after, LIMITS.retention),
            other => panic!("{other:?}"),
        }
    }
    assert!(!admitted.is_empty() && admitted.len() < keys.len());
    for key in &admitted {
        owner.store.settle(key, Some(answer("7")), moment.now);
    }
    for key in &admitted {
        let verdict = owner.admit(key, ISSUED_MS, "roof", MINUTE);
        assert_eq!(verdict, Verdict::Settled(answer("7")));
    }
    let later = 40 * MINUTE;
    let moment = owner.moment(later);
    owner.store.expire(&LIMITS, moment);
    let fresh = owner.admit(&key("arima", "later"), moment.unix_ms, "roof", later);
    assert_eq!((fresh, owner.store.running()), (Verdict::Run, 1));
}

#[test]
fn a_very_large_answer_is_not_kept_but_the_run_is() {
    let mut owner = Owner::new();
    let key = key("arima", "k");
    owner.admit(&key, ISSUED_MS, "roof", MINUTE);
    let now = owner.moment(MINUTE).now;
    owner
        .store
        .settle(&key, Some(answer(&"x".repeat(20_000))), now);
    let verdict = owner.admit(&key, ISSUED_MS, "roof", MINUTE);
    assert_eq!(verdict, Verdict::Settled(LedgerOutcome::Ran));
}

/// Keys that `orders-9` owned before `orders-0`, and keys that it did not own.
fn split_keys() -> (Vec<LedgerKey>, Vec<LedgerKey>) {
    let pair = [instance("orders-0"), instance("orders-9")];
    let is_predecessors =
        |key: &LedgerKey| camphorwall::rendezvous_winner(&key.to_string(), &pair) == Some(&pair[1]);
    (0..40)
        .map(|number| key("arima", &format!("k{number}")))
        .partition(is_predecessors)
}

#[rstest]
#[case::at_once(Duration::ZERO, Verdict::Run)]
#[case::a_third_owner_may_have_been_between(Duration::from_secs(30), Verdict::IssuedBeforeRecords)]
fn after_a_hand_over_older_keys_of_the_leaving_owner_may_run(
    #[case] gap: Duration,
    #[case] expected: Verdict,
) {
    let mut owner = Owner::new();
    let (handed, other_keys) = split_keys();
    let handed_at = owner.moment(5 * MINUTE).now;
    let from = instance("orders-9");
    owner
        .store
        .note_hand_over(from, SINCE_MS + 2_000, handed_at);
    owner.since = handed_at + gap;
    // Issued before this process owned anything, and without a record in the hand-over.
    let after = 6 * MINUTE;
    assert_eq!(owner.admit(&handed[0], ISSUED_MS, "roof", after), expected);
    let not_handed = owner.admit(&other_keys[0], ISSUED_MS, "roof", after);
    assert_eq!(not_handed, Verdict::IssuedBeforeRecords);
}

#[test]
fn after_an_unannounced_loss_records_of_a_hand_over_do_not_count_as_complete() {
    let mut owner = Owner::new();
    let (handed, _) = split_keys();
    let handed_at = owner.moment(5 * MINUTE).now;
    owner
        .store
        .note_hand_over(instance("orders-9"), SINCE_MS, handed_at);
    owner.since = handed_at;
    let incoming = IncomingCall {
        key: &handed[0],
        issued_ms: ISSUED_MS,
        content: "roof",
    };
    // Another member died after two minutes; it may have run calls of keys that the leaving owner then took over.
    let key_status = KeyStatus {
        state_complete_since: owner.moment(2 * MINUTE).now,
        ..owner.key_status()
    };
    let moment = owner.moment(6 * MINUTE);
    let verdict = owner.store.admit(&incoming, key_status, &LIMITS, moment);
    assert_eq!(verdict, Verdict::IssuedBeforeRecords);
}

#[test]
fn records_of_a_hand_over_answer_repeated_calls() {
    let mut leaving = Owner::new();
    let key = key("arima", "k");
    leaving.admit(&key, ISSUED_MS, "roof", MINUTE);
    let now = leaving.moment(MINUTE).now;
    leaving.store.settle(&key, Some(answer("7")), now);
    let mut next = Owner::new();
    assert!(next.store.import(leaving.store.settled(now), &LIMITS, now));
    let verdict = next.admit(&key, ISSUED_MS, "roof", 2 * MINUTE);
    assert_eq!(verdict, Verdict::Settled(answer("7")));
}
