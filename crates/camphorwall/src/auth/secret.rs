//! Shared secrets, which are read from settings or files and never printed.

use std::{fmt, path::Path, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Minimum length of a secret: 128 bits in hexadecimal digits.
const MIN_SECRET_CHARACTERS: usize = 32;

/// Maximum length of a secret.
const MAX_SECRET_CHARACTERS: usize = 256;

/// An unusable secret. The message never contains its text.
#[derive(Debug, Snafu)]
pub enum SecretError {
    /// The text is too short, too long, or has spaces or control characters.
    #[snafu(display(
        "a secret has {MIN_SECRET_CHARACTERS} to {MAX_SECRET_CHARACTERS} printable ASCII characters without spaces; \
         make one with 'openssl rand -hex 32'"
    ))]
    BadSecret,
    /// The file with the secret can't be read.
    #[snafu(display("{path}: can't be read: {source}; check the path and its permissions"))]
    Unreadable {
        /// Path as given.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
}

/// A secret that all processes of the system share.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct PeerSecret(String);

impl PeerSecret {
    pub(super) fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(hidden)")
    }
}

impl FromStr for PeerSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        let lengths = MIN_SECRET_CHARACTERS..=MAX_SECRET_CHARACTERS;
        match text {
            _ if lengths.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic()) => {
                Ok(Self(text.into()))
            }
            _ => BadSecretSnafu.fail(),
        }
    }
}

impl TryFrom<String> for PeerSecret {
    type Error = SecretError;

    fn try_from(text: String) -> Result<Self, SecretError> {
        text.parse()
    }
}

/// Hides the secret, so that settings can be printed.
impl From<PeerSecret> for String {
    fn from(_: PeerSecret) -> Self {
        "hidden".into()
    }
}

/// Reads the secret from a file that contains nothing else.
///
/// # Errors
/// When the file can't be read or contains no usable secret.
pub fn read_secret_file(path: &Path) -> Result<PeerSecret, SecretError> {
    let text = std::fs::read_to_string(path).map_err(|source| SecretError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    text.trim().parse()
}
