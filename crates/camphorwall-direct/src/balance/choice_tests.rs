use rstest::rstest;

use crate::balance::{
    choice::{Candidate, FillLimit, choose_decode, choose_plain, choose_prefill, peak_tokens},
    loads::Run,
};

/// Allows the forecast to fill an engine completely.
const WHOLE: FillLimit = FillLimit {
    share: 1.0,
    length_margin: 0.0,
};

const NEARLY_WHOLE: FillLimit = FillLimit {
    share: 0.95,
    ..WHOLE
};

fn run(held_tokens: u32, left_tokens: u32) -> Run {
    Run {
        held_tokens,
        left_tokens,
    }
}

fn candidate(runs: &[Run]) -> Candidate {
    Candidate {
        runs: runs.to_vec(),
        slots: 12,
        is_near: true,
        ..Candidate::default()
    }
}

/// Peak found by stepping all runs one token at a time, as an engine does.
fn stepped_peak(runs: &[Run], candidate: Run) -> u64 {
    let mut runs: Vec<Run> = runs.iter().copied().chain([candidate]).collect();
    let mut peak = 0;
    while !runs.is_empty() {
        peak = peak.max(runs.iter().map(|run| u64::from(run.held_tokens)).sum());
        runs.retain(|run| run.left_tokens > 0);
        for run in &mut runs {
            run.held_tokens += 1;
            run.left_tokens -= 1;
        }
    }
    peak
}

#[rstest]
#[case::alone(&[], run(50, 20))]
#[case::one_ends_before_others_grow(&[run(100, 1), run(10, 80)], run(10, 80))]
#[case::all_end_together(&[run(10, 30), run(20, 30)], run(30, 30))]
#[case::ends_one_by_one(&[run(40, 5), run(30, 10), run(20, 25)], run(60, 15))]
fn the_forecast_peak_equals_that_of_a_stepped_engine(#[case] runs: &[Run], #[case] candidate: Run) {
    assert_eq!(peak_tokens(runs, candidate), stepped_peak(runs, candidate));
}

#[test]
fn a_run_that_fits_now_is_not_placed_where_it_overfills_the_kv_cache_later() {
    let full_later = candidate(&[run(40, 30), run(40, 30)]);
    assert_eq!(choose_decode(&[full_later], run(10, 30), 150, WHOLE), None);
}

#[test]
fn a_run_is_placed_where_others_end_soon() {
    let growing = candidate(&[run(40, 60)]);
    let ending = candidate(&[run(60, 2)]);
    assert_eq!(
        choose_decode(&[growing, ending], run(10, 40), 150, WHOLE),
        Some(1)
    );
}

#[test]
fn a_run_larger_than_the_kv_cache_is_placed_on_an_idle_endpoint_only() {
    let busy = candidate(&[run(1, 1)]);
    let empty = candidate(&[]);
    assert_eq!(
        choose_decode(std::slice::from_ref(&busy), run(50, 200), 150, WHOLE),
        None
    );
    assert_eq!(
        choose_decode(&[busy, empty], run(50, 200), 150, WHOLE),
        Some(1)
    );
}

#[test]
fn slots_limit_an_endpoint_whose_kv_cache_is_free() {
    let mut full = candidate(&[run(1, 1), run(1, 1)]);
    full.slots = 2;
    assert_eq!(choose_decode(&[full], run(1, 1), 1_000, WHOLE), None);
}

#[test]
fn an_unreachable_endpoint_is_used_only_if_all_are_unreachable() {
    let unreachable = Candidate {
        is_unreachable: true,
        ..candidate(&[])
    };
    let busy = candidate(&[run(50, 10)]);
    assert_eq!(choose_plain(&[unreachable.clone(), busy]), Some(1));
    assert_eq!(choose_plain(&[unreachable]), Some(0));
}

#[test]
fn an_unreachable_endpoint_is_not_used_because_the_others_are_full() {
    let unreachable = Candidate {
        is_unreachable: true,
        ..candidate(&[])
    };
    let full = candidate(&[run(140, 5)]);
    assert_eq!(
        choose_decode(&[unreachable, full], run(20, 5), 150, WHOLE),
        None
    );
}

