use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::{
    clock::Moment,
    configuration::Team,
    quota::{Offer, Patience, Quotas, Ticket, ToldAccount, usable_share},
    testing::{at_ms, team, wait_limits_until},
};

/// Half the target of a draft.
const ON_TIME: Duration = Duration::from_millis(450);

/// A caller that doesn't wait.
fn no_patience(now: Moment) -> Patience {
    wait_limits_until(now)
}

fn patience(now: Moment) -> Patience {
    wait_limits_until(now + ON_TIME)
}

fn take_all(quotas: &mut Quotas, team: &Team, cost: f64, now: Moment) -> f64 {
    let mut taken = 0.0;
    while quotas.offer(team, cost, 1.0, no_patience(now), now) == Offer::Taken {
        taken += cost;
    }
    taken
}

#[test]
fn a_team_gets_its_burst_and_then_its_rate() {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    let at_once = take_all(&mut quotas, &team, 50.0, at_ms(0));
    assert!((at_once - 500.0).abs() < 1e-9);
    let later = take_all(&mut quotas, &team, 50.0, at_ms(200));
    assert!((later - 200.0).abs() < 1e-9);
}

#[test]
fn a_refusal_tells_when_the_tokens_will_be_there() {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    take_all(&mut quotas, &team, 50.0, at_ms(0));
    let refused = quotas.offer(&team, 300.0, 1.0, no_patience(at_ms(0)), at_ms(0));
    assert_eq!(refused, Offer::Refused(Duration::from_millis(300)));
    let back = quotas.offer(&team, 300.0, 1.0, no_patience(at_ms(300)), at_ms(300));
    assert_eq!(back, Offer::Taken);
}

#[test]
fn clumps_within_the_rate_wait_and_are_not_refused() {
    // A burst of two requests; four come at once each second, which the rate allows.
    let (mut quotas, team) = (Quotas::default(), team(4_000.0, 2_000.0));
    for second in 0..10 {
        let now = at_ms(second * 1_000);
        let mut tickets = Vec::new();
        for _ in 0..3 {
            match quotas.offer(&team, 1_000.0, 1.0, patience(now), now) {
                Offer::Taken => {}
                Offer::Wait(ticket, wait) => tickets.push((ticket, wait)),
                Offer::Refused(after) => panic!("refused for {after:?} in second {second}"),
            }
        }
        for (ticket, wait) in tickets {
            assert!(quotas.claim(&team, ticket, 1.0, now + wait).is_ok());
        }
    }
}

#[test]
fn small_requests_pass_large_ones_that_wait() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    assert_eq!(
        quotas.offer(&team, 9_000.0, 1.0, patience(at_ms(0)), at_ms(0)),
        Offer::Taken
    );
    let large = quotas.offer(&team, 4_000.0, 1.0, patience(at_ms(0)), at_ms(0));
    assert!(matches!(large, Offer::Wait(..)), "{large:?}");
    assert_eq!(
        quotas.offer(&team, 200.0, 1.0, patience(at_ms(0)), at_ms(0)),
        Offer::Taken
    );
}

#[test]
fn large_requests_keep_their_order() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    quotas.offer(&team, 10_000.0, 1.0, patience(at_ms(0)), at_ms(0));
    let Offer::Wait(first, _) = quotas.offer(&team, 3_000.0, 1.0, patience(at_ms(0)), at_ms(0))
    else {
        panic!("the first must wait");
    };
    let Offer::Wait(second, _) = quotas.offer(&team, 1_000.0, 1.0, patience(at_ms(0)), at_ms(0))
    else {
        panic!("the second must wait");
    };
    assert!(quotas.claim(&team, second, 1.0, at_ms(250)).is_err());
    assert!(quotas.claim(&team, first, 1.0, at_ms(300)).is_ok());
    assert!(quotas.claim(&team, second, 1.0, at_ms(400)).is_ok());
}

