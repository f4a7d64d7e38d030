use std::{net::SocketAddr, rc::Rc, time::Duration};

use camphorwall::{HttpLimits, HttpServer, StopHandle, stop_pair};
use compio::net::TcpListener;
use hyper::{Request, body::Incoming};
use rstest::rstest;

use crate::{
    clock::Moment,
    dialect::StoreItem,
    entry::Entry,
    store::{answer_follower, follow::follow_reader},
    testing::entry_with_empty_dialect,
};

/// Starts a reader whose proof has the given age, and returns it with its address.
async fn reader(proof_age: Duration) -> (Rc<Entry>, SocketAddr, StopHandle) {
    let entry = entry_with_empty_dialect();
    entry.reads_store.set(true);
    entry.registry.borrow_mut().prove(Moment::now() - proof_age);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = HttpServer {
        listener,
        limits: HttpLimits::default(),
    };
    let (stop, stopped) = stop_pair();
    let reader = Rc::clone(&entry);
    let handler = move |request: Request<Incoming>| answer_follower(Rc::clone(&reader), request);
    entry.tasks.spawn(server.serve(handler, stopped));
    (entry, address, stop)
}

fn register(entry: &Entry, revision: u64) {
    let mut mirror = entry.mirror.borrow_mut();
    mirror.note_registration(&StoreItem {
        key: "endpoints/e1".into(),
        value: Some(b"e1".to_vec()),
        revision,
    });
    mirror.advance(revision);
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
    assert_eq!(update.revision, 5);
    let proof = reader.registry.borrow().proof_age(before).expect("a proof");
    assert!(update.proved_at <= before - proof);
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
