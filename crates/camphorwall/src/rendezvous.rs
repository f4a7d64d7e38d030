//! Rendezvous hashing: all processes that know the same members select the same member for a key.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the member with the highest score for `key`, or `None` when there are no members.
pub fn rendezvous_winner<'a, M: AsRef<str> + ?Sized>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
) -> Option<&'a M> {
    let order = |member: &&'a M| Reverse((score(key, (*member).as_ref()), (*member).as_ref()));
    members.into_iter().min_by_key(order)
}

/// Returns the members in descending order of their scores for `key`.
pub fn rendezvous_rank<'a, M: AsRef<str> + ?Sized>(
    key: &str,
    members: impl IntoIterator<Item = &'a M>,
) -> Vec<&'a M> {
    let mut ranked: Vec<_> = members.into_iter().collect();
    let order = |member: &&'a M| {
        let member: &'a M = member;
        Reverse((score(key, member.as_ref()), member.as_ref()))
    };
    ranked.sort_by(|a, b| order(a).cmp(&order(b)));
    ranked
}
