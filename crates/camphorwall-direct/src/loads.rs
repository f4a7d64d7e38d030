//! Work that is under way at the endpoints, as far as this entry and its peers have placed it.

use std::collections::HashMap;

use camphorwall::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

/// Times its last step that a run beyond its estimate is expected to go on.
const OVERRUN_FACTOR: u32 = 4;

/// Short name of an endpoint between entries.
#[must_use]
pub(crate) fn endpoint_key(id: &EndpointId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// One request at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Run {
    /// Tokens in the endpoint's memory now, or to prefill.
    pub held_tokens: u32,
    /// Tokens that it is expected to generate yet.
    pub left_tokens: u32,
}

impl Run {
    /// Notes tokens that were generated. A run beyond its estimate is expected to go on for a part of what it has
    /// generated.
    pub(crate) fn advance(&mut self, tokens: u32) {
        let least = if self.left_tokens > tokens {
            0
        } else {
            tokens * OVERRUN_FACTOR
        };
        self.held_tokens += tokens;
        self.left_tokens = self.left_tokens.saturating_sub(tokens).max(least);
    }
}

/// Name of a piece of own work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct WorkId(u64);

/// Work of this entry and its peers.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    next_id: u64,
    own: HashMap<WorkId, (u64, Run)>,
    /// Work of peers, by incarnation.
    peers: HashMap<u64, Vec<(u64, Run)>>,
}

impl Loads {
    /// Notes own work at an endpoint.
    pub(crate) fn begin(&mut self, endpoint: &EndpointId, run: Run) -> WorkId {
        self.next_id += 1;
        let id = WorkId(self.next_id);
        self.own.insert(id, (endpoint_key(endpoint), run));
        id
    }

    /// Notes tokens that own work has generated.
    pub(crate) fn advance(&mut self, id: WorkId, tokens: u32) {
        if let Some((_, run)) = self.own.get_mut(&id) {
            run.advance(tokens);
        }
    }

    /// Notes the end of own work.
    pub(crate) fn end(&mut self, id: WorkId) {
        self.own.remove(&id);
    }

    /// Own work, for peers.
    #[must_use]
    pub(crate) fn own(&self) -> Vec<(u64, Run)> {
        self.own.values().copied().collect()
    }

    /// Takes over what a peer has under way.
    pub(crate) fn note_peer(&mut self, incarnation: u64, work: Vec<(u64, Run)>) {
        self.peers.insert(incarnation, work);
    }

    /// Forgets a peer that has ended.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.peers.remove(&incarnation);
    }

    /// Work at an endpoint.
    pub(crate) fn at(&self, endpoint: &EndpointId) -> Vec<Run> {
        let key = endpoint_key(endpoint);
        let own = self.own.values();
        let all = own.chain(self.peers.values().flatten());
        let here = all.filter(|(endpoint, _)| *endpoint == key);
        here.map(|(_, run)| *run).collect()
    }
}
