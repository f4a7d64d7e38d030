//! Tracks which endpoint last ran the prefill of a prompt's pieces, from the requests that this entry sent and the
//! endpoints' reports.

use std::collections::{BTreeMap, VecDeque};

use camphorwall::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one piece of an engine's prefix cache.
pub(crate) const PIECE_TOKENS: usize = 2_048;

/// Maximum pieces that are tracked.
const MAX_PIECES: usize = 4_096;

/// Hashes of a prompt's full pieces; each hash also covers all pieces before its own.
pub(crate) fn pieces(prompt: &str) -> Vec<u64> {
    let mut seed = 0;
    let mut tokens = 0;
    let mut piece_start = 0;
    let mut hashes = Vec::new();
    let bytes = prompt.as_bytes();
    for position in 1..=bytes.len() {
        let is_end = !bytes[position - 1].is_ascii_whitespace()
            && bytes.get(position).is_none_or(u8::is_ascii_whitespace);
        tokens += usize::from(is_end);
        if is_end && tokens == PIECE_TOKENS {
            seed = xxh3_64_with_seed(&bytes[piece_start..position], seed);
            hashes.push(seed);
            (piece_start, tokens) = (position, 0);
        }
    }
    hashes
}

/// Endpoints that hold recent pieces in their prefix cache; the oldest pieces are dropped.
#[derive(Default)]
pub(super) struct PrefixHolders {
    holders: BTreeMap<u64, InstanceId>,
    order: VecDeque<u64>,
}

impl PrefixHolders {
    /// Prompt tokens whose prefill an endpoint can skip because they are cached.
    pub(super) fn cached_tokens(&self, pieces: &[u64], instance: &InstanceId) -> u64 {
        (self.cached_pieces(pieces, instance) * PIECE_TOKENS) as u64
    }

    fn cached_pieces(&self, pieces: &[u64], instance: &InstanceId) -> usize {
        let is_held = |piece: &&u64| self.holders.get(piece) == Some(instance);
        pieces.iter().take_while(is_held).count()
    }

    /// Endpoint that last ran the prefill of a prompt's first piece.
    pub(super) fn holder(&self, pieces: &[u64]) -> Option<&InstanceId> {
        self.holders.get(pieces.first()?)
    }

    /// Notes that an endpoint has the pieces of a prompt.
    pub(super) fn note(&mut self, pieces: &[u64], instance: &InstanceId) {
        for piece in pieces {
            if self.holders.insert(*piece, instance.clone()).is_none() {
                self.order.push_back(*piece);
            }
        }
        while self.order.len() > MAX_PIECES {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Corrects the holders of a prompt's pieces by an endpoint's report that it holds the first `cached` pieces and no
    /// others. Another recorded holder keeps its pieces as long as it has at least as many.
    pub(super) fn correct(&mut self, pieces: &[u64], instance: &InstanceId, cached: usize) {
        let (held, missing) = pieces.split_at(cached.min(pieces.len()));
        let is_elsewhere = self.holder(pieces).is_some_and(|holder| {
            holder != instance && self.cached_pieces(pieces, holder) >= cached
        });
        if !is_elsewhere {
            self.note(held, instance);
        }
        for piece in missing {
            if self.holders.get(piece) == Some(instance) {
                self.holders.remove(piece);
            }
        }
        let holders = &self.holders;
        self.order.retain(|piece| holders.contains_key(piece));
    }

    /// Removes all pieces of an endpoint.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.holders.retain(|_, holder| holder != instance);
        let holders = &self.holders;
        self.order.retain(|piece| holders.contains_key(piece));
    }
}

#[cfg(test)]
#[path = "prefixes_tests.rs"]
mod tests;
