//! A bounded buffer of log lines between a process and the reader of its output, so that logging never blocks.

use std::{
    collections::VecDeque,
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Pause between two writes, so that a busy process wakes its writer thread rarely.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Minimum time between two lines that report dropped ones.
const DROP_REPORT_PERIOD: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    lines: VecDeque<u8>,
    /// Dropped lines that were not reported yet.
    unreported: u64,
    /// Dropped lines since the start.
    dropped: u64,
    is_writing: bool,
}

/// Buffer of log lines; clones share the lines.
#[derive(Clone)]
pub struct LogRing {
    state: Arc<(Mutex<State>, Condvar)>,
    max_bytes: usize,
}

impl LogRing {
    /// Makes an empty buffer that holds at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::default(),
            max_bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A line is added in one step, so the state is consistent even if a thread panicked.
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of lines since the start that were dropped because the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Starts a thread that writes the lines to `output`, which may be slow.
    pub fn write_to(&self, output: impl Write + Send + 'static) {
        let ring = self.clone();
        thread::spawn(move || ring.write_lines(output));
    }

    fn write_lines(&self, mut output: impl Write) {
        let mut reported_at: Option<Instant> = None;
        loop {
            let mut state = self.lock();
            while state.lines.is_empty() {
                let woken = self.state.1.wait(state);
                state = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let mut lines = std::mem::take(&mut state.lines);
            let is_due = reported_at.is_none_or(|at| at.elapsed() >= DROP_REPORT_PERIOD);
            if state.unreported > 0 && is_due {
                let line = format!("event=\"log_lines_dropped\" count={}\n", state.unreported);
                lines.extend(line.bytes());
                state.unreported = 0;
                reported_at = Some(Instant::now());
            }
            state.is_writing = true;
            drop(state);
            let (first, second) = lines.as_slices();
            let written = output
                .write_all(first)
                .and_then(|()| output.write_all(second));
            let flushed = written.and_then(|()| output.flush());
            self.lock().is_writing = false;
            if flushed.is_err() {
                // The reader has closed the output; later lines fill the buffer and are then counted as dropped.
                return;
            }
            thread::sleep(WRITE_PERIOD);
        }
    }

    /// Waits until all lines are written, at most for `timeout`.
    pub fn flush_within(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let is_empty = || {
            let state = self.lock();
            state.lines.is_empty() && !state.is_writing
        };
        while !is_empty() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for LogRing {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        if state.lines.len() + line.len() > self.max_bytes {
            state.unreported += 1;
            state.dropped += 1;
        } else {
            state.lines.extend(line);
            self.state.1.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
