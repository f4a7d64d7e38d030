//! Reads saved logs and the fields of their lines.

use std::path::Path;

use super::command::CommandError;

/// Reads saved logs.
///
/// # Errors
/// When a file can't be read.
pub(super) fn read_logs(files: &[String]) -> Result<Vec<String>, CommandError> {
    let read = |file: &String| {
        let text = std::fs::read(Path::new(file)).map_err(|error| CommandError::Invalid {
            message: format!("{file}: can't be read: {error}; check the path"),
        })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    };
    files.iter().map(read).collect()
}

/// Value of a field in a line, without quotes.
pub(super) fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let start = rest.find(name)?;
        let after = &rest[start + name.len()..];
        let is_at_word_start = start == 0 || rest[..start].ends_with(' ');
        match after.strip_prefix('=') {
            Some(value) if is_at_word_start => {
                let quoted = value
                    .strip_prefix('"')
                    .and_then(|value| value.split('"').next());
                return quoted.or_else(|| value.split_whitespace().next());
            }
            _ => rest = after,
        }
    }
}
