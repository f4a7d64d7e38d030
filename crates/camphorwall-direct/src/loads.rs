//! Work that is under way at the endpoints, as far as this entry and its peers have placed it.

use std::collections::HashMap;

use camphorwall::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use crate::lengths::Outlook;

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

/// A run with the forecast of its length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    pub(crate) run: Run,
    outlook: Outlook,
    generated_tokens: u32,
}

impl Expected {
    /// A run that has read its prompt and generated some tokens.
    pub(crate) fn new(prompt_tokens: u32, generated_tokens: u32, outlook: Outlook) -> Self {
        Self {
            run: Run {
                held_tokens: prompt_tokens.saturating_add(generated_tokens),
                left_tokens: outlook.left_tokens(generated_tokens),
            },
            outlook,
            generated_tokens,
        }
    }

    /// Notes tokens that were generated.
    pub(crate) fn advance(&mut self, tokens: u32) {
        self.generated_tokens += tokens;
        self.run.held_tokens += tokens;
        self.run.left_tokens = self.outlook.left_tokens(self.generated_tokens);
    }
}

/// One piece of own work.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// It holds what it holds from its beginning to its end.
    Fixed(Run),
    /// A run that generates tokens.
    Growing(Expected),
}

impl Work {
    const fn run(&self) -> Run {
        match self {
            Self::Fixed(run) => *run,
            Self::Growing(expected) => expected.run,
        }
    }
}

/// Name of a piece of own work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct WorkId(u64);

/// Work of this entry and its peers.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    next_id: u64,
    own: HashMap<WorkId, (u64, Work)>,
    /// Work of peers, by incarnation.
    peers: HashMap<u64, Vec<(u64, Run)>>,
}

impl Loads {
    /// Notes own work at an endpoint.
    pub(crate) fn begin(&mut self, endpoint: &EndpointId, work: Work) -> WorkId {
        self.next_id += 1;
        let id = WorkId(self.next_id);
        self.own.insert(id, (endpoint_key(endpoint), work));
        id
    }

    /// Notes tokens that own work has generated.
    pub(crate) fn advance(&mut self, id: WorkId, tokens: u32) {
        if let Some((_, Work::Growing(expected))) = self.own.get_mut(&id) {
            expected.advance(tokens);
        }
    }

    /// Notes the end of own work.
    pub(crate) fn end(&mut self, id: WorkId) {
        self.own.remove(&id);
    }

    /// Own work, for peers.
    #[must_use]
    pub(crate) fn own(&self) -> Vec<(u64, Run)> {
        self.own_runs().collect()
    }

    fn own_runs(&self) -> impl Iterator<Item = (u64, Run)> {
        let own = self.own.values();
        own.map(|(endpoint, work)| (*endpoint, work.run()))
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
        let of_peers = self.peers.values().flatten().copied();
        let all = self.own_runs().chain(of_peers);
        let here = all.filter(|(endpoint, _)| *endpoint == key);
        here.map(|(_, run)| run).collect()
    }
}
