//! The load that the limit of cold endpoints is for: a burst during which a data centre comes back with all its endpoints
//! cold, while another one is warm.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{
    balance::{
        choice::{Candidate, choose_plain},
        loads::Run,
    },
    configuration::EndpointIncarnation,
    endpoints::cold::{ColdSplit, MemberId, PERMIT_PERIOD},
    testing::at_ms,
};

const ENTRIES: usize = 4;
const ENDPOINTS_PER_CENTRE: usize = 5;
const SLOTS: u32 = 6;
/// A cold endpoint takes as long as a warm one up to its rate, and crashes above it.
const SERVICE_TIME_MS: u64 = 100;
const TOTAL: u32 = 11;
const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 100;
const RETURNS_AT_MS: u64 = 10_000;
const WARM_AT_MS: u64 = 30_000;
const END_MS: u64 = 36_000;

struct Endpoint {
    is_returning: bool,
    running_until: Vec<u64>,
    arrivals: Vec<u64>,
    /// Requests that each entry sent.
    sent: Vec<Vec<u64>>,
}

#[derive(Default)]
struct Totals {
    requests: usize,
    refused: usize,
    /// Refused while a warm endpoint had a free slot.
    refused_with_capacity: usize,
    /// Requests to the returning data centre in its first second after it is warm.
    first_warm_second: usize,
    /// All requests of that second.
    in_that_second: usize,
}

/// Plays a burst of requests a second. Returns the totals from the return on, and the most requests that a cold endpoint
/// got in a second.
fn play(rate_per_s: f64, is_limited: bool) -> (Totals, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let member = |entry: usize| MemberId(entry as u64 + 1);
    let mut splits: Vec<_> = (0..ENTRIES)
        .map(|entry| {
            let mut split = ColdSplit::new(member(entry), entry as u64 + 1, at_ms(0));
            (0..ENTRIES).for_each(|seed| split.add_seed(member(seed), at_ms(0)));
            split
        })
        .collect();
    let mut endpoints: Vec<_> = (0..2 * ENDPOINTS_PER_CENTRE)
        .map(|number| Endpoint {
            is_returning: number < ENDPOINTS_PER_CENTRE,
            running_until: Vec::new(),
            arrivals: Vec::new(),
            sent: vec![Vec::new(); ENTRIES],
        })
        .collect();
    let counts = u64::try_from(PERMIT_PERIOD.as_millis()).expect("a short time");
    let mut totals = Totals::default();
    for step in 0..END_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        let now = at_ms(now_ms);
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            let reports: Vec<_> = splits.iter_mut().map(|split| split.report(now)).collect();
            for (from, report) in reports.iter().enumerate() {
                for (to, split) in splits.iter_mut().enumerate() {
                    if to != from {
                        split.note_peer(from as u64 + 1, report.clone(), now);
                    }
                }
            }
        }
        if now_ms < RETURNS_AT_MS {
            continue;
        }
        let is_cold = now_ms < WARM_AT_MS;
        for endpoint in &mut endpoints {
            endpoint.running_until.retain(|until| *until > now_ms);
        }
        let expected = rate_per_s * STEP_MS as f64 / 1_000.0;
        let requests = (0..20)
            .filter(|_| random.random_bool(expected / 20.0))
            .count();
        for _ in 0..requests {
            totals.requests += 1;
            let entry = random.random_range(0..ENTRIES);
            let mut usable = Vec::new();
            let mut candidates = Vec::new();
            for (number, endpoint) in endpoints.iter().enumerate() {
                let is_cold = is_cold && endpoint.is_returning;
                if is_cold && is_limited {
                    let split = &mut splits[entry];
                    split.note_wanted(now);
                    let incarnation = EndpointIncarnation(number as u64);
                    let permits = split.permits(incarnation, TOTAL, now) as usize;
                    let sent = endpoint.sent[entry].iter();
                    if sent.filter(|at| now_ms - **at < counts).count() >= permits {
                        continue;
                    }
                }
                if endpoint.running_until.len() >= SLOTS as usize {
                    continue;
                }
                usable.push(number);
                candidates.push(Candidate {
                    runs: vec![Run::default(); endpoint.running_until.len()],
                    slots: SLOTS,
                    is_near: true,
                    is_cold: is_cold && is_limited,
                    ..Candidate::default()
                });
            }
            let Some(chosen) = choose_plain(&candidates) else {
                totals.refused += 1;
                let has_slot = |endpoint: &Endpoint| endpoint.running_until.len() < SLOTS as usize;
                let mut warm = endpoints.iter().filter(|endpoint| !endpoint.is_returning);
                totals.refused_with_capacity += usize::from(warm.any(has_slot));
                continue;
            };
            let endpoint = &mut endpoints[usable[chosen]];
            endpoint.running_until.push(now_ms + SERVICE_TIME_MS);
            endpoint.sent[entry].push(now_ms);
            if is_cold && endpoint.is_returning {
                endpoint.arrivals.push(now_ms);
            }
            if (WARM_AT_MS..WARM_AT_MS + 1_000).contains(&now_ms) {
                totals.in_that_second += 1;
                totals.first_warm_second += usize::from(endpoint.is_returning);
            }
        }
    }
    let most = endpoints.iter().map(|endpoint| {
        let at = &endpoint.arrivals;
        let within = |first: u64| {
            let second = first..first + 1_000;
            at.iter().filter(|at| second.contains(at)).count()
        };
        at.iter().map(|first| within(*first)).max()
    });
    (totals, most.flatten().max().unwrap_or(0))
}

/// Guards against callers that are refused for cold endpoints while warm ones elsewhere have capacity. The warm data centre
/// can serve 300 requests a second.
#[test]
fn callers_are_served_by_the_warm_data_centre_while_another_returns_cold() {
    let (totals, most) = play(240.0, true);
    println!(
        "{} of {} refused; a cold endpoint got at most {most} in a second",
        totals.refused, totals.requests
    );
    assert_eq!(totals.refused_with_capacity, 0);
    assert!(
        totals.refused * 1_000 <= totals.requests,
        "{}",
        totals.refused
    );
    assert!(most <= TOTAL as usize, "{most}");
}

/// Guards against permits that lie idle while callers are refused.
#[test]
fn a_burst_beyond_the_warm_capacity_is_served_by_cold_endpoints_within_their_allowance() {
    let (totals, most) = play(400.0, true);
    println!(
        "{} of {} refused; a cold endpoint got at most {most} in a second",
        totals.refused, totals.requests
    );
    assert_eq!(totals.refused_with_capacity, 0);
    assert!((9..=TOTAL as usize).contains(&most), "{most}");
}

/// Guards against an endpoint that is warm again and still treated as cold.
#[test]
fn an_endpoint_that_is_warm_again_takes_its_share_at_once() {
    let (totals, _) = play(240.0, true);
    let share = totals.first_warm_second as f64 / totals.in_that_second as f64;
    println!("{share:.2} of the first second's requests");
    assert!((0.4..=0.7).contains(&share), "{share}");
}

/// Shows that the load is one that crashes cold endpoints without the limit.
#[test]
fn without_the_limit_the_burst_sends_cold_endpoints_more_than_they_sustain() {
    let (_, most) = play(240.0, false);
    println!("a cold endpoint got at most {most} in a second");
    assert!(most > TOTAL as usize, "{most}");
}
