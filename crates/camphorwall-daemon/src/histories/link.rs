//! Simulated network that delays, drops, duplicates and reorders messages and can be partitioned.

use std::collections::BTreeSet;

use rand::{RngExt as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;

/// Maximum delay of a message that arrives in time.
const MAX_USUAL_DELAY_TICKS: u64 = 1;

/// Maximum delay of a late message.
const MAX_LATE_DELAY_TICKS: u64 = 40;

/// A message in flight.
#[derive(Clone, Debug)]
pub(crate) struct Message<M> {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) due_tick: u64,
    pub(crate) body: M,
}

pub(crate) struct Link<M> {
    in_flight: Vec<Message<M>>,
    /// Pairs of sender and receiver between which messages are dropped.
    cuts: BTreeSet<(usize, usize)>,
    /// Whether messages may be lost, late or duplicated.
    pub(crate) is_faulty: bool,
}

impl<M: Clone> Link<M> {
    pub(crate) const fn new(is_faulty: bool) -> Self {
        Self {
            in_flight: Vec::new(),
            cuts: BTreeSet::new(),
            is_faulty,
        }
    }

    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    pub(crate) fn send(
        &mut self,
        random: &mut ChaCha8Rng,
        tick: u64,
        from: usize,
        to: usize,
        body: M,
    ) {
        let mut due_tick = tick + random.random_range(0..=MAX_USUAL_DELAY_TICKS);
        if self.is_faulty && random.random_bool(0.1) {
            due_tick = tick + random.random_range(0..=MAX_LATE_DELAY_TICKS);
        }
        let message = Message {
            from,
            to,
            due_tick,
            body,
        };
        if self.is_faulty && random.random_bool(0.1) {
            let mut copy = message.clone();
            copy.due_tick += random.random_range(0..=MAX_LATE_DELAY_TICKS);
            self.in_flight.push(copy);
        }
        if !(self.is_faulty && random.random_bool(0.1)) {
            self.in_flight.push(message);
        }
    }

    /// Defers a message to a paused receiver until `due_tick`.
    pub(crate) fn defer(&mut self, mut message: Message<M>, due_tick: u64) {
        message.due_tick = due_tick;
        self.in_flight.push(message);
    }

    /// Takes the messages that arrive by `tick`, in random order.
    pub(crate) fn arrivals(&mut self, random: &mut ChaCha8Rng, tick: u64) -> Vec<Message<M>> {
        let mut due: Vec<_> = self
            .in_flight
            .extract_if(.., |message| message.due_tick <= tick)
            .collect();
        due.retain(|message| !self.cuts.contains(&(message.from, message.to)));
        due.shuffle(random);
        due
    }
}
