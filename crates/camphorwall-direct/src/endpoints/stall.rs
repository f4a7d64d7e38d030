//! Detects that an endpoint has stopped sending a stream although its connection is still open.

use std::time::Duration;

use crate::clock::Moment;

/// Factor by which a pause must exceed the usual one to count as a stall. A slow endpoint that still sends is not cut: it
/// may slow down by this factor from one event to the next.
const STALL_FACTOR: u32 = 16;

/// Shortest pause that counts as a stall. An engine that preempts a run prefills it again before it goes on.
const MIN_STALL: Duration = Duration::from_millis(1_500);

/// Delay of a timer beyond which this process itself stood still, and not the endpoint.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(200);

/// Weight of the newest pause in the usual one.
const NEWEST_WEIGHT: f64 = 0.3;

/// Pauses between the events of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pauses {
    usual: Option<Duration>,
    last_event_at: Moment,
}

impl Pauses {
    /// Starts at the moment at which an endpoint begins to send; `usual` is the pause that its service usually makes.
    pub(crate) const fn new(usual: Option<Duration>, now: Moment) -> Self {
        Self {
            usual,
            last_event_at: now,
        }
    }

    /// Records the arrival of events.
    pub(crate) fn note_events(&mut self, count: u32, now: Moment) {
        let pause = now.since(self.last_event_at) / count.max(1);
        self.last_event_at = now;
        let usual = self.usual.map_or(pause, |usual| {
            usual.mul_f64(1.0 - NEWEST_WEIGHT) + pause.mul_f64(NEWEST_WEIGHT)
        });
        self.usual = Some(usual);
    }

    /// Starts the current pause anew.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.last_event_at = now;
    }

    /// Moment from which the stream counts as stalled if nothing arrives. The caller waits for `wait_limit` after an event;
    /// `reopen_time` of that is needed to continue at another endpoint.
    pub(crate) fn stalled_at(&self, wait_limit: Duration, reopen_time: Duration) -> Moment {
        let unusual = self.usual.unwrap_or_default() * STALL_FACTOR;
        let last_chance = wait_limit.saturating_sub(reopen_time);
        self.last_event_at + unusual.max(MIN_STALL).min(last_chance)
    }
}

/// Whether a timer that should have fired at one moment shows, by firing much later, that this process stood still. What
/// arrived meanwhile has not been read yet.
pub(crate) fn has_stood_still(due_at: Moment, now: Moment) -> bool {
    now.since(due_at) > MAX_TIMER_DELAY
}
