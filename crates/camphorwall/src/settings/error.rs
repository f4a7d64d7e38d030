//! Errors of a settings file; each message states file, line, field and remedy.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use super::Role;
use crate::FileError;

/// Invalid settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file is unreadable, not JSON, or has an invalid field.
    #[snafu(transparent)]
    File {
        /// Cause.
        source: FileError,
    },
    /// The fields are inconsistent.
    #[snafu(display("{}:{line}: {fault}", path.display()))]
    Check {
        /// The file.
        path: PathBuf,
        /// Line of the field, counted from 1.
        line: usize,
        /// The inconsistency.
        fault: SettingsFault,
    },
}

/// Inconsistent fields.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingsFault {
    /// A section that the role needs is missing.
    #[snafu(display("field {field}: missing; role {role} needs it, add the section"))]
    MissingForRole {
        /// The field.
        field: &'static str,
        /// The role.
        role: Role,
    },
    /// A section of the other role is present.
    #[snafu(display(
        "field {field}: not used by role {role}; remove the section or change the role"
    ))]
    UnusedByRole {
        /// The field.
        field: &'static str,
        /// The role.
        role: Role,
    },
    /// Two fields contain the same address.
    #[snafu(display("field {field}: {address} is used by {other} too; choose another port"))]
    DuplicateAddress {
        /// The field.
        field: &'static str,
        /// The first field with the address.
        other: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// The lease duration covers too few heartbeats.
    #[snafu(display(
        "field lease.hold_ms: {hold_ms} is below three times lease.heartbeat_period_ms ({heartbeat_period_ms}, at least 1); raise it"
    ))]
    LeaseTooShort {
        /// Lease duration.
        hold_ms: u64,
        /// Period of heartbeats.
        heartbeat_period_ms: u64,
    },
    /// Without a secret, unauthenticated senders could call this process or answer its calls.
    #[snafu(display(
        "field peer_secrets: missing; address {address} is not on loopback, so give all processes the same secret, \
         made with 'openssl rand -hex 32'"
    ))]
    SecretMissing {
        /// An address that is not on loopback.
        address: SocketAddr,
    },
    /// A number that must be positive is zero.
    #[snafu(display("field {field}: 0 is too small; write 1 or more"))]
    Zero {
        /// The field.
        field: &'static str,
    },
    /// An address that other processes must reach is unspecified, such as 0.0.0.0.
    #[snafu(display(
        "field {field}: {address} names no machine; write the address that others reach"
    ))]
    Unspecified {
        /// The field.
        field: &'static str,
        /// The address.
        address: SocketAddr,
    },
}

impl SettingsFault {
    /// Returns the path of the invalid field.
    #[must_use]
    pub const fn field(&self) -> &'static str {
        match self {
            Self::DuplicateAddress { field, .. }
            | Self::MissingForRole { field, .. }
            | Self::Unspecified { field, .. }
            | Self::UnusedByRole { field, .. }
            | Self::Zero { field } => field,
            Self::SecretMissing { .. } => "peer_secrets",
            Self::LeaseTooShort { .. } => "lease.hold_ms",
        }
    }
}
