use std::time::{Duration, Instant};

use camphorwall::{EngineRole, Instance, Load, Published, RoutingPolicy, RoutingSettings};
use serde_json::{json, value::to_raw_value};

use super::{Router, RoutingRequest};

const PREFILL: EngineRole = EngineRole::Prefill;
const DECODE: EngineRole = EngineRole::Decode;
const PLAIN: EngineRole = EngineRole::Plain;

fn publish(published: &mut Published, name: &str, revision: u64, body: &serde_json::Value) {
    let document = camphorwall::Document {
        name: name.parse().unwrap(),
        revision: camphorwall::Revision(revision),
        body: to_raw_value(body).unwrap(),
    };
    published.apply(&document).unwrap();
}

/// Three decode, two prefill and two plain endpoints; odd numbers are in data centre piraeus, even ones in marousi.
fn published() -> Published {
    let instance = |role: EngineRole, number: u16| {
        let data_centre = ["marousi", "piraeus"][usize::from(number % 2)];
        json!({
            "instance": format!("{role}-{number}"), "role": "endpoint", "data_centre": data_centre,
            "peer_address": format!("127.0.0.1:{}", 1_000 + number), "service": "summary-llm", "engine_role": role,
        })
    };
    let instances = json!({"instances": [
        instance(DECODE, 0), instance(DECODE, 1), instance(DECODE, 2), instance(PREFILL, 0), instance(PREFILL, 1),
        instance(PLAIN, 0), instance(PLAIN, 2),
    ]});
    let mut published = Published::default();
    publish(&mut published, "instances", 1, &instances);
    published
}

fn instance(published: &Published, name: &str) -> Instance {
    published.instances[&name.parse().unwrap()].clone()
}

fn router(policy: RoutingPolicy) -> Router {
    let settings = RoutingSettings {
        policy,
        report_period_ms: 0,
        prefix_belief: camphorwall::PrefixBelief::Told,
    };
    Router::new(settings, 7)
}

fn best(router: &Router, role: EngineRole, pieces: &[u64], now: Instant) -> String {
    let request = RoutingRequest {
        service: &"summary-llm".parse().unwrap(),
        role,
        near: &"marousi".parse().unwrap(),
        prompt_tokens: 1_000,
        pieces,
        fingerprint: 1,
    };
    let candidates = router.candidates(&published(), &request, now);
    candidates[0].instance.to_string()
}

fn load(running: u32, queued_prompt_tokens: u64) -> Load {
    Load {
        running,
        slots: 20,
        queued_prompt_tokens,
        ..Load::default()
    }
}

fn report(router: &Router, instance: &str, load: Load, now: Instant) {
    router.note_load(&instance.parse().unwrap(), load, now);
}

#[test]
fn a_request_stays_in_its_data_centre_until_the_wait_there_exceeds_the_path_delay() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    report(&router, "prefill-0", load(0, 5), now);
    assert_eq!(best(&router, PREFILL, &[], now), "prefill-0");
    report(&router, "prefill-0", load(0, 5_000), now);
    assert_eq!(best(&router, PREFILL, &[], now), "prefill-1");
}

/// Whether 20 requests that arrive before the next report leave free slots at each endpoint of their data centre.
fn spreads(router: &Router, now: Instant) -> bool {
    let mut sent = [0, 0];
    for _ in 0..20 {
        let chosen = best(router, DECODE, &[], now);
        sent[usize::from(chosen == "decode-2")] += 1;
        router.note_reservation_sent(&chosen.parse().unwrap());
    }
    sent.iter().all(|count| *count <= 15)
}

#[test]
fn pending_reservations_of_this_entry_count_before_any_report_includes_them() {
    let now = Instant::now();
    assert!(spreads(&router(RoutingPolicy::Sampled), now));
}

#[test]
fn the_spreading_check_fails_for_a_policy_that_uses_reports_alone() {
    let now = Instant::now();
    assert!(!spreads(&router(RoutingPolicy::LeastReported), now));
}

#[test]
fn a_cached_prefix_attracts_requests_until_the_queue_there_costs_more() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    let pieces = [11, 12];
    let holder = "prefill-1".parse().unwrap();
    router.note_prefill(&holder, &pieces, 4_096, Duration::from_millis(400));
    assert_eq!(best(&router, PREFILL, &pieces, now), "prefill-1");
    assert_eq!(best(&router, PREFILL, &[99], now), "prefill-0");
    report(&router, "prefill-1", load(0, 10_000), now);
    assert_eq!(best(&router, PREFILL, &pieces, now), "prefill-0");
}

#[test]
fn a_plain_call_goes_to_the_endpoint_with_the_fewest_reported_and_pending_calls() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    let full = |waiting: u32| Load {
        running: 4,
        waiting,
        slots: 4,
        ..Load::default()
    };
    report(&router, "plain-0", full(1), now);
    report(&router, "plain-2", full(2), now);
    assert_eq!(best(&router, PLAIN, &[], now), "plain-0");
    // The last report does not include two reservations that this entry has sent since.
    let busier = "plain-0".parse().unwrap();
    router.note_reservation_sent(&busier);
    router.note_reservation_sent(&busier);
    assert_eq!(best(&router, PLAIN, &[], now), "plain-2");
}

#[test]
fn an_unreachable_endpoint_is_skipped_for_a_while() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    router.note_unreachable(&instance(&published(), "prefill-0"), now);
    assert_eq!(best(&router, PREFILL, &[], now), "prefill-1");
    let later = now + Duration::from_secs(2);
    assert_eq!(best(&router, PREFILL, &[], later), "prefill-0");
}

#[test]
fn an_endpoint_that_restarts_at_another_address_is_not_skipped() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    let mut old = instance(&published(), "prefill-0");
    old.peer_address.set_port(9);
    router.note_unreachable(&old, now);
    assert_eq!(best(&router, PREFILL, &[], now), "prefill-0");
}

#[test]
fn unreachable_endpoints_are_candidates_if_there_are_no_others() {
    let now = Instant::now();
    let router = router(RoutingPolicy::Sampled);
    for name in ["prefill-0", "prefill-1"] {
        router.note_unreachable(&instance(&published(), name), now);
    }
    assert_eq!(best(&router, PREFILL, &[], now), "prefill-0");
}
