//! Calls that run at most once, over real loopback sockets, while owners and replicas die, leave and are replaced.

use std::{collections::BTreeMap, time::Duration};

use camphorwall_standin::{Answer, Caller, Fleet, FleetOptions, new_idempotency_key, wait_until};
use futures_util::future::join_all;
use http::Method;
use rstest::rstest;

const TEAM: &str = "marousi-tills";
/// Lease duration, long enough that leases don't expire on a busy machine.
const LEASE_MS: u64 = 1_500;
const KEY: &str = "till-key";

async fn start(entries: usize, plain: usize) -> Fleet {
    let options = FleetOptions {
        entries,
        plain,
        prefill: 0,
        decode: 0,
        hold_ms: LEASE_MS,
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

fn caller_at(fleet: &Fleet, entry: usize) -> Caller {
    Caller::new(fleet.caller_address(entry), Some(KEY))
}

async fn order(caller: &Caller, key: &str, body: &str) -> Answer {
    let headers = [("idempotency-key", key)];
    caller
        .call(Method::POST, "/invoices", &headers, body.into())
        .await
        .unwrap()
}

/// Sends the order `sale-1` and changes the fleet while the order runs.
async fn order_during(
    fleet: &mut Fleet,
    caller: &Caller,
    key: &str,
    change: impl AsyncFnOnce(&mut Fleet),
) -> Answer {
    let changing = async {
        wait_until(async || (!fleet.plain.runs().is_empty()).then_some(())).await;
        change(fleet).await;
    };
    let (answer, ()) = futures_util::join!(order(caller, key, "sale-1"), changing);
    answer
}

fn outcome(answer: &Answer) -> String {
    let json = answer.json();
    let number = json["number"].as_u64().map(|number| number.to_string());
    let outcome = json["outcome"].as_str().map(str::to_owned);
    number.or(outcome).unwrap_or_default()
}

fn is_replayed(answer: &Answer) -> bool {
    answer.headers.contains_key("idempotency-replayed")
}

/// Publishes the list of running instances and waits until it is in force.
async fn publish(fleet: &Fleet) {
    let revision = fleet.publish_instances();
    fleet.wait_for_revision("instances", revision).await;
    fleet.wait_for_ledgers().await;
}

fn runs_by_key(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in fleet.plain.runs() {
        *runs.entry(run.idempotency_key).or_default() += 1;
    }
    runs
}

fn assert_at_most_once(fleet: &Fleet) {
    let repeated: Vec<_> = runs_by_key(fleet)
        .into_iter()
        .filter(|(_, runs)| *runs > 1)
        .collect();
    assert_eq!(repeated, []);
}

/// Issues a key whose ledger is owned by a wanted replica, and returns it with the replica.
fn key_owned_by(fleet: &Fleet, is_wanted: impl Fn(usize) -> bool) -> (String, usize) {
    loop {
        let key = new_idempotency_key();
        match fleet.ledger_owner(TEAM, &key) {
            Some(owner) if is_wanted(owner) => return (key, owner),
            _ => {}
        }
    }
}

#[compio::test]
async fn five_callers_at_two_entries_get_one_number_and_no_second_run_after_the_owner_died() {
    let mut fleet = start(2, 3).await;
    fleet.plain.set_answer_delay(Duration::from_millis(30));
    let (key, owner) = key_owned_by(&fleet, |_| true);
    let callers: Vec<_> = (0..5).map(|number| caller_at(&fleet, number % 2)).collect();
    let answers = join_all(callers.iter().map(|caller| order(caller, &key, "sale-1"))).await;
    let outcomes: Vec<_> = answers.iter().map(outcome).collect();
    assert_eq!(outcomes, ["1"; 5]);
    assert_eq!(answers.iter().filter(|one| !is_replayed(one)).count(), 1);
    fleet.kill_endpoint(owner);
    publish(&fleet).await;
    let repeats = join_all(callers.iter().map(|caller| order(caller, &key, "sale-1"))).await;
    let outcomes: Vec<_> = repeats.iter().map(outcome).collect();
    assert_eq!(outcomes, ["may_have_run"; 5]);
    assert_eq!(runs_by_key(&fleet), BTreeMap::from([(key, 1)]));
    // The look-up that the refusal advises finds the number.
    let found = callers[0]
        .call(Method::GET, "/invoices/sale-1", &[], Vec::new())
        .await
        .unwrap();
    assert_eq!(found.json()["number"], 1);
    // An order whose key is issued after the change of ownership runs.
    let fresh = order(&callers[0], &new_idempotency_key(), "sale-2").await;
    assert_eq!(outcome(&fresh), "2");
    fleet.stop().await;
}

#[compio::test]
async fn the_owner_dies_between_permit_and_outcome() {
    let mut fleet = start(1, 3).await;
    fleet.plain.set_answer_delay(Duration::from_millis(200));
    let (key, owner) = key_owned_by(&fleet, |_| true);
    let caller = caller_at(&fleet, 0);
    let answer = order_during(&mut fleet, &caller, &key, async |fleet| {
        fleet.kill_endpoint(owner);
    })
    .await;
    assert_eq!(outcome(&answer), "may_have_run");
    publish(&fleet).await;
    assert_eq!(
        outcome(&order(&caller, &key, "sale-1").await),
        "may_have_run"
    );
    assert_eq!(runs_by_key(&fleet), BTreeMap::from([(key, 1)]));
    fleet.stop().await;
}

#[compio::test]
async fn a_replica_that_dies_in_mid_call_leaves_the_outcome_permanently_unknown() {
    let mut fleet = start(1, 2).await;
    fleet.plain.set_answer_delay(Duration::from_millis(200));
    let (key, owner) = key_owned_by(&fleet, |_| true);
    // The owner's local service is down, so the other replica gets the permit.
    fleet.endpoints[owner].server = None;
    let caller = caller_at(&fleet, 0);
    let answer = order_during(&mut fleet, &caller, &key, async |fleet| {
        fleet.kill_endpoint(1 - owner);
    })
    .await;
    assert_eq!(outcome(&answer), "may_have_run");
    for _ in 0..3 {
        assert_eq!(
            outcome(&order(&caller, &key, "sale-1").await),
            "may_have_run"
        );
    }
    assert_eq!(runs_by_key(&fleet), BTreeMap::from([(key, 1)]));
    fleet.stop().await;
}

#[compio::test]
async fn a_dead_service_at_one_replica_causes_no_refusal() {
    let mut fleet = start(1, 3).await;
    fleet.endpoints[0].server = None;
    let caller = caller_at(&fleet, 0);
    for number in 1..=12 {
        let answer = order(&caller, &new_idempotency_key(), &format!("sale-{number}")).await;
        assert_eq!(outcome(&answer), number.to_string());
    }
    assert_at_most_once(&fleet);
    fleet.stop().await;
}

#[compio::test]
async fn an_entry_killed_in_mid_call_leaves_the_outcome_to_a_repeated_call() {
    let mut fleet = start(2, 2).await;
    fleet.plain.set_answer_delay(Duration::from_millis(100));
    let key = new_idempotency_key();
    let first = caller_at(&fleet, 1);
    let second = caller_at(&fleet, 0);
    let headers = [("idempotency-key", key.as_str())];
    let body = b"sale-1".to_vec();
    let lost = first.call(Method::POST, "/invoices", &headers, body);
    let killing = async {
        wait_until(async || (!fleet.plain.runs().is_empty()).then_some(())).await;
        fleet.entries.pop().expect("two entries").kill();
    };
    let (lost, ()) = futures_util::join!(lost, killing);
    assert!(lost.is_err());
    let repeat = order(&second, &key, "sale-1").await;
    assert_eq!(
        (outcome(&repeat).as_str(), is_replayed(&repeat)),
        ("1", true)
    );
    assert_eq!(runs_by_key(&fleet), BTreeMap::from([(key, 1)]));
    fleet.stop().await;
}

#[compio::test]
async fn a_leaving_owner_hands_its_ledger_over_and_no_order_is_refused() {
    let mut fleet = start(1, 3).await;
    let caller = caller_at(&fleet, 0);
    let (answered, owner) = key_owned_by(&fleet, |_| true);
    assert_eq!(outcome(&order(&caller, &answered, "sale-1").await), "1");
    // Issued before the change of ownership and sent after it.
    let (unsent, _) = key_owned_by(&fleet, |other| other == owner);
    fleet.stop_endpoint(owner).await;
    let repeat = order(&caller, &answered, "sale-1").await;
    assert_eq!(
        (outcome(&repeat).as_str(), is_replayed(&repeat)),
        ("1", true)
    );
    assert_eq!(outcome(&order(&caller, &unsent, "sale-2").await), "2");
    publish(&fleet).await;
    assert_eq!(outcome(&order(&caller, &answered, "sale-1").await), "1");
    assert_eq!(outcome(&order(&caller, &unsent, "sale-2").await), "2");
    assert_at_most_once(&fleet);
    fleet.stop().await;
}

#[compio::test]
async fn a_leaving_owner_waits_for_its_running_call() {
    let mut fleet = start(1, 2).await;
    fleet.plain.set_answer_delay(Duration::from_millis(100));
    let (key, owner) = key_owned_by(&fleet, |_| true);
    let caller = caller_at(&fleet, 0);
    let answer = order_during(&mut fleet, &caller, &key, async |fleet| {
        fleet.stop_endpoint(owner).await;
    })
    .await;
    assert_eq!(outcome(&answer), "1");
    assert_eq!(outcome(&order(&caller, &key, "sale-1").await), "1");
    assert_at_most_once(&fleet);
    fleet.stop().await;
}

/// Sends an order until it is answered or may have run, as a careful caller does.
async fn order_until_certain(caller: &Caller, body: &str) -> (String, Vec<String>) {
    let key = new_idempotency_key();
    let mut outcomes = Vec::new();
    for _ in 0..50 {
        let answer = order(caller, &key, body).await;
        outcomes.push(outcome(&answer));
        if answer.status == 201 || outcomes.last().is_some_and(|last| last == "may_have_run") {
            break;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    (key, outcomes)
}

/// Changes of the group while three replicas are replaced: three join and three leave.
const OWNER_CHANGES: usize = 6;

#[compio::test]
async fn a_rolling_replacement_of_all_replicas_repeats_no_order_and_refuses_truthfully() {
    let mut fleet = start(1, 3).await;
    let caller = caller_at(&fleet, 0);
    let is_done = std::cell::Cell::new(false);
    let ordering = async {
        let mut sent = Vec::new();
        while !is_done.get() {
            let body = format!("sale-{}", sent.len());
            sent.push(order_until_certain(&caller, &body).await);
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        sent
    };
    let replacing = async {
        for old in 0..3 {
            fleet.add_plain_replica().await;
            publish(&fleet).await;
            fleet.stop_endpoint(old).await;
            publish(&fleet).await;
        }
        is_done.set(true);
    };
    let (sent, ()) = futures_util::join!(ordering, replacing);
    assert_at_most_once(&fleet);
    let runs = runs_by_key(&fleet);
    for (key, outcomes) in &sent {
        let last = outcomes.last().expect("each was sent");
        let ran = runs.contains_key(key);
        match last.as_str() {
            "may_have_run" => {}
            "not_run" => panic!("an order was refused to the end: {outcomes:?}"),
            number => assert!(ran, "{number} was answered without a run"),
        }
    }
    // The outcome of an order may stay unknown if its key changes owners while it runs. The caller sends one at a time,
    // so that each change affects at most one order.
    let is_unknown =
        |outcomes: &Vec<String>| outcomes.last().is_some_and(|last| last == "may_have_run");
    let unknown = sent
        .iter()
        .filter(|(_, outcomes)| is_unknown(outcomes))
        .count();
    assert!(unknown <= OWNER_CHANGES, "{unknown} of {}", sent.len());
    fleet.stop().await;
}

#[rstest]
#[case::missing(None, None, 400, "not_run")]
#[case::no_issue_time(Some("sale-17"), None, 400, "not_run")]
#[case::old(
    Some("0193a1f0-0000-7000-8000-000000000001"),
    None,
    502,
    "may_have_run"
)]
#[case::old_by_header(Some("sale-17"), Some("1700000000000"), 502, "may_have_run")]
#[case::from_the_future(Some("sale-17"), Some("99999999999999"), 400, "not_run")]
fn a_key_that_is_not_provably_fresh_never_runs(
    #[case] key: Option<&str>,
    #[case] issued_at: Option<&str>,
    #[case] status: u16,
    #[case] expected: &str,
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = start(1, 2).await;
        let names = ["idempotency-key", "idempotency-issued-at"];
        let headers: Vec<_> = names
            .into_iter()
            .zip([key, issued_at])
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        let refused = caller_at(&fleet, 0)
            .call(Method::POST, "/invoices", &headers, b"sale-1".to_vec())
            .await
            .unwrap();
        assert_eq!(
            (refused.status, outcome(&refused).as_str()),
            (status, expected)
        );
        assert_eq!(fleet.plain.runs(), []);
        fleet.stop().await;
    });
}

#[compio::test]
async fn a_key_with_another_body_is_refused_and_another_team_has_its_own() {
    let fleet = start(1, 2).await;
    let (key, caller) = (new_idempotency_key(), caller_at(&fleet, 0));
    assert_eq!(outcome(&order(&caller, &key, "sale-1").await), "1");
    let other_body = order(&caller, &key, "sale-2").await;
    assert_eq!(
        (other_body.status, outcome(&other_body).as_str()),
        (422, "not_run")
    );
    let other_team = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    assert_eq!(outcome(&order(&other_team, &key, "sale-2").await), "2");
    assert_eq!(fleet.plain.runs().len(), 2);
    fleet.stop().await;
}

#[compio::test]
async fn a_look_up_is_retried_until_a_live_replica_answers() {
    let mut fleet = start(1, 3).await;
    let caller = caller_at(&fleet, 0);
    assert_eq!(
        outcome(&order(&caller, &new_idempotency_key(), "sale-1").await),
        "1"
    );
    fleet.kill_endpoint(0);
    fleet.endpoints[1].server = None;
    for _ in 0..10 {
        let found = caller
            .call(Method::GET, "/invoices/sale-1", &[], Vec::new())
            .await
            .unwrap();
        assert_eq!((found.status, outcome(&found).as_str()), (200, "1"));
    }
    fleet.stop().await;
}
