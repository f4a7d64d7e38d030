use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    clock::Moment,
    configuration::Team,
    contract::quota::{
        ChargeOutcome, Quotas, ReportedAccount, TeamKey, Ticket, WaitLimits, usable_share,
    },
    testing::{at_ms, team, wait_limits_until},
};

/// Time for which a request can wait and still be in time: half of a 900 ms target.
const ON_TIME_WAIT: Duration = Duration::from_millis(450);

/// Limits of a caller that doesn't wait.
fn no_wait(now: Moment) -> WaitLimits {
    wait_limits_until(now)
}

/// Limits of a caller that wants its answer in time or not at all.
fn on_time_only(now: Moment) -> WaitLimits {
    wait_limits_until(now + ON_TIME_WAIT)
}

/// Charges requests until one is not charged at once; returns the tokens charged.
fn charge_all(quotas: &mut Quotas, team: &Team, cost: f64, now: Moment) -> f64 {
    let mut charged = 0.0;
    while quotas.charge(team, cost, 1.0, no_wait(now), now) == ChargeOutcome::Charged {
        charged += cost;
    }
    charged
}

#[test]
fn a_team_gets_its_burst_and_then_its_rate() {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    let at_once = charge_all(&mut quotas, &team, 50.0, at_ms(0));
    assert!((at_once - 500.0).abs() < 1e-9);
    let later = charge_all(&mut quotas, &team, 50.0, at_ms(200));
    assert!((later - 200.0).abs() < 1e-9);
}

#[test]
fn a_refusal_states_when_the_tokens_will_be_available() {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    charge_all(&mut quotas, &team, 50.0, at_ms(0));
    let refused = quotas.charge(&team, 300.0, 1.0, no_wait(at_ms(0)), at_ms(0));
    assert_eq!(refused, ChargeOutcome::Refused(Duration::from_millis(300)));
    let retried = quotas.charge(&team, 300.0, 1.0, no_wait(at_ms(300)), at_ms(300));
    assert_eq!(retried, ChargeOutcome::Charged);
}

#[test]
fn bursts_within_the_rate_wait_and_are_not_refused() {
    // The burst limit covers two requests. Three come at once each second, which the rate of four allows.
    let (mut quotas, team) = (Quotas::default(), team(4_000.0, 2_000.0));
    for second in 0..10 {
        let now = at_ms(second * 1_000);
        let mut tickets = Vec::new();
        for _ in 0..3 {
            match quotas.charge(&team, 1_000.0, 1.0, on_time_only(now), now) {
                ChargeOutcome::Charged => {}
                ChargeOutcome::Wait(ticket, wait) => tickets.push((ticket, wait)),
                ChargeOutcome::Refused(after) => panic!("refused for {after:?} in second {second}"),
            }
        }
        for (ticket, wait) in tickets {
            assert!(quotas.claim(&team, ticket, 1.0, now + wait).is_ok());
        }
    }
}

#[test]
fn small_requests_overtake_large_ones_that_wait() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    assert_eq!(
        quotas.charge(&team, 9_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0)),
        ChargeOutcome::Charged
    );
    let large = quotas.charge(&team, 4_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0));
    assert!(matches!(large, ChargeOutcome::Wait(..)), "{large:?}");
    assert_eq!(
        quotas.charge(&team, 200.0, 1.0, on_time_only(at_ms(0)), at_ms(0)),
        ChargeOutcome::Charged
    );
}

#[test]
fn large_requests_keep_their_order() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    quotas.charge(&team, 10_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0));
    let ChargeOutcome::Wait(first, _) =
        quotas.charge(&team, 3_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0))
    else {
        panic!("the first must wait");
    };
    let ChargeOutcome::Wait(second, _) =
        quotas.charge(&team, 1_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0))
    else {
        panic!("the second must wait");
    };
    assert!(quotas.claim(&team, second, 1.0, at_ms(250)).is_err());
    assert!(quotas.claim(&team, first, 1.0, at_ms(300)).is_ok());
    assert!(quotas.claim(&team, second, 1.0, at_ms(400)).is_ok());
}

#[test]
fn a_request_that_leaves_the_queue_no_longer_blocks_the_next_one() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    quotas.charge(&team, 10_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0));
    let ChargeOutcome::Wait(first, _) =
        quotas.charge(&team, 3_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0))
    else {
        panic!("the first must wait");
    };
    let ChargeOutcome::Wait(second, _) =
        quotas.charge(&team, 1_000.0, 1.0, on_time_only(at_ms(0)), at_ms(0))
    else {
        panic!("the second must wait");
    };
    quotas.withdraw(&team.name, first);
    assert!(quotas.claim(&team, second, 1.0, at_ms(100)).is_ok());
}

