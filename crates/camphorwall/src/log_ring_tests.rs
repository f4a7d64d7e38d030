use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use crate::LogRing;

/// A writer that blocks until the test lets it continue.
struct BlockedWriter {
    unblock: Receiver<()>,
    is_blocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_blocked {
            self.unblock.recv().expect("the test unblocks the writer");
            self.is_blocked = false;
        }
        self.written.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_writer() -> (BlockedWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, unblock) = channel();
    let written = Arc::default();
    let writer = BlockedWriter {
        unblock,
        is_blocked: true,
        written: Arc::clone(&written),
    };
    (writer, sender, written)
}

#[test]
fn a_reader_that_stops_reading_blocks_no_writer_and_uses_bounded_memory() {
    let (writer, unblock, written) = blocked_writer();
    let mut ring = LogRing::new(1_000);
    ring.write_to(writer);
    for number in 0..10_000 {
        let line = format!("line {number:05}\n");
        ring.write_all(line.as_bytes())
            .expect("writing never fails");
    }
    let dropped = ring.dropped();
    // The writer may already have a first batch; a line has 11 bytes.
    assert!(
        (10_000 - 2 * 1_000 / 11..10_000).contains(&dropped),
        "{dropped}"
    );
    unblock.send(()).expect("the writer runs");
    ring.flush_within(Duration::from_secs(10));
    ring.write_all(b"the end\n").expect("writing never fails");
    ring.flush_within(Duration::from_secs(10));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(text.starts_with("line 00000\n"));
    assert!(
        text.contains("event=\"log_lines_dropped\" count="),
        "{text}"
    );
    assert!(text.ends_with("the end\n"), "{text}");
    let is_complete =
        |line: &str| line.len() == 10 || line.starts_with("event") || line == "the end";
    assert!(text.lines().all(is_complete), "{text}");
}

#[test]
fn lines_keep_their_order() {
    let (writer, unblock, written) = blocked_writer();
    let mut ring = LogRing::new(100_000);
    ring.write_to(writer);
    unblock.send(()).expect("the writer runs");
    for number in 0..500 {
        let line = format!("{number}\n");
        ring.write_all(line.as_bytes())
            .expect("writing never fails");
    }
    ring.flush_within(Duration::from_secs(10));
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let numbers: Vec<u32> = text
        .lines()
        .map(|line| line.parse().expect("a number"))
        .collect();
    assert_eq!(numbers, (0..500).collect::<Vec<_>>());
    assert_eq!(ring.dropped(), 0);
}
