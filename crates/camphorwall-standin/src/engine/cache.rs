//! Prefix cache of an engine: complete pieces of prompts in limited memory, and delayed events about its changes.

use std::{
    collections::{VecDeque, hash_map::DefaultHasher},
    hash::{Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use serde::Serialize;

use super::EngineOptions;

/// Length of one piece.
pub(super) const PIECE_TOKENS: usize = 2_048;

/// Events kept for readers; older ones are dropped.
const MAX_KEPT_EVENTS: usize = 1_000;

/// Pieces that one change of the cache stored and evicted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    #[serde(skip)]
    at: Instant,
    stored: Vec<String>,
    evicted: Vec<String>,
}

/// Cached pieces and the events about their changes.
#[derive(Default)]
pub(super) struct PrefixCache {
    /// Pieces in the order of their eviction.
    pieces: VecDeque<String>,
    seq: u64,
    events: VecDeque<CacheEvent>,
}

/// Names of a prompt's complete pieces. Each name is a hash of the prompt up to the end of its piece.
pub(super) fn piece_names(prompt: &str) -> Vec<String> {
    let words: Vec<_> = prompt.split_whitespace().collect();
    let mut hasher = DefaultHasher::new();
    let name = |piece: &[&str]| {
        piece.hash(&mut hasher);
        format!("{:016x}", hasher.finish())
    };
    words.chunks_exact(PIECE_TOKENS).map(name).collect()
}

impl PrefixCache {
    /// Caches the pieces of a prompt in prefill; returns how many leading pieces were cached already.
    pub(super) fn prefill(&mut self, names: &[String], options: &EngineOptions) -> usize {
        let is_cached = |name: &&String| self.pieces.contains(name);
        let cached = names.iter().take_while(is_cached).count();
        let stored: Vec<_> = names
            .iter()
            .filter(|name| !self.pieces.contains(name))
            .cloned()
            .collect();
        self.pieces
            .retain(|cached_name| !names.contains(cached_name));
        // The first pieces of a prompt are evicted last, since later pieces are of no use without them.
        self.pieces.extend(names.iter().rev().cloned());
        let excess = self.pieces.len().saturating_sub(options.cache_pieces);
        let evicted: Vec<_> = self.pieces.drain(..excess).collect();
        self.add_event(stored, evicted);
        cached
    }

    /// Empties the cache.
    pub(super) fn clear(&mut self) {
        let evicted = self.pieces.drain(..).collect();
        self.add_event(Vec::new(), evicted);
    }

    fn add_event(&mut self, stored: Vec<String>, evicted: Vec<String>) {
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        self.seq += 1;
        self.events.push_back(CacheEvent {
            seq: self.seq,
            at: Instant::now(),
            stored,
            evicted,
        });
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events above a sequence number that are old enough to be published, except those that the options drop.
    pub(super) fn events_after(&self, after: u64, options: &EngineOptions) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(options.cache_event_lag_ms);
        let now = Instant::now();
        let is_dropped = |seq: u64| {
            let every = options.cache_gap_every;
            every.is_some_and(|every| seq.is_multiple_of(every))
        };
        let is_published = |event: &&CacheEvent| {
            event.seq > after && event.at + lag <= now && !is_dropped(event.seq)
        };
        self.events.iter().filter(is_published).cloned().collect()
    }

    /// Latest sequence number and all pieces.
    pub(super) fn snapshot(&self) -> (u64, Vec<String>) {
        (self.seq, self.pieces.iter().cloned().collect())
    }
}
