//! An entry that reaches endpoints itself, without a daemon beside them.
//!
//! What a platform calls things stays in its adapter, which hands a [`Dialect`] over.

mod charge;
mod choice;
mod clock;
mod configuration;
mod dialect;
mod entry;
mod events;
mod follow;
mod loads;
mod outcome;
mod peers;
mod placing;
mod plain;
mod poison;
mod quota;
mod refusal;
mod registry;
mod request;
mod retries;
mod settings;
mod signals;
mod stream;
mod suspicion;
mod upstream;

pub use configuration::{
    CallerLimits, Configuration, Endpoint, EngineLimits, Route, RouteKind, Service, Stage, Team,
};
pub use dialect::{
    AnswerFacts, Changes, Dialect, EndpointLoad, KvHandle, Page, ReadConfiguration, RequestFacts,
    Sending, StoreDialect, StoreItem,
};
pub use entry::{Order, StartError, remove_connection_headers, run};
pub use settings::{Bounds, DirectSettings};
pub use signals::watch_signals;
