//! Chooses the entries that read the store, as a pure function of the known addresses.

use std::{cmp::Reverse, collections::HashMap, net::SocketAddr, time::Duration};

use crate::names::DataCentreName;
use camphorwall::rendezvous_rank;
use xxhash_rust::xxh3::xxh3_64;

/// Number of entries of a data centre that read the store themselves. One may be dead, frozen or partitioned for a
/// second before this is detected; its followers then use the other one.
const READER_COUNT: usize = 2;

/// Time that a reader has to pass on a change that other entries report to have seen. Readers see it at different moments,
/// because they pause between two calls to the store.
const MAX_LAG: Duration = Duration::from_millis(150);

/// Such a time if there is no other reader. Followers then call the store, which may just be slow.
const MAX_LAG_OF_ONLY_READER: Duration = Duration::from_millis(600);

/// Hash of a data centre's name in heartbeats. If two data centres have the same hash, their entries may follow each
/// other over a longer network path; a collision has no other effect.
pub(crate) type CentreKey = u16;

/// Returns the key of a data centre.
pub(crate) fn centre_key(data_centre: &DataCentreName) -> CentreKey {
    let [first, second, ..] = xxh3_64(data_centre.as_str().as_bytes()).to_le_bytes();
    CentreKey::from_le_bytes([first, second])
}

/// A peer in the same data centre from which heartbeats arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Neighbour {
    pub(crate) address: SocketAddr,
    /// Whether it reports that it reads the store.
    pub(crate) reads_store: bool,
    /// Rate of its link; 0 if it is not known.
    pub(crate) link_mbps: u32,
    /// Whether it failed to answer this entry recently.
    pub(crate) is_avoided: bool,
}

/// An entry that chooses its source.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalEntry {
    pub(crate) address: SocketAddr,
    /// Rate of its link; 0 if it is not known.
    pub(crate) link_mbps: u32,
}

/// Source from which an entry gets changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// An entry that reads the store.
    Neighbour(SocketAddr),
}

/// Chooses the source from which an entry gets changes, given the other entries of its data centre.
///
/// If all of a hundred entries read the store, each would call it at least every 1.5 s and at each change. With a fixed
/// number of readers for each data centre, the calls grow with the data centres, not with the entries. Those with the
/// fastest links read it, since they pass what they read on to the others.
pub(crate) fn source(local: LocalEntry, neighbours: &[Neighbour]) -> Source {
    let readers = ranked_readers(local, neighbours);
    if readers.is_reader {
        return Source::Store;
    }
    let reader = readers.usable.first();
    reader.map_or(Source::Store, |reader| Source::Neighbour(reader.address))
}

/// Whether a follower should end its waiting call to a reader, which has not passed on a change that other entries have seen
/// for `lag`.
pub(crate) fn should_leave(
    local: LocalEntry,
    neighbours: &[Neighbour],
    reader: SocketAddr,
    lag: Duration,
) -> bool {
    let readers = ranked_readers(local, neighbours);
    let mut others = readers.usable.iter().filter(|one| one.address != reader);
    let max_lag = if readers.is_reader || others.next().is_some() {
        MAX_LAG
    } else {
        MAX_LAG_OF_ONLY_READER
    };
    lag >= max_lag
}

/// Chooses the source from which an entry gets a configuration, also one that reads the store itself: the reader with the
/// fastest link if it is faster than the entry's own. With an equal one, the store is as fast.
pub(crate) fn configuration_source(local: LocalEntry, neighbours: &[Neighbour]) -> Source {
    let readers = ranked_readers(local, neighbours).usable.into_iter();
    let faster = readers.filter(|reader| reader.link_mbps > local.link_mbps);
    // Of equal ones, the first in this entry's order.
    let fastest = faster.rev().max_by_key(|reader| reader.link_mbps);
    fastest.map_or(Source::Store, |reader| Source::Neighbour(reader.address))
}

/// The entries that should read the store for a data centre.
struct RankedReaders {
    /// Whether the local entry is one of them.
    is_reader: bool,
    /// The others that do read it, in the local entry's own order, which spreads the followers over them.
    usable: Vec<Neighbour>,
}

fn ranked_readers(local: LocalEntry, neighbours: &[Neighbour]) -> RankedReaders {
    let local_name = local.address.to_string();
    let by_name = |one: &Neighbour| (one.address.to_string(), *one);
    let neighbours: HashMap<String, Neighbour> = neighbours.iter().map(by_name).collect();
    let link_mbps = |name: &String| {
        let neighbour = neighbours.get(name);
        neighbour.map_or(local.link_mbps, |neighbour| neighbour.link_mbps)
    };
    let mut readers = rendezvous_rank("readers", neighbours.keys().chain([&local_name]));
    readers.sort_by_key(|name| Reverse(link_mbps(name)));
    readers.truncate(READER_COUNT);
    let is_reader = readers.contains(&&local_name);
    let ranked = rendezvous_rank(&local_name, readers);
    let ranked = ranked.into_iter().filter_map(|name| neighbours.get(name));
    let usable = ranked.filter(|one| one.reads_store && !one.is_avoided);
    RankedReaders {
        is_reader,
        usable: usable.copied().collect(),
    }
}
