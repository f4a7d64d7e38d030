//! Which endpoint read a prompt's pieces last, from what this entry sent there.

use std::collections::{BTreeMap, VecDeque};

use camphorwall::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one piece of an engine's prefix cache.
pub(crate) const PIECE_TOKENS: usize = 2_048;

/// Pieces that are remembered.
const MAX_PIECES: usize = 4_096;

/// Hashes of a prompt's whole pieces; each covers all before it.
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

/// Holders of recent pieces; the oldest are forgotten.
#[derive(Default)]
pub(super) struct PrefixHolders {
    holders: BTreeMap<u64, InstanceId>,
    order: VecDeque<u64>,
}

impl PrefixHolders {
    /// Prompt tokens that an endpoint need not read again.
    pub(super) fn cached_tokens(&self, pieces: &[u64], instance: &InstanceId) -> u64 {
        (self.cached_pieces(pieces, instance) * PIECE_TOKENS) as u64
    }

    fn cached_pieces(&self, pieces: &[u64], instance: &InstanceId) -> usize {
        let is_held = |piece: &&u64| self.holders.get(piece) == Some(instance);
        pieces.iter().take_while(is_held).count()
    }

    /// Endpoint that read a prompt's first piece last.
    pub(super) fn holder(&self, pieces: &[u64]) -> Option<&InstanceId> {
        self.holders.get(pieces.first()?)
    }

    /// Notes that an endpoint reads a prompt.
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

    /// Corrects the belief of a prompt's pieces by what an endpoint told: it holds the first ones and no others. Pieces
    /// that another endpoint is believed to hold stay with that one while both have as many.
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

    /// Forgets what an endpoint held.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.holders.retain(|_, holder| holder != instance);
        let holders = &self.holders;
        self.order.retain(|piece| holders.contains_key(piece));
    }
}

#[cfg(test)]
#[path = "prefixes_tests.rs"]
mod tests;
