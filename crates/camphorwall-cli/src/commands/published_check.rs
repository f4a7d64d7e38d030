//! `published check`: checks a directory of published documents as the instances would, each document and all together.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use camphorwall::{
    Document, DocumentName, FileError, Published, Revision, cross_check, document_files,
    read_json_with_comments,
};
use getopts::Matches;
use serde::Serialize;
use serde_json::value::RawValue;

use super::{
    command::{Command, CommandError, operands},
    instance::format_output,
};

/// Maximum size of a document in the configuration service.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "published check",
    arguments: "DIR",
    summary: "check a directory of published documents",
    run,
};

/// Result of a check without errors.
#[derive(Serialize)]
struct Report {
    documents: Vec<String>,
    warnings: Vec<String>,
}

fn run(matches: &Matches) -> Result<String, CommandError> {
    let [directory] = operands(matches, &COMMAND) else {
        return Err(CommandError::Usage {
            message: "give one directory of documents".into(),
        });
    };
    let report = check(Path::new(directory))?;
    format_output(matches, &report, |report| {
        let valid = format!("{directory}: valid {}", report.documents.join(", "));
        let lines = report.warnings.iter().cloned().chain([valid]);
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// Checks all documents and returns all errors together.
fn check(directory: &Path) -> Result<Report, CommandError> {
    let invalid = |message: String| CommandError::Invalid { message };
    let unreadable = |error: FileError| invalid(error.to_string());
    let files = document_files(directory).map_err(unreadable)?;
    if files.is_empty() {
        let message = format!(
            "{}: contains no document; add contracts.jsonc",
            directory.display()
        );
        return Err(invalid(message));
    }
    let mut published = Published::default();
    let mut errors = Vec::new();
    for (name, path) in &files {
        errors.extend(check_file(name, path, &mut published).err());
    }
    let refused = published.refused();
    errors.extend(
        refused.map(|(name, item, reason)| format!("{}: {item}: {reason}", files[name].display())),
    );
    if !errors.is_empty() {
        return Err(invalid(errors.join("\n")));
    }
    Ok(Report {
        documents: files.keys().map(ToString::to_string).collect(),
        warnings: warnings(directory, &files, &published).map_err(unreadable)?,
    })
}

fn check_file(name: &DocumentName, path: &Path, published: &mut Published) -> Result<(), String> {
    let body: Box<RawValue> = read_json_with_comments(path).map_err(|error| error.to_string())?;
    if body.get().len() > MAX_DOCUMENT_BYTES {
        return Err(format!(
            "{}: {} bytes exceed the service's limit of {MAX_DOCUMENT_BYTES}; split it into {}.1.jsonc and so on",
            path.display(),
            body.get().len(),
            name.kind(),
        ));
    }
    let document = Document {
        name: name.clone(),
        revision: Revision(1),
        body,
    };
    let applied = published.apply(&document);
    applied
        .map(drop)
        .map_err(|error| format!("{}: {error}", path.display()))
}

/// Warnings about what is valid but probably unintended: contradictions between documents, items that two documents
/// contain, and files that are not read as documents.
fn warnings(
    directory: &Path,
    files: &BTreeMap<DocumentName, PathBuf>,
    published: &Published,
) -> Result<Vec<String>, FileError> {
    let mut warnings = Vec::new();
    for finding in cross_check(published) {
        let location = published
            .document_of(&finding.item)
            .and_then(|name| files.get(name));
        let location = location.map_or(directory, PathBuf::as_path);
        warnings.push(format!("warning: {}: {finding}", location.display()));
    }
    for (item, first, second) in published.duplicates() {
        warnings.push(format!(
            "warning: {}: {item}: stands in {} too, which is in force; remove one",
            files[second].display(),
            files[first].display()
        ));
    }
    let paths = std::fs::read_dir(directory).map_err(|source| FileError::Unreadable {
        path: directory.into(),
        source,
    })?;
    let paths = paths.filter_map(|file| Some(file.ok()?.path()));
    let is_ignored = |path: &PathBuf| {
        path.extension().is_some_and(|suffix| suffix == "jsonc")
            && !files.values().any(|known| known == path)
    };
    let mut ignored: Vec<_> = paths.filter(is_ignored).collect();
    ignored.sort();
    warnings.extend(ignored.iter().map(|path| {
        format!(
            "warning: {}: is no document; name it KIND.jsonc or KIND.N.jsonc, KIND as in contracts or keys",
            path.display()
        )
    }));
    Ok(warnings)
}

#[cfg(test)]
#[path = "published_check_tests.rs"]
mod tests;
