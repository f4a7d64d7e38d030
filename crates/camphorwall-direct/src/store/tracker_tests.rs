use std::time::Duration;

use crate::{
    dialect::{StoreRevision, UnreadableConfiguration, UnreadableReason},
    store::tracker::ConfigurationTracker,
    testing::at_ms,
};

/// A tracker that read a configuration of revision 5, confirmed to be the newest up to revision 8.
fn confirmed() -> ConfigurationTracker {
    let mut tracker = ConfigurationTracker::default();
    tracker.note_read(5);
    tracker.confirm(8, at_ms(500));
    tracker
}

#[test]
fn the_first_configuration_must_be_read() {
    let mut tracker = ConfigurationTracker::default();
    assert!(tracker.needs_read());
    assert!(!tracker.is_outdated());
    tracker.confirm(8, at_ms(500));
    assert!(!tracker.needs_read());
}

#[test]
fn a_read_that_may_lack_a_change_does_not_end_the_suspicion() {
    let mut tracker = confirmed();
    tracker.note_change(8, at_ms(1_000));
    assert!(tracker.needs_read());
    // A read that began before the change confirms an older revision.
    tracker.confirm(8, at_ms(900));
    assert!(tracker.needs_read());
    assert_eq!(
        tracker.outdated_for(at_ms(1_300)),
        Some(Duration::from_millis(300))
    );
    tracker.note_read(10);
    tracker.confirm(11, at_ms(900));
    assert!(!tracker.needs_read());
    assert_eq!(tracker.outdated_for(at_ms(1_300)), None);
}

/// Guards against an entry that reads the configuration for ever and refuses all requests after the store has discarded its
/// history: no change need be among the lost ones, so the store's revision may stay where it is.
#[test]
fn a_doubt_ends_with_a_read_that_began_after_it_at_an_unchanged_revision() {
    let mut tracker = confirmed();
    tracker.doubt(at_ms(1_000));
    assert!(tracker.needs_read() && !tracker.may_prove());
    // A read that was under way may lack the change.
    tracker.confirm(9, at_ms(900));
    assert!(tracker.needs_read());
    assert_eq!(
        (tracker.outdated_for(at_ms(9_000)), tracker.changed_after()),
        (None, None)
    );
    tracker.confirm(9, at_ms(1_000));
    assert!(!tracker.needs_read() && tracker.may_prove());
}

/// Guards against an entry that stays outdated because a peer reported a configuration that the store doesn't have.
#[test]
fn a_change_that_a_later_read_does_not_find_is_not_expected_any_longer() {
    let mut tracker = confirmed();
    tracker.note_change(8, at_ms(1_000));
    tracker.doubt(at_ms(1_100));
    tracker.confirm(8, at_ms(1_050));
    assert_eq!(tracker.outdated_for(at_ms(9_000)), None);
    assert!(tracker.needs_read());
    tracker.confirm(8, at_ms(1_200));
    assert!(!tracker.needs_read() && tracker.may_prove());
}

#[test]
fn a_late_report_of_a_change_that_has_been_read_is_ignored() {
    let mut tracker = confirmed();
    tracker.note_change(7, at_ms(1_000));
    assert!(!tracker.is_outdated());
    assert_eq!(tracker.outdated_for(at_ms(2_000)), None);
}

#[test]
fn the_age_of_an_outdated_configuration_counts_from_the_first_of_several_changes() {
    let mut tracker = confirmed();
    tracker.note_change(8, at_ms(1_000));
    tracker.note_change(12, at_ms(1_500));
    assert_eq!(
        tracker.outdated_for(at_ms(2_000)),
        Some(Duration::from_secs(1))
    );
}

#[test]
fn a_late_page_of_an_older_list_does_not_bring_its_revision_back() {
    let mut tracker = confirmed();
    tracker.note_read(12);
    tracker.note_read(9);
    assert_eq!(
        (tracker.read_revision(), tracker.confirmed_to()),
        (12.into(), Some(12.into()))
    );
}

