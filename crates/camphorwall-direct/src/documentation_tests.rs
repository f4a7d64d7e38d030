//! Checks that the operators' page lists the events, outcomes and metrics that the code writes.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use camphorwall::RequestEnd;
use http::StatusCode;
use strum::IntoEnumIterator as _;

use crate::{
    configuration::{RouteKind, Stage},
    metrics::{GaugeValues, Metrics, Notice, Phase},
    serve::completeness::BreakReason,
};

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    fs::read_to_string(path).expect("the page")
}

/// Names in backticks in the first column of a section's table.
fn rows(section: &str) -> BTreeSet<String> {
    let page = page();
    let start = page.find(&format!("## {section}\n")).expect("the section");
    let section = &page[start + 3..];
    let section = section.split("\n## ").next().expect("a section");
    let first_cell = |line: &str| Some(line.strip_prefix("| `")?.split('`').next()?.to_owned());
    section.lines().filter_map(first_cell).collect()
}

/// Source files below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the sources");
    let paths = entries.map(|entry| entry.expect("a file").path());
    let below = |path: PathBuf| {
        if path.is_dir() {
            sources(&path)
        } else {
            vec![path]
        }
    };
    paths.flat_map(below).collect()
}

/// Log events in the sources of this crate.
fn events() -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for path in sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        if path.to_string_lossy().ends_with("_tests.rs") {
            continue;
        }
        let text = fs::read_to_string(path).expect("a source");
        let found = text
            .split("event = \"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next());
        events.extend(found.map(str::to_owned));
    }
    events
}

#[test]
fn the_page_lists_every_event_and_no_other() {
    let mut expected = events();
    expected.insert("log_lines_dropped".into());
    assert_eq!(rows("Index of log events"), expected);
}

#[test]
fn the_page_lists_every_outcome_and_no_other() {
    let expected: BTreeSet<_> = RequestEnd::iter()
        .map(|end| end.label().to_owned())
        .collect();
    assert_eq!(rows("Index of outcomes"), expected);
}

#[test]
fn the_page_lists_every_metric_and_no_other() {
    let metrics = Metrics::default();
    // Families are written once they have a series.
    metrics.count_request(None, RequestEnd::Answered);
    metrics.count_broken_answer(BreakReason::NoEvent);
    metrics.count_unconfirmed_refusal(StatusCode::SERVICE_UNAVAILABLE);
    metrics.note_phase(RouteKind::Idempotent, Phase::Whole, Duration::ZERO);
    metrics.count_retry(true);
    metrics.count_notice(Notice::Leaving);
    metrics.count_cold_send(true);
    metrics.count_prefix(1, true);
    metrics.note_expected_time(Stage::Prefill, 1.0, 1.0);
    let text = metrics.text(GaugeValues::default());
    let named = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let named = named.filter_map(|line| line.split_whitespace().next());
    let expected: BTreeSet<_> = named.map(str::to_owned).collect();
    assert_eq!(rows("Index of metrics"), expected);
}
