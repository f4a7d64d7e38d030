use crate::balance::loads::{Loads, ReportedWork, Run, Work, endpoint_key};
use crate::names::EndpointName;

const PEER: u64 = 7;

const RUN: Run = Run {
    held_tokens: 100,
    left_tokens: 50,
};

fn endpoint(name: &str) -> EndpointName {
    name.parse().expect("a name")
}

/// Number of runs that an entry knows of at an endpoint.
fn known_runs(loads: &Loads, name: &str) -> usize {
    let runs = loads.by_endpoint();
    runs.get(&endpoint_key(&endpoint(name))).map_or(0, Vec::len)
}

#[test]
fn a_report_of_changes_holds_work_begun_and_ended_since_the_last_report() {
    let (mut local, mut peer) = (Loads::default(), Loads::default());
    let first = local.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, local.report_all());
    assert_eq!((known_runs(&peer, "a"), known_runs(&peer, "b")), (1, 0));
    local.begin(&endpoint("b"), Work::Fixed(RUN));
    local.end(first);
    let changes = local.report_changes();
    assert!(changes.may_free());
    peer.note_peer(PEER, changes);
    assert_eq!((known_runs(&peer, "a"), known_runs(&peer, "b")), (0, 1));
    let no_changes = ReportedWork::Changes {
        begun: Vec::new(),
        ended: Vec::new(),
    };
    assert_eq!(
        local.report_changes(),
        no_changes,
        "each change is reported once"
    );
    assert!(!no_changes.may_free());
}

#[test]
fn work_that_began_and_ended_between_two_reports_leaves_no_record_at_peers() {
    let (mut local, mut peer) = (Loads::default(), Loads::default());
    let short = local.begin(&endpoint("a"), Work::Fixed(RUN));
    local.end(short);
    peer.note_peer(PEER, local.report_changes());
    assert_eq!(known_runs(&peer, "a"), 0);
}

#[test]
fn a_full_report_makes_up_for_lost_reports_of_changes() {
    let (mut local, mut peer) = (Loads::default(), Loads::default());
    let first = local.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, local.report_all());
    local.end(first);
    local.begin(&endpoint("b"), Work::Fixed(RUN));
    let _lost = local.report_changes();
    peer.note_peer(PEER, local.report_all());
    assert_eq!((known_runs(&peer, "a"), known_runs(&peer, "b")), (0, 1));
    peer.forget_peer(PEER);
    assert_eq!(known_runs(&peer, "b"), 0);
}

/// Guards against parts of prompts that count as held although peers have filled the engine's cache since.
#[test]
fn placed_tokens_count_each_piece_of_work_of_all_entries_once() {
    let (mut local, mut peer) = (Loads::default(), Loads::default());
    let placed = |loads: &Loads| loads.placed_tokens(&endpoint("a"));
    peer.begin(&endpoint("a"), Work::Fixed(RUN));
    local.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, local.report_changes());
    peer.note_peer(PEER, local.report_all());
    assert_eq!(placed(&peer), 200);
    let second = local.begin(&endpoint("a"), Work::Fixed(RUN));
    peer.note_peer(PEER, local.report_all());
    local.end(second);
    peer.note_peer(PEER, local.report_changes());
    assert_eq!(placed(&peer), 300);
    assert_eq!(peer.count_at(&endpoint("a")), 2);
    assert_eq!(placed(&local), 200);
}