#[test]
fn an_endpoint_that_fails_requests_gets_fewer() {
    let failing = Candidate {
        expected_loss: 0.5,
        ..candidate(&[])
    };
    let busy = candidate(&[run(20, 10), run(20, 10)]);
    assert_eq!(choose_plain(&[failing.clone(), busy.clone()]), Some(1));
    assert_eq!(
        choose_decode(&[failing, busy], run(5, 5), 300, WHOLE),
        Some(1)
    );
}

#[test]
fn a_prefill_goes_to_the_shortest_queue_in_tokens() {
    let one_long = candidate(&[run(9_000, 0)]);
    let two_short = candidate(&[run(1_000, 0), run(1_000, 0)]);
    assert_eq!(choose_prefill(&[one_long, two_short], 5_000), Some(1));
}

#[test]
fn the_local_data_centre_is_preferred_among_equally_loaded_endpoints() {
    let remote = Candidate {
        is_near: false,
        ..candidate(&[])
    };
    let near = candidate(&[]);
    assert_eq!(
        choose_prefill(&[remote.clone(), near.clone()], 5_000),
        Some(1)
    );
    assert_eq!(choose_plain(&[remote.clone(), near.clone()]), Some(1));
    assert_eq!(
        choose_decode(&[remote, near], run(5, 5), 300, WHOLE),
        Some(1)
    );
}

#[test]
fn the_peak_of_runs_of_the_largest_reported_size_does_not_overflow() {
    let largest = Run {
        held_tokens: u32::MAX,
        left_tokens: u32::MAX,
    };
    let peak = 3 * 2 * u64::from(u32::MAX);
    assert_eq!(peak_tokens(&[largest, largest], largest), peak);
}

#[test]
fn a_failing_decode_endpoint_gets_only_what_healthy_ones_have_no_capacity_for() {
    let failing = Candidate {
        expected_loss: 0.4,
        ..candidate(&[])
    };
    let next = run(100, 50);
    // The healthy endpoint is half full first, then full.
    let busy = candidate(&[run(400, 100)]);
    assert_eq!(
        choose_decode(&[failing.clone(), busy], next, 1_000, NEARLY_WHOLE),
        Some(1)
    );
    let full = candidate(&[run(800, 100)]);
    assert_eq!(
        choose_decode(&[failing, full], next, 1_000, NEARLY_WHOLE),
        Some(0)
    );
}

/// Two engines hold the same number of tokens: one runs long prompts with short answers left, the other the reverse. Only
/// what is still to be generated may get longer than its forecast.
#[test]
fn room_is_kept_for_answers_that_get_longer_not_for_prompts() {
    let prompts = candidate(&[run(80, 10)]);
    let answers = candidate(&[run(10, 80)]);
    let with_margin = FillLimit {
        share: 1.0,
        length_margin: 0.25,
    };
    let fits = |engine: &Candidate| {
        choose_decode(std::slice::from_ref(engine), run(5, 5), 105, with_margin).is_some()
    };
    assert!(fits(&prompts));
    assert!(!fits(&answers));
}

/// Guards against cold endpoints that are preferred because they are idle, and against warm ones that are overfilled while
/// a cold one may still get a request.
#[test]
fn warm_endpoints_with_free_slots_go_before_cold_ones_and_those_before_full_ones() {
    let with = |runs: usize, is_cold| Candidate {
        is_cold,
        ..candidate(&vec![Run::default(); runs])
    };
    let slots = candidate(&[]).slots as usize;
    assert_eq!(
        choose_plain(&[with(0, true), with(slots - 1, false)]),
        Some(1)
    );
    assert_eq!(choose_plain(&[with(0, true), with(slots, false)]), Some(0));
    assert_eq!(
        choose_plain(&[with(slots, true), with(slots, false)]),
        Some(0)
    );
    assert_eq!(
        choose_prefill(&[with(0, true), with(1, false)], 1_000),
        Some(1)
    );
}