#[test]
fn a_request_that_leaves_the_queue_lets_the_next_one_go() {
    let (mut quotas, team) = (Quotas::default(), team(10_000.0, 10_000.0));
    quotas.offer(&team, 10_000.0, 1.0, patience(at_ms(0)), at_ms(0));
    let Offer::Wait(first, _) = quotas.offer(&team, 3_000.0, 1.0, patience(at_ms(0)), at_ms(0))
    else {
        panic!("the first must wait");
    };
    let Offer::Wait(second, _) = quotas.offer(&team, 1_000.0, 1.0, patience(at_ms(0)), at_ms(0))
    else {
        panic!("the second must wait");
    };
    quotas.withdraw(&team.name, first);
    assert!(quotas.claim(&team, second, 1.0, at_ms(100)).is_ok());
}

#[test]
fn what_has_not_run_is_given_back() {
    let (mut quotas, team) = (Quotas::default(), team(1.0, 500.0));
    take_all(&mut quotas, &team, 500.0, at_ms(0));
    quotas.give_back(&team.name, 500.0, at_ms(0));
    assert_eq!(
        quotas.offer(&team, 500.0, 1.0, no_patience(at_ms(0)), at_ms(0)),
        Offer::Taken
    );
}

#[test]
fn an_entry_that_starts_among_others_takes_no_burst_of_its_own() {
    let team = team(1_000.0, 5_000.0);
    let mut old = Quotas::default();
    take_all(&mut old, &team, 100.0, at_ms(0));
    let mut new = Quotas::default();
    new.note_peer(1, old.told(1.0, at_ms(0)), 1.0, at_ms(0));
    assert!(matches!(
        new.offer(&team, 100.0, 1.0, no_patience(at_ms(0)), at_ms(0)),
        Offer::Refused(_)
    ));
}

#[test]
fn what_a_peer_charged_while_it_was_silent_is_not_charged_a_second_time() {
    let team = team(10_000.0, 10_000.0);
    let (mut here, mut there) = (Quotas::default(), Quotas::default());
    here.note_peer(1, there.told(1.0, at_ms(0)), 1.0, at_ms(0));
    take_all(&mut there, &team, 1_000.0, at_ms(0));
    here.note_peer(1, there.told(1.0, at_ms(0)), 1.0, at_ms(0));
    // A cut of eight seconds, in which each side takes its half of the rate.
    for second in 1..=8 {
        for quotas in [&mut here, &mut there] {
            while quotas.offer(
                &team,
                1_000.0,
                0.5,
                no_patience(at_ms(second * 1_000)),
                at_ms(second * 1_000),
            ) == Offer::Taken
            {}
        }
    }
    here.forget_peer(1);
    here.note_peer(1, there.told(1.0, at_ms(8_000)), 1.0, at_ms(8_000));
    let level = here.level(&team.name).expect("an account");
    assert!(level >= 0.0, "{level}");
    assert!(level <= there.level(&team.name).expect("an account") + 1e-9);
}

#[test]
fn an_entry_without_own_requests_keeps_its_level_right() {
    let team = team(1_000.0, 1_000.0);
    let (mut idle, mut busy) = (Quotas::default(), Quotas::default());
    // Both open their accounts, then only one is asked.
    for quotas in [&mut idle, &mut busy] {
        assert_eq!(
            quotas.offer(&team, 0.0, 1.0, no_patience(at_ms(0)), at_ms(0)),
            Offer::Taken
        );
    }
    idle.note_peer(1, busy.told(1.0, at_ms(0)), 1.0, at_ms(0));
    for second in 1..=20 {
        let now = at_ms(second * 1_000);
        take_all(&mut busy, &team, 100.0, now);
        idle.note_peer(1, busy.told(1.0, now), 1.0, now);
        let told = idle.told(1.0, now);
        idle.note_peer(2, told, 1.0, now);
        let level = idle.level(&team.name).expect("an account");
        assert!(level.abs() < 1e-6, "{level} in second {second}");
    }
}

