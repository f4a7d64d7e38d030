//! `config check`: checks a configuration document of the users' platform before it is published.

use camphorwall_direct::{
    ConfigurationDocument, Severity, check_configuration, compare_configurations,
};
use camphorwall_platform::read_configuration_document;
use getopts::Matches;
use serde::Serialize;

use super::{
    command::{Command, CommandError, operands},
    instance::format_output,
};

/// The command.
pub(crate) const COMMAND: Command = Command {
    name: "config check",
    arguments: "FILE [--in-force FILE]",
    summary: "check a configuration document of the platform before it is published",
    run,
};

/// Result of a check.
#[derive(Debug, Default, Serialize)]
struct Report {
    version: u64,
    errors: Vec<String>,
    warnings: Vec<String>,
    /// Differences from the version in force; `None` if it was not given.
    differences: Option<Vec<String>>,
}

fn run(matches: &Matches) -> Result<String, CommandError> {
    let [path] = operands(matches, &COMMAND) else {
        return Err(CommandError::Usage {
            message: "give one configuration document".into(),
        });
    };
    let report = check(path, matches.opt_str("in-force").as_deref())?;
    if !report.errors.is_empty() {
        return Err(CommandError::Invalid {
            message: format!(
                "{path}: must not be published\n{}",
                lines(&report).trim_end()
            ),
        });
    }
    format_output(matches, &report, |report| {
        let valid = format!("{path}: version {} may be published", report.version);
        format!("{}{valid}", lines(report))
    })
}

fn check(path: &str, in_force: Option<&str>) -> Result<Report, CommandError> {
    let document = read(path)?;
    let in_force_document = in_force.map(read).transpose()?;
    let mut report = Report {
        version: document.configuration.version,
        ..Report::default()
    };
    for finding in check_configuration(&document, in_force_document.as_ref()) {
        let list = match finding.severity() {
            Severity::Error => &mut report.errors,
            Severity::Warning => &mut report.warnings,
        };
        list.push(finding.to_string());
    }
    if let (Some(path), Some(in_force)) = (in_force, &in_force_document) {
        let count = in_force.errors.len();
        if count > 0 {
            report.warnings.push(format!(
                "{path}: {count} parts can't be read, and the differences leave them out; check that file too"
            ));
        }
        report.differences = Some(compare_configurations(in_force, &document).lines());
    }
    Ok(report)
}

fn read(path: &str) -> Result<ConfigurationDocument, CommandError> {
    let invalid = |message: String| CommandError::Invalid { message };
    let value = std::fs::read(path)
        .map_err(|error| invalid(format!("{path}: can't be read: {error}; check the path")))?;
    read_configuration_document(&value).map_err(|unreadable| {
        invalid(format!(
            "{path}: {}: {}; correct the document",
            unreadable.reason, unreadable.error
        ))
    })
}

/// One line for each finding and each difference.
fn lines(report: &Report) -> String {
    let differences = report.differences.iter().flatten();
    let groups = [
        ("error", report.errors.iter().collect::<Vec<_>>()),
        ("warning", report.warnings.iter().collect()),
        ("difference", differences.collect()),
    ];
    let lines = groups.iter().flat_map(|(label, texts)| {
        let lines = texts.iter();
        lines.map(move |text| format!("{label}: {text}\n"))
    });
    lines.collect()
}

#[cfg(test)]
#[path = "config_check_tests.rs"]
mod tests;
