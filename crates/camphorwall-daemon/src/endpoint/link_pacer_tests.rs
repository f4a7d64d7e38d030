use std::time::{Duration, Instant};

use camphorwall::{BytesPerSecond, DataCentreId};

use super::LinkPacer;

const RATE: BytesPerSecond = BytesPerSecond(100_000);

fn piraeus() -> DataCentreId {
    "piraeus".parse().unwrap()
}

/// Whether the bytes sent by the end of each of the first seconds stay within the link's rate plus one segment.
fn stays_within_rate(mut schedule: impl FnMut(usize, Instant) -> Instant) -> bool {
    let now = Instant::now();
    let start_delays: Vec<Duration> = (0..100).map(|_| schedule(10_000, now) - now).collect();
    (1..10).all(|seconds| {
        let limit = Duration::from_secs(seconds);
        let sent = start_delays.iter().filter(|start| **start < limit).count() * 10_000;
        sent as u64 <= RATE.get() * seconds + 10_000
    })
}

#[test]
fn a_link_is_never_sent_more_than_its_rate() {
    let link_pacer = LinkPacer::default();
    assert!(stays_within_rate(|bytes, now| link_pacer.schedule(
        &piraeus(),
        bytes,
        RATE,
        now
    )));
}

#[test]
fn the_check_of_the_rate_catches_a_sender_that_does_not_wait() {
    assert!(!stays_within_rate(|_, now| now));
}

#[test]
fn an_idle_link_earns_no_burst_and_links_do_not_wait_for_each_other() {
    let link_pacer = LinkPacer::default();
    let now = Instant::now();
    link_pacer.schedule(&piraeus(), 100_000, RATE, now);
    let kifisia = "kifisia".parse().unwrap();
    assert_eq!(link_pacer.schedule(&kifisia, 100_000, RATE, now), now);
    let later = now + Duration::from_secs(10);
    assert_eq!(link_pacer.schedule(&piraeus(), 100_000, RATE, later), later);
    let next = link_pacer.schedule(&piraeus(), 100_000, RATE, later);
    assert_eq!(next, later + Duration::from_secs(1));
}
