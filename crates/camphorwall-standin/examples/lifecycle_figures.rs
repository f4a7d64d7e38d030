//! Measures three figures of a request's life cycle: the time from a caller's disconnect until the engine memory of its
//! request is free, the longest gap in a stream whose connections go silent, and the retry amplification at 1.5 times
//! the capacity. Prints one line for each figure.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use camphorwall::EngineRole;
use camphorwall_standin::{
    Caller, CallerRecord, Ending, EngineOptions, Event, Fleet, FleetOptions, RelayMode, RelayModes,
    Violation,
};
use futures_util::future::{join, join_all};
use hdrhistogram::Histogram;

const PROMPT: &str = "ledger of the Piraeus bakery for March with flour sugar and rent";

/// Number of callers that disconnect.
const DISCONNECTS: u32 = 300;

/// Number of streams whose connections go silent.
const SILENCES: u32 = 20;

/// Duration of the overload.
const OVERLOAD: Duration = Duration::from_secs(8);

/// Output tokens of one answer under overload.
const OVERLOAD_TOKENS: u32 = 100;

/// Decode slots of one engine under overload.
const OVERLOAD_SLOTS: u32 = 8;

/// Time between two output tokens.
const TOKEN_GAP_US: u32 = 2_000;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 digits are allowed")
}

fn print(name: &str, times_us: &Histogram<u64>) {
    let milliseconds = |quantile| times_us.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{name}: n={} p50={:.1} ms p99={:.1} ms max={:.1} ms",
        times_us.len(),
        milliseconds(0.5),
        milliseconds(0.99),
        milliseconds(1.0),
    );
}

async fn measure_disconnects() {
    let fleet = Fleet::start(&FleetOptions::default()).await;
    let mut times_us = histogram();
    for _ in 0..DISCONNECTS {
        let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
        let stream = caller.stream(PROMPT, 50_000).await.expect("an answer");
        let mut events = stream.expect("a stream");
        assert!(matches!(events.next().await, Some(Event::Text(_))));
        let connection = (events, caller);
        assert_eq!(fleet.requests_in_memory(), 1);
        let disconnected_at = Instant::now();
        drop(connection);
        while fleet.requests_in_memory() > 0 {
            compio::time::sleep(Duration::from_micros(200)).await;
        }
        times_us
            .record(micros(disconnected_at.elapsed()))
            .expect("the histogram grows");
    }
    print("caller left, engine memory free", &times_us);
    fleet.stop().await;
}

async fn measure_silences(name: &str, modes: RelayModes) {
    let fleet = Fleet::start(&FleetOptions {
        relays: true,
        ..FleetOptions::default()
    })
    .await;
    let mut times_us = histogram();
    for _ in 0..SILENCES {
        let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
        let stream = caller.stream(PROMPT, 600).await.expect("an answer");
        let mut events = stream.expect("a stream");
        let mut longest_gap = Duration::ZERO;
        let reading = async {
            let mut last_at = Instant::now();
            let mut last = None;
            while let Some(event) = events.next().await {
                longest_gap = longest_gap.max(last_at.elapsed());
                last_at = Instant::now();
                last = Some(event);
            }
            assert_eq!(last, Some(Event::Done));
        };
        let silence = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            let busy = fleet.busy_decode().await;
            let relay = fleet.endpoints[busy].relay.as_ref().expect("a relay");
            relay.set_open_connections(modes);
        };
        join(reading, silence).await;
        times_us
            .record(micros(longest_gap))
            .expect("the histogram grows");
    }
    print(name, &times_us);
    fleet.stop().await;
}

async fn retries(fleet: &Fleet, result: &str) -> u64 {
    let client = camphorwall::RpcClient::new();
    let address = fleet.entries[0].peer_address;
    let response = client.get(address, "/metrics").await.expect("metrics");
    let text = response.text().await.expect("text");
    let is_line = |line: &&str| {
        line.starts_with(&format!("camphorwall_retries_total{{result=\"{result}\"}}"))
    };
    let count = text
        .lines()
        .find(is_line)
        .and_then(|line| line.rsplit(' ').next());
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

/// Sends requests at 1.5 times the capacity of two decode engines; kills one of them half-way if `is_engine_killed`.
async fn measure_overload(name: &str, is_engine_killed: bool) {
    let mut fleet = Fleet::start(&FleetOptions {
        engine: EngineOptions {
            slots: OVERLOAD_SLOTS as usize,
            token_gap_us: u64::from(TOKEN_GAP_US),
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    let answer_time = Duration::from_micros(u64::from(TOKEN_GAP_US * OVERLOAD_TOKENS));
    let gap = answer_time.div_f64(f64::from(2 * OVERLOAD_SLOTS) * 1.5);
    let address = fleet.caller_address(0);
    let is_over = Rc::new(Cell::new(false));
    let is_sending_over = Rc::clone(&is_over);
    let arrivals = compio::runtime::spawn(async move {
        let mut tasks = Vec::new();
        let mut next_at = Instant::now();
        while !is_sending_over.get() {
            compio::time::sleep_until(next_at).await;
            next_at += gap;
            tasks.push(compio::runtime::spawn(async move {
                let caller = Caller::new(address, Some("ledger-key"));
                caller.record(PROMPT, u64::from(OVERLOAD_TOKENS)).await
            }));
        }
        let records = join_all(tasks).await.into_iter();
        records
            .map(|record| record.expect("no panic"))
            .collect::<Vec<CallerRecord>>()
    });
    compio::time::sleep(OVERLOAD / 2).await;
    if is_engine_killed {
        let busy = fleet.busy_decode().await;
        fleet.endpoints[busy].kill_engine();
    }
    compio::time::sleep(OVERLOAD / 2).await;
    is_over.set(true);
    let records = arrivals.await.expect("no panic");
    let complete = records
        .iter()
        .filter(|record| record.ending == Ending::Complete)
        .count();
    let prefills: u64 = fleet
        .engines(EngineRole::Prefill)
        .map(|engine| engine.counts().prefills)
        .sum();
    let started = fleet.ran().len();
    let (made, over_budget) = (
        retries(&fleet, "made").await,
        retries(&fleet, "over_budget").await,
    );
    let requests = records.len();
    let violations: Vec<Violation> = fleet.check(records).await;
    println!(
        "{name}: requests={requests} whole={complete} started={started} prefills={prefills} \
         amplification={:.3} retries={made} over_budget={over_budget} violations={}",
        prefills as f64 / started as f64,
        violations.len(),
    );
    fleet.stop().await;
}

#[compio::main]
async fn main() {
    measure_disconnects().await;
    let modes = |to_target, to_client| RelayModes {
        to_target,
        to_client,
    };
    let both = modes(RelayMode::Silent, RelayMode::Silent);
    measure_silences("silent in both directions, longest gap", both).await;
    let towards_entry = modes(RelayMode::Open, RelayMode::Silent);
    measure_silences("silent towards the entry, longest gap", towards_entry).await;
    let towards_endpoint = modes(RelayMode::Silent, RelayMode::Open);
    measure_silences("silent towards the endpoint, longest gap", towards_endpoint).await;
    measure_overload("1.5 times capacity", false).await;
    measure_overload("1.5 times capacity, an engine dies", true).await;
}
