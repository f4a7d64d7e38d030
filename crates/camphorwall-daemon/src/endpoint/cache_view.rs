//! View of the engine's prefix cache, built from its events.
//!
//! Events arrive late and with gaps. After a gap the cache counts as unknown until a snapshot was read, because an
//! eviction may be among the lost events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;

/// Maximum number of prompt pieces whose names at the engine are kept.
const MAX_PIECE_NAMES: usize = 16_384;

/// One change of the engine's cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub(super) struct CacheEvent {
    /// Rises by one with each event.
    pub(super) seq: u64,
    pub(super) stored: Vec<String>,
    pub(super) evicted: Vec<String>,
}

/// Events since a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub(super) struct CacheEvents {
    /// Changes when the engine restarts and its sequence begins anew.
    pub(super) incarnation: u64,
    pub(super) events: Vec<CacheEvent>,
}

/// Snapshot of the complete cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub(super) struct CacheSnapshot {
    pub(super) incarnation: u64,
    /// Sequence number of the last event that it includes.
    pub(super) seq: u64,
    pub(super) pieces: Vec<String>,
}

/// Last event that the view includes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Position {
    incarnation: u64,
    seq: u64,
}

/// View of one engine's cache.
#[derive(Default)]
pub(super) struct CacheView {
    position: Option<Position>,
    cached_names: BTreeSet<String>,
    /// Names at the engine by the hashes of the pieces.
    names: BTreeMap<u64, String>,
    /// Hashes in the order in which their names were recorded.
    name_order: VecDeque<u64>,
}

impl CacheView {
    /// Sequence number after which to request events; `None` when a snapshot is needed.
    pub(super) fn events_after(&self) -> Option<u64> {
        self.position.map(|position| position.seq)
    }

    /// Replaces the view by a snapshot.
    pub(super) fn apply_snapshot(&mut self, snapshot: CacheSnapshot) {
        self.cached_names = snapshot.pieces.into_iter().collect();
        self.position = Some(Position {
            incarnation: snapshot.incarnation,
            seq: snapshot.seq,
        });
    }

    /// Applies events. After a gap, or a restart of the engine, a snapshot is needed.
    pub(super) fn apply_events(&mut self, events: CacheEvents) {
        for event in events.events {
            match self.position {
                Some(at) if at.incarnation == events.incarnation && event.seq <= at.seq => {}
                Some(at) if at.incarnation == events.incarnation && event.seq == at.seq + 1 => {
                    self.apply(event);
                }
                Some(_) | None => self.position = None,
            }
        }
        if self
            .position
            .is_some_and(|at| at.incarnation != events.incarnation)
        {
            self.position = None;
        }
    }

    fn apply(&mut self, event: CacheEvent) {
        self.cached_names.extend(event.stored);
        for piece in &event.evicted {
            self.cached_names.remove(piece);
        }
        if let Some(position) = &mut self.position {
            position.seq = event.seq;
        }
    }

    /// Records the engine's names for the pieces of a prompt.
    pub(super) fn note_names(&mut self, pieces: &[u64], names: Vec<String>) {
        for (piece, name) in pieces.iter().zip(names) {
            if self.names.insert(*piece, name).is_none() {
                self.name_order.push_back(*piece);
            }
        }
        while self.name_order.len() > MAX_PIECE_NAMES {
            if let Some(oldest) = self.name_order.pop_front() {
                self.names.remove(&oldest);
            }
        }
    }

    /// Number of leading pieces of a prompt that the engine has cached; `None` when unknown.
    pub(super) fn cached(&self, pieces: &[u64]) -> Option<usize> {
        self.position?;
        let is_cached = |piece: &&u64| {
            let name = self.names.get(piece);
            name.is_some_and(|name| self.cached_names.contains(name))
        };
        Some(pieces.iter().take_while(is_cached).count())
    }
}

#[cfg(test)]
#[path = "cache_view_tests.rs"]
mod tests;
