//! How endpoints have served this entry's own requests lately.

use std::{collections::HashMap, time::Duration};

use camphorwall::EndpointId;

use crate::clock::Moment;

/// How long an endpoint that can't be reached is passed over; doubled at each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is passed over.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest result in an endpoint's share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// Time in which a share of failures is halved without results, so that an endpoint is tried again.
const FORGET_HALF: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Record {
    unreachable_count: u32,
    paused_until: Moment,
    failures: f64,
    updated_at: Moment,
}

/// What is remembered of each endpoint.
#[derive(Debug, Default)]
pub(crate) struct Suspicions(HashMap<EndpointId, Record>);

impl Suspicions {
    fn record(&mut self, endpoint: &EndpointId, now: Moment) -> &mut Record {
        self.0.entry(endpoint.clone()).or_insert(Record {
            unreachable_count: 0,
            paused_until: now,
            failures: 0.0,
            updated_at: now,
        })
    }

    fn note(&mut self, endpoint: &EndpointId, result: f64, now: Moment) {
        let record = self.record(endpoint, now);
        let faded = fade(record, now);
        record.failures = faded + NEWEST_WEIGHT * (result - faded);
        record.updated_at = now;
    }

    /// Notes that the endpoint did not take a connection, or stayed silent.
    pub(crate) fn note_unreachable(&mut self, endpoint: &EndpointId, now: Moment) {
        let record = self.record(endpoint, now);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(record.unreachable_count.min(8));
        record.unreachable_count += 1;
        record.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes a request that the endpoint took and failed.
    pub(crate) fn note_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        self.note(endpoint, 1.0, now);
    }

    /// Notes a request that the endpoint answered well.
    pub(crate) fn note_success(&mut self, endpoint: &EndpointId, now: Moment) {
        self.note(endpoint, 0.0, now);
        let record = self.record(endpoint, now);
        record.unreachable_count = 0;
        record.paused_until = now;
    }

    /// Whether the endpoint is passed over now.
    #[must_use]
    pub(crate) fn is_unreachable(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let record = self.0.get(endpoint);
        record.is_some_and(|record| now < record.paused_until)
    }

    /// Share of its requests that the endpoint has failed lately.
    #[must_use]
    pub(crate) fn failure_share(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        self.0.get(endpoint).map_or(0.0, |record| fade(record, now))
    }

    /// Forgets an endpoint that is gone.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.0.remove(endpoint);
    }
}

fn fade(record: &Record, now: Moment) -> f64 {
    let halvings = now.since(record.updated_at).as_secs_f64() / FORGET_HALF.as_secs_f64();
    record.failures * 0.5_f64.powf(halvings)
}
