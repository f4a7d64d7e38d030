//! Work under way at the endpoints: this entry's own and what its peers report.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::balance::lengths::LengthForecast;
use crate::names::{EndpointName, ServiceName};

/// Hash by which entries identify an endpoint in heartbeats.
#[must_use]
pub(crate) fn endpoint_key(id: &EndpointName) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// Hash by which entries identify a service in heartbeats.
#[must_use]
pub(crate) fn service_key(id: &ServiceName) -> u64 {
    xxh3_64(id.as_str().as_bytes())
}

/// One request at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct Run {
    /// Tokens in the endpoint's KV cache now, or tokens to prefill.
    pub held_tokens: u32,
    /// Tokens that it is still expected to generate.
    pub left_tokens: u32,
}

/// A run with the forecast of its length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastRun {
    pub(crate) run: Run,
    length: LengthForecast,
    generated_tokens: u32,
}

impl ForecastRun {
    /// A run that has been prefilled and has generated some tokens.
    pub(crate) fn new(prompt_tokens: u32, generated_tokens: u32, length: LengthForecast) -> Self {
        Self {
            run: Run {
                held_tokens: prompt_tokens.saturating_add(generated_tokens),
                left_tokens: length.left_tokens(generated_tokens),
            },
            length,
            generated_tokens,
        }
    }

    /// Records generated tokens and updates the forecast.
    pub(crate) fn advance(&mut self, tokens: u32) {
        self.generated_tokens = self.generated_tokens.saturating_add(tokens);
        self.run.held_tokens = self.run.held_tokens.saturating_add(tokens);
        self.run.left_tokens = self.length.left_tokens(self.generated_tokens);
    }
}

/// One piece of this entry's work.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Work {
    /// Work whose size stays the same.
    Fixed(Run),
    /// A run whose KV cache grows as it generates tokens.
    Growing(ForecastRun),
}

impl Work {
    const fn run(&self) -> Run {
        match self {
            Self::Fixed(run) => *run,
            Self::Growing(forecast) => forecast.run,
        }
    }
}

/// Identifies a piece of this entry's work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct WorkId(u64);

/// One piece of work as reported to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) struct ReportedRun {
    id: WorkId,
    endpoint: u64,
    run: Run,
}

/// An entry's work as reported to its peers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub(crate) enum ReportedWork {
    /// All work under way.
    All(Vec<ReportedRun>),
    /// Work that has begun or ended since the last report.
    Changes {
        begun: Vec<ReportedRun>,
        ended: Vec<WorkId>,
    },
}

impl ReportedWork {
    /// Whether KV cache or slots may have become free.
    pub(crate) fn may_free(&self) -> bool {
        match self {
            Self::All(_) => true,
            Self::Changes { ended, .. } => !ended.is_empty(),
        }
    }
}

fn count_placed(placed_tokens: &mut HashMap<u64, u64>, endpoint: u64, run: Run) {
    if placed_tokens.len() >= MAX_COUNTED_ENDPOINTS && !placed_tokens.contains_key(&endpoint) {
        placed_tokens.clear();
    }
    *placed_tokens.entry(endpoint).or_default() += u64::from(run.held_tokens);
}

/// Work of one peer, with the endpoint's key.
type PeerWork = HashMap<WorkId, (u64, Run)>;

/// Work of this entry and its peers.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    next_id: u64,
    local: HashMap<WorkId, (u64, Work)>,
    /// Local work that has begun or ended since the last report to peers.
    unreported_begun: Vec<WorkId>,
    unreported_ended: Vec<WorkId>,
    /// Work of peers, by incarnation.
    peers: HashMap<u64, PeerWork>,
    /// Tokens that this entry and its peers have placed at each endpoint so far.
    placed_tokens: HashMap<u64, u64>,
}

/// Number of endpoints at which the counts of placed tokens are forgotten. The largest planned fleet has 2,800.
const MAX_COUNTED_ENDPOINTS: usize = 8_192;

