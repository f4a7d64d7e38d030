//! Tracks failures of endpoints, from this entry's own requests and from the results that its peers report.
//!
//! An endpoint either is sound and loses almost nothing, or it loses a large part of its requests. Each result is
//! evidence for one of the two, so that a single lost answer already counts for much, and a few answers in between don't
//! hide that an endpoint loses two of five.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{balance::loads::endpoint_key, clock::Moment, names::EndpointName};

/// Time for which an unreachable endpoint is skipped; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is skipped.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time after an answer from an endpoint in which a peer's report that it is unreachable is ignored: the way from that
/// peer is what fails.
const REACHABLE_AFTER_ANSWER: Duration = Duration::from_millis(500);

/// Share of its requests that a sound endpoint loses.
const SOUND_LOSS: f64 = 0.01;

/// Share of its requests that a losing endpoint loses at least.
const MIN_LOSING_LOSS: f64 = 0.4;

/// Logarithm of the odds that an endpoint is losing, without any results. Successes don't lower it further, so that an
/// endpoint that begins to lose requests is noticed at once.
const INITIAL_LOG_ODDS: f64 = -4.0;

/// Maximum of these odds, so that an endpoint that has recovered is used again after some answers.
const MAX_LOG_ODDS: f64 = 6.0;

/// Half-life of the evidence against an endpoint while it gets no requests, so that it is tried again.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Weight of the newest result in the share of requests that an endpoint loses.
const NEWEST_WEIGHT: f64 = 0.15;

/// Expected loss below which the record of an endpoint that only peers use is dropped.
const MIN_KEPT_LOSS: f64 = 0.01;

/// Number of records at which reports from peers add no more. The largest planned fleet has 2,800 endpoints, of which a
/// few fail at a time.
const MAX_REPORTED_RECORDS: usize = 1_024;

#[derive(Debug)]
struct Record {
    unreachable_count: u32,
    skipped_until: Moment,
    answered_at: Option<Moment>,
    /// Logarithm of the odds that the endpoint is losing, at `updated_at`.
    log_odds: f64,
    /// Share of failed requests, weighted towards the newest.
    loss: f64,
    updated_at: Moment,
}

impl Record {
    const fn new(now: Moment) -> Self {
        Self {
            unreachable_count: 0,
            skipped_until: now,
            answered_at: None,
            log_odds: INITIAL_LOG_ODDS,
            loss: 0.0,
            updated_at: now,
        }
    }

    /// Adds results to the evidence.
    fn note(&mut self, answered: u16, failed: u16, now: Moment) {
        let count = answered.saturating_add(failed);
        if count == 0 {
            return;
        }
        let for_losing = f64::from(failed) * (MIN_LOSING_LOSS / SOUND_LOSS).ln();
        let for_sound = f64::from(answered) * ((1.0 - SOUND_LOSS) / (1.0 - MIN_LOSING_LOSS)).ln();
        let log_odds = self.decayed_log_odds(now) + for_losing - for_sound;
        self.log_odds = log_odds.clamp(INITIAL_LOG_ODDS, MAX_LOG_ODDS);
        let kept = (1.0 - NEWEST_WEIGHT).powi(i32::from(count));
        let share = f64::from(failed) / f64::from(count);
        self.loss = self.loss * kept + share * (1.0 - kept);
        self.updated_at = now;
    }

    /// Evidence after its decay since the last result.
    fn decayed_log_odds(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated_at);
        let halvings = elapsed.as_secs_f64() / EVIDENCE_HALF_LIFE.as_secs_f64();
        INITIAL_LOG_ODDS + (self.log_odds - INITIAL_LOG_ODDS) * 0.5_f64.powf(halvings)
    }

    /// Expected share of the next requests that the endpoint loses because it is a losing one.
    fn expected_loss(&self, now: Moment) -> f64 {
        let probability = 1.0 / (1.0 + (-self.decayed_log_odds(now)).exp());
        probability * self.loss.max(MIN_LOSING_LOSS)
    }
}

/// Results of an entry's requests at one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ReportedResults {
    /// Hash of the endpoint's name, see [`endpoint_key`].
    endpoint: u64,
    answered: u16,
    failed: u16,
    /// Whether the endpoint accepted no connection.
    is_unreachable: bool,
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
                now < record.skipped_until || record.expected_loss(now) > MIN_KEPT_LOSS
            });
        }
        for results in reports {
            let is_known = self.records.contains_key(&results.endpoint);
            // An endpoint without failures that this entry has not used needs no record.
            let has_failed = results.failed > 0 || results.is_unreachable;
            let is_new = has_failed && self.records.len() < MAX_REPORTED_RECORDS;
            if !is_known && !is_new {
                continue;
            }
            let record = self.record(results.endpoint, now);
            record.note(results.answered, results.failed, now);
            let answered_at = record.answered_at;
            let has_just_answered =
                answered_at.is_some_and(|at| now.since(at) < REACHABLE_AFTER_ANSWER);
            if results.answered > 0 {
                record.unreachable_count = 0;
                record.skipped_until = now;
            } else if results.is_unreachable && !has_just_answered {
                record.skipped_until = record.skipped_until.max(now + INITIAL_BACKOFF);
            }
        }
    }

    /// Records that the endpoint accepted no connection, and reports it to the peers.
    pub(crate) fn note_unreachable(&mut self, endpoint: &EndpointName, now: Moment) {
        self.note_unresponsive(endpoint, now);
        self.unreported(endpoint_key(endpoint)).is_unreachable = true;
    }

    /// Records that the endpoint did not respond in time. Whether it is slow for others too is theirs to find out.
    pub(crate) fn note_unresponsive(&mut self, endpoint: &EndpointName, now: Moment) {
        let record = self.record(endpoint_key(endpoint), now);
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(record.unreachable_count.min(8));
        record.unreachable_count += 1;
        record.skipped_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a request that the endpoint accepted and failed.
    pub(crate) fn note_failure(&mut self, endpoint: &EndpointName, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        self.record(endpoint, now).note(0, 1, now);
        let unreported = self.unreported(endpoint);
        unreported.failed = unreported.failed.saturating_add(1);
    }

    /// Records a request that the endpoint answered.
    pub(crate) fn note_success(&mut self, endpoint: &EndpointName, now: Moment) {
        let endpoint = endpoint_key(endpoint);
        let unreported = self.unreported(endpoint);
        unreported.answered = unreported.answered.saturating_add(1);
        let record = self.record(endpoint, now);
        record.note(1, 0, now);
        record.unreachable_count = 0;
        record.skipped_until = now;
        record.answered_at = Some(now);
    }

    /// Whether the endpoint is skipped at present.
    #[must_use]
    pub(crate) fn is_unreachable(&self, endpoint: &EndpointName, now: Moment) -> bool {
        let record = self.records.get(&endpoint_key(endpoint));
        record.is_some_and(|record| now < record.skipped_until)
    }

    /// Share of the endpoint's next requests that it is expected to lose.
    #[must_use]
    pub(crate) fn expected_loss(&self, endpoint: &EndpointName, now: Moment) -> f64 {
        let record = self.records.get(&endpoint_key(endpoint));
        record.map_or(0.0, |record| record.expected_loss(now))
    }

    /// Number of endpoints with a record.
    #[cfg(test)]
    pub(crate) fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Forgets an endpoint that has been removed.
    pub(crate) fn forget(&mut self, endpoint: &EndpointName) {
        self.records.remove(&endpoint_key(endpoint));
    }
}
