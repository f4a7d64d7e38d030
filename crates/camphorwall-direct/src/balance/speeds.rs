//! Speeds of endpoints, learned from their own answers.
//!
//! For each service and stage, a line gives the usual time of work as a function of its size: a prefill by the tokens
//! queued up to its own, a generated token by the runs on the engine, a plain call by the share of slots in use. For each
//! endpoint, the mean logarithm of its times over the usual ones gives its slowness. What an endpoint states of itself
//! only adds to the time that is expected of it.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    balance::loads::service_key,
    clock::Moment,
    configuration::{Endpoint, EndpointIncarnation, Stage},
    dialect::StatedLoad,
    names::ServiceName,
};

/// Time constant with which observations of a pool lose influence. An entry of a large fleet makes few of them.
const POOL_MEMORY: Duration = Duration::from_secs(60);

/// Time constant with which observations of an endpoint lose influence. It is long compared to the slow periods of a machine, which
/// last some hundred milliseconds, and short compared to the life of an endpoint.
const MEMORY: Duration = Duration::from_secs(10);

/// Time between two observations of an endpoint from which on each counts fully. More frequent ones share this weight,
/// so that a slow period counts by its duration and not by the number of requests that it affects.
const FULL_WEIGHT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum weight of an observation.
const MIN_OBSERVATION_WEIGHT: f64 = 0.05;

/// Weight with which an endpoint counts as average before it has been observed. A slow period of 600 ms has a weight of
/// 3.
const PRIOR_WEIGHT: f64 = 8.0;

/// Maximum logarithm of one observation over the usual time, so that a lost packet or a stalled machine does not count
/// like a slow engine.
const MAX_LN_SLOWNESS: f64 = 1.4;

/// Maximum multiple of the usual time that an observation adds to the usual time.
const MAX_OUTLIER: f64 = 8.0;

/// Weight of the assumed slope of a pool's times, as a variance relative to the squared mean size.
const SLOPE_PRIOR: f64 = 0.04;

/// Range of a pool's slope relative to the assumed one.
const SLOPE_RANGE: (f64, f64) = (0.1, 10.0);

/// Time for which a stated pace is believed; it changes many times a second.
const PACE_LIFETIME: Duration = Duration::from_millis(300);

/// Weight of the usual pace in the mean of those that a pool's endpoints state.
const POOL_PACE_PRIOR: f64 = 0.5;

/// Time for which stated work that no entry has reported is believed.
const EXCESS_LIFETIME: Duration = Duration::from_millis(500);

/// Stated runs beyond the known ones that are ignored: heartbeats arrive some milliseconds late.
const EXCESS_TOLERANCE: usize = 1;

/// Maximum number of runs beyond the known ones that a statement adds.
const MAX_EXCESS: usize = 256;

/// Time after which an unchanged slow pace is taken as frozen and ignored. Slow periods are shorter; an engine that is
/// always slow shows it in its answers.
const FROZEN_AFTER: Duration = Duration::from_secs(2);

/// Time after a stated pace for which choices for the service compare expected times.
const IN_EFFECT_FOR: Duration = Duration::from_secs(10);

/// Maximum number of endpoints with a record; the largest planned fleet has 2,800.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of pools, of services whose paces are remembered, and the like.
const MAX_POOLS: usize = 1_024;

/// Maximum number of endpoints in one heartbeat, about 20 bytes each.
const MAX_REPORTS: usize = 16;

/// Maximum number of observations that count in one report.
const MAX_REPORTED_COUNT: u8 = 32;

/// Milliseconds of a duration, with their fraction.
pub(crate) fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Share that is left of a weight after a time.
fn decay(elapsed: Duration, memory: Duration) -> f64 {
    // The floor keeps the sums of an idle pool, whose ratios stay valid, from underflowing.
    (-elapsed.as_secs_f64() / memory.as_secs_f64())
        .exp()
        .max(1e-3)
}

/// Identifies the endpoints of a service for a stage.
type PoolKey = (u64, Stage);

fn pool_key(endpoint: &Endpoint) -> PoolKey {
    (service_key(&endpoint.service), endpoint.stage)
}

/// Usual time of a pool's work by its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UsualTime {
    mean_size: f64,
    mean_ms: f64,
    /// Milliseconds per unit of size.
    pub(crate) slope_ms: f64,
}

