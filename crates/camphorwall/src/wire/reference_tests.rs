use std::{collections::BTreeSet, fs, path::Path};

use strum::VariantNames as _;

use super::DatagramQuery;

/// Documentation page of all messages.
const PAGE: &str = include_str!("../../../../docs/PROTOCOL.md");

/// Returns the values of the string constants in this folder whose declaration `is_kind` accepts.
fn constants(is_kind: impl Fn(&str) -> bool) -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/wire");
    let files = fs::read_dir(folder).expect("the folder of the messages");
    let texts = files.map(|file| fs::read_to_string(file.expect("a file").path()).expect("text"));
    let text: String = texts.collect();
    let declared = text
        .lines()
        .filter_map(|line| line.strip_prefix("pub const "));
    let of_kind = declared.filter(|line| is_kind(line));
    of_kind
        .filter_map(|line| line.split('"').nth(1))
        .map(str::to_owned)
        .collect()
}

/// Returns the first column of the page's table that begins with `head`.
fn listed(head: &str) -> BTreeSet<String> {
    let rest = PAGE.split(head).nth(1).unwrap_or_default();
    let table = rest.split("\n\n").next().unwrap_or_default();
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = rows.filter_map(|row| row.split('`').next());
    names.map(str::to_owned).collect()
}

#[test]
fn the_protocol_page_lists_exactly_the_methods_that_exist() {
    let listed = listed("| method |");
    assert_eq!(listed, constants(|line| line.starts_with("METHOD_")));
}

#[test]
fn the_protocol_page_lists_exactly_the_datagram_queries_that_exist() {
    let existing = DatagramQuery::VARIANTS.iter().copied().map(str::to_owned);
    assert_eq!(listed("| query |"), existing.collect());
}

#[test]
fn the_protocol_page_names_each_path() {
    let paths = constants(|line| line.contains("_PATH: &str"));
    assert!(!paths.is_empty());
    for path in paths {
        assert!(PAGE.contains(&path), "{path} is not on the page");
    }
}
