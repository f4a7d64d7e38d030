//! Measures how fast an engine generates the events of a stream.

use std::time::Duration;

use crate::clock::Moment;

/// Number of events over which the time is measured. Long streams give several measurements.
const MEASURED_EVENTS: u32 = 16;

/// Share of the time that the entry must have waited for the engine. Otherwise the caller's reading set the pace.
const MIN_WAITED_SHARE: f64 = 0.8;

/// Times the events of a stream from one endpoint.
#[derive(Debug, Default)]
pub(crate) struct DecodeTimer {
    /// When the last measurement ended.
    since: Option<Moment>,
    waited: Duration,
    events: u32,
}

impl DecodeTimer {
    /// Records a wait for bytes.
    pub(crate) fn note_wait(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Records events; returns the time per event at the end of a measurement. The first events only start it, since
    /// they contain the transfer of the KV cache.
    pub(crate) fn note_events(&mut self, count: u32, now: Moment) -> Option<Duration> {
        let Some(since) = self.since else {
            self.start(now);
            return None;
        };
        self.events = self.events.saturating_add(count);
        if self.events < MEASURED_EVENTS {
            return None;
        }
        let time = now.since(since);
        let has_waited = self.waited.as_secs_f64() >= time.as_secs_f64() * MIN_WAITED_SHARE;
        let per_event = time / self.events;
        self.start(now);
        has_waited.then_some(per_event)
    }

    fn start(&mut self, now: Moment) {
        *self = Self {
            since: Some(now),
            ..Self::default()
        };
    }
}
