use std::time::Duration;

use crate::{
    configuration::{Configuration, Endpoint, Stage},
    endpoints::registry::{EndpointChange, Registry},
    names::ServiceName,
    testing::{at_ms, endpoint, endpoint_id},
};

const KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

fn service() -> ServiceName {
    "drafts".parse().expect("a name")
}

fn decode() -> Endpoint {
    endpoint("a", Stage::Decode)
}

fn count(registry: &Registry) -> usize {
    count_at(registry, 10_500)
}

fn count_at(registry: &Registry, now_ms: u64) -> usize {
    let service = service();
    let endpoints = registry.endpoints(&service, Stage::Decode, at_ms(now_ms));
    endpoints.count()
}

/// Plays an outage of the store.
fn note_outage(registry: &mut Registry, from_ms: u64, to_ms: u64) {
    registry.contact.note_failure(at_ms(from_ms));
    let (sent_at, now) = (at_ms(to_ms - 4), at_ms(to_ms));
    registry.contact.note_answer(sent_at, Duration::ZERO, now);
}

fn version(version: u64) -> Configuration {
    Configuration {
        version,
        ..Configuration::default()
    }
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut registry = Registry::default();
    assert!(registry.apply_configuration(version(7), 1));
    assert!(!registry.apply_configuration(version(5), 1));
    assert!(!registry.apply_configuration(version(7), 1));
    let in_force = registry.configuration().expect("a configuration");
    assert_eq!(in_force.version, 7);
}

#[test]
fn keys_are_trusted_only_within_the_bound_after_the_last_proof() {
    let mut registry = Registry::default();
    assert!(!registry.keys_are_fresh(at_ms(0), KEY_WITHDRAWAL));
    registry.prove(at_ms(1_000));
    assert!(registry.keys_are_fresh(at_ms(5_500), KEY_WITHDRAWAL));
    assert!(!registry.keys_are_fresh(at_ms(5_600), KEY_WITHDRAWAL));
    assert!(!registry.keys_are_fresh(at_ms(60_000), KEY_WITHDRAWAL));
    registry.prove(at_ms(60_000));
    assert!(registry.keys_are_fresh(at_ms(60_100), KEY_WITHDRAWAL));
}

#[test]
fn a_late_answer_of_a_slow_call_proves_no_more_than_when_it_was_sent() {
    let mut registry = Registry::default();
    registry.prove(at_ms(8_000));
    registry.prove(at_ms(2_000));
    assert!(registry.keys_are_fresh(at_ms(12_000), KEY_WITHDRAWAL));
}

#[test]
fn a_draining_endpoint_takes_no_new_work() {
    let mut registry = Registry::default();
    assert_eq!(registry.register(decode(), 1), EndpointChange::Added);
    assert_eq!(count(&registry), 1);
    let draining = Endpoint {
        is_draining: true,
        ..decode()
    };
    assert_eq!(registry.register(draining, 2), EndpointChange::Draining);
    assert_eq!(count(&registry), 0);
    assert!(!registry.takes_work(&decode(), at_ms(0)));
}

#[test]
fn a_removed_endpoint_is_not_brought_back_by_a_page_of_an_older_list() {
    let mut registry = Registry::default();
    registry.register(decode(), 5);
    let removed = registry.remove(&endpoint_id("a"), 9, at_ms(0));
    assert_eq!(removed, EndpointChange::Removed);
    assert_eq!(registry.register(decode(), 5), EndpointChange::Unchanged);
    assert_eq!(count(&registry), 0);
    assert_eq!(registry.register(decode(), 12), EndpointChange::Added);
    assert_eq!(count(&registry), 1);
}

#[test]
fn an_older_removal_does_not_undo_a_newer_registration() {
    let mut registry = Registry::default();
    registry.register(decode(), 9);
    let removed = registry.remove(&endpoint_id("a"), 5, at_ms(0));
    assert_eq!(removed, EndpointChange::Unchanged);
    assert_eq!(count(&registry), 1);
}

#[test]
fn a_registration_missing_right_after_an_outage_of_the_store_expires_before_it_is_removed() {
    let mut registry = Registry::default();
    registry.register(decode(), 1);
    note_outage(&mut registry, 7_000, 10_000);
    let change = registry.remove(&endpoint_id("a"), 2, at_ms(10_500));
    assert_eq!(change, EndpointChange::Expired);
    assert_eq!(count(&registry), 1);
    assert!(registry.drop_expired(at_ms(12_100)).is_empty());
    assert_eq!(registry.drop_expired(at_ms(12_200)), [endpoint_id("a")]);
    assert_eq!(count(&registry), 0);
}

#[test]
fn an_expired_registration_counts_until_the_store_has_recovered_and_not_until_its_next_answer() {
    let mut registry = Registry::default();
    registry.register(decode(), 1);
    note_outage(&mut registry, 7_000, 10_000);
    // Removed shortly before the store counts as recovered: the endpoint has really left.
    registry.remove(&endpoint_id("a"), 2, at_ms(12_100));
    assert_eq!(count_at(&registry, 12_150), 1);
    assert_eq!(count_at(&registry, 12_200), 0);
    assert!(!registry.takes_work(&decode(), at_ms(12_200)));
}

#[test]
fn an_endpoint_that_registers_again_after_an_outage_stays() {
    let mut registry = Registry::default();
    registry.register(decode(), 1);
    note_outage(&mut registry, 7_000, 10_000);
    registry.remove(&endpoint_id("a"), 2, at_ms(10_500));
    registry.register(decode(), 3);
    assert!(registry.drop_expired(at_ms(20_000)).is_empty());
    assert_eq!(count(&registry), 1);
}

#[test]
fn a_draining_endpoint_that_is_removed_in_an_outage_is_removed_at_once() {
    let mut registry = Registry::default();
    let draining = Endpoint {
        is_draining: true,
        ..decode()
    };
    registry.register(draining, 1);
    note_outage(&mut registry, 0, 3_000);
    let change = registry.remove(&endpoint_id("a"), 2, at_ms(3_100));
    assert_eq!(change, EndpointChange::Removed);
}

#[test]
fn a_complete_list_removes_registrations_missing_from_it() {
    let mut registry = Registry::default();
    registry.register(decode(), 1);
    registry.register(endpoint("b", Stage::Decode), 2);
    registry.keep_only(&[endpoint_id("b")], 8, at_ms(0));
    assert_eq!(count(&registry), 1);
    assert!(registry.takes_work(&endpoint("b", Stage::Decode), at_ms(0)));
}

#[test]
fn a_restart_under_the_same_name_is_another_endpoint() {
    let mut registry = Registry::default();
    registry.register(decode(), 1);
    let restarted = Endpoint {
        started_ms: 2_000,
        ..decode()
    };
    assert_eq!(
        registry.register(restarted.clone(), 2),
        EndpointChange::Added
    );
    assert!(!registry.takes_work(&decode(), at_ms(0)));
    assert!(registry.takes_work(&restarted, at_ms(0)));
}