impl Loads {
    /// Records the start of local work at an endpoint.
    pub(crate) fn begin(&mut self, endpoint: &EndpointName, work: Work) -> WorkId {
        self.next_id += 1;
        let id = WorkId(self.next_id);
        let endpoint = endpoint_key(endpoint);
        count_placed(&mut self.placed_tokens, endpoint, work.run());
        self.local.insert(id, (endpoint, work));
        self.unreported_begun.push(id);
        id
    }

    /// Records tokens that local work has generated.
    pub(crate) fn advance(&mut self, id: WorkId, tokens: u32) {
        if let Some((_, Work::Growing(forecast))) = self.local.get_mut(&id) {
            forecast.advance(tokens);
        }
    }

    /// Records the end of local work; returns whether its KV cache was growing.
    pub(crate) fn end(&mut self, id: WorkId) -> bool {
        let ended = self.local.remove(&id);
        self.unreported_ended.push(id);
        matches!(ended, Some((_, Work::Growing(_))))
    }

    fn report(&self, id: WorkId) -> Option<ReportedRun> {
        let (endpoint, work) = self.local.get(&id)?;
        Some(ReportedRun {
            id,
            endpoint: *endpoint,
            run: work.run(),
        })
    }

    /// Reports all local work.
    pub(crate) fn report_all(&mut self) -> ReportedWork {
        self.unreported_begun.clear();
        self.unreported_ended.clear();
        ReportedWork::All(
            self.local
                .keys()
                .filter_map(|id| self.report(*id))
                .collect(),
        )
    }

    /// Reports local work that has begun or ended since the last report.
    pub(crate) fn report_changes(&mut self) -> ReportedWork {
        let begun = std::mem::take(&mut self.unreported_begun);
        ReportedWork::Changes {
            begun: begun.into_iter().filter_map(|id| self.report(id)).collect(),
            ended: std::mem::take(&mut self.unreported_ended),
        }
    }

    /// Applies a peer's report.
    pub(crate) fn note_peer(&mut self, incarnation: u64, report: ReportedWork) {
        let work = self.peers.entry(incarnation).or_default();
        let (ReportedWork::All(reported)
        | ReportedWork::Changes {
            begun: reported, ..
        }) = &report;
        for new in reported.iter().filter(|run| !work.contains_key(&run.id)) {
            count_placed(&mut self.placed_tokens, new.endpoint, new.run);
        }
        let entry = |reported: ReportedRun| (reported.id, (reported.endpoint, reported.run));
        match report {
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

    /// Tokens that have been placed at an endpoint so far, as far as this entry knows.
    pub(crate) fn placed_tokens(&self, endpoint: &EndpointName) -> u64 {
        let placed = self.placed_tokens.get(&endpoint_key(endpoint));
        placed.copied().unwrap_or_default()
    }

    /// Number of pieces of work under way at an endpoint.
    pub(crate) fn count_at(&self, endpoint: &EndpointName) -> usize {
        let key = endpoint_key(endpoint);
        let local = self.local.values().map(|(endpoint, _)| *endpoint);
        let from_peers = self.peers.values().flat_map(HashMap::values);
        let from_peers = from_peers.map(|(endpoint, _)| *endpoint);
        local.chain(from_peers).filter(|at| *at == key).count()
    }

    /// Work under way by endpoint, under the keys of [`endpoint_key`].
    pub(crate) fn by_endpoint(&self) -> HashMap<u64, Vec<Run>> {
        let local = self.local.values();
        let local = local.map(|(endpoint, work)| (*endpoint, work.run()));
        let from_peers = self.peers.values().flat_map(HashMap::values).copied();
        let mut runs: HashMap<u64, Vec<Run>> = HashMap::new();
        for (endpoint, run) in local.chain(from_peers) {
            runs.entry(endpoint).or_default().push(run);
        }
        runs
    }
}
