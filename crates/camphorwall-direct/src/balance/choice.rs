//! Chooses the endpoint that gets a request, by pure functions over the state of the candidates.

use crate::balance::{loads::Run, speeds::ExpectedSpeed};

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
    /// Its expected speed, where choices compare expected times.
    pub(crate) speed: Option<ExpectedSpeed>,
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

/// Penalties on an endpoint that fails every request, as multiples of the usual time of the request. The caller of a
/// lost stream loses all that it got; a lost prefill or plain call is sent again at least once.
const DECODE_FAILURE_TIMES: f64 = 5.0;
const PLAIN_FAILURE_TIMES: f64 = 10.0;

/// Penalties on an endpoint in another data centre, as shares of the usual time of the request.
const REMOTE_DECODE_TIME: f64 = 0.03;
const REMOTE_PLAIN_TIME: f64 = 0.1;

/// Added time of a decode run on an engine whose KV cache will be filled completely, as a share of the usual time. A run
/// that outlasts its forecast there causes a preemption.
const FULL_CACHE_TIME: f64 = 1.0;

/// Added time of a plain call on an endpoint that it fills, as a share of the usual time. Calls of other entries, which
/// are known some milliseconds later, would wait there.
const FULL_SLOTS_TIME: f64 = 0.4;

/// Ratio up to which expected times count as alike. Entries that share their observations would all choose the endpoint
/// that is a little faster, before they know of each other's placements.
const ALIKE_TIMES: f64 = 1.1;

/// The same for decodes. They are rarer than the time until an entry knows of the others' placements, and the time of a
/// whole run differs less between a full and an empty engine than that of its start.
const ALIKE_DECODE_TIMES: f64 = 1.02;

/// Ratio of two expected times from which on an actual time can tell which of them applies.
const DISTINCT_TIMES: f64 = 1.5;

/// Share of a queue's first piece of work that is done already, on average.
const BEGUN_SHARE: f64 = 0.5;

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
        if !has_slot || !fits {
            return None;
        }
        if let Some(speed) = &candidate.speed {
            return Some(decode_time_ms(candidate, speed, run, peak));
        }
        let penalty = if candidate.is_near {
            0.0
        } else {
            REMOTE_DECODE_PENALTY
        };
        Some(peak + penalty + DECODE_FAILURE_PENALTY * candidate.expected_loss)
    };
    lowest_score(candidates, ALIKE_DECODE_TIMES, score)
}

/// The prefill endpoint with the fewest queued tokens.
#[must_use]
pub(crate) fn choose_prefill(candidates: &[Candidate], prompt_tokens: u32) -> Option<usize> {
    let score = |candidate: &Candidate| {
        if let Some(speed) = &candidate.speed {
            return Some(prefill_score_ms(candidate, speed, prompt_tokens));
        }
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
    lowest_score(candidates, ALIKE_TIMES, score)
}

/// The plain endpoint with the lowest share of its slots in use.
#[must_use]
pub(crate) fn choose_plain(candidates: &[Candidate]) -> Option<usize> {
    let score = |candidate: &Candidate| {
        if let Some(speed) = &candidate.speed {
            return Some(plain_score_ms(candidate, speed));
        }
        let load = candidate.runs.len() as f64 / f64::from(candidate.slots.max(1));
        let remote = if candidate.is_near {
            0.0
        } else {
            REMOTE_PLAIN_PENALTY
        };
        Some(load + remote + PLAIN_FAILURE_PENALTY * candidate.expected_loss)
    };
    lowest_score(candidates, ALIKE_TIMES, score)
}

/// Time by which a run makes the decode work of a service longer: its own, and what its tokens add to the steps of the
/// runs beside it.
fn decode_time_ms(candidate: &Candidate, speed: &ExpectedSpeed, run: Run, peak: f64) -> f64 {
    let tokens = f64::from(run.left_tokens.max(1));
    let usual = tokens * speed.usual.at(1.0);
    let runs = candidate.runs.len() as f64 + speed.unknown_runs;
    let own = speed.time_ms(tokens * speed.usual.at(runs + 1.0));
    let shared_tokens: f64 = candidate
        .runs
        .iter()
        .map(|other| f64::from(other.left_tokens).min(tokens))
        .sum();
    let others = shared_tokens * speed.usual.slope_ms * speed.slowness;
    let remote = if candidate.is_near {
        0.0
    } else {
        REMOTE_DECODE_TIME
    };
    let penalty = remote + DECODE_FAILURE_TIMES * candidate.expected_loss + FULL_CACHE_TIME * peak;
    own + others + usual * penalty
}

/// Tokens that a prefill endpoint has to read before a prompt is done.
///
/// The endpoint's cache of the prompt's first parts shortens its own work only. What waits before it is counted in full,
/// so that a part that many prompts share does not draw all of them to one endpoint.
pub(crate) fn prefill_work(candidate: &Candidate, prompt_tokens: u32) -> f64 {
    let held = candidate
        .speed
        .as_ref()
        .map_or(0, |speed| speed.held_tokens);
    let unknown_runs = candidate.speed.map_or(0.0, |speed| speed.unknown_runs);
    let runs = &candidate.runs;
    let queued: f64 = runs.iter().map(|run| f64::from(run.held_tokens)).sum();
    let begun = queued / runs.len().max(1) as f64 * BEGUN_SHARE;
    let unknown = unknown_runs * f64::from(prompt_tokens);
    queued - begun + unknown + f64::from(prompt_tokens.saturating_sub(held))
}

fn prefill_score_ms(candidate: &Candidate, speed: &ExpectedSpeed, prompt_tokens: u32) -> f64 {
    let remote = if candidate.is_near {
        0.0
    } else {
        f64::from(prompt_tokens) * REMOTE_PREFILL_PENALTY
    };
    let failing = candidate.expected_loss * PREFILL_FAILURE_PENALTY_TOKENS;
    prefill_time_ms(candidate, speed, prompt_tokens) + (remote + failing) * speed.usual.slope_ms
}

/// Expected time of a prefill, its wait included.
fn prefill_time_ms(candidate: &Candidate, speed: &ExpectedSpeed, prompt_tokens: u32) -> f64 {
    speed.time_ms(speed.usual.at(prefill_work(candidate, prompt_tokens)))
}

/// Load of a plain endpoint with one more call, as a share of its slots.
fn plain_load(candidate: &Candidate) -> f64 {
    let unknown_runs = candidate.speed.map_or(0.0, |speed| speed.unknown_runs);
    (candidate.runs.len() as f64 + unknown_runs + 1.0) / f64::from(candidate.slots.max(1))
}

/// Usual time of a plain call at a load. Calls beyond the slots wait for those before them.
fn usual_plain_ms(speed: &ExpectedSpeed, load: f64) -> f64 {
    speed.usual.at(load.min(1.0)) * load.max(1.0)
}

fn plain_score_ms(candidate: &Candidate, speed: &ExpectedSpeed) -> f64 {
    let remote = if candidate.is_near {
        0.0
    } else {
        REMOTE_PLAIN_TIME
    };
    let contended = FULL_SLOTS_TIME * plain_load(candidate).powi(4);
    let penalty = remote + PLAIN_FAILURE_TIMES * candidate.expected_loss + contended;
    plain_time_ms(candidate, speed) + penalty * speed.usual.at(1.0)
}

fn plain_time_ms(candidate: &Candidate, speed: &ExpectedSpeed) -> f64 {
    speed.time_ms(usual_plain_ms(speed, plain_load(candidate)))
}

/// What a choice expects of the work that it places, to be compared with its actual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Expectation {
    /// Size of the work in the units of its pool.
    pub(crate) size: f64,
    /// Actual times are divided by this to get the time of work of that size.
    pub(crate) waves: f64,
    pub(crate) time_ms: f64,
    /// Tokens of the prompt that need no prefill.
    pub(crate) held_tokens: u32,
    /// Times if none and if all of the prompt's shared parts need no prefill.
    pub(crate) unshared_ms: f64,
    pub(crate) shared_ms: f64,
}

