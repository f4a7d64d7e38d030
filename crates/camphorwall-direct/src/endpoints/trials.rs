//! Lets blocked requests be tried again, by few entries at a time.
//!
//! A block has no end at which all entries would send what they have held back. Once its time has passed, a request is tried, and
//! the block ends when the answer has ended. If it crashes another endpoint, the block is longer than before.
//!
//! The time after a block is divided into turns of fixed length. The entries are ranked by rendezvous hashing. In the first turn
//! only the highest-ranked entry may try, and the number doubles with each turn, because the next request may arrive at any entry.
//! Each entry tries at most once per turn. During a network partition, each side ranks its own entries.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::{clock::Moment, endpoints::poison::Block, entry::Entry};

/// Time for which the same entries may try. Longer than most requests run, so that the result of a trial is known in the next turn.
const TURN: Duration = Duration::from_secs(15);

/// Number of trials that are remembered; more are tried by several requests at once.
const MAX_TRIALS: usize = 1_024;

/// Turn at a moment after the time of a block, from 0 on; `None` within its time.
fn turn(block: &Block, now: Moment) -> Option<u32> {
    let time = now.since(block.until);
    let turn = time.as_nanos() / TURN.as_nanos();
    (now > block.until).then(|| u32::try_from(turn).unwrap_or(u32::MAX))
}

/// Time until a request that is refused for a block may be tried.
pub(crate) fn retry_after(block: &Block, now: Moment) -> Duration {
    let next = turn(block, now).map_or(0, |turn| turn.saturating_add(1));
    (block.until + TURN.saturating_mul(next)).since(now)
}

/// The last trial of a block by this entry.
#[derive(Debug)]
struct LastTrial {
    began_at: Moment,
    is_running: bool,
}

/// Trials by this entry, by what is blocked.
#[derive(Debug, Default)]
pub(crate) struct Trials(HashMap<u64, LastTrial>);

impl Trials {
    /// Whether the entry with a rank among those of the fleet may try a blocked request now.
    pub(crate) fn may_begin(&self, block: &Block, rank: usize, now: Moment) -> bool {
        let Some(turn) = turn(block, now) else {
            return false;
        };
        let began_at = block.until + TURN.saturating_mul(turn);
        let is_free = |last: &LastTrial| !last.is_running && last.began_at < began_at;
        let is_chosen = rank.checked_shr(turn).unwrap_or(0) == 0;
        is_chosen && self.0.get(&block.key).is_none_or(is_free)
    }

    pub(crate) fn begin(&mut self, block: &Block, now: Moment) {
        if self.0.len() >= MAX_TRIALS {
            let oldest = self.0.iter().min_by_key(|(_, trial)| trial.began_at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| self.0.remove(&key));
        }
        let trial = LastTrial {
            began_at: now,
            is_running: true,
        };
        self.0.insert(block.key, trial);
    }

    pub(crate) fn end(&mut self, key: u64) {
        if let Some(trial) = self.0.get_mut(&key) {
            trial.is_running = false;
        }
    }
}

/// A trial that is running, until it is dropped.
pub(crate) struct Trial {
    entry: Rc<Entry>,
    key: u64,
}

impl Trial {
    /// Begins the trial of a blocked request.
    pub(crate) fn begin(entry: &Rc<Entry>, block: &Block, now: Moment) -> Self {
        entry.trials.borrow_mut().begin(block, now);
        Self {
            entry: Rc::clone(entry),
            key: block.key,
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.entry.trials.borrow_mut().end(self.key);
    }
}
