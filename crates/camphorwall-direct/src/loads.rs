//! Work that is under way at the endpoints, as far as this entry and its peers have placed it.

use std::collections::HashMap;

use camphorwall::{EndpointId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::lengths::LengthForecast;

/// Short name of an endpoint between entries.
#[must_use]
pub(crate) fn endpoint_key(id: &EndpointId) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Short name of a service between entries.
#[must_use]
pub(crate) fn service_key(id: &ServiceId) -> u64 {
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
pub(crate) struct ForecastRun {
    pub(crate) run: Run,
    outlook: LengthForecast,
    generated_tokens: u32,
}

impl ForecastRun {
    /// A run that has read its prompt and generated some tokens.
    pub(crate) fn new(prompt_tokens: u32, generated_tokens: u32, outlook: LengthForecast) -> Self {
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
        self.generated_tokens = self.generated_tokens.saturating_add(tokens);
        self.run.held_tokens = self.run.held_tokens.saturating_add(tokens);
        self.run.left_tokens = self.outlook.left_tokens(self.generated_tokens);
    }
}

/// One piece of own work.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// It holds what it holds from its beginning to its end.
    Fixed(Run),
    /// A run that generates tokens.
    Growing(ForecastRun),
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
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct WorkId(u64);

/// One piece of work as peers are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct ReportedRun {
    id: WorkId,
    endpoint: u64,
    run: Run,
}

/// What an entry tells its peers of its work.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum ReportedWork {
    /// All that is under way.
    All(Vec<ReportedRun>),
    /// What has begun and ended since the last word.
    Changes {
        begun: Vec<ReportedRun>,
        ended: Vec<WorkId>,
    },
}

impl ReportedWork {
    /// Whether memory or slots may have become free.
    pub(crate) fn may_free(&self) -> bool {
        match self {
            Self::All(_) => true,
            Self::Changes { ended, .. } => !ended.is_empty(),
        }
    }
}

/// Work of one peer.
type PeerWork = HashMap<WorkId, (u64, Run)>;

/// Work of this entry and its peers.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    next_id: u64,
    own: HashMap<WorkId, (u64, Work)>,
    /// Own work that has begun or ended since peers were last told.
    untold_begun: Vec<WorkId>,
    untold_ended: Vec<WorkId>,
    /// Work of peers, by incarnation.
    peers: HashMap<u64, PeerWork>,
}

impl Loads {
    /// Notes own work at an endpoint.
    pub(crate) fn begin(&mut self, endpoint: &EndpointId, work: Work) -> WorkId {
        self.next_id += 1;
        let id = WorkId(self.next_id);
        self.own.insert(id, (endpoint_key(endpoint), work));
        self.untold_begun.push(id);
        id
    }

    /// Notes tokens that own work has generated.
    pub(crate) fn advance(&mut self, id: WorkId, tokens: u32) {
        if let Some((_, Work::Growing(expected))) = self.own.get_mut(&id) {
            expected.advance(tokens);
        }
    }

    /// Notes the end of own work; tells whether it held growing memory.
    pub(crate) fn end(&mut self, id: WorkId) -> bool {
        let ended = self.own.remove(&id);
        self.untold_ended.push(id);
        matches!(ended, Some((_, Work::Growing(_))))
    }

    fn told(&self, id: WorkId) -> Option<ReportedRun> {
        let (endpoint, work) = self.own.get(&id)?;
        Some(ReportedRun {
            id,
            endpoint: *endpoint,
            run: work.run(),
        })
    }

    /// All own work, for peers.
    pub(crate) fn report_all(&mut self) -> ReportedWork {
        self.untold_begun.clear();
        self.untold_ended.clear();
        ReportedWork::All(self.own.keys().filter_map(|id| self.told(*id)).collect())
    }

    /// Own work that has begun or ended since the last word, for peers.
    pub(crate) fn report_changes(&mut self) -> ReportedWork {
        let begun = std::mem::take(&mut self.untold_begun);
        ReportedWork::Changes {
            begun: begun.into_iter().filter_map(|id| self.told(id)).collect(),
            ended: std::mem::take(&mut self.untold_ended),
        }
    }

    /// Takes over what a peer tells.
    pub(crate) fn note_peer(&mut self, incarnation: u64, told: ReportedWork) {
        let work = self.peers.entry(incarnation).or_default();
        let entry = |told: ReportedRun| (told.id, (told.endpoint, told.run));
        match told {
            ReportedWork::All(all) => *work = all.into_iter().map(entry).collect(),
            ReportedWork::Changes { begun, ended } => {
                work.extend(begun.into_iter().map(entry));
                work.retain(|id, _| !ended.contains(id));
            }
        }
    }

    /// Forgets a peer that has ended.
    pub(crate) fn forget_peer(&mut self, incarnation: u64) {
        self.peers.remove(&incarnation);
    }

    /// Work under way by the short names of endpoints.
    pub(crate) fn by_endpoint(&self) -> HashMap<u64, Vec<Run>> {
        let own = self.own.values();
        let own = own.map(|(endpoint, work)| (*endpoint, work.run()));
        let of_peers = self.peers.values().flat_map(HashMap::values).copied();
        let mut runs: HashMap<u64, Vec<Run>> = HashMap::new();
        for (endpoint, run) in own.chain(of_peers) {
            runs.entry(endpoint).or_default().push(run);
        }
        runs
    }
}
