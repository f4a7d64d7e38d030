//! A short run of the load tool. It is checked by counts, since a fleet that refuses everything is also fast.

use serde_json::json;

use super::{
    Arrival, EngineCounts, Measurements, PlainRow, RequestOutcome, Scenario, arrivals::generate,
    run_once,
};

/// One second of light load, with targets that a busy machine meets too.
fn scenario() -> Scenario {
    let scenario = json!({
        "name": "smoke", "seed": 3, "duration_s": 1, "loads": [0.4], "policies": ["sampled"],
        "data_centres": ["marousi", "piraeus"], "entries": 2, "prefill": 1, "decode": 2,
        "engine": {"slots": 8, "prefill_us_per_token": 20, "token_gap_us": 10_000, "kv_lifetime_ms": 30_000},
        "prompt_tokens": {"min": 10, "max": 50}, "output_tokens": {"min": 5, "max": 15},
        "first_token_target_ms": 20_000, "token_gap_target_ms": 20_000,
        "teams": [
            {"team": "ledgers", "share": 0.7, "weight": 4, "rate_share": 4.0},
            {"team": "kiosks", "share": 0.3, "weight": 1, "rate_share": 4.0},
        ],
        "plain": {
            "service": "numbering-app", "replicas": 2, "slots": 2, "answer_ms": 20, "deadline_ms": 20_000,
            "teams": [{"team": "tills", "priority": 2, "load": 0.3}],
        },
    });
    serde_json::from_value(scenario).unwrap()
}

/// Faults that the counts of a run show.
fn faults(arrivals: &[Arrival], run: &Measurements) -> Vec<String> {
    let mut faults = Vec::new();
    for (position, (arrival, outcome)) in arrivals.iter().zip(&run.outcomes).enumerate() {
        if let Some(problem) = &outcome.problem {
            faults.push(format!("request {position}: {problem}"));
        } else if !outcome.is_complete || outcome.tokens != arrival.output_tokens {
            faults.push(format!("request {position}: {} tokens", outcome.tokens));
        }
    }
    let output_tokens: u64 = run.engines.iter().map(|engine| engine.tokens).sum();
    let expected_tokens: u64 = arrivals.iter().map(|arrival| arrival.output_tokens).sum();
    if output_tokens < expected_tokens {
        faults.push(format!(
            "engines wrote {output_tokens} of {expected_tokens} tokens"
        ));
    }
    let calls = run.plain.iter().filter(|row| row.answered != row.calls);
    faults.extend(calls.map(|row| format!("{}: {:?}", row.team, row.problems)));
    faults
}

#[test]
fn all_requests_of_a_light_load_are_answered_completely() {
    let scenario = scenario();
    let arrivals = generate(&scenario, scenario.loads[0]);
    assert!(arrivals.len() > 30, "{} arrivals", arrivals.len());
    let run = run_once(&scenario, "sampled", &arrivals);
    assert_eq!(run.outcomes.len(), arrivals.len());
    assert!(run.plain[0].calls > 10, "{} calls", run.plain[0].calls);
    assert_eq!(faults(&arrivals, &run), Vec::<String>::new());
}

/// A run in which each request has the same outcome, without plain calls.
fn run_of(count: usize, outcome: &RequestOutcome, tokens: u64) -> Measurements {
    Measurements {
        outcomes: vec![outcome.clone(); count],
        engines: vec![EngineCounts {
            tokens,
            ..EngineCounts::default()
        }],
        plain: Vec::new(),
    }
}

#[test]
fn the_check_of_a_run_finds_refused_lost_short_and_invented_answers() {
    let scenario = scenario();
    let arrivals = &generate(&scenario, scenario.loads[0])[..1];
    let expected_tokens = arrivals[0].output_tokens;
    let complete = RequestOutcome {
        tokens: expected_tokens,
        is_complete: true,
        ..RequestOutcome::default()
    };
    assert!(faults(arrivals, &run_of(1, &complete, expected_tokens)).is_empty());
    let problem = |kind: &str| RequestOutcome {
        problem: Some(kind.into()),
        ..RequestOutcome::default()
    };
    let short = RequestOutcome {
        tokens: expected_tokens - 1,
        ..complete.clone()
    };
    for broken in [problem("unavailable"), problem("lost"), short] {
        assert_eq!(
            faults(arrivals, &run_of(1, &broken, expected_tokens)).len(),
            1
        );
    }
    assert_eq!(faults(arrivals, &run_of(1, &complete, 0)).len(), 1);
    let refused_call = Measurements {
        plain: vec![PlainRow {
            team: "tills".into(),
            priority: 2,
            calls: 2,
            answered: 1,
            p50_ms: 0.0,
            p95_ms: 0.0,
            problems: [("overloaded".to_owned(), 1)].into(),
        }],
        ..run_of(1, &complete, expected_tokens)
    };
    assert_eq!(faults(arrivals, &refused_call).len(), 1);
}
