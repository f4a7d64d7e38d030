use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use camphorwall::{HttpLimits, HttpServer, RequestBody, StopHandle, stop_pair};
use compio::net::TcpListener;
use hyper::Request;
use rstest::rstest;

use crate::{
    clock::Moment,
    configuration::Configuration,
    dialect::{StoreItem, StoreRevision},
    entry::Entry,
    store::{
        answer_follower,
        configuration::{ReadFigures, put_in_force, read_from_reader},
        follow::follow_reader,
    },
    testing::{entry_with_empty_dialect, route, team},
};

/// Starts a reader whose proof has the given age, and returns it with its address.
async fn reader(proof_age: Duration) -> (Rc<Entry>, SocketAddr, StopHandle) {
    let entry = entry_with_empty_dialect();
    entry.reads_store.set(true);
    let proved_at = Moment::now() - proof_age;
    entry.registry.borrow_mut().prove(proved_at);
    entry.tracker.borrow_mut().confirm(4, Moment::now());
    {
        let mut registry = entry.registry.borrow_mut();
        registry.evacuations.advance(4, Some(proved_at));
    }
    entry.mirror.borrow_mut().advance(4, Some(proved_at));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = HttpServer {
        listener,
        limits: HttpLimits::default(),
    };
    let (stop, stopped) = stop_pair();
    let reader = Rc::clone(&entry);
    let handler = move |request: Request<RequestBody>| answer_follower(Rc::clone(&reader), request);
    entry.tasks.spawn(server.serve(handler, stopped));
    (entry, address, stop)
}

/// A configuration with a route for each number.
fn configuration(version: u64, numbers: std::ops::Range<u32>) -> Configuration {
    let routes = numbers.map(|number| Rc::new(route("shop.example", &format!("/{number}/"))));
    Configuration {
        version,
        routes: routes.collect(),
        ..Configuration::default()
    }
}

fn put(entry: &Entry, configuration: Configuration, revision: u64) {
    let figures = ReadFigures {
        bytes: 0,
        began_at: Moment::now(),
    };
    put_in_force(entry, configuration, revision, figures);
    entry.tracker.borrow_mut().confirm(revision, Moment::now());
}

#[rstest]
#[case::of_the_version_before(Some((1, 3)))]
#[case::of_a_version_that_the_reader_never_had(Some((2, 4)))]
#[case::without_a_configuration(None)]
#[compio::test]
async fn a_follower_gets_the_configuration_of_its_reader(#[case] known: Option<(u64, u64)>) {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    put(&reader, configuration(1, 0..40), 3);
    put(&reader, configuration(5, 10..60), 6);
    let follower = entry_with_empty_dialect();
    if let Some((version, revision)) = known {
        put(&follower, configuration(version, 0..40), revision);
    }
    follower.tracker.borrow_mut().note_change(5, Moment::now());
    read_from_reader(&follower, address)
        .await
        .expect("a configuration");
    let registry = follower.registry.borrow();
    assert_eq!(
        registry.configuration(),
        reader.registry.borrow().configuration()
    );
    assert_eq!(registry.configuration_revision(), 6.into());
    assert!(registry.proof_age(Moment::now()).is_some());
    assert!(!follower.tracker.borrow().needs_read());
}

#[compio::test]
async fn a_reader_without_a_newer_configuration_holds_its_follower_only_for_a_time() {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    let follower = entry_with_empty_dialect();
    for entry in [&reader, &follower] {
        put(entry, configuration(1, 0..4), 3);
    }
    assert!(read_from_reader(&follower, address).await.is_err());
}

fn register(entry: &Entry, revision: u64) {
    let mut mirror = entry.mirror.borrow_mut();
    mirror.note_registration(&StoreItem {
        key: "endpoints/e1".into(),
        value: Some(Bytes::from_static(b"e1")),
        revision: revision.into(),
    });
    let known_to = Moment::now() - mirror.age(Moment::now()).expect("an age");
    mirror.advance(revision, Some(known_to));
}

