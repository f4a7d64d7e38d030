//! Checks the examples' settings and documents with the tool's own commands.

use std::{
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rstest::rstest;

fn camphorwall(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_camphorwall"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn example(deployment: &str, part: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment)
        .join(part)
}

#[rstest]
#[case("kallergis", 15)]
#[case("tunnelcloth", 17)]
fn all_settings_of_an_example_are_valid(#[case] deployment: &str, #[case] count: usize) {
    let directory = example(deployment, "settings")
        .read_dir()
        .expect("a directory of settings");
    let files: Vec<_> = directory
        .map(|file| file.expect("a readable file").path())
        .collect();
    assert_eq!(files.len(), count);
    for file in files {
        let output = camphorwall(&["settings", "check", &file.to_string_lossy()]);
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
}

#[rstest]
#[case("kallergis")]
#[case("tunnelcloth")]
fn all_published_documents_of_an_example_are_valid(#[case] deployment: &str) {
    let output = camphorwall(&[
        "published",
        "check",
        &example(deployment, "published").to_string_lossy(),
    ]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

#[test]
fn an_unreadable_file_ends_with_exit_code_2() {
    let output = camphorwall(&["settings", "check", "no-such-file.jsonc"]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("no-such-file.jsonc: can't be read"),
        "{message}"
    );
}
