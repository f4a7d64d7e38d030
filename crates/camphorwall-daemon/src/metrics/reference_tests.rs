use std::collections::BTreeSet;

use super::*;

/// Page for operators that lists all metrics.
const PAGE: &str = include_str!("../../../../docs/operators/metrics.md");

#[test]
fn the_metrics_page_describes_exactly_the_metrics_that_exist() {
    let metrics = Metrics::new();
    let existing: BTreeSet<_> = metrics.names().iter().cloned().collect();
    let rows = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `camphorwall_"));
    let described: BTreeSet<_> = rows.filter_map(|rest| rest.split('`').next()).collect();
    let described: BTreeSet<_> = described
        .iter()
        .map(|name| format!("camphorwall_{name}"))
        .collect();
    assert_eq!(described, existing);
}
