//! Which engines probably hold which parts of prompts in their caches, from what this entry sent them.
//!
//! An engine evicts the least recently used parts when its running requests and its cached parts fill its KV cache. So a
//! part counts as held until as many tokens have been placed there since its last use as the KV cache has room for. What
//! other entries place is known from their heartbeats.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::Moment,
    configuration::EndpointIncarnation,
    dialect::{PromptPart, SizedPart},
};

/// Time after which a part counts as evicted if it was not used again. It bounds the effect of placements that this
/// entry does not hear of.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum number of parts that are remembered over all engines, about 100 bytes each.
const MAX_PARTS: usize = 8_192;

/// Share of an engine's KV cache that is counted on at first: its running requests grow.
const USABLE_SHARE: f64 = 0.9;

/// Smallest such share.
const MIN_USABLE_SHARE: f64 = 0.05;

/// Factors on the share when an engine turned out not to hold what was expected, and when it did. The share falls if more
/// than one in eight was missed: a slow machine looks like a missed part in up to one of 14.
const MISSED_FACTOR: f64 = 0.7;
const HELD_FACTOR: f64 = 1.05;

/// Room in an engine's KV cache, as it is known at the moment of a choice.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "the suffix is the unit")]
pub(crate) struct CacheState {
    /// Tokens that have been placed there so far by all entries.
    pub(crate) placed_tokens: u64,
    /// Tokens of its running requests.
    pub(crate) running_tokens: u64,
    pub(crate) capacity_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    used_at: Moment,
    /// Tokens that had been placed at the engine after the last use.
    placed_tokens: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    parts: HashMap<PromptPart, Held>,
    /// Share of the KV cache that is counted on.
    usable_share: f64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            parts: HashMap::new(),
            usable_share: USABLE_SHARE,
        }
    }
}

/// Parts that engines probably hold, by the start of the engine: a new start holds nothing.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    engines: HashMap<EndpointIncarnation, Engine>,
    /// Uses in the order of their time. Those that a later use of the same part has replaced are skipped.
    uses: VecDeque<(EndpointIncarnation, PromptPart, Moment)>,
}

impl PrefixIndex {
    /// Tokens at the start of a prompt that an engine need not prefill.
    pub(crate) fn held_tokens(
        &self,
        engine: EndpointIncarnation,
        prompt: &[SizedPart],
        state: CacheState,
        now: Moment,
    ) -> u32 {
        let Some(Engine {
            parts,
            usable_share,
        }) = self.engines.get(&engine)
        else {
            return 0;
        };
        let usable = state.capacity_tokens as f64 * usable_share;
        let is_held = |sized: &&SizedPart| {
            parts.get(&sized.part).is_some_and(|held| {
                // Fewer tokens than at the last use mean that their count was forgotten.
                let since = state.placed_tokens.checked_sub(held.placed_tokens);
                // Most requests that run now were placed since the last use and are in both figures.
                let needed = since.map(|since| since.max(state.running_tokens));
                let fits = |needed: u64| (needed + u64::from(sized.tokens)) as f64 <= usable;
                now.since(held.used_at) <= MAX_AGE && needed.is_some_and(fits)
            })
        };
        let held = prompt.iter().take_while(is_held);
        held.fold(0, |sum, sized| sum.saturating_add(sized.tokens))
    }

    /// Records that a prompt was sent to an engine, which has had `placed_tokens` placed since then, the prompt included.
    pub(crate) fn note_sent(
        &mut self,
        engine: EndpointIncarnation,
        prompt: &[SizedPart],
        placed_tokens: u64,
        now: Moment,
    ) {
        let held = Held {
            used_at: now,
            placed_tokens,
        };
        for sized in prompt {
            let known = self.engines.entry(engine).or_default();
            known.parts.insert(sized.part, held);
            self.uses.push_back((engine, sized.part, now));
        }
        while let Some((engine, part, used_at)) = self.uses.front().copied() {
            if self.uses.len() <= MAX_PARTS && now.since(used_at) <= MAX_AGE {
                break;
            }
            self.uses.pop_front();
            self.remove_unused_since(engine, part, used_at);
        }
    }

    fn remove_unused_since(
        &mut self,
        engine: EndpointIncarnation,
        part: PromptPart,
        used_at: Moment,
    ) {
        if let Some(Engine { parts, .. }) = self.engines.get_mut(&engine) {
            if parts.get(&part).is_some_and(|held| held.used_at <= used_at) {
                parts.remove(&part);
            }
            if parts.is_empty() {
                self.engines.remove(&engine);
            }
        }
    }

    /// Records whether an engine held what was expected. An engine that did not evicts sooner than was expected.
    pub(crate) fn note_evidence(&mut self, engine: EndpointIncarnation, was_held: bool) {
        if let Some(known) = self.engines.get_mut(&engine) {
            let factor = if was_held { HELD_FACTOR } else { MISSED_FACTOR };
            let share = known.usable_share * factor;
            known.usable_share = share.clamp(MIN_USABLE_SHARE, USABLE_SHARE);
        }
    }

    /// Forgets the parts of a prompt that an engine has not prefilled.
    pub(crate) fn forget(&mut self, engine: EndpointIncarnation, prompt: &[SizedPart]) {
        if let Some(known) = self.engines.get_mut(&engine) {
            for sized in prompt {
                known.parts.remove(&sized.part);
            }
        }
    }

    /// Number of parts that are remembered.
    #[cfg(test)]
    pub(crate) fn part_count(&self) -> usize {
        self.engines.values().map(|known| known.parts.len()).sum()
    }
}
