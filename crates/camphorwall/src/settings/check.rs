//! Checks that the fields of a settings file are consistent.

use std::{net::SocketAddr, path::Path};

use super::{EndpointSettings, EntrySettings, Role, Settings, SettingsError, SettingsFault};
use crate::files::{line_of_field, parse_json_with_comments, read_text};

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// When the file is unreadable, or a field is unknown, missing, invalid or inconsistent with the others.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = read_text(path)?;
        Self::parse(path, &text)
    }

    fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_json_with_comments(path, text)?;
        settings.check().map_err(|fault| SettingsError::Check {
            path: path.into(),
            line: line_of_field(text, fault.field()),
            fault,
        })?;
        Ok(settings)
    }

    /// Checks that the fields are consistent.
    ///
    /// # Errors
    /// The first fault that is found.
    pub fn check(&self) -> Result<(), SettingsFault> {
        self.check_sections()?;
        self.check_numbers()?;
        self.check_addresses()?;
        self.check_secret()
    }

    fn check_sections(&self) -> Result<(), SettingsFault> {
        let role = self.role;
        let (entry, endpoint) = (self.entry.is_some(), self.endpoint.is_some());
        match role {
            Role::Entry if !entry => Err(SettingsFault::MissingForRole {
                field: "entry",
                role,
            }),
            Role::Entry if endpoint => Err(SettingsFault::UnusedByRole {
                field: "endpoint",
                role,
            }),
            Role::Endpoint if !endpoint => Err(SettingsFault::MissingForRole {
                field: "endpoint",
                role,
            }),
            Role::Endpoint if entry => Err(SettingsFault::UnusedByRole {
                field: "entry",
                role,
            }),
            Role::Endpoint | Role::Entry => Ok(()),
        }
    }

    fn check_numbers(&self) -> Result<(), SettingsFault> {
        match (&self.entry, &self.endpoint) {
            _ if self.lease.grant_lifetime_ms == 0 => Err(SettingsFault::Zero {
                field: "lease.grant_lifetime_ms",
            }),
            _ if !self.lease.is_valid() => Err(SettingsFault::LeaseTooShort {
                hold_ms: self.lease.hold_ms,
                heartbeat_period_ms: self.lease.heartbeat_period_ms,
            }),
            (
                Some(EntrySettings {
                    max_body_bytes: 0, ..
                }),
                _,
            ) => Err(SettingsFault::Zero {
                field: "entry.max_body_bytes",
            }),
            (_, Some(EndpointSettings { slots: 0, .. })) => Err(SettingsFault::Zero {
                field: "endpoint.slots",
            }),
            _ => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), SettingsFault> {
        let mut seen: Vec<(&'static str, SocketAddr)> = Vec::new();
        for (field, address) in self.addresses() {
            if address.ip().is_unspecified() && field != "entry.caller_address" {
                return Err(SettingsFault::Unspecified { field, address });
            }
            let has_fixed_port = address.port() != 0;
            let same = seen
                .iter()
                .find(|(_, other)| has_fixed_port && *other == address);
            if let Some((other, _)) = same {
                return Err(SettingsFault::DuplicateAddress {
                    field,
                    other,
                    address,
                });
            }
            seen.push((field, address));
        }
        Ok(())
    }

    fn check_secret(&self) -> Result<(), SettingsFault> {
        let mut addresses = std::iter::once(&self.peer_address).chain(&self.seed_addresses);
        match addresses.find(|address| !address.ip().is_loopback()) {
            Some(address) if self.peer_secrets.is_empty() => {
                Err(SettingsFault::SecretMissing { address: *address })
            }
            Some(_) | None => Ok(()),
        }
    }

    fn addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let mut addresses = vec![("peer_address", self.peer_address)];
        addresses.extend(
            self.seed_addresses
                .iter()
                .map(|seed| ("seed_addresses", *seed)),
        );
        if let Some(entry) = &self.entry {
            addresses.push(("entry.caller_address", entry.caller_address));
            addresses.push(("entry.configuration_address", entry.configuration_address));
        }
        if let Some(endpoint) = &self.endpoint {
            addresses.push(("endpoint.endpoint_address", endpoint.endpoint_address));
        }
        addresses
    }
}

#[cfg(test)]
#[path = "check_tests.rs"]
mod tests;
