use super::*;

fn document(name: &str) -> String {
    let directory = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../platform/tests/documents"
    );
    format!("{directory}/{name}.json")
}

/// Guards against differences that are missed and against keys in the output.
#[test]
fn differences_from_the_version_in_force_are_listed_without_keys() {
    let report = check(&document("next"), Some(&document("in-force"))).unwrap();
    assert!(report.errors.is_empty(), "{:?}", report.errors);
    let text = lines(&report);
    let expected = "\
        warning: service drafts limits the rate of cold endpoints but gives no time for which they are cold after a start; add it\n\
        difference: route \"shop.example\" \"/stock/\" added\n\
        difference: route \"shop.example\" \"/orders/\" removed\n\
        difference: route \"shop.example\" \"/drafts/\" changed\n\
        difference: service drafts changed\n\
        difference: keys: 1 added, 1 removed, 1 moved to another team\n\
        difference: limits: head 16384 to 16384 bytes, body 4194304 to 8388608 bytes\n";
    assert_eq!(text, expected);
}

/// Guards against a warning that keeps a document from being published, and an error that doesn't.
#[test]
fn only_errors_refuse_a_document() {
    let warned = check(&document("next"), None).unwrap();
    assert_eq!((warned.errors.len(), warned.warnings.len()), (0, 1));
    assert_eq!(warned.differences, None);
    let refused = check(&document("faulty"), None).unwrap();
    assert!(!refused.errors.is_empty());
}

/// Guards against differences that look whole although a part of the version in force could not be read.
#[test]
fn parts_of_the_version_in_force_that_cannot_be_read_are_told() {
    let report = check(&document("next"), Some(&document("faulty"))).unwrap();
    let told = report.warnings.iter();
    let told = told.filter(|warning| warning.contains("5 parts can't be read"));
    assert_eq!(told.count(), 1);
    assert_eq!(
        report.errors,
        ["version 8 is not above 8, which is in force; give it a higher one"]
    );
}
