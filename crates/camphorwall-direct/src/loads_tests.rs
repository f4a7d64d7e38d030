use camphorwall::EndpointId;

use crate::loads::{Loads, ReportedWork, Run, Work, endpoint_key};

const PEER: u64 = 7;

const RUN: Run = Run {
    held_tokens: 100,
    left_tokens: 50,
};

fn endpoint(name: &str) -> EndpointId {
    name.parse().expect("a name")
}

/// Runs that an entry knows of at an endpoint.
fn known(loads: &Loads, name: &str) -> usize {
    let runs = loads.by_endpoint();
    runs.get(&endpoint_key(&endpoint(name))).map_or(0, Vec::len)
}

#[test]
fn a_peer_hears_of_what_has_begun_and_ended_since_the_last_word() {
    let (mut own, mut peer) = (Loads::default(), Loads::default());
    let first = own.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, own.report_all());
    assert_eq!((known(&peer, "a"), known(&peer, "b")), (1, 0));
    own.begin(&endpoint("b"), Work::Fixed(RUN));
    own.end(first);
    let changes = own.report_changes();
    assert!(changes.may_free());
    peer.note_peer(PEER, changes);
    assert_eq!((known(&peer, "a"), known(&peer, "b")), (0, 1));
    let nothing = ReportedWork::Changes {
        begun: Vec::new(),
        ended: Vec::new(),
    };
    assert_eq!(own.report_changes(), nothing, "each change is told once");
    assert!(!nothing.may_free());
}

#[test]
fn work_that_began_and_ended_between_two_words_leaves_nothing_behind() {
    let (mut own, mut peer) = (Loads::default(), Loads::default());
    let short = own.begin(&endpoint("a"), Work::Fixed(RUN));
    own.end(short);
    peer.note_peer(PEER, own.report_changes());
    assert_eq!(known(&peer, "a"), 0);
}

#[test]
fn a_whole_word_makes_up_for_lost_ones() {
    let (mut own, mut peer) = (Loads::default(), Loads::default());
    let first = own.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, own.report_all());
    own.end(first);
    own.begin(&endpoint("b"), Work::Fixed(RUN));
    let _lost = own.report_changes();
    peer.note_peer(PEER, own.report_all());
    assert_eq!((known(&peer, "a"), known(&peer, "b")), (0, 1));
    peer.forget_peer(PEER);
    assert_eq!(known(&peer, "b"), 0);
}
