//! An entry that sends requests to endpoints directly, without a daemon beside them.
//!
//! Names and formats of a platform are known only to its adapter, which passes a [`Dialect`] to [`run()`].

mod balance;
mod blocks;
mod clock;
mod configuration;
mod configuration_change;
mod configuration_check;
mod connection_headers;
mod contract;
mod dialect;
mod endpoints;
mod entry;
mod fleet;
mod memory_pool;
mod metrics;
mod names;
mod notify;
mod request;
mod request_body;
mod request_log;
mod route_table;
mod serve;
mod settings;
mod store;
mod upstream;

#[cfg(test)]
mod configuration_change_tests;
#[cfg(test)]
mod configuration_check_tests;
#[cfg(test)]
mod configuration_tests;
#[cfg(test)]
mod documentation_tests;
#[cfg(test)]
mod emulator_tests;
#[cfg(test)]
mod entry_tests;
#[cfg(test)]
mod memory_pool_tests;
#[cfg(test)]
mod request_log_tests;
#[cfg(test)]
mod testing;
#[cfg(test)]
mod upstream_tests;

pub use configuration::{
    CallerLimits, ColdLimits, Configuration, Endpoint, EngineLimits, Route, RouteKind, Service,
    Stage, Team, UnreadableParts,
};
pub use configuration_check::{
    Changes as ConfigurationChanges, ConfigurationDifferences, ConfigurationDocument,
    ConfigurationFinding, KeyChanges, RouteLabel, Severity, check_configuration,
    compare_configurations,
};
pub use connection_headers::remove_connection_headers;
pub use contract::homes::AllowedRegions;
pub use dialect::{
    AnswerFacts, Changes, ConfigurationDraft, Dialect, DraftConfiguration, ForwardingFacts,
    KvHandle, Page, PromptPart, RequestFacts, SizedPart, StatedLoad, StoreDialect, StoreItem,
    StoreRevision, UnreadableConfiguration, UnreadableReason, UnreadableRoute,
};
pub use fleet::signals::watch_signals;
pub use names::{DataCentreName, EndpointName, InstanceName, RegionName, ServiceName, TeamName};
pub use route_table::RouteTable;
pub use serve::run::{ControlCommand, StartError, run};
pub use settings::{Bounds, DirectSettings};
