//! Checks configuration documents of the platform with the tool's own command.

use std::{path::Path, process::Command};

use rstest::rstest;

/// Guards against an exit code that lets a faulty document through.
#[rstest]
#[case::valid("in-force", None, 0)]
#[case::warned("next", Some("in-force"), 0)]
#[case::faulty("faulty", None, 2)]
#[case::older("in-force", Some("next"), 2)]
#[case::missing("no-such-file", None, 2)]
fn the_exit_code_tells_whether_a_document_may_be_published(
    #[case] name: &str,
    #[case] in_force: Option<&str>,
    #[case] expected: i32,
) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform/tests/documents");
    let path = |name: &str| directory.join(format!("{name}.json"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwall"));
    command.args(["config", "check"]).arg(path(name));
    if let Some(in_force) = in_force {
        command.arg("--in-force").arg(path(in_force));
    }
    let output = command.output().expect("the tool runs");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text);
    assert_eq!(output.status.code(), Some(expected), "{text}");
    assert!(!text.contains("secret"), "{text}");
}
