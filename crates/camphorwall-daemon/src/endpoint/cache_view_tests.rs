use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::*;

const RUNS: u64 = 200;
const STEPS: usize = 200;
const CAPACITY: usize = 8;
const PIECES: u64 = 24;

/// How the view handles a gap in the events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// Applies the events after a gap as if none were lost.
    IgnoresGaps,
}

/// An engine's cache with all its events.
#[derive(Default)]
struct Engine {
    incarnation: u64,
    held: VecDeque<u64>,
    events: Vec<CacheEvent>,
}

impl Engine {
    fn store(&mut self, piece: u64) {
        let mut event = CacheEvent {
            seq: self.events.len() as u64 + 1,
            ..CacheEvent::default()
        };
        if !self.held.contains(&piece) {
            self.held.push_back(piece);
            event.stored.push(piece.to_string());
        }
        if self.held.len() > CAPACITY {
            event
                .evicted
                .extend(self.held.pop_front().map(|one| one.to_string()));
        }
        self.events.push(event);
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.held.clear();
        self.events.clear();
    }

    fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            incarnation: self.incarnation,
            seq: self.events.len() as u64,
            pieces: self.held.iter().map(u64::to_string).collect(),
        }
    }
}

/// Number of pieces for which view and engine disagree once all events were delivered.
fn wrong_pieces(variant: Variant, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut engine, mut view) = (Engine::default(), CacheView::default());
    for piece in 0..PIECES {
        view.note_names(&[piece], vec![piece.to_string()]);
    }
    let mut delivered = 0;
    for step in 0..STEPS {
        if random.random_bool(0.01) {
            engine.restart();
        }
        engine.store(random.random_range(0..PIECES));
        let is_last = step + 1 == STEPS;
        // Events are late, because not every step delivers them, and have gaps, because some are lost.
        if !random.random_bool(0.3) && !is_last {
            continue;
        }
        let Some(after) = view.events_after() else {
            view.apply_snapshot(engine.snapshot());
            continue;
        };
        let is_new = |event: &&CacheEvent| event.seq > after;
        let mut events: Vec<_> = engine.events.iter().filter(is_new).cloned().collect();
        events.retain(|_| is_last || !random.random_bool(0.1));
        if variant == Variant::IgnoresGaps {
            events = hide_gaps(events, after);
        }
        delivered += events.len();
        view.apply_events(CacheEvents {
            incarnation: engine.incarnation,
            events,
        });
    }
    assert!(delivered > 0);
    if view.events_after().is_none() {
        view.apply_snapshot(engine.snapshot());
    }
    let is_wrong =
        |piece: &u64| view.cached(&[*piece]) != Some(usize::from(engine.held.contains(piece)));
    (0..PIECES).filter(is_wrong).count()
}

/// Renumbers events so that no gap is visible.
fn hide_gaps(events: Vec<CacheEvent>, after: u64) -> Vec<CacheEvent> {
    let numbered = (after + 1..).zip(events);
    numbered
        .map(|(seq, event)| CacheEvent { seq, ..event })
        .collect()
}

#[test]
fn late_events_with_gaps_leave_a_view_that_is_correct_or_unknown() {
    for seed in 0..RUNS {
        assert_eq!(wrong_pieces(Variant::Correct, seed), 0, "seed {seed}");
    }
}

#[test]
fn the_check_catches_a_view_that_ignores_gaps() {
    let wrong = (0..RUNS).map(|seed| wrong_pieces(Variant::IgnoresGaps, seed));
    assert!(wrong.sum::<usize>() > 0);
}

#[rstest]
#[case::repeated(1, 1, Some(1))]
#[case::next(2, 1, Some(0))]
#[case::gap(3, 1, None)]
#[case::restarted(2, 2, None)]
fn an_event_is_applied_only_in_order(
    #[case] seq: u64,
    #[case] incarnation: u64,
    #[case] cached: Option<usize>,
) {
    let mut view = CacheView::default();
    assert_eq!(view.cached(&[7]), None);
    view.note_names(&[7], vec!["seven".into()]);
    view.apply_snapshot(CacheSnapshot {
        incarnation: 1,
        seq: 1,
        pieces: vec!["seven".into()],
    });
    let evicted = vec!["seven".into()];
    let event = CacheEvent {
        seq,
        stored: Vec::new(),
        evicted,
    };
    view.apply_events(CacheEvents {
        incarnation,
        events: vec![event],
    });
    assert_eq!(view.cached(&[7]), cached);
}
