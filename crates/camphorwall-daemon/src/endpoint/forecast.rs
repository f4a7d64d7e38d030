//! Forecasts when running requests end, from their remaining output tokens and the observed token rate.

use std::time::{Duration, Instant};

/// Assumed time between tokens before any was observed.
const INITIAL_TOKEN_GAP: Duration = Duration::from_millis(30);

/// Assumed time from assignment to release of a slot before any was observed.
const INITIAL_ASSIGNMENT_TIME: Duration = Duration::from_millis(500);

/// Assumed time from the assignment of a slot to the start of its work before any was observed.
const INITIAL_LEAD: Duration = Duration::from_millis(50);

/// A slot is assigned this many mean leads before it is free, so that most work arrives by then.
const MEAN_LEADS_AHEAD: f64 = 2.0;

/// Maximum time before a slot is free at which it is assigned.
const MAX_ASSIGNMENT_LEAD: Duration = Duration::from_millis(500);

/// Weight of the newest observation in an exponential moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Progress of one running request.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    max_output_tokens: u64,
    written_tokens: u64,
    started_at: Instant,
    last_token_at: Instant,
}

impl Progress {
    pub(super) const fn new(max_output_tokens: u64, now: Instant) -> Self {
        Self {
            max_output_tokens,
            written_tokens: 0,
            started_at: now,
            last_token_at: now,
        }
    }

    pub(super) const fn note_token(&mut self, now: Instant) {
        self.written_tokens += 1;
        self.last_token_at = now;
    }
}

/// Moving averages of what one endpoint has observed.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    token_gap_s: f64,
    assignment_s: f64,
    lead_s: f64,
    /// Share of waiting claims that take their slot here; the others leave for another endpoint.
    acquired_share: f64,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            token_gap_s: INITIAL_TOKEN_GAP.as_secs_f64(),
            assignment_s: INITIAL_ASSIGNMENT_TIME.as_secs_f64(),
            lead_s: INITIAL_LEAD.as_secs_f64(),
            acquired_share: 1.0,
        }
    }
}

fn update_mean(mean: &mut f64, newest: f64) {
    *mean += (newest - *mean) * NEWEST_WEIGHT;
}

impl Forecast {
    /// Records the token rate of an ended request.
    pub(super) fn note_run(&mut self, ended: &Progress) {
        if ended.written_tokens > 0 {
            let spent = ended
                .last_token_at
                .saturating_duration_since(ended.started_at);
            let gap_s = spent.as_secs_f64() / ended.written_tokens as f64;
            update_mean(&mut self.token_gap_s, gap_s);
        }
    }

    /// Records the time from the assignment of a slot to the start of its work.
    pub(super) fn note_lead(&mut self, lead: Duration) {
        update_mean(&mut self.lead_s, lead.as_secs_f64());
    }

    /// How long before it is free a slot is assigned.
    pub(super) fn assignment_lead(&self) -> Duration {
        Duration::from_secs_f64(self.lead_s * MEAN_LEADS_AHEAD).min(MAX_ASSIGNMENT_LEAD)
    }

    /// Records the time from the assignment of a slot to its release.
    pub(super) fn note_assignment(&mut self, assignment_time: Duration) {
        update_mean(&mut self.assignment_s, assignment_time.as_secs_f64());
    }

    /// Records whether a claim that waited took its slot here, or left for another endpoint.
    pub(super) fn note_wait_end(&mut self, is_acquired: bool) {
        update_mean(&mut self.acquired_share, f64::from(u8::from(is_acquired)));
    }

    /// How many of `waiting` claims are expected to take a slot here.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most the length of a queue"
    )]
    pub(super) fn expected_acquisitions(&self, waiting: usize) -> usize {
        (waiting as f64 * self.acquired_share).ceil() as usize
    }

    /// Expected time until a running request ends.
    pub(super) fn remaining(&self, running: &Progress, now: Instant) -> Duration {
        let tokens = running
            .max_output_tokens
            .saturating_sub(running.written_tokens);
        let from_last_token = Duration::from_secs_f64(tokens as f64 * self.token_gap_s);
        let since_last_token = now.saturating_duration_since(running.last_token_at);
        from_last_token.saturating_sub(since_last_token)
    }

    /// Expected time until `before` requests have their slots and one more slot is free.
    pub(super) fn wait<'a>(
        &self,
        running: impl Iterator<Item = &'a Progress>,
        before: usize,
        slots: usize,
        now: Instant,
    ) -> Duration {
        let mut ends: Vec<Duration> = running.map(|one| self.remaining(one, now)).collect();
        ends.sort();
        let assignment_time = Duration::from_secs_f64(self.assignment_s);
        let free = slots.saturating_sub(ends.len());
        match before.checked_sub(free) {
            None => Duration::ZERO,
            Some(position) if position < ends.len() => ends[position],
            // All running requests end first; each round of followers ends one mean assignment time later.
            Some(position) => {
                let rounds = (position + 1) as f64 / slots.max(1) as f64;
                assignment_time.mul_f64(rounds)
            }
        }
    }
}

#[cfg(test)]
#[path = "forecast_tests.rs"]
mod tests;
