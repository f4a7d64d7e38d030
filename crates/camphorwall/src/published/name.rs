//! Names of published documents, and errors of documents that are not accepted.

use std::{fmt, rc::Rc, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::Snafu;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Revision;

/// Kind of a published document: the part of its name before the first dot.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum DocumentKind {
    /// Contracts of the teams.
    Contracts,
    /// Data centres and the links between them.
    DataCentres,
    /// Desired setups of the engines.
    Deployments,
    /// The instance list: entries and endpoint daemons.
    Instances,
    /// Digests of the callers' keys.
    Keys,
    /// Routes.
    Routes,
    /// Services.
    Services,
}

/// Name of a published document, such as `contracts`, or `contracts.7` for one part of a large table.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct DocumentName {
    kind: DocumentKind,
    text: Rc<str>,
}

impl DocumentName {
    /// Returns the kind of the document.
    #[must_use]
    pub const fn kind(&self) -> DocumentKind {
        self.kind
    }
}

impl fmt::Display for DocumentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl FromStr for DocumentName {
    type Err = DocumentError;

    fn from_str(text: &str) -> Result<Self, DocumentError> {
        let prefix = text.split('.').next().unwrap_or_default();
        let kind = prefix
            .parse()
            .map_err(|_| DocumentError::UnknownKind { name: text.into() })?;
        Ok(Self {
            kind,
            text: text.into(),
        })
    }
}

impl TryFrom<String> for DocumentName {
    type Error = DocumentError;

    fn try_from(text: String) -> Result<Self, DocumentError> {
        text.parse()
    }
}

impl From<DocumentName> for String {
    fn from(name: DocumentName) -> Self {
        name.text.to_string()
    }
}

/// A document that is not accepted; the previous revision stays in force.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DocumentError {
    /// No kind of document has this name.
    #[snafu(display(
        "document {name:?} is of no known kind: use contracts, data_centres, deployments, instances, keys, routes or services"
    ))]
    UnknownKind {
        /// Name as published.
        name: String,
    },
    /// The body does not have the form of its kind.
    #[snafu(display(
        "document {name} revision {revision}: {message}; correct it and publish a higher revision"
    ))]
    Invalid {
        /// Name as published.
        name: String,
        /// Revision as published.
        revision: Revision,
        /// The problem.
        message: String,
    },
}

/// One document as published.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Document {
    /// Name, which decides the kind.
    pub name: DocumentName,
    /// Revision that the platform assigned.
    pub revision: Revision,
    /// Body as JSON text.
    pub body: Box<RawValue>,
}
