use std::time::Duration;

use super::{Call, CallOutcome, PlainLoad, summarise_calls};
use crate::load::scenario::PlainTeam;

fn tills_and_batch() -> PlainLoad {
    let team = |team: &str, priority: u8, load: f64| PlainTeam {
        team: team.into(),
        priority,
        load,
    };
    PlainLoad {
        service: "numbering-app".into(),
        replicas: 3,
        slots: 4,
        answer_ms: 20,
        deadline_ms: 1_000,
        teams: vec![team("tills", 2, 0.2), team("batch", 0, 1.3)],
    }
}

#[test]
fn the_offered_rate_is_a_share_of_the_capacity_of_the_replicas() {
    let plain = tills_and_batch();
    assert!((plain.calls_per_s(&plain.teams[0]) - 120.0).abs() < 1e-6);
}

#[test]
fn the_calls_and_outcomes_of_each_team_are_counted_separately() {
    let call = |team: usize| Call {
        at_s: 0.0,
        team,
        entry: 0,
    };
    let calls = [call(0), call(1), call(1)];
    let outcomes: [CallOutcome; 3] = [
        Ok(Duration::from_millis(20)),
        Ok(Duration::from_millis(900)),
        Err("overloaded".into()),
    ];
    let rows = summarise_calls(&tills_and_batch(), &calls, &outcomes);
    assert_eq!((rows[0].calls, rows[0].answered), (1, 1));
    assert!((19.0..21.0).contains(&rows[0].p95_ms));
    assert_eq!((rows[1].calls, rows[1].answered), (2, 1));
    assert_eq!(rows[1].problems["overloaded"], 1);
}
