//! Selects the teams that have their own series, by number of requests. All others share one name in each class, so
//! that the number of series stays bounded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use camphorwall::TeamId;

/// Maximum number of teams with their own series.
const MAX_NAMED_TEAMS: usize = 50;

/// Maximum number of teams whose requests are counted in a period.
const MAX_COUNTED_TEAMS: usize = 2_000;

/// How often the largest teams are selected.
const SELECTION_PERIOD: Duration = Duration::from_secs(300);

/// Name that all teams without their own series share.
pub(super) const OTHER_TEAMS: &str = "other";

/// Selects the teams with their own series.
pub(super) struct TeamNames {
    named: BTreeSet<TeamId>,
    requests: BTreeMap<TeamId, u64>,
    period_ends_at: Instant,
}

impl TeamNames {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            named: BTreeSet::new(),
            requests: BTreeMap::new(),
            period_ends_at: now + SELECTION_PERIOD,
        }
    }

    /// Counts a request of a team. At the end of a period, selects the teams anew and returns those that lose their
    /// series.
    pub(super) fn count(&mut self, team: &TeamId, now: Instant) -> Vec<TeamId> {
        if self.requests.len() < MAX_COUNTED_TEAMS || self.requests.contains_key(team) {
            *self.requests.entry(team.clone()).or_default() += 1;
        }
        if self.named.len() < MAX_NAMED_TEAMS {
            self.named.insert(team.clone());
        }
        if now < self.period_ends_at {
            return Vec::new();
        }
        self.select_largest(now)
    }

    fn select_largest(&mut self, now: Instant) -> Vec<TeamId> {
        let mut counted: Vec<_> = std::mem::take(&mut self.requests).into_iter().collect();
        counted.sort_by(|(_, a), (_, b)| b.cmp(a));
        let largest: BTreeSet<_> = counted
            .into_iter()
            .take(MAX_NAMED_TEAMS)
            .map(|(team, _)| team)
            .collect();
        let removed = self.named.difference(&largest).cloned().collect();
        self.named = largest;
        self.period_ends_at = now + SELECTION_PERIOD;
        removed
    }

    /// Name of a team in the metrics.
    pub(super) fn name<'a>(&self, team: &'a TeamId) -> &'a str {
        if self.named.contains(team) {
            team.as_str()
        } else {
            OTHER_TEAMS
        }
    }
}

#[cfg(test)]
#[path = "team_names_tests.rs"]
mod tests;
