//! Measures the outcomes of orders at real daemons while a replica dies, leaves or joins.
//!
//! `cargo test --release -p camphorwall-daemon --test orders_measured -- --ignored --nocapture`

use std::{collections::BTreeMap, time::Duration};

use camphorwall_standin::{Caller, Fleet, FleetOptions, new_idempotency_key};
use futures_util::future::join_all;
use http::Method;

const ORDERS: u64 = 400;
const GAP: Duration = Duration::from_millis(20);
const EVENT_AT: Duration = Duration::from_secs(2);

async fn start() -> Fleet {
    let options = FleetOptions {
        prefill: 0,
        decode: 0,
        plain: 4,
        ..FleetOptions::default()
    };
    Fleet::start(&options).await
}

/// Sends orders at a steady rate and counts their first answers by outcome.
async fn order_steadily(caller: &Caller) -> BTreeMap<String, u64> {
    let orders = (0..ORDERS).map(|number| async move {
        compio::time::sleep(GAP * u32::try_from(number).unwrap()).await;
        let key = new_idempotency_key();
        let headers = [("idempotency-key", key.as_str())];
        let body = format!("sale-{number}").into_bytes();
        let answer = caller.call(Method::POST, "/invoices", &headers, body).await;
        let json = answer.unwrap().json();
        json["outcome"].as_str().unwrap_or("answered").to_owned()
    });
    let mut counts = BTreeMap::new();
    for outcome in join_all(orders).await {
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

fn print(event: &str, fleet: &Fleet, counts: &BTreeMap<String, u64>) {
    let keys: Vec<_> = fleet
        .plain
        .runs()
        .into_iter()
        .map(|run| run.idempotency_key)
        .collect();
    let distinct: std::collections::BTreeSet<_> = keys.iter().collect();
    println!(
        "| {event} | {ORDERS} | {counts:?} | {} |",
        keys.len() - distinct.len()
    );
}

#[compio::test]
#[ignore = "prints the second table of docs/design/ledger.md"]
async fn outcomes_of_orders() {
    println!("| event | orders | first answers | second runs |\n|---|---|---|---|");
    let fleet = start().await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let counts = order_steadily(&caller).await;
    print("none", &fleet, &counts);
    fleet.stop().await;

    let mut fleet = start().await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let killing = async {
        compio::time::sleep(EVENT_AT).await;
        fleet.kill_endpoint(0);
        compio::time::sleep(Duration::from_secs(1)).await;
        fleet.publish_instances();
    };
    let (counts, ()) = futures_util::join!(order_steadily(&caller), killing);
    print("a replica dies", &fleet, &counts);
    fleet.stop().await;

    let mut fleet = start().await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let leaving = async {
        compio::time::sleep(EVENT_AT).await;
        fleet.stop_endpoint(0).await;
        fleet.publish_instances();
    };
    let (counts, ()) = futures_util::join!(order_steadily(&caller), leaving);
    print("a replica leaves", &fleet, &counts);
    fleet.stop().await;

    let mut fleet = start().await;
    let caller = Caller::new(fleet.caller_address(0), Some("till-key"));
    let joining = async {
        compio::time::sleep(EVENT_AT).await;
        fleet.add_plain_replica().await;
        fleet.publish_instances();
    };
    let (counts, ()) = futures_util::join!(order_steadily(&caller), joining);
    print("a replica joins", &fleet, &counts);
    fleet.stop().await;
}
