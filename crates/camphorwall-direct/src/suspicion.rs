//! Tracks failures of endpoints, from this entry's own requests and from the results that its peers report.

use std::{collections::HashMap, time::Duration};

use camphorwall::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{clock::Moment, loads::endpoint_key};

/// Time for which an unreachable endpoint is skipped; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is skipped.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Weight of the newest result in an endpoint's share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// Half-life of an endpoint's share of failures while it gets no requests, so that it is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Number of records at which reports from peers add no more. The largest planned fleet has 2,800 endpoints, of which a
/// few fail at a time.
const MAX_REPORTED_RECORDS: usize = 1_024;

#[derive(Debug)]
struct Record {
    unreachable_count: u32,
    skipped_until: Moment,
    /// Share of failed requests at `updated_at`, weighted towards the newest.
    failure_share: f64,
    updated_at: Moment,
}

impl Record {
    const fn new(now: Moment) -> Self {
        Self {
            unreachable_count: 0,
            skipped_until: now,
            failure_share: 0.0,
            updated_at: now,
        }
    }

    /// Adds results to the share of failures.
    fn note(&mut self, answered: u16, failed: u16, now: Moment) {
        let count = answered.saturating_add(failed);
        if count == 0 {
            return;
        }
        let share = f64::from(failed) / f64::from(count);
        let kept = (1.0 - NEWEST_WEIGHT).powi(i32::from(count));
        self.failure_share = decayed_failure_share(self, now) * kept + share * (1.0 - kept);
        self.updated_at = now;
    }
}

/// Results of an entry's requests at one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedResults {
    /// Hash of the endpoint's name, see [`endpoint_key`].
    endpoint: u64,
    answered: u16,
    failed: u16,
}

/// Failure records of endpoints, by [`endpoint_key`].
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    records: HashMap<u64, Record>,
    /// Results that have not been reported to peers yet.
    unreported: HashMap<u64, ReportedResults>,
}

impl Suspicions {
    fn record(&mut self, endpoint: u64, now: Moment) -> &mut Record {
        self.records.entry(endpoint).or_insert(Record::new(now))
    }

    fn unreported(&mut self, endpoint: u64) -> &mut ReportedResults {
        let none = ReportedResults {
            endpoint,
            ..ReportedResults::default()
        };
        self.unreported.entry(endpoint).or_insert(none)
    }

    /// Reports this entry's results since its last report.
    pub(crate) fn report(&mut self) -> Vec<ReportedResults> {
        self.unreported
            .drain()
            .map(|(_, results)| results)
            .collect()
    }

    /// Adds the results that a peer reports.
    ///
    /// With a hundred entries and tens of endpoints, each entry uses an endpoint only once in many seconds. Without
    /// reports, each would have to lose requests of its own before it avoided a failing endpoint.
    pub(crate) fn note_peer(&mut self, reports: &[ReportedResults], now: Moment) {
        if self.records.len() >= MAX_REPORTED_RECORDS {
            // Peers may report endpoints that have been removed, and unauthenticated senders any.
            self.records.retain(|_, record| {
                now < record.skipped_until || decayed_failure_share(record, now) > 0.01
            });
        }
        for results in reports {
            let is_known = self.records.contains_key(&results.endpoint);
            // An endpoint without failures that this entry has not used needs no record.
            let is_new = results.failed > 0 && self.records.len() < MAX_REPORTED_RECORDS;
            if is_known || is_new {
                let record = self.record(results.endpoint, now);
                record.note(results.answered, results.failed, now);
            }
        }
    }

    /// Records that the endpoint did not accept a connection or did not respond.
    pub(crate) fn note_unreachable(&mut self, endpoint: &EndpointId, now: Moment) {
        let record = self.record(endpoint_key(endpoint), now);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(record.unreachable_count.min(8));
        record.unreachable_count += 1;
        record.skipped_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a request that the endpoint accepted and failed.
    pub(crate) fn note_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        self.record(endpoint, now).note(0, 1, now);
        let unreported = self.unreported(endpoint);
        unreported.failed = unreported.failed.saturating_add(1);
    }

    /// Records a request that the endpoint answered.
    pub(crate) fn note_success(&mut self, endpoint: &EndpointId, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        let unreported = self.unreported(endpoint);
        unreported.answered = unreported.answered.saturating_add(1);
        let record = self.record(endpoint, now);
        record.note(1, 0, now);
        record.unreachable_count = 0;
        record.skipped_until = now;
    }

    /// Whether the endpoint is skipped at present.
    #[must_use]
    pub(crate) fn is_unreachable(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let record = self.records.get(&endpoint_key(endpoint));
        record.is_some_and(|record| now < record.skipped_until)
    }

    /// Share of the endpoint's requests that failed recently.
    #[must_use]
    pub(crate) fn failure_share(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        let record = self.records.get(&endpoint_key(endpoint));
        record.map_or(0.0, |record| decayed_failure_share(record, now))
    }

    /// Number of endpoints with a record.
    #[cfg(test)]
    pub(crate) fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Forgets an endpoint that has been removed.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.records.remove(&endpoint_key(endpoint));
    }
}

/// Share of failures after its decay since the last result.
fn decayed_failure_share(record: &Record, now: Moment) -> f64 {
    let halvings = now.since(record.updated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
    record.failure_share * 0.5_f64.powf(halvings)
}
