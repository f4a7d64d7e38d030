//! Upper bound for a scheduler that knows all arrivals in advance, computed from the arrivals alone.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::{arrivals::Arrival, scenario::Scenario};

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

#[allow(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
struct Job {
    released_at_us: u64,
    due_at_us: u64,
    work_us: u64,
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times of a run are small and not negative"
)]
const fn microseconds(seconds: f64) -> u64 {
    (seconds * US_PER_S) as u64
}

/// Upper bound of the output tokens that can be delivered within the targets.
///
/// The model has all decode slots in one pool, without network or prefill queues. Each token is a separate job: it is
/// released at the time it has when the answer starts as early as possible, and due at the time it has when the answer
/// starts as late as the target allows. Tokens of partial answers count and jobs may be split, so no real schedule can
/// deliver more. For such jobs, earliest due time first is optimal.
pub(super) fn upper_bound_tokens(
    scenario: &Scenario,
    arrivals: &[Arrival],
    within_rate: &[bool],
) -> f64 {
    let gap_us = scenario.engine.token_gap_us;
    let mut jobs = Vec::new();
    for (arrival, _) in arrivals
        .iter()
        .zip(within_rate)
        .filter(|(_, within_rate)| **within_rate)
    {
        let arrived_at_us = microseconds(arrival.at_s);
        let prefill_us = arrival.prompt_tokens * scenario.engine.prefill_us_per_token;
        let target_us = scenario.first_token_target_ms * 1_000;
        jobs.extend((0..arrival.output_tokens).map(|token| Job {
            released_at_us: arrived_at_us + prefill_us + token * gap_us,
            // The target holds for the end of the first token.
            due_at_us: arrived_at_us + target_us + token * gap_us,
            work_us: gap_us,
        }));
    }
    jobs.sort_by_key(|job| job.released_at_us);
    completed_work_us(&jobs, scenario.slots() as u64) as f64 / gap_us as f64
}

/// Work that a pool can complete by the due times, in microseconds of one slot.
fn completed_work_us(jobs: &[Job], slots: u64) -> u64 {
    // Times are multiplied by the number of slots, so that the progress of the pool stays an integer.
    let mut waiting: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut done = 0;
    for (position, job) in jobs.iter().enumerate() {
        waiting.push(Reverse((job.due_at_us * slots, job.work_us)));
        let next = jobs.get(position + 1);
        let until = next.map_or(u64::MAX, |next| next.released_at_us * slots);
        done += work_until(&mut waiting, job.released_at_us * slots, until);
    }
    done
}

fn work_until(waiting: &mut BinaryHeap<Reverse<(u64, u64)>>, from: u64, until: u64) -> u64 {
    let mut now = from;
    let mut done = 0;
    while now < until {
        let Some(Reverse((due_at, work))) = waiting.pop() else {
            break;
        };
        let end = until.min(due_at);
        let worked = work.min(end.saturating_sub(now));
        done += worked;
        now += worked;
        if worked < work && due_at > end {
            waiting.push(Reverse((due_at, work - worked)));
        }
    }
    done
}

/// Output tokens of each team if the bound is divided by weighted max-min fairness.
pub(super) fn fair_shares(
    scenario: &Scenario,
    arrivals: &[Arrival],
    within_rate: &[bool],
    bound_tokens: f64,
) -> Vec<f64> {
    let mut demands = vec![0.0; scenario.teams.len()];
    for (arrival, _) in arrivals
        .iter()
        .zip(within_rate)
        .filter(|(_, within_rate)| **within_rate)
    {
        demands[arrival.team] += arrival.output_tokens as f64;
    }
    let weights: Vec<f64> = scenario
        .teams
        .iter()
        .map(|team| f64::from(team.weight))
        .collect();
    max_min(&demands, &weights, bound_tokens)
}

/// Weighted max-min fair division of an amount between demands.
fn max_min(demands: &[f64], weights: &[f64], amount: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|one, other| {
        (demands[*one] / weights[*one]).total_cmp(&(demands[*other] / weights[*other]))
    });
    let mut shares = vec![0.0; demands.len()];
    let mut left = amount;
    let mut weight_left: f64 = weights.iter().sum();
    for team in order {
        shares[team] = demands[team].min(left * weights[team] / weight_left);
        left -= shares[team];
        weight_left -= weights[team];
    }
    shares
}

#[cfg(test)]
#[path = "bound_tests.rs"]
mod tests;
