//! Tokens that a request takes from its team's contract.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::{
    clock::Moment,
    configuration::{Route, Team},
    dialect::RequestFacts,
    entry::Entry,
    quota::{Offer, Patience, Ticket},
    refusal::Refusal,
    request_log::RequestLog,
};

/// Part of the time to the target that a request may wait for its team's tokens and still be answered in time.
const ON_TIME_PART: f64 = 0.5;

/// How often a waiting request looks whether its tokens are there.
const LOOK_PERIOD: Duration = Duration::from_millis(30);

/// Shortest pause between two looks.
const SHORTEST_WAIT: Duration = Duration::from_millis(2);

/// A request's tokens, which its team gets back unless the request may have run.
pub(crate) struct Charge {
    entry: Rc<Entry>,
    team: Option<Rc<Team>>,
    cost: f64,
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Charges a request and waits until its team has the tokens.
    pub(crate) async fn take(
        entry: &Rc<Entry>,
        facts: &RequestFacts,
        route: &Route,
        team: Option<Rc<Team>>,
        request_log: &RequestLog,
    ) -> Result<Self, Refusal> {
        let mut charge = Self {
            entry: Rc::clone(entry),
            team: None,
            cost: cost(facts, team.as_deref()),
            may_have_run: Cell::new(false),
        };
        request_log.tokens.set(charge.cost);
        let Some(team) = team else {
            return Ok(charge);
        };
        let now = Moment::now();
        let share = entry.quota_share(now);
        let on_time = Duration::from_millis(route.target_ms).mul_f64(ON_TIME_PART);
        let patience = Patience {
            on_time_until: now + on_time,
            start_by: request_log.arrived_at + route.start_within(facts.deadline),
            ends_at: request_log.arrived_at + route.time_limit(facts.deadline),
        };
        let offer = {
            let mut quotas = entry.quotas.borrow_mut();
            quotas.offer(&team, charge.cost, share, patience, now)
        };
        match offer {
            Offer::Taken => {}
            Offer::Wait(ticket, wait) => {
                let turn = Turn {
                    entry,
                    team: &team,
                    ticket,
                };
                if let Err(retry_after) = turn.wait(wait, patience.start_by).await {
                    return Err(over_quota(entry, facts, &team, retry_after));
                }
            }
            Offer::Refused(retry_after) => {
                return Err(over_quota(entry, facts, &team, retry_after));
            }
        }
        charge.team = Some(team);
        Ok(charge)
    }

    /// Notes whether the request may have run so far.
    pub(crate) fn note(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

/// A place in the queue for tokens, given up when it is dropped.
struct Turn<'a> {
    entry: &'a Entry,
    team: &'a Team,
    ticket: Ticket,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut quotas = self.entry.quotas.borrow_mut();
        quotas.withdraw(&self.team.name, self.ticket);
    }
}

fn over_quota(entry: &Entry, facts: &RequestFacts, team: &Team, retry_after: Duration) -> Refusal {
    tracing::info!(
        event = "over_quota",
        request_id = facts.request_id.as_deref(),
        retry_after_ms = retry_after.as_secs_f64() * 1e3,
        cost = cost(facts, Some(team)),
        team = %team.name,
        level = entry.quotas.borrow().level(&team.name),
        rate_per_s = team.rate_per_s,
        burst = team.burst,
    );
    Refusal::over_quota(retry_after)
}

impl Turn<'_> {
    /// Waits until the tokens are there, at most until a moment, and no longer than they can be there by then.
    ///
    /// # Errors
    /// The time after which to come back.
    async fn wait(&self, expected: Duration, start_by: Moment) -> Result<(), Duration> {
        let mut wait = expected;
        loop {
            let left = start_by.since(Moment::now());
            if left < wait {
                return Err(wait);
            }
            // Requests before this one may leave, so the forecast is looked at again meanwhile.
            compio::time::sleep(wait.min(LOOK_PERIOD).min(left)).await;
            let now = Moment::now();
            let share = self.entry.quota_share(now);
            let mut quotas = self.entry.quotas.borrow_mut();
            match quotas.claim(self.team, self.ticket, share, now) {
                Ok(()) => return Ok(()),
                Err(longer) => wait = longer.max(SHORTEST_WAIT),
            }
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(team) = &self.team
            && !self.may_have_run.get()
        {
            let mut quotas = self.entry.quotas.borrow_mut();
            quotas.give_back(&team.name, self.cost, Moment::now());
        }
    }
}

/// What a request costs: the tokens that it may use, or what the contract says where it names none.
fn cost(facts: &RequestFacts, team: Option<&Team>) -> f64 {
    match (team, facts.prompt_tokens, facts.max_output_tokens) {
        (Some(team), _, _) if !team.counts_tokens => 1.0,
        (_, Some(prompt), Some(output)) => prompt.saturating_add(output) as f64,
        (Some(team), _, _) => team.default_cost,
        (None, _, _) => 0.0,
    }
}
