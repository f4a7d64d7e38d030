use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use rstest::rstest;

use crate::store::readers::{
    LocalEntry, Neighbour, Source, configuration_source, should_leave, source,
};

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, u8::try_from(number).expect("few")], 7_500))
}

/// Rates of links as in a fleet in which each thirteenth entry has a fast one.
fn link_mbps(number: usize) -> u32 {
    if number.is_multiple_of(13) { 200 } else { 10 }
}

fn local_entry(number: usize) -> LocalEntry {
    LocalEntry {
        address: address(number),
        link_mbps: link_mbps(number),
    }
}

/// Source that each living entry chooses once all know each other and have reported whether they read the store.
fn sources(alive: &[usize], avoided: &HashSet<usize>) -> HashMap<usize, Source> {
    let mut readers: HashSet<usize> = HashSet::new();
    let mut chosen = HashMap::new();
    for _ in 0..2 {
        let neighbours = |local: usize| {
            let peers = alive.iter().filter(move |peer| **peer != local);
            let neighbour = |peer: &usize| Neighbour {
                address: address(*peer),
                reads_store: readers.contains(peer),
                link_mbps: link_mbps(*peer),
                is_avoided: avoided.contains(peer),
            };
            peers.map(neighbour).collect::<Vec<_>>()
        };
        let choose = |local: &usize| (*local, source(local_entry(*local), &neighbours(*local)));
        chosen = alive.iter().map(choose).collect();
        let reading = chosen
            .iter()
            .filter(|(_, source)| **source == Source::Store);
        readers = reading.map(|(entry, _)| *entry).collect();
    }
    chosen
}

fn readers(chosen: &HashMap<usize, Source>) -> HashSet<usize> {
    let reading = chosen
        .iter()
        .filter(|(_, source)| **source == Source::Store);
    reading.map(|(entry, _)| *entry).collect()
}

#[test]
fn the_number_of_readers_does_not_grow_with_the_entries_of_a_data_centre() {
    for entries in [3, 21, 70, 200] {
        let alive: Vec<_> = (1..=entries).collect();
        let chosen = sources(&alive, &HashSet::new());
        assert_eq!(readers(&chosen).len(), 2, "{entries} entries");
    }
}

#[test]
fn one_or_two_entries_all_read_the_store() {
    for entries in [1, 2] {
        let alive: Vec<_> = (1..=entries).collect();
        assert_eq!(readers(&sources(&alive, &HashSet::new())).len(), entries);
    }
}

#[test]
fn followers_spread_over_the_readers_and_follow_readers_only() {
    let alive: Vec<_> = (1..=21).collect();
    let chosen = sources(&alive, &HashSet::new());
    let readers = readers(&chosen);
    let mut followers: HashMap<SocketAddr, usize> = HashMap::new();
    for source in chosen.values() {
        if let Source::Neighbour(address) = source {
            *followers.entry(*address).or_default() += 1;
        }
    }
    let read_by: HashSet<_> = readers.iter().map(|reader| address(*reader)).collect();
    assert!(followers.keys().all(|address| read_by.contains(address)));
    assert!(followers.values().all(|count| *count >= 4), "{followers:?}");
}

#[test]
fn a_departed_reader_is_replaced_and_the_other_reader_stays() {
    let alive: Vec<_> = (1..=21).collect();
    let before = readers(&sources(&alive, &HashSet::new()));
    let departed = *before.iter().min().expect("a reader");
    let remaining: Vec<_> = alive
        .into_iter()
        .filter(|entry| *entry != departed)
        .collect();
    let after = readers(&sources(&remaining, &HashSet::new()));
    assert_eq!(after.len(), 2);
    assert_eq!(before.intersection(&after).count(), 1);
}

#[test]
fn an_entry_reads_the_store_if_all_readers_failed_to_answer_it() {
    let alive: Vec<_> = (1..=21).collect();
    let readers = readers(&sources(&alive, &HashSet::new()));
    let chosen = sources(&alive, &readers);
    assert!(chosen.values().all(|source| *source == Source::Store));
}

#[test]
fn the_entries_with_the_fastest_links_read_the_store() {
    let alive: Vec<_> = (1..=30).collect();
    let chosen = sources(&alive, &HashSet::new());
    assert_eq!(readers(&chosen), HashSet::from([13, 26]));
}

#[test]
fn configurations_come_from_a_reader_only_if_its_link_is_faster() {
    let neighbour = |number: usize, reads_store: bool| Neighbour {
        address: address(number),
        reads_store,
        link_mbps: link_mbps(number),
        is_avoided: false,
    };
    let fast = [neighbour(13, true), neighbour(26, true)];
    let from_fast = configuration_source(local_entry(1), &fast);
    assert!(matches!(from_fast, Source::Neighbour(_)));
    // The only other reader with a fast link serves all, also the reader with a slow one.
    let mut mixed: Vec<_> = (2..12).map(|number| neighbour(number, true)).collect();
    mixed.push(neighbour(13, true));
    for local in [1, 12] {
        let fastest = Source::Neighbour(address(13));
        assert_eq!(configuration_source(local_entry(local), &mixed), fastest);
    }
    let equal: Vec<_> = (2..12).map(|number| neighbour(number, true)).collect();
    for local in [1, 12] {
        assert_eq!(
            configuration_source(local_entry(local), &equal),
            Source::Store
        );
    }
}

/// Guards against followers that wait at a reader which has lost the store or is frozen, and against followers that leave readers
/// which are merely slow.
#[rstest]
#[case::behind(true, true, 200, true)]
#[case::silent_and_behind(false, true, 200, true)]
#[case::slow(true, true, 100, false)]
#[case::silent(false, true, 0, false)]
#[case::behind_and_the_only_one(true, false, 500, false)]
#[case::far_behind_and_the_only_one(true, false, 700, true)]
fn a_follower_leaves_a_reader_that_is_behind_what_others_have_seen(
    #[case] is_heard: bool,
    #[case] does_other_read: bool,
    #[case] lag_ms: u64,
    #[case] leaves: bool,
) {
    let neighbour = |number: usize, reads_store: bool| Neighbour {
        address: address(number),
        reads_store,
        link_mbps: link_mbps(number),
        is_avoided: false,
    };
    for (reader, other) in [(13, 26), (26, 13)] {
        let mut neighbours: Vec<_> = (2..5).map(|number| neighbour(number, false)).collect();
        neighbours.push(neighbour(other, does_other_read));
        if is_heard {
            neighbours.push(neighbour(reader, true));
        }
        let lag = Duration::from_millis(lag_ms);
        let left = should_leave(local_entry(1), &neighbours, address(reader), lag);
        assert_eq!(left, leaves, "reader {reader}");
    }
}