#[test]
fn a_refunded_charge_can_be_charged_again() {
    let (mut quotas, team) = (Quotas::default(), team(1.0, 500.0));
    charge_all(&mut quotas, &team, 500.0, at_ms(0));
    quotas.refund(&team.name, 500.0, at_ms(0));
    assert_eq!(
        quotas.charge(&team, 500.0, 1.0, no_wait(at_ms(0)), at_ms(0)),
        ChargeOutcome::Charged
    );
}

#[test]
fn an_entry_that_joins_peers_gets_no_additional_burst() {
    let team = team(1_000.0, 5_000.0);
    let mut old = Quotas::default();
    charge_all(&mut old, &team, 100.0, at_ms(0));
    let mut new = Quotas::default();
    new.note_peer(1, old.report(1.0, at_ms(0)), 1.0, at_ms(0));
    assert!(matches!(
        new.charge(&team, 100.0, 1.0, no_wait(at_ms(0)), at_ms(0)),
        ChargeOutcome::Refused(_)
    ));
}

#[test]
fn charges_of_a_peer_while_it_was_silent_are_not_deducted_afterwards() {
    let team = team(10_000.0, 10_000.0);
    let (mut local, mut peer) = (Quotas::default(), Quotas::default());
    local.note_peer(1, peer.report(1.0, at_ms(0)), 1.0, at_ms(0));
    charge_all(&mut peer, &team, 1_000.0, at_ms(0));
    local.note_peer(1, peer.report(1.0, at_ms(0)), 1.0, at_ms(0));
    // During a partition of eight seconds each side spends its half of the rate.
    for second in 1..=8 {
        for quotas in [&mut local, &mut peer] {
            while quotas.charge(
                &team,
                1_000.0,
                0.5,
                no_wait(at_ms(second * 1_000)),
                at_ms(second * 1_000),
            ) == ChargeOutcome::Charged
            {}
        }
    }
    local.forget_peer(1);
    local.note_peer(1, peer.report(1.0, at_ms(8_000)), 1.0, at_ms(8_000));
    let level = local.level(&team.name).expect("an account");
    assert!(level >= 0.0, "{level}");
    assert!(level <= peer.level(&team.name).expect("an account") + 1e-9);
}

#[test]
fn an_entry_without_requests_tracks_the_level_of_a_busy_peer() {
    let team = team(1_000.0, 1_000.0);
    let (mut idle, mut busy) = (Quotas::default(), Quotas::default());
    // Both have an account, but only one of them then gets requests.
    for quotas in [&mut idle, &mut busy] {
        assert_eq!(
            quotas.charge(&team, 0.0, 1.0, no_wait(at_ms(0)), at_ms(0)),
            ChargeOutcome::Charged
        );
    }
    idle.note_peer(1, busy.report(1.0, at_ms(0)), 1.0, at_ms(0));
    for second in 1..=20 {
        let now = at_ms(second * 1_000);
        charge_all(&mut busy, &team, 100.0, now);
        idle.note_peer(1, busy.report(1.0, now), 1.0, now);
        let report = idle.report(1.0, now);
        idle.note_peer(2, report, 1.0, now);
        let level = idle.level(&team.name).expect("an account");
        assert!(level.abs() < 1e-6, "{level} in second {second}");
    }
}

#[test]
fn idle_accounts_are_reported_in_rotation_and_changed_ones_each_time() {
    let mut quotas = Quotas::default();
    let teams: Vec<_> = (0..40)
        .map(|number| {
            let mut team = team(1_000.0, 1_000.0);
            team.name = format!("team-{number}").parse().expect("a name");
            team
        })
        .collect();
    for team in &teams {
        quotas.charge(team, 1.0, 1.0, no_wait(at_ms(0)), at_ms(0));
    }
    let mut reports_by_team = std::collections::HashMap::new();
    let mut total_reports = 0;
    for round in 0..8 {
        let now = at_ms(10_000 + round * 240);
        quotas.charge(&teams[3], 1.0, 1.0, no_wait(now), now);
        let accounts = quotas.report(1.0, now);
        total_reports += accounts.len();
        for account in accounts {
            *reports_by_team.entry(account.team).or_insert(0) += 1;
        }
    }
    assert_eq!(reports_by_team.len(), 40);
    assert_eq!(reports_by_team[&TeamKey::of(&teams[3].name)], 8);
    assert!(
        total_reports <= 40 + 8,
        "{total_reports} accounts in eight heartbeats"
    );
}

