use std::time::{Duration, Instant};

use camphorwall::{CrashId, EngineRole};

use super::{CRASH_LIFETIME, MAX_RECORDS, SuspectKey, Suspects};

fn suspect(fingerprint: u64) -> SuspectKey {
    SuspectKey {
        service: "draft-models".parse().unwrap(),
        fingerprint,
    }
}

fn crash(incarnation: u64) -> CrashId {
    CrashId {
        instance: "prefill-0".parse().unwrap(),
        incarnation,
    }
}

const ROLE: EngineRole = EngineRole::Prefill;

#[test]
fn a_second_crash_quarantines_and_a_repeated_report_of_one_crash_does_not() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_crash(suspect(7), crash(1), ROLE, now);
    let records = suspects.records(now);
    suspects.merge(records, now);
    assert!(suspects.is_suspect(&suspect(7), ROLE, now));
    assert!(!suspects.is_suspect(&suspect(7), EngineRole::Decode, now));
    assert!(!suspects.is_quarantined(&suspect(7), now));
    suspects.note_crash(suspect(7), crash(2), ROLE, now);
    assert!(suspects.is_quarantined(&suspect(7), now));
}

#[test]
fn records_of_two_processes_merge_in_any_order() {
    let now = Instant::now();
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    one.note_crash(suspect(7), crash(1), ROLE, now);
    other.note_crash(suspect(7), crash(2), ROLE, now);
    let (from_one, from_other) = (one.records(now), other.records(now));
    one.merge(from_other, now);
    other.merge(from_one, now);
    assert!(one.is_quarantined(&suspect(7), now) && other.is_quarantined(&suspect(7), now));
}

#[test]
fn a_request_that_ran_to_its_end_is_cleared_unless_it_is_quarantined() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_crash(suspect(1), crash(1), ROLE, now);
    assert!(!suspects.clear_suspect(&suspect(1), EngineRole::Decode, now));
    assert!(suspects.clear_suspect(&suspect(1), ROLE, now));
    suspects.note_crash(suspect(1), crash(2), ROLE, now);
    assert!(!suspects.is_quarantined(&suspect(1), now));
    suspects.note_crash(suspect(1), crash(3), ROLE, now);
    assert!(!suspects.clear_suspect(&suspect(1), ROLE, now));
    assert!(suspects.is_quarantined(&suspect(1), now));
}

#[test]
fn a_lifted_request_stays_lifted_when_its_crashes_are_reported_again() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_crash(suspect(7), crash(1), ROLE, now);
    suspects.note_crash(suspect(7), crash(2), ROLE, now);
    let old = suspects.records(now);
    assert!(suspects.lift(7) && !suspects.lift(8));
    suspects.merge(old, now);
    assert!(!suspects.is_quarantined(&suspect(7), now));
    assert_eq!(suspects.list(now).len(), 0);
}

#[test]
fn crashes_expire_and_reports_do_not_renew_them() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_crash(suspect(7), crash(1), ROLE, now);
    suspects.note_crash(suspect(7), crash(2), ROLE, now);
    let later = now + CRASH_LIFETIME / 2;
    let records = suspects.records(later);
    suspects.merge(records, later);
    assert!(suspects.is_quarantined(&suspect(7), later));
    let end = now + CRASH_LIFETIME;
    suspects.expire(end);
    assert!(!suspects.is_quarantined(&suspect(7), end) && suspects.records(end).is_empty());
}

#[test]
fn records_are_bounded_and_quarantined_requests_are_kept() {
    let start = Instant::now();
    let mut suspects = Suspects::default();
    suspects.note_crash(suspect(0), crash(1), ROLE, start);
    suspects.note_crash(suspect(0), crash(2), ROLE, start);
    for number in 1..3_000 {
        let at = start + Duration::from_millis(number);
        suspects.note_crash(suspect(number), crash(3), ROLE, at);
    }
    let now = start + Duration::from_secs(4);
    assert_eq!(suspects.list(now).len(), MAX_RECORDS);
    assert!(suspects.is_quarantined(&suspect(0), now));
}
