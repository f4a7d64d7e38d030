//! Open-loop arrivals: a Poisson process for each team, from a seeded generator.

use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Scenario, SizeRange};

/// One scheduled request of a run.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at_s: f64,
    /// Position of the team in the scenario.
    pub(super) team: usize,
    pub(super) entry: usize,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
}

fn size(range: SizeRange, random: &mut ChaCha8Rng) -> u64 {
    random.random_range(range.min..=range.max)
}

/// Arrivals of all teams, sorted by time.
pub(super) fn generate(scenario: &Scenario, load: f64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (team, team_load) in scenario.teams.iter().enumerate() {
        let stream = scenario.seed.wrapping_add(team as u64);
        let mut random = ChaCha8Rng::seed_from_u64(stream);
        let base_per_s = scenario.capacity_per_s() * load * team_load.share * team_load.times;
        let mut at_s = 0.0;
        loop {
            let times = match scenario.burst {
                Some(burst) if (burst.from_s..burst.to_s).contains(&at_s) => burst.times,
                _ => 1.0,
            };
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at_s += -uniform.ln() / (base_per_s * times);
            if at_s >= scenario.duration_s {
                break;
            }
            all.push(Arrival {
                at_s,
                team,
                entry: usize::try_from(random.next_u64() % scenario.entries as u64).unwrap_or(0),
                prompt_tokens: size(scenario.prompt_tokens, &mut random),
                output_tokens: size(scenario.output_tokens, &mut random),
            });
        }
    }
    all.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    all
}

/// Whether each request is within its team's rate and burst, computed with one token bucket per team.
pub(super) fn within_rate(scenario: &Scenario, arrivals: &[Arrival]) -> Vec<bool> {
    let burst = |team: usize| scenario.burst_tokens(&scenario.teams[team]);
    let mut levels: Vec<(f64, f64)> = (0..scenario.teams.len())
        .map(|team| (burst(team), 0.0))
        .collect();
    let mut is_within = |arrival: &Arrival| {
        let (level, filled_at_s) = &mut levels[arrival.team];
        let rate = scenario.rate_tokens_per_s(&scenario.teams[arrival.team]);
        *level = (*level + (arrival.at_s - *filled_at_s) * rate).min(burst(arrival.team));
        *filled_at_s = arrival.at_s;
        let cost = (arrival.prompt_tokens + arrival.output_tokens) as f64;
        let is_covered = cost <= *level;
        if is_covered {
            *level -= cost;
        }
        is_covered
    };
    arrivals.iter().map(&mut is_within).collect()
}