#[rstest]
#[case::not_a_number(f64::NAN, f64::NAN)]
#[case::infinite(f64::INFINITY, f64::NEG_INFINITY)]
#[case::level_not_a_number(0.0, f64::NAN)]
fn reports_with_non_finite_amounts_are_ignored(#[case] charged: f64, #[case] level: f64) {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    charge_all(&mut quotas, &team, 100.0, at_ms(0));
    for peer in [1, 1, 2] {
        let report = ReportedAccount::from_unauthenticated_sender(&team.name, charged, level);
        quotas.note_peer(peer, vec![report], 1.0, at_ms(0));
    }
    let later = charge_all(&mut quotas, &team, 100.0, at_ms(200));
    assert!((later - 200.0).abs() < 1e-9, "{later}");
}

/// Runs entries that charge requests continuously and exchange full heartbeats every 40 ms, unless `is_cut` drops
/// them. Returns the maximum number of tokens that they charge together in any window.
fn max_in_a_window(
    entries: usize,
    team: &Team,
    cost: f64,
    window_ms: u64,
    is_cut: impl Fn(u64, usize, usize) -> bool,
) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut quotas: Vec<Quotas> = (0..entries).map(|_| Quotas::default()).collect();
    let mut last_seen = vec![vec![0_u64; entries]; entries];
    let mut charged_ms = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        for index in 0..entries {
            let is_silent = |peer: &usize| *peer != index && now_ms - last_seen[index][*peer] > 500;
            let silent = (0..entries).filter(is_silent).count();
            let share = usable_share(entries, silent);
            let requests = random.random_range(0..3);
            for _ in 0..requests {
                if quotas[index].charge(team, cost, share, no_wait(at_ms(now_ms)), at_ms(now_ms))
                    == ChargeOutcome::Charged
                {
                    charged_ms.push(now_ms);
                }
            }
        }
        if now_ms % 40 == 0 {
            let now = at_ms(now_ms);
            let reports: Vec<_> = quotas
                .iter_mut()
                .map(|quotas| quotas.report(1.0, now))
                .collect();
            for from in 0..entries {
                for to in (0..entries).filter(|to| *to != from && !is_cut(now_ms, from, *to)) {
                    if now_ms - last_seen[to][from] > 500 {
                        quotas[to].forget_peer(from as u64);
                    }
                    quotas[to].note_peer(from as u64, reports[from].clone(), 1.0, now);
                    last_seen[to][from] = now_ms;
                }
            }
        }
    }
    let in_window = |start: &u64| {
        charged_ms
            .iter()
            .filter(|at| (*start..start + window_ms).contains(at))
            .count()
    };
    let max_requests = charged_ms.iter().map(in_window).max().unwrap_or(0);
    max_requests as f64 * cost
}

#[test]
fn overloaded_entries_together_stay_within_one_contract() {
    let (team, window_ms) = (team(20_000.0, 20_000.0), 8_000);
    let charged = max_in_a_window(4, &team, 500.0, window_ms, |_, _, _| false);
    let contract = 20_000.0 * 8.0 + 20_000.0;
    // Heartbeats are up to 40 ms old, during which several entries may charge the same tokens.
    assert!(charged <= contract * 1.05, "{charged} of {contract}");
    assert!(charged >= contract * 0.95, "only {charged} of {contract}");
}

#[test]
fn both_sides_of_a_partition_together_stay_within_one_contract() {
    let (team, window_ms) = (team(20_000.0, 20_000.0), 8_000);
    let is_cut = |now_ms: u64, from: usize, to: usize| {
        (10_000..25_000).contains(&now_ms) && (from == 0) != (to == 0)
    };
    let charged = max_in_a_window(4, &team, 500.0, window_ms, is_cut);
    let contract = 20_000.0 * 8.0 + 20_000.0;
    assert!(charged <= contract * 1.1, "{charged} of {contract}");
}

/// Results of a team's callers.
#[derive(Debug, Default)]
struct Tally {
    requests: u32,
    on_time: u32,
    served: u32,
}

