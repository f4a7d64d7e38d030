//! Which entries read the store. A plain function of the addresses that are known.

use std::{collections::HashMap, net::SocketAddr};

use camphorwall::{DataCentreId, rendezvous_rank};
use xxhash_rust::xxh3::xxh3_64;

/// Entries of a data centre that read the store themselves. One may be dead, frozen or cut off unnoticed for a second; the
/// followers then use the other one.
const READERS: usize = 2;

/// Short name of a data centre between entries. Two that share one only follow each other over a longer way.
pub(crate) type CentreKey = u16;

/// The short name of a data centre.
pub(crate) fn centre_key(data_centre: &DataCentreId) -> CentreKey {
    let [first, second, ..] = xxh3_64(data_centre.as_str().as_bytes()).to_le_bytes();
    CentreKey::from_le_bytes([first, second])
}

/// Another entry of the same data centre that was heard lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Neighbour {
    pub(crate) address: SocketAddr,
    /// Whether it says that it reads the store.
    pub(crate) reads_store: bool,
    /// Whether it failed this entry just now.
    pub(crate) is_avoided: bool,
}

/// Where an entry hears of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// The store itself.
    Store,
    /// An entry that reads the store.
    Neighbour(SocketAddr),
}

/// Where an entry hears of changes, by its own address and the entries beside it.
///
/// The load that this answers: a hundred entries, each of which would call the store at least each 1.5 s and at each
/// change. Here the calls grow with the data centres, not with the entries.
pub(crate) fn source(own: SocketAddr, neighbours: &[Neighbour]) -> Source {
    let own_name = own.to_string();
    let by_name = |one: &Neighbour| (one.address.to_string(), *one);
    let neighbours: HashMap<String, Neighbour> = neighbours.iter().map(by_name).collect();
    let mut readers = rendezvous_rank("readers", neighbours.keys().chain([&own_name]));
    readers.truncate(READERS);
    if readers.contains(&&own_name) {
        return Source::Store;
    }
    // Followers spread over the readers, each by its own order.
    let ranked = rendezvous_rank(&own_name, readers);
    let ranked = ranked.into_iter().filter_map(|name| neighbours.get(name));
    let mut usable = ranked.filter(|one| one.reads_store && !one.is_avoided);
    let chosen = usable.next().map(|one| one.address);
    chosen.map_or(Source::Store, Source::Neighbour)
}