impl UsualTime {
    /// Assumed times before any observation, in the order of magnitude of model engines. Only their ratios matter for a
    /// choice.
    const fn assumed(stage: Stage) -> Self {
        let (mean_size, mean_ms, slope_ms) = match stage {
            Stage::Prefill => (5_000.0, 100.0, 0.019),
            Stage::Decode => (1.0, 0.4, 0.01),
            Stage::Whole => (0.5, 20.0, 4.0),
        };
        Self {
            mean_size,
            mean_ms,
            slope_ms,
        }
    }

    /// Time of work of a size, in milliseconds.
    pub(crate) fn at(&self, size: f64) -> f64 {
        let time = self.mean_ms + self.slope_ms * (size - self.mean_size);
        time.max(self.mean_ms * 0.05)
    }
}

/// Weighted sums of the sizes and times of a pool's work.
#[derive(Clone, Copy, Debug)]
struct Pool {
    weight: f64,
    size: f64,
    time: f64,
    size_square: f64,
    product: f64,
    updated_at: Moment,
}

impl Pool {
    const fn new(now: Moment) -> Self {
        Self {
            weight: 0.0,
            size: 0.0,
            time: 0.0,
            size_square: 0.0,
            product: 0.0,
            updated_at: now,
        }
    }

    fn observe(&mut self, size: f64, time_ms: f64, now: Moment) {
        let kept = decay(now.since(self.updated_at), POOL_MEMORY);
        self.weight = self.weight * kept + 1.0;
        self.size = self.size * kept + size;
        self.time = self.time * kept + time_ms;
        self.size_square = self.size_square * kept + size * size;
        self.product = self.product * kept + size * time_ms;
        self.updated_at = now;
    }

    fn usual(&self, stage: Stage) -> UsualTime {
        let assumed = UsualTime::assumed(stage);
        if self.weight <= 0.0 {
            return assumed;
        }
        let (mean_size, mean_ms) = (self.size / self.weight, self.time / self.weight);
        let variance = (self.size_square / self.weight - mean_size * mean_size).max(0.0);
        let covariance = self.product / self.weight - mean_size * mean_ms;
        let expected_slope = assumed.slope_ms * mean_ms / assumed.at(mean_size);
        let prior = SLOPE_PRIOR * mean_size * mean_size + 1e-9;
        let slope = (covariance + prior * expected_slope) / (variance + prior);
        let (min, max) = SLOPE_RANGE;
        UsualTime {
            mean_size,
            mean_ms,
            slope_ms: slope.clamp(expected_slope * min, expected_slope * max),
        }
    }
}

/// Mean logarithm of an endpoint's times over the usual ones.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    weight: f64,
    sum: f64,
    updated_at: Moment,
}

impl Slowness {
    fn observe(&mut self, ln_ratio: f64, count: f64, at: Moment) {
        let elapsed = at.since(self.updated_at);
        let interval = elapsed.as_secs_f64() / FULL_WEIGHT_INTERVAL.as_secs_f64();
        let weight = if self.weight == 0.0 {
            1.0
        } else {
            interval.clamp(MIN_OBSERVATION_WEIGHT * count, count)
        };
        let kept = decay(elapsed, MEMORY);
        self.weight = self.weight * kept + weight;
        self.sum = self.sum * kept + weight * ln_ratio;
        self.updated_at = self.updated_at.max(at);
    }

    /// The endpoint's times over the usual ones. Approaches 1 while there are no observations.
    fn at(&self, now: Moment) -> f64 {
        let kept = decay(now.since(self.updated_at), MEMORY);
        (self.sum * kept / (self.weight * kept + PRIOR_WEIGHT)).exp()
    }
}

/// Mean factor that the endpoints of a pool have just stated.
#[derive(Clone, Copy, Debug)]
struct PoolPace {
    weight: f64,
    sum: f64,
    updated_at: Moment,
}

impl PoolPace {
    fn kept(&self, now: Moment) -> f64 {
        (-ms(now.since(self.updated_at)) / ms(PACE_LIFETIME)).exp()
    }

    fn note(&mut self, factor: f64, now: Moment) {
        let kept = self.kept(now);
        self.weight = self.weight * kept + 1.0;
        self.sum = self.sum * kept + factor;
        self.updated_at = now;
    }

    /// The mean; it approaches 1 while nothing is stated.
    fn factor(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        (self.sum * kept + POOL_PACE_PRIOR) / (self.weight * kept + POOL_PACE_PRIOR)
    }
}

/// The pace that an endpoint stated, in percent of the usual times.
#[derive(Clone, Copy, Debug)]
struct Pace {
    percent: u32,
    stated_at: Moment,
    /// Since when it has stated the same.
    unchanged_since: Moment,
}

