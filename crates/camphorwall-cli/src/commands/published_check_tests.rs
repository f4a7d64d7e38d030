use super::*;

/// A directory of documents, removed when the test ends.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let path = std::env::temp_dir().join(format!("camphorwall-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        for (file, text) in files {
            std::fs::write(path.join(file), text).unwrap();
        }
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // A directory that remains does no harm: it contains only this test's files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const CONTRACT: &str = r#"{"contracts": [
    // One team.
    {"team": "marousi", "rate_tokens_per_s": 10, "burst_tokens": 0, "routes": ["drafts"]}
]}"#;

#[test]
fn parts_are_read_and_each_warning_names_file_field_and_remedy() {
    let directory = Directory::new(
        "warnings",
        &[
            ("contracts.jsonc", CONTRACT),
            ("contracts.2.jsonc", CONTRACT),
            ("contract.jsonc", CONTRACT),
        ],
    );
    let report = check(&directory.0).unwrap();
    assert_eq!(report.documents, ["contracts", "contracts.2"]);
    let expected = [
        "contracts.jsonc: contracts/marousi: field routes: route drafts is not published; publish or remove it",
        "contracts.jsonc: contracts/marousi: field burst_tokens: 0 refuses every keyed request; write the largest",
        "contracts.jsonc: contracts/marousi: field team: the team has no key; publish one in keys",
        "contracts.2.jsonc: contracts/marousi: stands in",
        "contract.jsonc: is no document; name it KIND.jsonc",
    ];
    assert_eq!(
        report.warnings.len(),
        expected.len(),
        "{:?}",
        report.warnings
    );
    for (warning, expected) in report.warnings.iter().zip(expected) {
        assert!(warning.contains(expected), "{warning}");
    }
}

#[test]
fn all_errors_are_reported_together() {
    let routes = r#"{"routes": [{"route": "drafts", "method": "post", "path": "/", "service": "s", "kind": "chat",
        "idempotent": true, "deadline_ms": 1}]}"#;
    let files = [
        ("routes.jsonc", routes),
        ("keys.jsonc", "{"),
        ("services.jsonc", "{}"),
    ];
    let directory = Directory::new("errors", &files);
    let error = check(&directory.0).err().unwrap().to_string();
    assert!(
        error.contains("routes.jsonc: routes/drafts: field method: write a method in capitals"),
        "{error}"
    );
    assert!(
        error.contains("keys.jsonc:1:") && error.contains("field services: missing"),
        "{error}"
    );
}
