//! Which endpoint gets a request. Plain functions over what is known of the candidates.

use crate::loads::Run;

/// What is known of one candidate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidate {
    /// Work at the endpoint.
    pub runs: Vec<Run>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it runs in the same data centre as what the request comes from.
    pub is_near: bool,
    /// Whether it can't be reached at present.
    pub(crate) is_unreachable: bool,
    /// Share of its requests that it has failed lately.
    pub(crate) failure_share: f64,
}

/// What a far endpoint must be better by, as a share of its capacity.
const FAR_PENALTY: f64 = 0.03;

/// What a far prefill endpoint must be better by, as a share of the prompt.
const FAR_PROMPT_SHARE: f64 = 0.2;

/// What a far plain endpoint must be better by, as a share of its slots.
const FAR_LOAD: f64 = 0.1;

/// What a decode endpoint that fails every request must be better by, as a share of its capacity. A lost answer costs its
/// caller everything, a fuller engine a few milliseconds.
const DECODE_FAILURE_WEIGHT: f64 = 2.0;

/// Tokens that a prefill endpoint which fails every request seems to have before it.
const PREFILL_FAILURE_TOKENS: f64 = 40_000.0;

/// What a plain endpoint that fails every request must be better by, as a share of its slots.
const PLAIN_FAILURE_WEIGHT: f64 = 2.0;

/// Most tokens that the runs hold at any time ahead, if each generates at the same rate until it ends.
///
/// The load that this answers: decode endpoints are full by memory long before their slots are taken, and a run
/// holds up to twice its prompt at its end.
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

/// The decode endpoint on which a run fits with the lowest peak of memory. `trust` is the share of the capacity that
/// the forecast may fill.
#[must_use]
pub(crate) fn choose_decode(
    candidates: &[Candidate],
    run: Run,
    capacity_tokens: u64,
    trust: f64,
) -> Option<usize> {
    let capacity = capacity_tokens as f64;
    let rank = |candidate: &Candidate| {
        let peak = peak_tokens(&candidate.runs, run) as f64 / capacity;
        let has_slot = candidate.runs.len() < candidate.slots as usize;
        // An estimate may exceed the whole memory; alone on an endpoint the run is as safe as it can be.
        let fits = peak <= trust || candidate.runs.is_empty();
        let penalty = if candidate.is_near { 0.0 } else { FAR_PENALTY };
        (has_slot && fits)
            .then_some(peak + penalty + DECODE_FAILURE_WEIGHT * candidate.failure_share)
    };
    lowest(candidates, rank)
}

/// The prefill endpoint with the fewest tokens before it.
#[must_use]
pub(crate) fn choose_prefill(candidates: &[Candidate], prompt_tokens: u32) -> Option<usize> {
    let rank = |candidate: &Candidate| {
        let waiting: u64 = candidate
            .runs
            .iter()
            .map(|run| u64::from(run.held_tokens))
            .sum();
        let far = if candidate.is_near {
            0.0
        } else {
            f64::from(prompt_tokens) * FAR_PROMPT_SHARE
        };
        let failing = candidate.failure_share * PREFILL_FAILURE_TOKENS;
        Some(waiting as f64 + far + failing)
    };
    lowest(candidates, rank)
}

/// The plain endpoint with the lowest share of its slots in use.
#[must_use]
pub(crate) fn choose_plain(candidates: &[Candidate]) -> Option<usize> {
    let rank = |candidate: &Candidate| {
        let load = candidate.runs.len() as f64 / f64::from(candidate.slots.max(1));
        let far = if candidate.is_near { 0.0 } else { FAR_LOAD };
        Some(load + far + PLAIN_FAILURE_WEIGHT * candidate.failure_share)
    };
    lowest(candidates, rank)
}

/// The candidate with the lowest rank; one that can't be reached only where none can.
fn lowest(candidates: &[Candidate], rank: impl Fn(&Candidate) -> Option<f64>) -> Option<usize> {
    let is_any_reachable = candidates.iter().any(|candidate| !candidate.is_unreachable);
    let ranked = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !(is_any_reachable && candidate.is_unreachable))
        .filter_map(|(index, candidate)| Some((index, rank(candidate)?)));
    ranked
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
