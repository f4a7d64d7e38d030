//! Settings of a daemon: one JSON file with comments, which is checked completely before the daemon binds an address.

mod check;
mod daemon;
mod error;

pub use daemon::{
    EndpointSettings, EntrySettings, LeaseSettings, PrefixBelief, Role, RoutingPolicy,
    RoutingSettings, Settings,
};
pub use error::{SettingsError, SettingsFault};

#[cfg(test)]
#[path = "reference_tests.rs"]
mod reference_tests;
