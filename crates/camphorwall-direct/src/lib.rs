//! An entry that sends requests to endpoints directly, without a daemon beside them.
//!
//! Names and formats of a platform are known only to its adapter, which passes a [`Dialect`] to [`run()`].

mod charge;
mod choice;
mod clock;
mod configuration;
mod configuration_change;
mod connection_headers;
mod dialect;
mod entry;
mod events;
mod lengths;
mod loads;
mod memory_pool;
mod metrics;
mod names;
mod notices;
mod notify;
mod outcome;
mod peers;
mod placement;
mod plain;
mod poison;
mod prefill;
mod quota;
mod refusal;
mod registry;
mod request;
mod request_log;
mod retries;
mod return_queue;
mod route_table;
mod run;
mod settings;
mod signals;
mod stall;
mod store;
mod store_contact;
mod stream;
mod suspicion;
mod upstream;

#[cfg(test)]
mod choice_tests;
#[cfg(test)]
mod configuration_change_tests;
#[cfg(test)]
mod configuration_tests;
#[cfg(test)]
mod documentation_tests;
#[cfg(test)]
mod emulator_tests;
#[cfg(test)]
mod entry_tests;
#[cfg(test)]
mod events_tests;
#[cfg(test)]
mod lengths_tests;
#[cfg(test)]
mod loads_tests;
#[cfg(test)]
mod memory_pool_tests;
#[cfg(test)]
mod notices_tests;
#[cfg(test)]
mod peers_tests;
#[cfg(test)]
mod placement_tests;
#[cfg(test)]
mod poison_streams_tests;
#[cfg(test)]
mod poison_tests;
#[cfg(test)]
mod quota_tests;
#[cfg(test)]
mod registry_tests;
#[cfg(test)]
mod request_log_tests;
#[cfg(test)]
mod retries_tests;
#[cfg(test)]
mod return_queue_tests;
#[cfg(test)]
mod stall_tests;
#[cfg(test)]
mod store_contact_tests;
#[cfg(test)]
mod suspicion_tests;
#[cfg(test)]
mod testing;

pub use configuration::{
    CallerLimits, Configuration, Endpoint, EngineLimits, Route, RouteKind, Service, Stage, Team,
    UnreadableParts,
};
pub use connection_headers::remove_connection_headers;
pub use dialect::{
    AnswerFacts, Changes, ConfigurationDraft, Dialect, DraftConfiguration, ForwardingFacts,
    KvHandle, Page, PromptPart, RequestFacts, StoreDialect, StoreItem, UnreadableConfiguration,
    UnreadableReason, UnreadableRoute,
};
pub use names::{DataCentreName, EndpointName, InstanceName, ServiceName, TeamName};
pub use route_table::RouteTable;
pub use run::{ControlCommand, StartError, run};
pub use settings::{Bounds, DirectSettings};
pub use signals::watch_signals;
