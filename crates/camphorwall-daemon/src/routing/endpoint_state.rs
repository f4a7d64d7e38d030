//! What an entry knows of one endpoint: the last report, corrected by what the entry itself did since.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{EngineRole, Load};

/// How long an endpoint that could not be reached is passed over.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);

/// Expected time that a decode or plain place is held.
const EXPECTED_SLOT_TIME_MS: f64 = 1_000.0;

/// Cost of a full endpoint's occupied places below its limit; spreads work among endpoints that are free.
const OCCUPANCY_COST_MS: f64 = 2.0;

/// Knowledge of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointState {
    load: Load,
    reported_at: Option<Instant>,
    /// Places that this entry was given since the report, less those it gave back.
    local_slots: i64,
    /// Prompt tokens that this entry sent since the report.
    local_prompt_tokens: u64,
    /// Reservations that this entry has asked for and not heard of.
    pending_reservations: u32,
    /// Address that could not be reached, and when.
    unreachable: Option<(SocketAddr, Instant)>,
}

impl EndpointState {
    /// Takes a report, unless the one held is younger than `period`; returns whether it was taken.
    pub(super) fn note_load(&mut self, load: Load, period: Duration, now: Instant) -> bool {
        self.unreachable = None;
        if self
            .reported_at
            .is_some_and(|reported_at| now < reported_at + period)
        {
            return false;
        }
        self.load = load;
        self.reported_at = Some(now);
        self.local_slots = 0;
        self.local_prompt_tokens = 0;
        true
    }

    pub(super) const fn note_reservation_sent(&mut self) {
        self.pending_reservations += 1;
    }

    pub(super) const fn note_reservation_answered(&mut self) {
        self.pending_reservations = self.pending_reservations.saturating_sub(1);
    }

    /// Notes a place that was given after the report was taken.
    pub(super) const fn note_slot_reserved(&mut self, prompt_tokens: u64) {
        self.local_slots += 1;
        self.local_prompt_tokens += prompt_tokens;
    }

    pub(super) const fn note_slot_released(&mut self) {
        self.local_slots -= 1;
    }

    pub(super) const fn note_unreachable(&mut self, address: SocketAddr, now: Instant) {
        self.unreachable = Some((address, now));
    }

    /// Whether the endpoint may answer at an address; a restarted one may have another.
    pub(super) fn is_reachable(&self, address: SocketAddr, now: Instant) -> bool {
        let is_over =
            |(noted, at): (SocketAddr, Instant)| noted != address || now >= at + UNREACHABLE_PERIOD;
        self.unreachable.is_none_or(is_over)
    }

    /// Requests at the endpoint by the last report alone.
    pub(super) const fn reported(&self) -> u32 {
        self.load.running + self.load.reserved + self.load.waiting
    }

    /// Expected time until a new request has its turn, in milliseconds.
    pub(super) fn wait_ms(&self, role: EngineRole, prefill_ms_per_token: f64) -> f64 {
        let slots = f64::from(self.load.slots.max(1));
        let local = f64::from(self.pending_reservations) + self.local_slots as f64;
        let busy = (f64::from(self.reported()) + local).max(0.0);
        let occupancy_ms = OCCUPANCY_COST_MS * busy / slots;
        match role {
            EngineRole::Prefill => {
                let tokens = self.load.queued_prompt_tokens + self.local_prompt_tokens;
                tokens as f64 * prefill_ms_per_token + occupancy_ms
            }
            EngineRole::Decode | EngineRole::Plain => {
                let over = (busy + 1.0 - slots).max(0.0);
                over / slots * EXPECTED_SLOT_TIME_MS + occupancy_ms
            }
        }
    }
}
