//! Measures the share of prompt tokens that the engines find in their prefix caches: with prefix affinity based only on
//! the prompts that an entry sent, and with affinity corrected by the cache events that endpoint daemons report.

use std::{cell::RefCell, rc::Rc};

use camphorwall::{EngineRole, PrefixBelief};
use camphorwall_standin::{Caller, Ending, Engine, EngineOptions, Fleet, FleetOptions};
use futures_util::future::join_all;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Number of entries, each of which knows only the prompts that it sent.
const ENTRIES: usize = 3;

/// Number of prefill engines.
const ENGINES: usize = 3;

/// Capacity of one engine's prefix cache, in pieces.
const CACHE_PIECES: usize = 12;

/// Length of each document, in pieces.
const DOCUMENT_PIECES: usize = 3;

/// Length of one piece.
const PIECE_TOKENS: usize = 2_048;

/// Number of concurrent callers. A single caller meets no queue, so only the prefix belief decides the routing.
const CALLERS: usize = 1;

/// Number of requests of each caller.
const REQUESTS: usize = 150;

/// Seeds; there is one run for each.
const SEEDS: [u64; 1] = [1];

/// A document that several requests share.
fn document(number: usize) -> String {
    let words = (0..DOCUMENT_PIECES * PIECE_TOKENS).map(|word| format!("d{number}-{word}"));
    words.collect::<Vec<_>>().join(" ")
}

/// Returns the number of cached tokens and of tokens in complete pieces. The first tenth of the requests, which fills
/// the caches, is included.
async fn run(documents: usize, belief: PrefixBelief, seed: u64) -> (u64, u64) {
    let fleet = Box::pin(Fleet::start(&FleetOptions {
        entries: ENTRIES,
        prefill: ENGINES,
        decode: 3,
        plain: 0,
        engine: EngineOptions {
            prefill_us_per_token: 20,
            token_gap_us: 200,
            kv_bytes_per_token: 1,
            cache_pieces: CACHE_PIECES,
            cache_gap_every: Some(7),
            ..EngineOptions::default()
        },
        entry_settings: json!({
            "leave_grace_ms": 0, "routing": {"prefix_belief": belief},
        }),
        ..FleetOptions::default()
    }))
    .await;
    let texts: Vec<_> = (0..documents).map(document).collect();
    let random = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
    let callers = (0..CALLERS).map(|caller| {
        let (texts, random, fleet) = (&texts, Rc::clone(&random), &fleet);
        async move {
            let mut complete_count = 0;
            for request in 0..REQUESTS {
                let (text, entry) = {
                    let mut random = random.borrow_mut();
                    let text = random.random_range(0..texts.len());
                    (text, random.random_range(0..ENTRIES))
                };
                let prompt = format!("{} question {caller}-{request}", texts[text]);
                let caller = Caller::new(fleet.caller_address(entry), Some("ledger-key"));
                let record = caller.record(&prompt, 2).await;
                complete_count += u64::from(record.ending == Ending::Complete);
            }
            complete_count
        }
    });
    let complete_count: u64 = join_all(callers).await.into_iter().sum();
    assert_eq!(
        complete_count,
        (CALLERS * REQUESTS) as u64,
        "all answers should be complete"
    );
    let counts = fleet.engines(EngineRole::Prefill).map(Engine::counts);
    let (mut cached, mut shared) = (0, 0);
    for counts in counts {
        cached += counts.cached_tokens;
        shared += counts.prefills * (DOCUMENT_PIECES * PIECE_TOKENS) as u64;
    }
    fleet.stop().await;
    (cached, shared)
}

#[compio::main]
async fn main() {
    println!("| documents | pieces, parts of all caches | spared, sent | spared, told |");
    println!("|---|---|---|---|");
    for documents in [6, 12] {
        let mut shares = Vec::new();
        for belief in [PrefixBelief::Sent, PrefixBelief::Told] {
            let (mut cached, mut shared) = (0, 0);
            for seed in SEEDS {
                let (one_cached, one_shared) = run(documents, belief, seed).await;
                cached += one_cached;
                shared += one_shared;
            }
            shares.push(100.0 * cached as f64 / shared as f64);
        }
        let capacity_share = (documents * DOCUMENT_PIECES) as f64 / (ENGINES * CACHE_PIECES) as f64;
        println!(
            "| {documents} | {capacity_share:.2} | {:.1} % | {:.1} % |",
            shares[0], shares[1]
        );
    }
}
