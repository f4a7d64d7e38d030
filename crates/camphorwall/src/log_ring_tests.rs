use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use crate::LogRing;

/// A reader that takes nothing until it is told to go on.
struct Stopped {
    go_on: Receiver<()>,
    waits: bool,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.waits {
            self.go_on.recv().expect("the test goes on");
            self.waits = false;
        }
        self.taken.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stopped() -> (Stopped, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, go_on) = channel();
    let taken = Arc::default();
    let reader = Stopped {
        go_on,
        waits: true,
        taken: Arc::clone(&taken),
    };
    (reader, sender, taken)
}

#[test]
fn a_reader_that_stops_reading_blocks_nobody_and_costs_bounded_memory() {
    let (reader, go_on, taken) = stopped();
    let mut ring = LogRing::new(1_000);
    ring.write_to(reader);
    for number in 0..10_000 {
        let line = format!("line {number:05}\n");
        ring.write_all(line.as_bytes())
            .expect("writing never fails");
    }
    let dropped = ring.dropped();
    // A first batch may be with the reader already; 11 bytes a line.
    assert!(
        (10_000 - 2 * 1_000 / 11..10_000).contains(&dropped),
        "{dropped}"
    );
    go_on.send(()).expect("the reader waits");
    ring.flush_within(Duration::from_secs(10));
    ring.write_all(b"the end\n").expect("writing never fails");
    ring.flush_within(Duration::from_secs(10));
    let text = String::from_utf8(taken.lock().expect("no panic").clone()).expect("text");
    assert!(text.starts_with("line 00000\n"));
    assert!(
        text.contains("event=\"log_lines_dropped\" count="),
        "{text}"
    );
    assert!(text.ends_with("the end\n"), "{text}");
    let whole = |line: &str| line.len() == 10 || line.starts_with("event") || line == "the end";
    assert!(text.lines().all(whole), "{text}");
}

#[test]
fn lines_keep_their_order() {
    let (reader, go_on, taken) = stopped();
    let mut ring = LogRing::new(100_000);
    ring.write_to(reader);
    go_on.send(()).expect("the reader waits");
    for number in 0..500 {
        let line = format!("{number}\n");
        ring.write_all(line.as_bytes())
            .expect("writing never fails");
    }
    ring.flush_within(Duration::from_secs(10));
    let text = String::from_utf8(taken.lock().expect("no panic").clone()).expect("text");
    let numbers: Vec<u32> = text
        .lines()
        .map(|line| line.parse().expect("a number"))
        .collect();
    assert_eq!(numbers, (0..500).collect::<Vec<_>>());
    assert_eq!(ring.dropped(), 0);
}
