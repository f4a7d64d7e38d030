//! Chooses the endpoint that gets a request, by pure functions over the state of the candidates.

use crate::balance::loads::Run;

/// State of one candidate endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidate {
    /// Requests under way at the endpoint.
    pub runs: Vec<Run>,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the same data centre as the sender of the request.
    pub is_near: bool,
    /// Whether it is skipped because it could not be reached recently.
    pub(crate) is_unreachable: bool,
    /// Share of its requests that failed recently.
    pub(crate) expected_loss: f64,
    /// Whether it has just started and can sustain only few requests a second.
    pub(crate) is_cold: bool,
}

impl Candidate {
    /// Rank that goes before any score: warm endpoints with free slots first, then cold ones, then full ones.
    fn warmth_rank(&self) -> u8 {
        let has_slot = self.runs.len() < self.slots as usize;
        match (has_slot, self.is_cold) {
            (true, false) => 0,
            (true, true) => 1,
            (false, _) => 2,
        }
    }
}

/// Penalty on a decode endpoint in another data centre, as a share of its capacity.
const REMOTE_DECODE_PENALTY: f64 = 0.03;

/// Penalty on a prefill endpoint in another data centre, as a share of the prompt.
const REMOTE_PREFILL_PENALTY: f64 = 0.2;

/// Penalty on a plain endpoint in another data centre, as a share of its slots.
const REMOTE_PLAIN_PENALTY: f64 = 0.1;

/// Penalty on a decode endpoint that fails every request, as a share of its capacity. It is high because a lost answer
/// costs the caller the entire request, a fuller engine only a few milliseconds.
const DECODE_FAILURE_PENALTY: f64 = 2.0;

/// Penalty on a prefill endpoint that fails every request, in queued tokens.
const PREFILL_FAILURE_PENALTY_TOKENS: f64 = 40_000.0;

/// Penalty on a plain endpoint that fails every request, as a share of its slots.
const PLAIN_FAILURE_PENALTY: f64 = 2.0;

/// How far the forecast of its runs may fill an engine's KV cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillLimit {
    /// Share of the capacity that may be filled.
    pub(crate) share: f64,
    /// Tokens that are kept free of that because runs may get longer than their forecasts, as a share of the tokens that
    /// they are still expected to generate. What they hold already is certain, so an engine whose answers are short
    /// compared to their prompts can be filled almost completely.
    pub(crate) length_margin: f64,
}

/// Maximum number of tokens that the runs will hold together at any future time, if all generate at the same rate until
/// they end.
///
/// The placement needs the peak rather than the present value: the KV cache of a decode endpoint is full long before
/// its slots are, and a run can hold twice its prompt by its end.
#[must_use]
pub(crate) fn peak_tokens(runs: &[Run], candidate: Run) -> u64 {
    let mut ordered: Vec<Run> = runs.iter().copied().chain([candidate]).collect();
    ordered.sort_unstable_by_key(|run| run.left_tokens);
    let mut held: u64 = ordered.iter().map(|run| u64::from(run.held_tokens)).sum();
    let mut peak = held;
    let mut elapsed = 0;
    let mut running = ordered.len() as u64;
    for run in ordered {
        held += running * u64::from(run.left_tokens - elapsed);
        elapsed = run.left_tokens;
        peak = peak.max(held);
        held -= u64::from(run.held_tokens) + u64::from(run.left_tokens);
        running -= 1;
    }
    peak
}

/// Tokens that runs are still expected to generate.
fn left_tokens(runs: &[Run], candidate: Run) -> u64 {
    let runs = runs.iter().chain([&candidate]);
    runs.map(|run| u64::from(run.left_tokens)).sum()
}

/// The decode endpoint on which a run fits with the lowest peak of KV cache use.
#[must_use]
pub(crate) fn choose_decode(
    candidates: &[Candidate],
    run: Run,
    capacity_tokens: u64,
    fill_limit: FillLimit,
) -> Option<usize> {
    let capacity = capacity_tokens as f64;
    let score = |candidate: &Candidate| {
        let peak = peak_tokens(&candidate.runs, run) as f64 / capacity;
        let left = left_tokens(&candidate.runs, run) as f64 / capacity;
        let has_slot = candidate.runs.len() < candidate.slots as usize;
        // An estimate may exceed the capacity of any endpoint; such a run is safest alone on an idle one.
        let fits =
            peak + fill_limit.length_margin * left <= fill_limit.share || candidate.runs.is_empty();
        let penalty = if candidate.is_near {
            0.0
        } else {
            REMOTE_DECODE_PENALTY
        };
        (has_slot && fits)
            .then_some(peak + penalty + DECODE_FAILURE_PENALTY * candidate.expected_loss)
    };
    lowest_score(candidates, score)
}

/// The prefill endpoint with the fewest queued tokens.
#[must_use]
pub(crate) fn choose_prefill(candidates: &[Candidate], prompt_tokens: u32) -> Option<usize> {
    let score = |candidate: &Candidate| {
        let waiting: u64 = candidate
            .runs
            .iter()
            .map(|run| u64::from(run.held_tokens))
            .sum();
        let remote = if candidate.is_near {
            0.0
        } else {
            f64::from(prompt_tokens) * REMOTE_PREFILL_PENALTY
        };
        let failing = candidate.expected_loss * PREFILL_FAILURE_PENALTY_TOKENS;
        Some(waiting as f64 + remote + failing)
    };
    lowest_score(candidates, score)
}

/// The plain endpoint with the lowest share of its slots in use.
#[must_use]
pub(crate) fn choose_plain(candidates: &[Candidate]) -> Option<usize> {
    let score = |candidate: &Candidate| {
        let load = candidate.runs.len() as f64 / f64::from(candidate.slots.max(1));
        let remote = if candidate.is_near {
            0.0
        } else {
            REMOTE_PLAIN_PENALTY
        };
        Some(load + remote + PLAIN_FAILURE_PENALTY * candidate.expected_loss)
    };
    lowest_score(candidates, score)
}

/// The candidate with the lowest score. Unreachable ones are considered only if all are unreachable.
fn lowest_score(
    candidates: &[Candidate],
    score: impl Fn(&Candidate) -> Option<f64>,
) -> Option<usize> {
    let is_any_reachable = candidates.iter().any(|candidate| !candidate.is_unreachable);
    let is_any_cold = candidates.iter().any(|candidate| candidate.is_cold);
    let scored = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !(is_any_reachable && candidate.is_unreachable))
        .filter_map(|(index, candidate)| {
            let rank = if is_any_cold {
                candidate.warmth_rank()
            } else {
                0
            };
            Some((index, rank, score(candidate)?))
        });
    scored
        .min_by(|(_, rank_a, a), (_, rank_b, b)| rank_a.cmp(rank_b).then(a.total_cmp(b)))
        .map(|(index, _, _)| index)
}
