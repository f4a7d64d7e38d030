//! An entry's estimate of one endpoint's load: the last report, corrected by the entry's own requests since then.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use camphorwall::{EngineRole, Load};

/// How long an endpoint that could not be reached is skipped.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);

/// Expected time for which a request occupies a decode or plain slot.
const EXPECTED_SLOT_TIME_MS: f64 = 1_000.0;

/// Cost of all occupied slots of a full endpoint, in proportion for fewer. Spreads work among endpoints that have free
/// slots.
const OCCUPANCY_COST_MS: f64 = 2.0;

/// Load and reachability of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointState {
    load: Load,
    reported_at: Option<Instant>,
    /// Slots that this entry has reserved since the report, less those that it has released.
    local_slots: i64,
    /// Prompt tokens of the slots that this entry has reserved since the report.
    local_prompt_tokens: u64,
    /// Reservations that this entry has sent and that are not answered yet.
    pending_reservations: u32,
    /// Address that could not be reached, and the time of the failure.
    unreachable: Option<(SocketAddr, Instant)>,
}

impl EndpointState {
    /// Accepts a load report, unless the last one is younger than `period`; returns whether it was accepted.
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

    /// Notes a slot that was reserved since the last accepted report.
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

    /// Whether the endpoint may be reachable at an address. A failure counts for its address only, because a restarted
    /// endpoint may have another.
    pub(super) fn is_reachable(&self, address: SocketAddr, now: Instant) -> bool {
        let is_expired =
            |(noted, at): (SocketAddr, Instant)| noted != address || now >= at + UNREACHABLE_PERIOD;
        self.unreachable.is_none_or(is_expired)
    }

    /// Requests at the endpoint according to the last report alone.
    pub(super) const fn reported(&self) -> u32 {
        self.load.running + self.load.reserved + self.load.waiting
    }

    /// Expected time until a new request would be served, in milliseconds.
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
