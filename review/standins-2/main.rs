//! Stand-ins and clients of the scripts in review/7 and later. One program, built from the standard library alone by
//! review/build-2.sh: `case NAME RECORD`. It starts the entries as processes of their own and plays the platform's store, the
//! replicas and the clients itself, all on loopback addresses.
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod entry;
mod http;
mod replica;
mod store;

use std::{
    fs::File,
    io::Write as _,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of a run: one line for whatever was sent, answered or run, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = match File::create(path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("can't write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    let record = Record {
        started_at: Instant::now(),
        file: Arc::new(Mutex::new(file)),
    };
    record.line(format!("case {name}, trouble: {has_trouble}"));
    let outcome = match name.as_str() {
        "slow-reader" => cases::slow_reader(&record, has_trouble),
        "first-event" => cases::first_event(&record, has_trouble),
        "forgets" => cases::forgets(&record, has_trouble),
        "block-ends" => cases::block_ends(&record, has_trouble),
        _ => Err(format!("there is no case {name}")),
    };
    let (code, text) = match outcome {
        Ok(breaks) if breaks.is_empty() => (0, "the rule held".to_owned()),
        Ok(breaks) => {
            for one in &breaks {
                record.line(format!("BROKEN {one}"));
            }
            (1, format!("the rule was broken {} times", breaks.len()))
        }
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
