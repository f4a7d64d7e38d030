//! Reads JSON files with comments; errors state file, line, field and remedy.

use std::{
    collections::BTreeMap,
    io::Read as _,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

use crate::DocumentName;

/// Suffix of a published document's file.
const DOCUMENT_SUFFIX: &str = ".jsonc";

/// An unusable file.
#[derive(Debug, Snafu)]
pub enum FileError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}; check the path and its permissions", path.display()))]
    Unreadable {
        /// Path as given.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[snafu(display("{}:{line}: field {field}: {message}", path.display()))]
    Invalid {
        /// Path as given.
        path: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Path of the field from the root, `.` for the root.
        field: String,
        /// The problem and its remedy.
        message: String,
    },
}

/// Reads a value from a JSON file with comments.
///
/// # Errors
/// When the file can't be read, is not JSON, or has an unknown, missing or invalid field.
pub fn read_json_with_comments<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    parse_json_with_comments(path, &read_text(path)?)
}

/// Returns the files of published documents in a directory by document name: `KIND.jsonc`, and parts of large tables
/// as `KIND.N.jsonc`. Other files are ignored.
///
/// # Errors
/// When the directory can't be read.
pub fn document_files(directory: &Path) -> Result<BTreeMap<DocumentName, PathBuf>, FileError> {
    let files = std::fs::read_dir(directory).context(UnreadableSnafu { path: directory })?;
    let mut documents = BTreeMap::new();
    for file in files {
        let path = file.context(UnreadableSnafu { path: directory })?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let name = name.and_then(|name| name.strip_suffix(DOCUMENT_SUFFIX));
        if let Some(Ok(name)) = name.map(str::parse) {
            documents.insert(name, path);
        }
    }
    Ok(documents)
}

/// Reads a file as text.
pub(crate) fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).context(UnreadableSnafu { path })
}

/// Parses a value from the text of a file.
pub(crate) fn parse_json_with_comments<T: DeserializeOwned>(
    path: &Path,
    text: &str,
) -> Result<T, FileError> {
    let mut plain = String::with_capacity(text.len());
    json_comments::StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .context(UnreadableSnafu { path })?;
    let mut deserializer = serde_json::Deserializer::from_str(&plain);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        FileError::Invalid {
            path: path.into(),
            line: error.inner().line(),
            field: faulty_field(&error.path().to_string(), &error.inner().to_string()),
            message: with_remedy(&error.inner().to_string()),
        }
    })?;
    deserializer.end().map_err(|error| FileError::Invalid {
        path: path.into(),
        line: error.line(),
        field: ".".into(),
        message: with_remedy(&error.to_string()),
    })?;
    Ok(value)
}

/// Returns the path of the field that a parser's message is about. A missing or duplicate field is named only in the
/// message.
fn faulty_field(path: &str, message: &str) -> String {
    let is_named = message.starts_with("missing field") || message.starts_with("duplicate field");
    match message.split('`').nth(1) {
        Some(name) if is_named && path == "." => name.into(),
        Some(name) if is_named => format!("{path}.{name}"),
        Some(_) | None => path.into(),
    }
}

/// Appends the remedy to a parser's message, and removes its position, which the error states separately.
fn with_remedy(message: &str) -> String {
    let message = message.split(" at line ").next().unwrap_or(message);
    let remedy = match message {
        _ if message.starts_with("missing field") => "; add the field",
        _ if message.starts_with("unknown field") => "; remove or rename it",
        _ if message.starts_with("duplicate field") => "; write the field once",
        _ if message.starts_with("invalid socket address") => "; write it as IP:PORT",
        _ if message.starts_with("invalid type") => "; write a value of that type",
        _ if message.starts_with("trailing characters") => {
            "; write one object and nothing after it"
        }
        _ => "",
    };
    format!("{message}{remedy}")
}

/// Returns the line, counted from 1, that contains a field such as `entry.caller_address`; 1 when there is none.
pub(crate) fn line_of_field(text: &str, field: &str) -> usize {
    let mut offset = 0;
    for name in field.split('.') {
        let quoted = format!("\"{name}\"");
        let mut matches = text[offset..].match_indices(&quoted);
        let is_key = |(start, _): &(usize, &str)| is_key(&text[offset + start + quoted.len()..]);
        match matches.find(is_key) {
            Some((start, _)) => offset += start,
            None => return 1,
        }
    }
    1 + text[..offset].matches('\n').count()
}

/// Whether a quoted text is a key, that is, whether the rest after it begins with a colon.
fn is_key(rest: &str) -> bool {
    rest.trim_start().starts_with(':')
}
