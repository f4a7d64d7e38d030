//! How endpoints have served requests lately, by this entry's own and by what its peers tell of theirs.

use std::{collections::HashMap, time::Duration};

use camphorwall::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{clock::Moment, loads::endpoint_key};

/// How long an endpoint that can't be reached is passed over; doubled at each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is passed over.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest result in an endpoint's share of failures.
const NEWEST_WEIGHT: f64 = 0.15;

/// Time in which a share of failures is halved without results, so that an endpoint is tried again.
const FORGET_HALF: Duration = Duration::from_secs(3);

/// Most endpoints that peers may tell of; the largest fleet planned for has 2,800, of which a few fail at a time.
const MAX_TOLD_RECORDS: usize = 1_024;

#[derive(Debug)]
struct Record {
    unreachable_count: u32,
    paused_until: Moment,
    failures: f64,
    updated_at: Moment,
}

impl Record {
    const fn new(now: Moment) -> Self {
        Self {
            unreachable_count: 0,
            paused_until: now,
            failures: 0.0,
            updated_at: now,
        }
    }

    /// Takes some results over.
    fn note(&mut self, answered: u16, failed: u16, now: Moment) {
        let count = answered.saturating_add(failed);
        if count == 0 {
            return;
        }
        let share = f64::from(failed) / f64::from(count);
        let kept = (1.0 - NEWEST_WEIGHT).powi(i32::from(count));
        self.failures = fade(self, now) * kept + share * (1.0 - kept);
        self.updated_at = now;
    }
}

/// What became of requests at an endpoint since an entry's last word.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedResults {
    /// Short name of the endpoint.
    endpoint: u64,
    answered: u16,
    failed: u16,
}

/// What is remembered of each endpoint, by its short name.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    records: HashMap<u64, Record>,
    /// Own results that peers were not told of.
    untold: HashMap<u64, ReportedResults>,
}

impl Suspicions {
    fn record(&mut self, endpoint: u64, now: Moment) -> &mut Record {
        self.records.entry(endpoint).or_insert(Record::new(now))
    }

    fn untold(&mut self, endpoint: u64) -> &mut ReportedResults {
        let none = ReportedResults {
            endpoint,
            ..ReportedResults::default()
        };
        self.untold.entry(endpoint).or_insert(none)
    }

    /// Own results since the last word, for peers.
    pub(crate) fn report(&mut self) -> Vec<ReportedResults> {
        self.untold.drain().map(|(_, results)| results).collect()
    }

    /// Takes over what a peer has seen.
    ///
    /// The load that this answers: a hundred entries and tens of endpoints, some of which lose answers. Each entry alone
    /// uses an endpoint once in many seconds, and learns of it by losing requests of its own.
    pub(crate) fn note_peer(&mut self, told: &[ReportedResults], now: Moment) {
        if self.records.len() >= MAX_TOLD_RECORDS {
            // Peers may tell of endpoints that are gone, and strangers of any.
            self.records
                .retain(|_, record| now < record.paused_until || fade(record, now) > 0.01);
        }
        for results in told {
            let is_known = self.records.contains_key(&results.endpoint);
            // An endpoint that this entry has not used and that fails nobody needs no record.
            let is_new = results.failed > 0 && self.records.len() < MAX_TOLD_RECORDS;
            if is_known || is_new {
                let record = self.record(results.endpoint, now);
                record.note(results.answered, results.failed, now);
            }
        }
    }

    /// Notes that the endpoint did not take a connection, or stayed silent.
    pub(crate) fn note_unreachable(&mut self, endpoint: &EndpointId, now: Moment) {
        let record = self.record(endpoint_key(endpoint), now);
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(record.unreachable_count.min(8));
        record.unreachable_count += 1;
        record.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes a request that the endpoint took and failed.
    pub(crate) fn note_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        self.record(endpoint, now).note(0, 1, now);
        let untold = self.untold(endpoint);
        untold.failed = untold.failed.saturating_add(1);
    }

    /// Notes a request that the endpoint answered well.
    pub(crate) fn note_success(&mut self, endpoint: &EndpointId, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        let untold = self.untold(endpoint);
        untold.answered = untold.answered.saturating_add(1);
        let record = self.record(endpoint, now);
        record.note(1, 0, now);
        record.unreachable_count = 0;
        record.paused_until = now;
    }

    /// Whether the endpoint is passed over now.
    #[must_use]
    pub(crate) fn is_unreachable(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let record = self.records.get(&endpoint_key(endpoint));
        record.is_some_and(|record| now < record.paused_until)
    }

    /// Share of its requests that the endpoint has failed lately.
    #[must_use]
    pub(crate) fn failure_share(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        let record = self.records.get(&endpoint_key(endpoint));
        record.map_or(0.0, |record| fade(record, now))
    }

    /// Endpoints that something is remembered of.
    #[cfg(test)]
    pub(crate) fn remembered(&self) -> usize {
        self.records.len()
    }

    /// Forgets an endpoint that is gone.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.records.remove(&endpoint_key(endpoint));
    }
}

fn fade(record: &Record, now: Moment) -> f64 {
    let halvings = now.since(record.updated_at).as_secs_f64() / FORGET_HALF.as_secs_f64();
    record.failures * 0.5_f64.powf(halvings)
}
