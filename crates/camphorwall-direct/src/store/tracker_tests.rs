use std::time::Duration;

use crate::{
    dialect::{UnreadableConfiguration, UnreadableReason},
    store::tracker::ConfigurationTracker,
    testing::at_ms,
};

/// A tracker that read a configuration of revision 5, confirmed to be the newest up to revision 8.
fn confirmed() -> ConfigurationTracker {
    let mut tracker = ConfigurationTracker::default();
    tracker.note_read(5);
    tracker.confirm(8);
    tracker
}

#[test]
fn the_first_configuration_must_be_read() {
    let mut tracker = ConfigurationTracker::default();
    assert!(tracker.needs_read());
    assert!(!tracker.is_outdated());
    tracker.confirm(8);
    assert!(!tracker.needs_read());
}

#[test]
fn a_read_that_may_lack_a_change_does_not_end_the_suspicion() {
    let mut tracker = confirmed();
    tracker.note_change(8, at_ms(1_000));
    assert!(tracker.needs_read());
    // A read that began before the change confirms an older revision.
    tracker.confirm(8);
    assert!(tracker.needs_read());
    assert_eq!(
        tracker.outdated_for(at_ms(1_300)),
        Some(Duration::from_millis(300))
    );
    tracker.note_read(10);
    tracker.confirm(11);
    assert!(!tracker.needs_read());
    assert_eq!(tracker.outdated_for(at_ms(1_300)), None);
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
        (12, Some(12))
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
    tracker.confirm(30);
    assert!(tracker.is_outdated() && !tracker.needs_read());
    assert_eq!(
        tracker.outdated_for(at_ms(3_000)),
        Some(Duration::from_secs(2))
    );
    // Followers must not take the stuck revision for confirmed.
    assert_eq!(
        (tracker.confirmed_to(), tracker.changed_after()),
        (Some(9), Some(9))
    );
    tracker.note_change(30, at_ms(4_000));
    assert!(tracker.needs_read());
    tracker.note_read(31);
    assert!(!tracker.is_outdated());
    assert_eq!(tracker.outdated_for(at_ms(5_000)), None);
}