/// What the time of a prefill shows of the engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CacheEvidence {
    /// The time agrees with what was expected to be held.
    Expected,
    /// The engine prefilled parts that it was expected to hold.
    Missed,
    /// The engine held parts that it was not expected to hold.
    Held,
}

impl Expectation {
    /// Whether the actual time of a prefill agrees with the parts that were expected to be held. A time that other parts
    /// explain better says nothing of the engine's speed.
    pub(crate) fn cache_evidence(&self, actual_ms: f64) -> CacheEvidence {
        // Logarithmic distances, so that the middle between two times is their geometric mean.
        let distance = |time_ms: f64| (actual_ms.max(1e-3) / time_ms.max(1e-3)).ln().abs();
        let expected = distance(self.time_ms);
        let differs = |time_ms: f64| time_ms / self.time_ms > DISTINCT_TIMES;
        if differs(self.unshared_ms) && distance(self.unshared_ms) < expected {
            CacheEvidence::Missed
        } else if self.time_ms / self.shared_ms > DISTINCT_TIMES
            && distance(self.shared_ms) < expected
        {
            CacheEvidence::Held
        } else {
            CacheEvidence::Expected
        }
    }
}

/// What is expected of a prefill at a candidate, where choices compare expected times.
pub(crate) fn expect_prefill(
    candidate: &Candidate,
    prompt_tokens: u32,
    shared_tokens: u32,
) -> Option<Expectation> {
    let speed = candidate.speed.as_ref()?;
    let size = prefill_work(candidate, prompt_tokens);
    let held_tokens = speed.held_tokens.min(prompt_tokens);
    let unshared = size + f64::from(held_tokens);
    let shared = f64::from(shared_tokens.clamp(held_tokens, prompt_tokens));
    Some(Expectation {
        size,
        waves: 1.0,
        time_ms: prefill_time_ms(candidate, speed, prompt_tokens),
        held_tokens,
        unshared_ms: speed.time_ms(speed.usual.at(unshared)),
        shared_ms: speed.time_ms(speed.usual.at(unshared - shared)),
    })
}

/// What is expected of a plain call at a candidate, where choices compare expected times.
pub(crate) fn expect_plain(candidate: &Candidate) -> Option<Expectation> {
    let speed = candidate.speed.as_ref()?;
    let load = plain_load(candidate);
    let time_ms = plain_time_ms(candidate, speed);
    Some(Expectation {
        size: load.min(1.0),
        waves: load.max(1.0),
        time_ms,
        held_tokens: 0,
        unshared_ms: time_ms,
        shared_ms: time_ms,
    })
}

/// The candidate with the lowest score. Unreachable ones are considered only if all are unreachable.
fn lowest_score(
    candidates: &[Candidate],
    alike_times: f64,
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
    let scored: Vec<_> = scored.collect();
    let lowest = scored
        .iter()
        .min_by(|(_, rank_a, a), (_, rank_b, b)| rank_a.cmp(rank_b).then(a.total_cmp(b)));
    let (best, best_rank, best_score) = *lowest?;
    if candidates[best].speed.is_none() {
        return Some(best);
    }
    // The candidates come in random order.
    let mut alike = scored
        .iter()
        .filter(|(_, rank, time_ms)| *rank == best_rank && *time_ms <= best_score * alike_times);
    alike.next().map(|(index, _, _)| *index)
}