#[rstest]
#[case::fresh(0)]
#[case::of_usual_age(1_500)]
#[compio::test]
async fn the_proof_of_a_follower_is_no_newer_than_that_of_its_reader(#[case] age_ms: u64) {
    let (reader, address, _stop) = reader(Duration::from_millis(age_ms)).await;
    register(&reader, 5);
    let follower = entry_with_empty_dialect();
    let before = Moment::now();
    let update = follow_reader(&follower, address, 4).await;
    let Ok(update) = update else {
        panic!("the reader did not answer")
    };
    assert_eq!(update.revision, 5.into());
    let proof = reader.registry.borrow().proof_age(before).expect("a proof");
    assert!(update.known_to.expect("a moment") <= before - proof);
    let follower_proof = follower.registry.borrow().proof_age(before);
    assert!(follower_proof.expect("a proof") >= proof);
}

/// Guards against a follower that gets no news any more: it lacks removals that its reader has dropped, and can't list the store
/// itself.
#[compio::test]
async fn a_follower_that_is_far_behind_gets_all_registrations_of_its_reader() {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    for number in 0..1_000 {
        let gone = StoreItem {
            key: format!("endpoints/gone-{number}").into(),
            value: None,
            revision: (5 + number).into(),
        };
        reader.mirror.borrow_mut().note_registration(&gone);
    }
    register(&reader, 2_000);
    assert!(reader.mirror.borrow().changes(5).is_none());
    let follower = entry_with_empty_dialect();
    let update = follow_reader(&follower, address, 5).await;
    let Ok(update) = update else {
        panic!("the reader did not answer")
    };
    assert_eq!(update.revision, 2_000.into());
    assert_eq!(follower.mirror.borrow().registered().len(), 1);
}

/// A configuration with these keys of one team.
fn keyed(version: u64, keys: &[&str]) -> Configuration {
    let team = Rc::new(team(1.0, 1.0));
    let keys = keys.iter().map(|key| ((*key).into(), Rc::clone(&team)));
    Configuration {
        has_teams: true,
        keys: keys.collect(),
        ..configuration(version, 0..4)
    }
}

#[rstest]
#[case::same_keys(&["a", "b"], true)]
#[case::withdrawn(&["a"], false)]
#[case::replaced(&["a", "c"], false)]
#[case::added(&["a", "b", "c"], false)]
#[compio::test]
async fn the_proof_for_keys_waits_for_a_configuration_only_if_it_has_other_keys(
    #[case] newer_keys: &[&str],
    #[case] is_proved: bool,
) {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    let follower = entry_with_empty_dialect();
    put(&follower, keyed(1, &["a", "b"]), 3);
    put(&reader, keyed(2, newer_keys), 6);
    register(&reader, 7);
    assert!(follow_reader(&follower, address, 4).await.is_ok());
    let now = Moment::now();
    assert!(follower.tracker.borrow().is_outdated());
    let registry = follower.registry.borrow();
    assert!(registry.proof_age(now).is_none());
    assert_eq!(
        registry.keys_are_fresh(now, Duration::from_secs(5)),
        is_proved
    );
}

#[compio::test]
async fn a_follower_learns_of_a_change_that_its_reader_has_not_read_yet() {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    let follower = entry_with_empty_dialect();
    follower.tracker.borrow_mut().confirm(4, Moment::now());
    reader.tracker.borrow_mut().note_change(4, Moment::now());
    register(&reader, 7);
    assert!(follow_reader(&follower, address, 4).await.is_ok());
    assert!(follower.tracker.borrow().needs_read());
}

#[compio::test]
async fn a_response_with_a_stale_proof_is_rejected() {
    let (reader, address, _stop) = reader(Duration::from_secs(4)).await;
    register(&reader, 5);
    let follower = entry_with_empty_dialect();
    assert!(follow_reader(&follower, address, 4).await.is_err());
}

