//! Identifiers as newtypes, so that the compiler rejects a team where an instance is expected.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

/// Maximum length of an identifier in bytes.
const MAX_ID_LENGTH_BYTES: usize = 64;

/// An invalid identifier.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdError {
    /// The text has a length outside 1..=64, or characters other than letters, digits, `-`, `_` and `.`.
    #[snafu(display("{text:?} is no identifier: use 1 to 64 letters, digits, '-', '_' or '.'"))]
    BadName {
        /// The text as given.
        text: String,
    },
    /// The text is not a UUID.
    #[snafu(display("{text:?} is no request id: use a UUID"))]
    BadUuid {
        /// The text as given.
        text: String,
    },
    /// The text is not a SHA-256 digest.
    #[snafu(display(
        "{text:?} is no key digest: use the 64 hexadecimal digits of the key's SHA-256"
    ))]
    BadDigest {
        /// The text as given.
        text: String,
    },
}

fn check_name(text: &str) -> Result<(), IdError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text {
        _ if (1..=MAX_ID_LENGTH_BYTES).contains(&text.len()) && text.chars().all(is_allowed) => {
            Ok(())
        }
        _ => BadNameSnafu { text }.fail(),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }
    };
}

name_id! {
    /// An adapter on top of a model.
    AdapterId
}
name_id! {
    /// A data centre, as in the published documents.
    DataCentreId
}
name_id! {
    /// A back end that runs requests: a model engine, or a replica of a plain service.
    EndpointId
}
name_id! {
    /// One running process of the system, or one endpoint.
    InstanceId
}
name_id! {
    /// A model that engines run.
    ModelId
}
name_id! {
    /// Version of a model's weights.
    ModelVersion
}
name_id! {
    /// A region, a group of data centres.
    RegionId
}
name_id! {
    /// A published route.
    RouteId
}
name_id! {
    /// A published service: a set of endpoints that do the same work.
    ServiceId
}
name_id! {
    /// A customer with one contract.
    TeamId
}

macro_rules! uuid_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Uuid);

        impl $name {
            /// Generates an identifier that contains its creation time.
            #[must_use]
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }

            /// Returns the identifier as a number.
            #[must_use]
            pub const fn as_u128(self) -> u128 {
                self.0.as_u128()
            }

            /// Makes an identifier from a number.
            #[must_use]
            pub const fn from_u128(number: u128) -> Self {
                Self(Uuid::from_u128(number))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::BadUuid { text: text.into() })
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }
    };
}

uuid_id! {
    /// One request of a caller; all its attempts share it.
    RequestId
}
uuid_id! {
    /// One reservation at an endpoint daemon.
    ReservationId
}

/// Length of a SHA-256 digest in bytes.
const DIGEST_LENGTH_BYTES: usize = 32;

/// The SHA-256 digest of a caller's key; the key itself is never stored.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; DIGEST_LENGTH_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key as the caller sent it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_LENGTH_BYTES] {
        &self.0
    }
}

/// Compares in constant time, so that the time of a lookup reveals nothing about the stored digests.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        use subtle::ConstantTimeEq as _;
        self.0.ct_eq(&other.0).into()
    }
}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let bad = || IdError::BadDigest { text: text.into() };
        if text.len() != 2 * DIGEST_LENGTH_BYTES || !text.is_ascii() {
            return Err(bad());
        }
        let mut digest = [0; DIGEST_LENGTH_BYTES];
        for (position, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * position..2 * position + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| bad())?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

#[cfg(test)]
#[path = "ids_tests.rs"]
mod tests;
