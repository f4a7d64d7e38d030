use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::*;

/// Documentation page of all fields.
const PAGE: &str = include_str!("../../../../docs/operators/settings.md");

fn collect(prefix: &str, value: &Value, paths: &mut BTreeSet<String>) {
    let Some(fields) = value.as_object() else {
        paths.insert(prefix.into());
        return;
    };
    for (name, value) in fields {
        let path = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        collect(&path, value, paths);
    }
}

/// Returns the paths in the first column of the page's tables.
fn described() -> BTreeSet<String> {
    let fields = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    fields
        .filter_map(|rest| rest.split('`').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_settings_page_describes_exactly_the_fields_that_exist() {
    let settings: Settings = serde_json::from_value(json!({
        "instance": "i", "data_centre": "d", "role": "entry", "peer_address": "127.0.0.1:1",
        "entry": {"caller_address": "127.0.0.1:2", "configuration_address": "127.0.0.1:3"},
        "endpoint": {"service": "s", "engine_role": "plain", "endpoint_address": "127.0.0.1:4"},
    }))
    .expect("valid settings");
    let mut paths = BTreeSet::new();
    collect(
        "",
        &serde_json::to_value(&settings).expect("settings are JSON"),
        &mut paths,
    );
    assert_eq!(described(), paths);
}
