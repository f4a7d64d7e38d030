//! Measures throughput and processor time of KV cache transfers between engines through both daemons, compared with
//! plain copies.
//!
//! Both engines, the prefill daemon and the decode daemon run in one thread. The bytes cross three connections, and so
//! do those of the plain copies.

mod processor_time;

use std::time::Instant;

use camphorwall_standin::{Caller, EngineOptions, Fleet, FleetOptions};
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use processor_time::processor_time_s;

/// Sizes of the KV caches; each gives a row of the table.
const SIZES_MB: [usize; 3] = [1, 4, 16];

/// Total size of the transferred KV caches of each size.
const TOTAL_MB: usize = 256;

/// Number of connections between the two engines.
const HOPS: usize = 3;

const MB: usize = 1_000_000;
const PROMPT: &str = "ledger of the bakery";
const PROMPT_TOKENS: usize = 4;

/// Throughput and processor time of a transfer.
struct Cost {
    mb_per_s: f64,
    processor_s_per_gb: f64,
}

/// Cost of `work`, which moves `TOTAL_MB`.
async fn cost(work: impl AsyncFn()) -> Cost {
    let (began_at, before_s) = (Instant::now(), processor_time_s());
    work().await;
    let total_mb = TOTAL_MB as f64;
    Cost {
        mb_per_s: total_mb / began_at.elapsed().as_secs_f64(),
        processor_s_per_gb: (processor_time_s() - before_s) / total_mb * 1_000.0,
    }
}

async fn through_daemons(size_mb: usize) -> Cost {
    let engine = EngineOptions {
        kv_bytes_per_token: size_mb * MB / PROMPT_TOKENS,
        kv_lifetime_ms: 60_000,
        token_gap_us: 0,
        ..EngineOptions::default()
    };
    let options = FleetOptions {
        engine,
        ..FleetOptions::default()
    };
    let fleet = Box::pin(Fleet::start(&options)).await;
    let caller = Caller::new(fleet.caller_address(0), Some("ledger-key"));
    let moved = cost(async || {
        for _ in 0..TOTAL_MB / size_mb {
            let answer = caller.complete(PROMPT, 1).await.expect("an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    })
    .await;
    fleet.stop().await;
    moved
}

async fn copy_once(size_bytes: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sending = compio::runtime::spawn(async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let sent = stream.write_all(vec![0; size_bytes]).await;
        sent.0.expect("written");
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = Vec::with_capacity(64 * 1024);
    loop {
        let BufResult(read, filled) = stream.read(buffer).await;
        if read.expect("read") == 0 {
            break;
        }
        buffer = filled;
        buffer.clear();
    }
    sending.await.expect("the copy ended");
}

async fn plain_copy(size_mb: usize) -> Cost {
    cost(async || {
        for _ in 0..TOTAL_MB / size_mb * HOPS {
            copy_once(size_mb * MB).await;
        }
    })
    .await
}

#[compio::main]
async fn main() {
    println!(
        "| MB a cache | MB/s | processor s a GB | plain copy, MB/s | processor s a GB | ratio |"
    );
    println!("|---|---|---|---|---|---|");
    for size_mb in SIZES_MB {
        let moved = through_daemons(size_mb).await;
        let copied = plain_copy(size_mb).await;
        println!(
            "| {size_mb} | {:.0} | {:.2} | {:.0} | {:.2} | {:.1} |",
            moved.mb_per_s,
            moved.processor_s_per_gb,
            copied.mb_per_s,
            copied.processor_s_per_gb,
            moved.processor_s_per_gb / copied.processor_s_per_gb
        );
    }
}