/// Guards against a configuration that can't be put in force and ends as proof for the one before it.
#[test]
fn a_configuration_that_can_not_be_read_keeps_the_one_before_outdated_until_a_newer_one_is() {
    let mut tracker = confirmed();
    let cause = UnreadableConfiguration {
        version: Some(90),
        reason: UnreadableReason::WrongFields,
        error: "no routes".into(),
    };
    assert!(tracker.note_stuck(10, cause.clone(), at_ms(1_000)));
    assert!(!tracker.note_stuck(10, cause, at_ms(2_000)), "it is known");
    tracker.confirm(30, at_ms(2_500));
    assert!(tracker.is_outdated() && !tracker.needs_read());
    assert_eq!(
        tracker.outdated_for(at_ms(3_000)),
        Some(Duration::from_secs(2))
    );
    // Followers must not take the stuck revision for confirmed.
    assert_eq!(
        (tracker.confirmed_to(), tracker.changed_after()),
        (Some(9.into()), Some(9.into()))
    );
    tracker.note_change(30, at_ms(4_000));
    assert!(tracker.needs_read());
    tracker.note_read(31);
    assert!(!tracker.is_outdated());
    assert_eq!(tracker.outdated_for(at_ms(5_000)), None);
}

fn in_era(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// Guards against a proof that rests on a revision of before a restore of the store.
#[test]
fn a_confirmation_of_an_earlier_era_proves_nothing() {
    let mut tracker = confirmed();
    tracker.note_version(3, 5.into());
    tracker.begin_era(1, at_ms(1_000));
    assert!(tracker.needs_read() && !tracker.may_prove());
    // An answer that was on its way has a revision that the store has not issued again yet.
    tracker.confirm(900, at_ms(1_200));
    assert!(tracker.needs_read());
    tracker.note_read(in_era(1, 5));
    tracker.note_version(3, in_era(1, 5));
    assert!(!tracker.needs_read() && tracker.may_prove());
}

/// Guards against an older configuration whose keys are taken for the newest because the store has lost a newer one.
#[test]
fn a_store_that_lost_a_version_proves_nothing_until_it_is_written_again() {
    let mut tracker = confirmed();
    tracker.note_version(3, 5.into());
    tracker.begin_era(1, at_ms(1_000));
    tracker.note_read(in_era(1, 4));
    tracker.note_version(2, in_era(1, 4));
    assert!(!tracker.is_outdated(), "there is nothing to read");
    assert!(tracker.is_behind() && !tracker.may_prove());
    tracker.note_read(in_era(1, 9));
    tracker.note_version(3, in_era(1, 9));
    assert!(tracker.may_prove());
}

/// Guards against an entry that starts after the restore and doesn't know what the store has lost.
#[test]
fn a_version_of_an_earlier_era_that_a_peer_has_in_force_counts() {
    let mut tracker = ConfigurationTracker::default();
    tracker.start_in_era(2);
    tracker.note_read(in_era(2, 4));
    tracker.note_version(2, in_era(2, 4));
    assert!(tracker.may_prove());
    // A peer has read a version that is new in this era.
    tracker.note_published(3, in_era(2, 9));
    assert!(tracker.may_prove());
    tracker.note_published(3, in_era(1, 9));
    assert!(!tracker.may_prove());
    assert!(tracker.is_before_lost(2) && !tracker.is_before_lost(3));
}

/// Guards against keys that are closed at every restore until the configuration has been read in the new era.
#[test]
fn a_version_of_an_earlier_era_is_not_lost_before_the_store_has_been_read() {
    let mut tracker = confirmed();
    tracker.note_version(3, 5.into());
    tracker.begin_era(1, at_ms(1_000));
    tracker.note_published(3, 5.into());
    assert!(!tracker.is_behind() && !tracker.is_before_lost(2));
    assert!(!tracker.may_prove());
}

#[test]
fn without_eras_an_older_version_that_is_written_later_is_no_loss() {
    let mut tracker = confirmed();
    tracker.note_version(3, 5.into());
    tracker.note_read(9);
    tracker.note_version(2, 9.into());
    tracker.note_published(4, 7.into());
    assert!(tracker.may_prove());
}
