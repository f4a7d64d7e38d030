//! Which teams have series of their own: the largest by traffic. All others share one name for each class.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use camphorwall::TeamId;

/// Teams with series of their own.
const MAX_NAMED_TEAMS: usize = 50;

/// Teams whose traffic is counted in a period.
const MAX_COUNTED_TEAMS: usize = 2_000;

/// How often the largest teams are chosen anew.
const SELECTION_PERIOD: Duration = Duration::from_secs(300);

/// Name of all teams without series of their own.
pub(super) const OTHER_TEAMS: &str = "other";

/// Chooses the teams with series of their own.
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

    /// Counts a request of a team. Returns the teams that lose their series.
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
        let dropped = self.named.difference(&largest).cloned().collect();
        self.named = largest;
        self.period_ends_at = now + SELECTION_PERIOD;
        dropped
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
