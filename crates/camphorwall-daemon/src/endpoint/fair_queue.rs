//! A bounded queue ordered by priority, then by weighted fairness between teams.
//!
//! Each team has a virtual time that advances by the cost of what it was served divided by its weight. The team with
//! the lowest virtual time goes first. An idle team gains no credit: it continues at the virtual time of the last team
//! served.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
};

use camphorwall::{Priority, TeamId};

/// Claim of a request to a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Claim {
    /// Team whose share is charged; requests of open routes, which have no team, share one queue.
    pub(super) team: Option<TeamId>,
    pub(super) priority: Priority,
    pub(super) weight: u32,
    /// Cost in tokens.
    pub(super) cost_tokens: u64,
}

type TeamKey = (Priority, Option<TeamId>);

struct Waiting<T> {
    ticket: u64,
    claim: Claim,
    item: T,
}

struct TeamQueue<T> {
    virtual_time: f64,
    waiting: VecDeque<Waiting<T>>,
}

impl<T> TeamQueue<T> {
    /// Number of items that start at a virtual time or before it.
    fn count_until(&self, virtual_time: f64) -> usize {
        let mut starts_at = self.virtual_time;
        let is_before = |one: &&Waiting<T>| {
            let starts_in_time = starts_at <= virtual_time;
            starts_at += virtual_cost(&one.claim);
            starts_in_time
        };
        self.waiting.iter().take_while(is_before).count()
    }

    /// Virtual time at which the last item starts.
    fn last_starts_at(&self) -> f64 {
        let all_but_last = self.waiting.len().saturating_sub(1);
        let all_but_last = self.waiting.iter().take(all_but_last);
        let queued: f64 = all_but_last.map(|one| virtual_cost(&one.claim)).sum();
        self.virtual_time + queued
    }
}

/// Waiting items by priority and team.
pub(super) struct FairQueue<T> {
    next_ticket: u64,
    length: usize,
    virtual_time: f64,
    teams: BTreeMap<TeamKey, TeamQueue<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            next_ticket: 0,
            length: 0,
            virtual_time: 0.0,
            teams: BTreeMap::new(),
        }
    }
}

fn virtual_cost(claim: &Claim) -> f64 {
    claim.cost_tokens.max(1) as f64 / f64::from(claim.weight.max(1))
}

fn key(claim: &Claim) -> TeamKey {
    (claim.priority, claim.team.clone())
}

impl<T> FairQueue<T> {
    pub(super) const fn len(&self) -> usize {
        self.length
    }

    /// Adds an item; returns the ticket with which it can be removed.
    pub(super) fn push(&mut self, claim: Claim, item: T) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.length += 1;
        let waiting = Waiting {
            ticket,
            claim,
            item,
        };
        self.team(&waiting.claim).waiting.push_back(waiting);
        ticket
    }

    fn team(&mut self, claim: &Claim) -> &mut TeamQueue<T> {
        let virtual_time = self.virtual_time;
        let team = self.teams.entry(key(claim)).or_insert(TeamQueue {
            virtual_time,
            waiting: VecDeque::new(),
        });
        if team.waiting.is_empty() {
            team.virtual_time = team.virtual_time.max(virtual_time);
        }
        team
    }

    /// Charges a team for a claim that was served without waiting.
    pub(super) fn charge(&mut self, claim: &Claim) {
        let team = self.team(claim);
        let served_at = team.virtual_time;
        team.virtual_time += virtual_cost(claim);
        self.advance_time(served_at);
    }

    /// Refunds the charge for a claim that was served but not used.
    pub(super) fn refund(&mut self, claim: &Claim) {
        if let Some(team) = self.teams.get_mut(&key(claim)) {
            team.virtual_time -= virtual_cost(claim);
        }
    }

    fn advance_time(&mut self, served_at: f64) {
        self.virtual_time = self.virtual_time.max(served_at);
        let virtual_time = self.virtual_time;
        // A team without waiting items that is not ahead in virtual time needs no record.
        self.teams
            .retain(|_, team| !team.waiting.is_empty() || team.virtual_time > virtual_time);
    }

    /// Removes and returns the next item.
    pub(super) fn pop(&mut self) -> Option<(Claim, T)> {
        let waiting = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty());
        let first = waiting.min_by(|(one, one_team), (other, other_team)| {
            let by_priority = other.0.cmp(&one.0);
            by_priority.then(one_team.virtual_time.total_cmp(&other_team.virtual_time))
        });
        let first = first.map(|(key, _)| key.clone())?;
        let team = self.teams.get_mut(&first)?;
        let next = team.waiting.pop_front()?;
        let served_at = team.virtual_time;
        team.virtual_time += virtual_cost(&next.claim);
        self.length -= 1;
        self.advance_time(served_at);
        Some((next.claim, next.item))
    }

    /// Removes a waiting item.
    pub(super) fn remove(&mut self, claim: &Claim, ticket: u64) {
        let Some(team) = self.teams.get_mut(&key(claim)) else {
            return;
        };
        let before = team.waiting.len();
        team.waiting.retain(|waiting| waiting.ticket != ticket);
        self.length -= before - team.waiting.len();
    }

    /// Virtual time at which a new item of a claim would start.
    fn start_time(&self, claim: &Claim) -> f64 {
        let team = self.teams.get(&key(claim));
        team.map_or(self.virtual_time, |team| {
            let queued: f64 = team
                .waiting
                .iter()
                .map(|one| virtual_cost(&one.claim))
                .sum();
            team.virtual_time.max(self.virtual_time) + queued
        })
    }

    /// Removes the last item if a new one of a claim goes before it, so that a full queue still accepts claims that go
    /// first.
    pub(super) fn displace_last(&mut self, claim: &Claim) -> Option<(Claim, T)> {
        let waiting = self
            .teams
            .iter()
            .filter(|(_, team)| !team.waiting.is_empty());
        let (last, starts_at) = waiting
            .map(|(key, team)| (key.clone(), team.last_starts_at()))
            .max_by(|(one, one_start), (other, other_start)| {
                let by_priority = other.0.cmp(&one.0);
                by_priority.then(one_start.total_cmp(other_start))
            })?;
        let goes_before = match last.0.cmp(&claim.priority) {
            Ordering::Less => true,
            Ordering::Equal => self.start_time(claim) < starts_at,
            Ordering::Greater => false,
        };
        if !goes_before {
            return None;
        }
        let displaced = self.teams.get_mut(&last)?.waiting.pop_back()?;
        self.length -= 1;
        Some((displaced.claim, displaced.item))
    }

    /// Number of waiting items that go before a new one of a claim.
    pub(super) fn count_before(&self, claim: &Claim) -> usize {
        let start_time = self.start_time(claim);
        let before = |((priority, _), team): (&TeamKey, &TeamQueue<T>)| match priority
            .cmp(&claim.priority)
        {
            Ordering::Greater => team.waiting.len(),
            Ordering::Equal => team.count_until(start_time),
            Ordering::Less => 0,
        };
        self.teams.iter().map(before).sum()
    }

    /// Cost of all waiting items in tokens.
    pub(super) fn cost_tokens(&self) -> u64 {
        let waiting = self.teams.values().flat_map(|team| team.waiting.iter());
        waiting.map(|waiting| waiting.claim.cost_tokens).sum()
    }
}

#[cfg(test)]
#[path = "fair_queue_tests.rs"]
mod tests;