#[test]
fn idle_accounts_are_told_in_turns_and_changed_ones_each_time() {
    let mut quotas = Quotas::default();
    let teams: Vec<_> = (0..40)
        .map(|number| {
            let mut team = team(1_000.0, 1_000.0);
            team.name = format!("team-{number}").parse().expect("a name");
            team
        })
        .collect();
    for team in &teams {
        quotas.offer(team, 1.0, 1.0, no_patience(at_ms(0)), at_ms(0));
    }
    let mut told_of = std::collections::HashMap::new();
    let mut told_in_all = 0;
    for round in 0..8 {
        let now = at_ms(10_000 + round * 240);
        quotas.offer(&teams[3], 1.0, 1.0, no_patience(now), now);
        let told = quotas.told(1.0, now);
        told_in_all += told.len();
        for account in told {
            *told_of.entry(account.team).or_insert(0) += 1;
        }
    }
    assert_eq!(told_of.len(), 40);
    assert_eq!(told_of[&teams[3].name], 8);
    assert!(
        told_in_all <= 40 + 8,
        "{told_in_all} accounts in eight heartbeats"
    );
}

#[rstest]
#[case::no_number(f64::NAN, f64::NAN)]
#[case::without_end(f64::INFINITY, f64::NEG_INFINITY)]
#[case::no_level(0.0, f64::NAN)]
fn what_is_no_amount_changes_no_account(#[case] charged: f64, #[case] level: f64) {
    let (mut quotas, team) = (Quotas::default(), team(1_000.0, 500.0));
    take_all(&mut quotas, &team, 100.0, at_ms(0));
    for peer in [1, 1, 2] {
        let told = ToldAccount::told_by_a_stranger(&team.name, charged, level);
        quotas.note_peer(peer, vec![told], 1.0, at_ms(0));
    }
    let later = take_all(&mut quotas, &team, 100.0, at_ms(200));
    assert!((later - 200.0).abs() < 1e-9, "{later}");
}

/// Entries that tell each other their accounts, each to its peers, with a delay; all ask without pause. Returns the
/// most tokens that they took in any window.
fn most_in_a_window(
    entries: usize,
    team: &Team,
    cost: f64,
    window_ms: u64,
    is_cut: impl Fn(u64, usize, usize) -> bool,
) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut quotas: Vec<Quotas> = (0..entries).map(|_| Quotas::default()).collect();
    let mut heard = vec![vec![0_u64; entries]; entries];
    let mut taken = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        for index in 0..entries {
            let is_silent = |peer: &usize| *peer != index && now_ms - heard[index][*peer] > 500;
            let silent = (0..entries).filter(is_silent).count();
            let share = usable_share(entries, silent);
            let asked = random.random_range(0..3);
            for _ in 0..asked {
                if quotas[index].offer(team, cost, share, no_patience(at_ms(now_ms)), at_ms(now_ms))
                    == Offer::Taken
                {
                    taken.push(now_ms);
                }
            }
        }
        if now_ms % 40 == 0 {
            let now = at_ms(now_ms);
            let told: Vec<_> = quotas
                .iter_mut()
                .map(|quotas| quotas.told(1.0, now))
                .collect();
            for from in 0..entries {
                for to in (0..entries).filter(|to| *to != from && !is_cut(now_ms, from, *to)) {
                    if now_ms - heard[to][from] > 500 {
                        quotas[to].forget_peer(from as u64);
                    }
                    quotas[to].note_peer(from as u64, told[from].clone(), 1.0, now);
                    heard[to][from] = now_ms;
                }
            }
        }
    }
    let in_window = |start: &u64| {
        taken
            .iter()
            .filter(|at| (*start..start + window_ms).contains(at))
            .count()
    };
    let most = taken.iter().map(in_window).max().unwrap_or(0);
    most as f64 * cost
}