/// Simulates a team whose requests come in bursts of 2.3 times its rate for two seconds, and below its rate in between.
/// Requests may wait for `max_wait`; a refused caller retries once, after the stated time but 4.6 s at most.
fn bursts(max_wait: Duration, seed: u64) -> Tally {
    const STEP_MS: u64 = 10;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut quotas, team) = (Quotas::default(), team(48_000.0, 48_000.0));
    let mut result = Tally::default();
    let mut waiting: Vec<(Ticket, WaitLimits, u64, bool)> = Vec::new();
    let mut returning: Vec<(u64, u64, f64)> = Vec::new();
    let mut costs = std::collections::HashMap::new();
    for now_ms in (0..36_000).step_by(10) {
        let now = at_ms(now_ms);
        let mut calls: Vec<(u64, f64, bool)> = Vec::new();
        let is_burst = matches!(now_ms / 1_000, 6..8 | 17..19 | 27..29);
        let per_s = if is_burst { 18.4 } else { 4.0 };
        if now_ms < 33_000 && random.random::<f64>() < per_s * STEP_MS as f64 / 1_000.0 {
            result.requests += 1;
            calls.push((now_ms, random.random_range(2_000.0..10_000.0), false));
        }
        let retries = returning.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms);
        calls.extend(retries.map(|(_, first_ms, cost)| (first_ms, cost, true)));
        let mut refuse = |first_ms: u64, cost: f64, after: Duration, is_second: bool| {
            if !is_second {
                let after_ms = u64::try_from(after.as_millis()).expect("some seconds");
                returning.push((now_ms + after_ms.min(4_600), first_ms, cost));
            }
        };
        let mut serve = |first_ms: u64| {
            result.served += 1;
            result.on_time += u32::from(now_ms - first_ms <= 450);
        };
        waiting.retain(|(ticket, limits, first_ms, is_second)| {
            let Err(longer) = quotas.claim(&team, *ticket, 1.0, now) else {
                serve(*first_ms);
                return false;
            };
            let keeps_waiting = now + longer <= limits.start_by;
            if !keeps_waiting {
                quotas.withdraw(&team.name, *ticket);
                refuse(*first_ms, costs[&ticket.clone()], longer, *is_second);
            }
            keeps_waiting
        });
        for (first_ms, cost, is_second) in calls {
            let limits = WaitLimits {
                on_time_until: now + ON_TIME_WAIT.min(max_wait),
                start_by: now + max_wait,
                ends_at: at_ms(first_ms + 14_000),
            };
            match quotas.charge(&team, cost, 1.0, limits, now) {
                ChargeOutcome::Charged => serve(first_ms),
                ChargeOutcome::Wait(ticket, _) => {
                    costs.insert(ticket, cost);
                    waiting.push((ticket, limits, first_ms, is_second));
                }
                ChargeOutcome::Refused(after) => refuse(first_ms, cost, after, is_second),
            }
        }
    }
    result
}

#[test]
fn bursts_covered_late_are_served_late_without_delaying_other_requests() {
    for seed in 1..=5 {
        let (refuse_late, serve_late) = (
            bursts(ON_TIME_WAIT, seed),
            bursts(Duration::from_millis(2_700), seed),
        );
        println!("refusing late requests: {refuse_late:?}, serving them: {serve_late:?}");
        let unserved = |tally: &Tally| tally.requests - tally.served;
        assert_eq!(unserved(&serve_late), 0, "{serve_late:?}");
        assert!(
            serve_late.on_time >= refuse_late.on_time * 95 / 100,
            "{serve_late:?} {refuse_late:?}"
        );
    }
}

/// An entry that started took its predecessor's whole burst anew.
#[rstest]
#[case::large(100_000.0, 40_000.0)]
#[case::small(400.0, 400.0)]
fn an_entry_that_starts_has_a_part_of_a_large_burst_that_no_peer_has_reported(
    #[case] burst: f64,
    #[case] at_start: f64,
) {
    let team = team(1.0, burst);
    let mut quotas = Quotas::new(at_ms(10_000));
    let charged = charge_all(&mut quotas, &team, 100.0, at_ms(10_000));
    assert!((charged - at_start).abs() < 1e-9, "{charged}");
    let mut quotas = Quotas::new(at_ms(10_000));
    let charged = charge_all(&mut quotas, &team, 100.0, at_ms(18_000));
    assert!((charged - burst).abs() < 1e-9, "{charged}");
}

/// A level that was reported long ago kept a team from its tokens at an entry that its callers reached later.
#[test]
fn a_reported_level_is_refilled_until_the_team_calls_this_entry() {
    let team = team(1_000.0, 5_000.0);
    let (mut busy, mut idle) = (Quotas::default(), Quotas::default());
    charge_all(&mut busy, &team, 100.0, at_ms(0));
    idle.note_peer(1, busy.report(1.0, at_ms(0)), 1.0, at_ms(0));
    let charged = charge_all(&mut idle, &team, 100.0, at_ms(3_000));
    assert!((charged - 3_000.0).abs() < 1e-9, "{charged}");
}
