//! Charges a request's tokens to its team's rate and burst, and refunds them if the request has not run.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::{
    clock::Moment,
    configuration::{Route, Team},
    contract::quota::{ChargeOutcome, Ticket, WaitLimits},
    dialect::RequestFacts,
    entry::Entry,
    request_log::RequestLog,
    serve::refusal::Refusal,
};

/// Share of the route's target latency that a request may wait for its team's tokens and still be answered in time.
const ON_TIME_WAIT_SHARE: f64 = 0.5;

/// How often a waiting request polls whether its tokens are available.
const POLL_PERIOD: Duration = Duration::from_millis(30);

/// Shortest pause between two polls.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(2);

/// Tokens charged for a request. Dropping it refunds them to the team unless the request may have run.
pub(crate) struct Charge {
    entry: Rc<Entry>,
    team: Option<Rc<Team>>,
    cost: f64,
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Charges a request, waiting until its team has the tokens.
    ///
    /// # Errors
    /// Refuses the request if the tokens can't be available in time.
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
        let on_time = Duration::from_millis(route.target_ms).mul_f64(ON_TIME_WAIT_SHARE);
        let limits = WaitLimits {
            on_time_until: now + on_time,
            start_by: request_log.arrived_at + route.start_within(facts.deadline),
            ends_at: request_log.arrived_at + route.time_limit(facts.deadline),
        };
        let outcome = {
            let mut quotas = entry.quotas.borrow_mut();
            quotas.charge(&team, charge.cost, share, limits, now)
        };
        match outcome {
            ChargeOutcome::Charged => {}
            ChargeOutcome::Wait(ticket, wait) => {
                let queued = QueuedCharge {
                    entry,
                    team: &team,
                    ticket,
                };
                if let Err(retry_after) = queued.wait(wait, limits.start_by).await {
                    return Err(over_quota(entry, facts, &team, retry_after));
                }
            }
            ChargeOutcome::Refused(retry_after) => {
                return Err(over_quota(entry, facts, &team, retry_after));
            }
        }
        charge.team = Some(team);
        Ok(charge)
    }

    /// Records whether an endpoint may have run the request; if so, its tokens are not refunded.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

/// A request queued for its team's tokens. Dropping it leaves the queue.
struct QueuedCharge<'a> {
    entry: &'a Entry,
    team: &'a Team,
    ticket: Ticket,
}

impl Drop for QueuedCharge<'_> {
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

impl QueuedCharge<'_> {
    /// Waits until the tokens are available. Gives up as soon as the forecast wait ends after `start_by`.
    ///
    /// # Errors
    /// Returns the time after which the caller should retry.
    async fn wait(&self, expected_wait: Duration, start_by: Moment) -> Result<(), Duration> {
        let mut wait = expected_wait;
        loop {
            let left = start_by.since(Moment::now());
            if left < wait {
                return Err(wait);
            }
            // Requests ahead of this one may leave the queue, so the forecast is refreshed each period.
            compio::time::sleep(wait.min(POLL_PERIOD).min(left)).await;
            let now = Moment::now();
            let share = self.entry.quota_share(now);
            let mut quotas = self.entry.quotas.borrow_mut();
            match quotas.claim(self.team, self.ticket, share, now) {
                Ok(()) => return Ok(()),
                Err(longer) => wait = longer.max(MIN_POLL_PAUSE),
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
            quotas.refund(&team.name, self.cost, Moment::now());
        }
    }
}

/// Cost of a request: one if the team counts requests, else the tokens that it may use, or the team's default cost if
/// the request states no token counts. Without a team it is zero.
fn cost(facts: &RequestFacts, team: Option<&Team>) -> f64 {
    match (team, facts.prompt_tokens, facts.max_output_tokens) {
        (Some(team), _, _) if !team.counts_tokens => 1.0,
        (_, Some(prompt), Some(output)) => prompt.saturating_add(output) as f64,
        (Some(team), _, _) => team.default_cost,
        (None, _, _) => 0.0,
    }
}
