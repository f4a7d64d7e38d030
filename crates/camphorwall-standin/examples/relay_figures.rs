//! Measures the processor time of a streamed token over the complete path, for several numbers of concurrent streams.
//!
//! Caller, entry, endpoint daemons and engines run in one thread, so the figure is an upper bound for each of them.

mod processor_time;

use std::time::Instant;

use camphorwall_standin::{Caller, EngineOptions, Event, Fleet, FleetOptions};
use futures_util::future::join_all;
use processor_time::processor_time_s;

/// Numbers of concurrent streams; each gives a row of the table.
const STREAMS: [usize; 3] = [10, 40, 160];

/// Output tokens of each answer.
const TOKENS: u64 = 200;

#[compio::main]
async fn main() {
    let engine = EngineOptions {
        slots: 200,
        token_gap_us: 10_000,
        ..EngineOptions::default()
    };
    let fleet = Box::pin(Fleet::start(&FleetOptions {
        engine,
        ..FleetOptions::default()
    }))
    .await;
    println!("| streams at once | whole answers | tokens a second | processor time a token, µs |");
    println!("|---|---|---|---|");
    for streams in STREAMS {
        let began_at = Instant::now();
        let before_s = processor_time_s();
        let answers = (0..streams).map(|_| async {
            let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
            let mut events = caller
                .stream("ledger of the bakery", TOKENS)
                .await
                .ok()?
                .ok()?;
            let (_, last) = events.read_to_end().await;
            (last == Some(Event::Done)).then_some(())
        });
        let complete = join_all(answers).await.into_iter().flatten().count();
        let tokens = complete as f64 * TOKENS as f64;
        let spent_us = (processor_time_s() - before_s) * 1e6;
        let rate = tokens / began_at.elapsed().as_secs_f64();
        println!(
            "| {streams} | {complete} | {rate:.0} | {:.1} |",
            spent_us / tokens.max(1.0)
        );
    }
    fleet.stop().await;
}