impl Pace {
    /// Factor on the usual times as stated; never below 1, since a claim must not attract work.
    fn stated_factor(&self) -> f64 {
        let is_frozen = self.stated_at.since(self.unchanged_since) >= FROZEN_AFTER;
        if is_frozen {
            1.0
        } else {
            (f64::from(self.percent) / 100.0).max(1.0)
        }
    }

    /// Factor at present. It approaches that of the pool while the statement ages, and is not below it: a machine that
    /// states to be faster than the others gets no more work than one that states nothing.
    fn factor(&self, pool: f64, now: Moment) -> f64 {
        let left = 1.0 - ms(now.since(self.stated_at)) / ms(PACE_LIFETIME);
        pool + (self.stated_factor() - pool).max(0.0) * left.max(0.0)
    }
}

/// Observations since the last report to peers.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    ln_sum: f64,
    count: u8,
    has_new_pace: bool,
    is_queued: bool,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Pool of the endpoint, once this entry has had an answer from it.
    pool: Option<PoolKey>,
    slowness: Slowness,
    pace: Option<Pace>,
    /// Runs that the endpoint stated beyond the known ones, and when.
    excess: (f64, Moment),
    unreported: Unreported,
    has_unreadable_load: bool,
    used_at: Moment,
}

impl Record {
    const fn new(now: Moment) -> Self {
        Self {
            pool: None,
            slowness: Slowness {
                weight: 0.0,
                sum: 0.0,
                updated_at: now,
            },
            pace: None,
            excess: (0.0, now),
            unreported: Unreported {
                ln_sum: 0.0,
                count: 0,
                has_new_pace: false,
                is_queued: false,
            },
            has_unreadable_load: false,
            used_at: now,
        }
    }

    fn note_pace(&mut self, percent: u32, stated_at: Moment) {
        let previous = self.pace;
        if previous.is_some_and(|previous| previous.stated_at > stated_at) {
            return;
        }
        let unchanged = previous.filter(|previous| previous.percent == percent);
        self.pace = Some(Pace {
            percent,
            stated_at,
            unchanged_since: unchanged.map_or(stated_at, |previous| previous.unchanged_since),
        });
    }

    fn unknown_runs(&self, now: Moment) -> f64 {
        let (excess, stated_at) = self.excess;
        let left = 1.0 - ms(now.since(stated_at)) / ms(EXCESS_LIFETIME);
        excess * left.max(0.0)
    }
}

/// What is expected of an endpoint's speed at the moment of a choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedSpeed {
    /// Usual times of the endpoint's pool.
    pub(crate) usual: UsualTime,
    /// The endpoint's times over the usual ones, as its answers showed over some seconds.
    pub(crate) slowness: f64,
    /// Factor on these times at this moment, at least 1.
    pub(crate) pace: f64,
    /// Runs that the endpoint stated beyond the known ones.
    pub(crate) unknown_runs: f64,
    /// Tokens of the request's prompt that the endpoint probably holds in its cache.
    pub(crate) held_tokens: u32,
}

impl ExpectedSpeed {
    /// Time that work takes here which usually takes `usual_ms`. A slow period is expected to end within the time for
    /// which a stated pace is believed.
    pub(crate) fn time_ms(&self, usual_ms: f64) -> f64 {
        let time = usual_ms * self.slowness;
        let slowed = time * self.pace;
        let lifetime = ms(PACE_LIFETIME);
        if slowed <= lifetime {
            slowed
        } else {
            time + lifetime * (1.0 - 1.0 / self.pace)
        }
    }
}

/// What an entry observed of an endpoint since its last report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ReportedSpeed {
    pub(crate) incarnation: EndpointIncarnation,
    /// Mean logarithm of the observed times over the usual ones, in thousandths.
    pub(crate) ln_slowness_milli: i16,
    /// Number of observations.
    pub(crate) count: u8,
    /// Time since the last one, in milliseconds.
    pub(crate) age_ms: u16,
    /// Pace that the endpoint stated, 0 for none, and the time since then.
    pub(crate) pace_percent: u16,
    pub(crate) pace_age_ms: u16,
}

/// Speeds of the endpoints and usual times of their pools.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    records: HashMap<EndpointIncarnation, Record>,
    pools: HashMap<PoolKey, Pool>,
    pool_paces: HashMap<PoolKey, PoolPace>,
    /// When an endpoint of a service last stated a pace.
    paces_stated_at: HashMap<u64, Moment>,
    /// Endpoints with something to report, in the order in which it came up.
    unreported: VecDeque<EndpointIncarnation>,
}

