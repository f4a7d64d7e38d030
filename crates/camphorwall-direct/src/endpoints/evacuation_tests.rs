use std::time::Duration;

use rstest::rstest;

use crate::{
    configuration::{Endpoint, Stage},
    endpoints::{
        evacuation::{EvacuationChange, Evacuations, ReportedEvacuations},
        registry::{Closure, Registry},
    },
    names::DataCentreName,
    testing::{at_ms, endpoint},
};

fn name(text: &str) -> DataCentreName {
    text.parse().expect("a name")
}

/// Evacuations that have been listed at a revision.
fn listed(names: &[(&str, u64)], revision: u64) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let names: Vec<_> = names.iter().map(|(text, at)| (name(text), *at)).collect();
    evacuations.apply_list(&names, revision, at_ms(0));
    evacuations
}

fn evacuated(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.names().map(DataCentreName::as_str).collect()
}

/// Guards against work for a data centre that was evacuated before the entry started.
#[test]
fn nothing_is_known_before_the_first_list() {
    let evacuations = Evacuations::default();
    assert!(!evacuations.is_listed());
    assert_eq!(evacuations.report(), None);
    assert!(listed(&[], 0).is_listed());
}

/// Guards against an evacuation that an older answer, which comes later, undoes or begins again.
#[rstest]
#[case::in_order(&[(true, 6), (false, 7), (true, 8)])]
#[case::the_end_of_an_earlier_one_comes_late(&[(true, 6), (true, 8), (false, 7)])]
#[case::twice(&[(true, 8), (false, 7), (true, 8), (true, 6)])]
fn the_newest_change_counts_whatever_the_order(#[case] changes: &[(bool, u64)]) {
    let mut evacuations = listed(&[], 5);
    for (is_evacuated, revision) in changes {
        evacuations.apply(&name("north"), *is_evacuated, *revision, at_ms(0));
    }
    assert_eq!(evacuated(&evacuations), ["north"]);
    evacuations.apply(&name("north"), false, 9, at_ms(0));
    for (_, revision) in changes {
        evacuations.apply(&name("north"), true, *revision, at_ms(0));
    }
    assert!(evacuated(&evacuations).is_empty());
}

/// Guards against an answer that was on its way while a list was read, which contains what the list shows to have ended.
#[test]
fn a_change_that_a_list_already_contains_is_ignored() {
    let mut evacuations = listed(&[], 5);
    assert_eq!(evacuations.apply(&name("north"), true, 5, at_ms(0)), None);
    assert!(evacuated(&evacuations).is_empty());
}

#[test]
fn a_list_begins_and_ends_evacuations() {
    let mut evacuations = listed(&[("north", 2), ("south", 3)], 5);
    let changes = evacuations.apply_list(&[(name("south"), 3), (name("west"), 8)], 9, at_ms(0));
    let began = (name("west"), EvacuationChange::Began, 8);
    let ended = (name("north"), EvacuationChange::Ended, 9);
    assert_eq!(changes, [began, ended]);
    assert_eq!(evacuated(&evacuations), ["south", "west"]);
}

/// Guards against a reader that is behind, or a list that was slow, and ends an evacuation that began after it.
#[test]
fn an_older_list_ends_nothing() {
    let mut evacuations = listed(&[("north", 2)], 5);
    evacuations.apply(&name("south"), true, 7, at_ms(0));
    assert!(evacuations.apply_list(&[], 4, at_ms(0)).is_empty());
    assert_eq!(evacuated(&evacuations), ["north", "south"]);
    // A list that is newer than the first and older than the second.
    evacuations.apply_list(&[], 6, at_ms(0));
    assert_eq!(evacuated(&evacuations), ["south"]);
}

/// Guards against an evacuation that is missed because a page of an older list was read after it had been written.
#[test]
fn an_older_list_that_contains_a_newer_item_begins_an_evacuation() {
    let mut evacuations = listed(&[], 5);
    let changes = evacuations.apply_list(&[(name("north"), 6)], 4, at_ms(0));
    assert_eq!(changes.len(), 1);
    assert_eq!(evacuated(&evacuations), ["north"]);
}

