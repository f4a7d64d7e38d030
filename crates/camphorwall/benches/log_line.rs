//! Cost of writing one log line to the buffer of log lines.

use std::{
    io::{self, Write},
    time::Duration,
};

use camphorwall::LogRing;
use divan::Bencher;
use tracing_subscriber::fmt::MakeWriter;

fn main() {
    divan::main();
}

/// A reader that accepts all bytes immediately.
struct Sink;

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct RingWriter(LogRing);

impl MakeWriter<'_> for RingWriter {
    type Writer = LogRing;

    fn make_writer(&self) -> LogRing {
        self.0.clone()
    }
}

fn log_request_end(number: u64) {
    tracing::info!(
        event = "request_ended",
        request_id = "9c41d07be2a35f68",
        outcome = "answered",
        status = 200,
        route = "summaries",
        place_wait_ms = number,
        endpoint = "e-7f3a91c2",
        runs = 1,
        elapsed_ms = number,
    );
}

#[divan::bench(args = ["read", "not_read"])]
fn line(bencher: Bencher, reader: &str) {
    let ring = LogRing::new(256 * 1024);
    if reader == "read" {
        ring.write_to(Sink);
    }
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_target(false)
        .with_writer(RingWriter(ring.clone()))
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let mut number = 0;
        bencher.bench_local(|| {
            number += 1;
            log_request_end(number);
        });
    });
    ring.flush_within(Duration::from_millis(1));
}