impl Speeds {
    /// Whether choices for a service compare expected times: while its endpoints state their paces, or as the settings
    /// say.
    pub(crate) fn is_in_effect(
        &self,
        service: &ServiceName,
        setting: Option<bool>,
        now: Moment,
    ) -> bool {
        setting.unwrap_or_else(|| {
            let stated_at = self.paces_stated_at.get(&service_key(service));
            stated_at.is_some_and(|at| now.since(*at) <= IN_EFFECT_FOR)
        })
    }

    /// The record of an endpoint; `None` if there are too many others.
    fn record(&mut self, incarnation: EndpointIncarnation, now: Moment) -> Option<&mut Record> {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&incarnation) {
            // Endpoints that have left are not observed any more.
            self.records
                .retain(|_, record| now.since(record.used_at) <= MEMORY * 3);
            let records = &self.records;
            self.unreported.retain(|known| records.contains_key(known));
            if self.records.len() >= MAX_RECORDS {
                return None;
            }
        }
        let record = self.records.entry(incarnation);
        let record = record.or_insert(Record::new(now));
        record.used_at = now;
        Some(record)
    }

    fn note_pace_stated(&mut self, service: u64, at: Moment) {
        let is_known = self.paces_stated_at.contains_key(&service);
        if is_known || self.paces_stated_at.len() < MAX_POOLS {
            let stated_at = self.paces_stated_at.entry(service).or_insert(at);
            *stated_at = at.max(*stated_at);
        }
    }

    /// Adds the pace that an endpoint has just stated to the mean of its pool.
    fn note_pool_pace(&mut self, incarnation: EndpointIncarnation, now: Moment) {
        let record = self.records.get(&incarnation);
        let Some((Some(key), Some(pace))) = record.map(|record| (record.pool, record.pace)) else {
            return;
        };
        if self.pool_paces.len() < MAX_POOLS || self.pool_paces.contains_key(&key) {
            let none = PoolPace {
                weight: 0.0,
                sum: 0.0,
                updated_at: now,
            };
            let pool = self.pool_paces.entry(key).or_insert(none);
            pool.note(pace.stated_factor(), now);
        }
    }

    fn queue_report(&mut self, incarnation: EndpointIncarnation) {
        if let Some(record) = self.records.get_mut(&incarnation)
            && !std::mem::replace(&mut record.unreported.is_queued, true)
        {
            self.unreported.push_back(incarnation);
        }
    }

    /// Records the time that work of a size took at an endpoint.
    pub(crate) fn observe(&mut self, endpoint: &Endpoint, size: f64, time: Duration, now: Moment) {
        let key = pool_key(endpoint);
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&key) {
            return;
        }
        let pool = self.pools.entry(key).or_insert(Pool::new(now));
        let mut time_ms = ms(time).max(1e-3);
        if pool.weight > 5.0 {
            time_ms = time_ms.min(pool.usual(endpoint.stage).at(size) * MAX_OUTLIER);
        }
        pool.observe(size, time_ms, now);
        let usual_ms = pool.usual(endpoint.stage).at(size);
        let ln_ratio = (time_ms / usual_ms).ln();
        let ln_ratio = ln_ratio.clamp(-MAX_LN_SLOWNESS, MAX_LN_SLOWNESS);
        let incarnation = endpoint.incarnation();
        let Some(record) = self.record(incarnation, now) else {
            return;
        };
        record.slowness.observe(ln_ratio, 1.0, now);
        if record.unreported.count < MAX_REPORTED_COUNT {
            record.unreported.count += 1;
            record.unreported.ln_sum += ln_ratio;
        }
        self.queue_report(incarnation);
    }

    /// Records the load that an endpoint states, while `known_runs` are known to be under way there.
    pub(crate) fn note_load(
        &mut self,
        endpoint: &Endpoint,
        stated: StatedLoad,
        known_runs: usize,
        now: Moment,
    ) {
        let incarnation = endpoint.incarnation();
        if let Some(percent) = stated.pace_percent {
            self.note_pace_stated(service_key(&endpoint.service), now);
            if let Some(record) = self.record(incarnation, now) {
                record.pool = Some(pool_key(endpoint));
                record.note_pace(percent, now);
                record.unreported.has_new_pace = true;
                self.queue_report(incarnation);
                self.note_pool_pace(incarnation, now);
            }
        }
        let runs = stated.running as usize + stated.waiting as usize;
        let excess = runs.saturating_sub(known_runs + EXCESS_TOLERANCE);
        // A statement without unknown work ends an earlier one.
        let is_known = self.records.contains_key(&incarnation);
        if (excess > 0 || is_known)
            && let Some(record) = self.record(incarnation, now)
        {
            record.excess = (excess.min(MAX_EXCESS) as f64, now);
        }
    }

    /// Records that an endpoint stated a load that can't be read; returns whether this is the first time.
    pub(crate) fn note_unreadable_load(&mut self, endpoint: &Endpoint, now: Moment) -> bool {
        let record = self.record(endpoint.incarnation(), now);
        record.is_some_and(|record| !std::mem::replace(&mut record.has_unreadable_load, true))
    }

    /// What is expected of an endpoint at present.
    pub(crate) fn expected(&self, endpoint: &Endpoint, now: Moment) -> ExpectedSpeed {
        let key = pool_key(endpoint);
        let pool = self.pools.get(&key);
        let usual = pool.map_or(UsualTime::assumed(endpoint.stage), |pool| {
            pool.usual(endpoint.stage)
        });
        let record = self.records.get(&endpoint.incarnation());
        let pool_pace = self.pool_paces.get(&key);
        let pool_pace = pool_pace.map_or(1.0, |pace| pace.factor(now));
        let pace = record.and_then(|record| record.pace);
        ExpectedSpeed {
            usual,
            slowness: record.map_or(1.0, |record| record.slowness.at(now)),
            pace: pace.map_or(pool_pace, |pace| pace.factor(pool_pace, now)),
            unknown_runs: record.map_or(0.0, |record| record.unknown_runs(now)),
            held_tokens: 0,
        }
    }

    /// Reports what this entry observed since its last reports. Reports add up, so a lost one costs its observations only.
    pub(crate) fn report(&mut self, now: Moment) -> Vec<ReportedSpeed> {
        let mut reports = Vec::new();
        while reports.len() < MAX_REPORTS
            && let Some(incarnation) = self.unreported.pop_front()
        {
            let Some(record) = self.records.get_mut(&incarnation) else {
                continue;
            };
            let unreported = std::mem::take(&mut record.unreported);
            let pace = record.pace.filter(|_| unreported.has_new_pace);
            let mean = unreported.ln_sum / f64::from(unreported.count.max(1));
            reports.push(ReportedSpeed {
                incarnation,
                ln_slowness_milli: thousandths(mean),
                count: unreported.count,
                age_ms: age_ms(record.slowness.updated_at, now),
                pace_percent: pace
                    .map_or(0, |pace| u16::try_from(pace.percent).unwrap_or(u16::MAX)),
                pace_age_ms: pace.map_or(0, |pace| age_ms(pace.stated_at, now)),
            });
        }
        reports
    }

    /// Adds what a peer observed.
    pub(crate) fn note_peer(&mut self, reports: &[ReportedSpeed], now: Moment) {
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(record) = self.record(report.incarnation, now) else {
                return;
            };
            if report.count > 0 {
                let ln_ratio = f64::from(report.ln_slowness_milli) / 1e3;
                let ln_ratio = ln_ratio.clamp(-MAX_LN_SLOWNESS, MAX_LN_SLOWNESS);
                let count = f64::from(report.count.min(MAX_REPORTED_COUNT));
                let at = now - Duration::from_millis(report.age_ms.into());
                record.slowness.observe(ln_ratio, count, at);
            }
            if report.pace_percent > 0 {
                let stated_at = now - Duration::from_millis(report.pace_age_ms.into());
                record.note_pace(report.pace_percent.into(), stated_at);
                if let Some((service, _)) = record.pool {
                    self.note_pace_stated(service, stated_at);
                }
                if now.since(stated_at) < PACE_LIFETIME {
                    self.note_pool_pace(report.incarnation, now);
                }
            }
        }
    }

    /// Number of endpoints with a record.
    #[cfg(test)]
    pub(crate) fn record_count(&self) -> usize {
        self.records.len()
    }
}

fn age_ms(at: Moment, now: Moment) -> u16 {
    u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX)
}

#[expect(clippy::cast_possible_truncation, reason = "clamped to the range")]
fn thousandths(value: f64) -> i16 {
    (value.clamp(-MAX_LN_SLOWNESS, MAX_LN_SLOWNESS) * 1e3).round() as i16
}
