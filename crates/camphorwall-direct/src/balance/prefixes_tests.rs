use std::time::Duration;

use crate::{
    balance::prefixes::{CacheState, PrefixIndex},
    clock::Moment,
    configuration::{Endpoint, EndpointIncarnation, Stage},
    dialect::{PromptPart, SizedPart},
    testing::{at_ms, endpoint},
};

const ENGINE: EndpointIncarnation = EndpointIncarnation(1);

fn prompt(parts: &[(u64, u32)]) -> Vec<SizedPart> {
    let sized = |(part, tokens): &(u64, u32)| SizedPart {
        part: PromptPart(*part),
        tokens: *tokens,
    };
    parts.iter().map(sized).collect()
}

fn state(placed_tokens: u64) -> CacheState {
    CacheState {
        placed_tokens,
        running_tokens: 0,
        capacity_tokens: 100_000,
    }
}

fn now() -> Moment {
    at_ms(100_000)
}

/// An index after a prompt of the parts 1, 2 and 3 was sent.
fn index() -> PrefixIndex {
    let mut index = PrefixIndex::default();
    let sent = prompt(&[(1, 4_000), (2, 200), (3, 1_000)]);
    index.note_sent(ENGINE, &sent, 5_200, now());
    index
}

#[test]
fn the_parts_up_to_the_first_one_that_is_not_held_need_no_prefill() {
    let held = |parts| index().held_tokens(ENGINE, &prompt(parts), state(5_200), now());
    assert_eq!(held(&[(1, 4_000), (2, 200), (9, 800)]), 4_200);
    assert_eq!(held(&[(1, 4_000), (9, 800), (2, 200)]), 4_000);
    assert_eq!(held(&[(9, 800), (1, 4_000)]), 0);
}

#[test]
fn another_engine_holds_nothing() {
    let other = EndpointIncarnation(2);
    let parts = prompt(&[(1, 4_000)]);
    assert_eq!(index().held_tokens(other, &parts, state(5_200), now()), 0);
}

/// Guards against a saving that is expected of an engine that lost its cache in a restart.
#[test]
fn an_engine_that_started_again_under_its_name_and_address_holds_nothing() {
    let before = endpoint("p1", Stage::Prefill);
    let after = Endpoint {
        started_ms: before.started_ms + 1,
        ..before.clone()
    };
    let parts = prompt(&[(1, 4_000)]);
    let mut index = PrefixIndex::default();
    index.note_sent(before.incarnation(), &parts, 4_000, now());
    let held =
        |engine: &Endpoint| index.held_tokens(engine.incarnation(), &parts, state(4_000), now());
    assert_eq!(held(&before), 4_000);
    assert_eq!(held(&after), 0);
}

#[test]
fn a_part_is_evicted_when_later_placements_and_running_requests_fill_the_cache() {
    let index = index();
    let parts = prompt(&[(1, 4_000)]);
    let held = |state| index.held_tokens(ENGINE, &parts, state, now());
    assert_eq!(held(state(5_200 + 80_000)), 4_000);
    assert_eq!(held(state(5_200 + 90_000)), 0);
    let crowded = CacheState {
        running_tokens: 90_000,
        ..state(5_200 + 30_000)
    };
    assert_eq!(held(crowded), 0);
}

#[test]
fn the_least_recently_used_part_is_evicted_first() {
    let mut index = index();
    index.note_sent(ENGINE, &prompt(&[(2, 200)]), 85_200, now());
    let held = |part| index.held_tokens(ENGINE, &prompt(&[part]), state(100_000), now());
    assert_eq!(held((1, 4_000)), 0);
    assert_eq!(held((2, 200)), 200);
}

#[test]
fn a_part_that_is_not_used_for_a_minute_counts_as_evicted() {
    let index = index();
    let parts = prompt(&[(1, 4_000)]);
    let held = |age_s| {
        let at = now() + Duration::from_secs(age_s);
        index.held_tokens(ENGINE, &parts, state(5_200), at)
    };
    assert_eq!(held(59), 4_000);
    assert_eq!(held(61), 0);
}

/// Guards against an entry that forgot the count of placed tokens and takes old parts for fresh ones.
#[test]
fn fewer_placed_tokens_than_at_the_last_use_mean_that_nothing_is_known() {
    let parts = prompt(&[(1, 4_000)]);
    assert_eq!(index().held_tokens(ENGINE, &parts, state(100), now()), 0);
}

#[test]
fn parts_of_a_prompt_that_was_not_prefilled_are_forgotten() {
    let mut index = index();
    let parts = prompt(&[(1, 4_000), (2, 200)]);
    index.forget(ENGINE, &parts);
    assert_eq!(index.held_tokens(ENGINE, &parts, state(5_200), now()), 0);
}

/// Guards against savings that are expected again and again of an engine that evicts sooner than its capacity says.
#[test]
fn an_engine_that_missed_parts_is_expected_to_evict_sooner() {
    let mut index = index();
    let parts = prompt(&[(1, 4_000)]);
    let held = |index: &PrefixIndex, placed_tokens| {
        index.held_tokens(ENGINE, &parts, state(placed_tokens), now())
    };
    assert_eq!(held(&index, 65_200), 4_000);
    index.note_evidence(ENGINE, false);
    assert_eq!(held(&index, 65_200), 0);
    assert_eq!(held(&index, 35_200), 4_000);
    for _ in 0..20 {
        index.note_evidence(ENGINE, true);
    }
    assert_eq!(held(&index, 65_200), 4_000);
}

/// Guards against memory that grows with the parts that callers name.
#[test]
fn the_index_is_bounded_and_shrinks_with_age() {
    let mut index = PrefixIndex::default();
    for n in 0..30_000 {
        let engine = EndpointIncarnation(n % 300);
        index.note_sent(engine, &prompt(&[(n, 100), (7, 4_000)]), n, now());
    }
    assert!(index.part_count() <= 8_192, "{}", index.part_count());
    let later = now() + Duration::from_secs(120);
    index.note_sent(ENGINE, &prompt(&[(1, 100)]), 0, later);
    assert_eq!(index.part_count(), 1);
}