#[compio::test]
async fn an_entry_that_does_not_read_the_store_refuses_followers() {
    let (reader, address, _stop) = reader(Duration::ZERO).await;
    reader.reads_store.set(false);
    let follower = entry_with_empty_dialect();
    assert!(follow_reader(&follower, address, 4).await.is_err());
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// Starts a reader in an era of the store.
async fn reader_in_era(era: u64) -> (Rc<Entry>, SocketAddr, StopHandle) {
    let (reader, address, stop) = reader(Duration::ZERO).await;
    reader.store_era.set(Some(era));
    reader
        .tracker
        .borrow_mut()
        .confirm(revision(era, 4), Moment::now());
    let now = Moment::now();
    reader
        .mirror
        .borrow_mut()
        .advance(revision(era, 4), Some(now));
    (reader, address, stop)
}

/// Guards against a follower that goes back to an earlier era with a reader that has not heard of the restore.
#[compio::test]
async fn a_reader_of_an_earlier_era_proves_nothing() {
    let (_reader, address, _stop) = reader_in_era(1).await;
    let follower = entry_with_empty_dialect();
    follower.store_era.set(Some(2));
    let update = follow_reader(&follower, address, revision(2, 3)).await;
    assert!(update.is_err());
    assert!(
        follower
            .registry
            .borrow()
            .proof_age(Moment::now())
            .is_none()
    );
    assert_eq!(follower.store_era.get(), Some(2));
}

/// Guards against a follower that combines what its reader knows in a new era with what it knew itself before.
#[compio::test]
async fn a_follower_begins_the_era_of_its_reader() {
    let (reader, address, _stop) = reader_in_era(2).await;
    put(&reader, configuration(1, 0..4), 3);
    let follower = entry_with_empty_dialect();
    follower.store_era.set(Some(1));
    put(&follower, configuration(1, 0..4), 900);
    let update = follow_reader(&follower, address, revision(1, 900)).await;
    assert_eq!(
        update.ok().map(|update| update.revision),
        Some(revision(2, 4))
    );
    assert_eq!(follower.store_era.get(), Some(2));
    let registry = follower.registry.borrow();
    let now = Moment::now();
    assert!(registry.contact.is_in_doubt(revision(2, 4), now));
}

/// Guards against a registration of an earlier era that only the follower has seen and that is never removed.
#[compio::test]
async fn a_reader_sends_all_registrations_to_a_follower_of_an_earlier_era() {
    let (reader, address, _stop) = reader_in_era(2).await;
    put(&reader, configuration(1, 0..4), 3);
    let item = |key: &str, revision| StoreItem {
        key: key.into(),
        value: Some(Bytes::from_static(b"e")),
        revision,
    };
    let follower = entry_with_empty_dialect();
    follower.store_era.set(Some(1));
    {
        let mut mirror = follower.mirror.borrow_mut();
        mirror.note_registration(&item("endpoints/lost", revision(1, 905)));
        let mut mirror = reader.mirror.borrow_mut();
        mirror.note_registration(&item("endpoints/lost-too", revision(1, 900)));
        mirror.note_registration(&item("endpoints/kept", revision(2, 3)));
    }
    let update = follow_reader(&follower, address, revision(1, 905)).await;
    assert!(update.is_ok());
    let mut mirror = follower.mirror.borrow_mut();
    mirror.advance(revision(2, 4), None);
    let kept = mirror.registered();
    assert_eq!(kept.len(), 1);
    assert_eq!(&*kept[0].key, "endpoints/kept");
    let changes = mirror.changes(revision(1, 905)).expect("changes");
    let removed = changes.iter().filter(|item| item.value.is_none());
    let removed: Vec<_> = removed.map(|item| &*item.key).collect();
    assert_eq!(removed, ["endpoints/lost"]);
}