#[test]
fn four_entries_under_a_flood_keep_to_one_contract() {
    let (team, window_ms) = (team(20_000.0, 20_000.0), 8_000);
    let most = most_in_a_window(4, &team, 500.0, window_ms, |_, _, _| false);
    let contract = 20_000.0 * 8.0 + 20_000.0;
    // Heartbeats are 40 ms old at most, in which the others may take what one sees as free.
    assert!(most <= contract * 1.05, "{most} of {contract}");
    assert!(most >= contract * 0.95, "only {most} of {contract}");
}

#[test]
fn both_sides_of_a_partition_together_keep_to_one_contract() {
    let (team, window_ms) = (team(20_000.0, 20_000.0), 8_000);
    let is_cut = |now_ms: u64, from: usize, to: usize| {
        (10_000..25_000).contains(&now_ms) && (from == 0) != (to == 0)
    };
    let most = most_in_a_window(4, &team, 500.0, window_ms, is_cut);
    let contract = 20_000.0 * 8.0 + 20_000.0;
    assert!(most <= contract * 1.1, "{most} of {contract}");
}

/// What the callers of a team got.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    on_time: u32,
    served: u32,
}

/// A team whose drafts come in bursts of 2.3 times its rate for two seconds, below its rate in between. Callers wait for
/// 2.7 s and come back once after a refusal, as they were told.
fn bursts(held: Duration, seed: u64) -> Tally {
    const STEP_MS: u64 = 10;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut quotas, team) = (Quotas::default(), team(48_000.0, 48_000.0));
    let mut result = Tally::default();
    let mut waiting: Vec<(Ticket, Patience, u64, bool)> = Vec::new();
    let mut returning: Vec<(u64, u64, f64)> = Vec::new();
    let mut costs = std::collections::HashMap::new();
    for now_ms in (0..36_000).step_by(10) {
        let now = at_ms(now_ms);
        let mut asking: Vec<(u64, f64, bool)> = Vec::new();
        let is_burst = matches!(now_ms / 1_000, 6..8 | 17..19 | 27..29);
        let per_s = if is_burst { 18.4 } else { 4.0 };
        if now_ms < 33_000 && random.random::<f64>() < per_s * STEP_MS as f64 / 1_000.0 {
            result.asked += 1;
            asking.push((now_ms, random.random_range(2_000.0..10_000.0), false));
        }
        let back = returning.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms);
        asking.extend(back.map(|(_, first_ms, cost)| (first_ms, cost, true)));
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
        waiting.retain(|(ticket, patience, first_ms, is_second)| {
            let Err(longer) = quotas.claim(&team, *ticket, 1.0, now) else {
                serve(*first_ms);
                return false;
            };
            let is_kept = now + longer <= patience.start_by;
            if !is_kept {
                quotas.withdraw(&team.name, *ticket);
                refuse(*first_ms, costs[&ticket.clone()], longer, *is_second);
            }
            is_kept
        });
        for (first_ms, cost, is_second) in asking {
            let patience = Patience {
                on_time_until: now + ON_TIME.min(held),
                start_by: now + held,
                ends_at: at_ms(first_ms + 14_000),
            };
            match quotas.offer(&team, cost, 1.0, patience, now) {
                Offer::Taken => serve(first_ms),
                Offer::Wait(ticket, _) => {
                    costs.insert(ticket, cost);
                    waiting.push((ticket, patience, first_ms, is_second));
                }
                Offer::Refused(after) => refuse(first_ms, cost, after, is_second),
            }
        }
    }
    result
}

#[test]
fn bursts_that_an_account_covers_late_are_served_late_and_delay_nobody_else() {
    for seed in 1..=5 {
        let (refusing, holding) = (
            bursts(ON_TIME, seed),
            bursts(Duration::from_millis(2_700), seed),
        );
        println!("refusing {refusing:?}, holding {holding:?}");
        let unserved = |served: &Tally| served.asked - served.served;
        assert_eq!(unserved(&holding), 0, "{holding:?}");
        assert!(
            holding.on_time >= refusing.on_time * 95 / 100,
            "{holding:?} {refusing:?}"
        );
    }
}