/// Guards against an evacuation that ended and that a list read before the end brings back.
#[test]
fn an_end_that_is_newer_than_a_list_stays() {
    let mut evacuations = listed(&[("north", 2)], 5);
    evacuations.apply(&name("north"), false, 9, at_ms(0));
    evacuations.apply_list(&[(name("north"), 2)], 7, at_ms(0));
    assert!(evacuated(&evacuations).is_empty());
}

/// Guards against a reader that answers its followers at once, again and again, with a change that it can't confirm yet.
#[test]
fn a_follower_is_told_of_a_change_until_it_knows_it() {
    let mut evacuations = listed(&[], 5);
    assert!(!evacuations.has_change_after(5));
    evacuations.apply(&name("north"), true, 7, at_ms(0));
    assert!(!evacuations.has_change_after(5));
    evacuations.advance(8, None);
    assert!(evacuations.has_change_after(5));
    assert!(!evacuations.has_change_after(8));
    let report = ReportedEvacuations {
        revision: 8,
        evacuated: vec![(name("north"), 7)],
    };
    assert_eq!(evacuations.report(), Some(report));
}

fn in_centre(id: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        data_centre: name(data_centre),
        ..endpoint(id, Stage::Decode)
    }
}

/// Guards against requests that are sent to an evacuated data centre, also those that were placed before.
#[test]
fn endpoints_of_an_evacuated_data_centre_take_no_work_until_the_evacuation_ends() {
    let mut registry = Registry::default();
    let (north, south) = (in_centre("n", "north"), in_centre("s", "south"));
    registry.register(north.clone(), 1);
    registry.register(south.clone(), 2);
    let service = north.service.clone();
    let count = |registry: &Registry| {
        let endpoints = registry.endpoints(&service, Stage::Decode, at_ms(0));
        endpoints.count()
    };
    registry
        .evacuations
        .apply(&name("north"), true, 3, at_ms(0));
    assert!(!registry.takes_work(&north, at_ms(0)));
    assert!(registry.takes_work(&south, at_ms(0)));
    assert_eq!((count(&registry), registry.evacuated_centres()), (1, 1));
    registry
        .evacuations
        .apply(&name("north"), false, 4, at_ms(0));
    assert!(registry.takes_work(&north, at_ms(0)));
    assert_eq!((count(&registry), registry.evacuated_centres()), (2, 0));
}

/// Guards against requests that wait for their deadline although no endpoint may take them, and against a Retry-After
/// that is shorter than the evacuation is likely to last.
#[test]
fn a_service_is_evacuated_when_none_of_its_endpoints_is_left() {
    let mut registry = Registry::default();
    let service = in_centre("n", "north").service;
    let closure = |registry: &Registry, now_ms| {
        registry.closure(&service, Stage::Decode, |_| true, at_ms(now_ms))
    };
    assert_eq!(closure(&registry, 0), None);
    registry.register(in_centre("n", "north"), 1);
    registry.register(in_centre("s", "south"), 2);
    let evacuations = &mut registry.evacuations;
    evacuations.apply(&name("north"), true, 3, at_ms(1_000));
    assert_eq!(closure(&registry, 9_000), None);
    let evacuations = &mut registry.evacuations;
    evacuations.apply(&name("south"), true, 4, at_ms(5_000));
    assert_eq!(
        closure(&registry, 9_000),
        Some(Closure::Evacuated(Duration::from_secs(4)))
    );
    // Endpoints that drain anyway are not missing because of the evacuation.
    for id in ["n", "s"] {
        let draining = Endpoint {
            is_draining: true,
            ..in_centre(id, if id == "n" { "north" } else { "south" })
        };
        registry.register(draining, 9);
    }
    assert_eq!(closure(&registry, 9_000), None);
}

/// Guards against an evacuation of a data centre without endpoints that counts as one or affects others.
#[test]
fn an_evacuation_of_an_unknown_data_centre_affects_nothing() {
    let mut registry = Registry::default();
    let north = in_centre("n", "north");
    registry.register(north.clone(), 1);
    let evacuations = &mut registry.evacuations;
    evacuations.apply(&name("nowhere"), true, 3, at_ms(0));
    assert!(registry.takes_work(&north, at_ms(0)));
    assert_eq!(registry.evacuated_centres(), 0);
}
