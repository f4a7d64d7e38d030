//! Small stand-ins for the platform's services and the endpoints: a configuration service, a weight store, model
//! engines and plain services. Only the tests, the demo and the load tool use them.

mod caller;
mod checker;
mod configuration;
mod demo;
pub mod documents;
mod engine;
mod fleet;
mod load;
mod plain;
mod relay;
mod running_server;
mod weight_store;

pub use caller::{Answer, Caller, Event, Events};
pub use checker::{CallerRecord, Ending, Evidence, Violation, check};
pub use configuration::{
    AnsweringReplica, ConfigurationService, ConfigurationSnapshot, read_documents,
};
pub use demo::{DemoRow, run_demo};
pub use documents::new_idempotency_key;
pub use engine::{Engine, EngineCounts, EngineOptions, EngineOrder, OrderKind};
pub use fleet::{
    Fleet, FleetEndpoint, FleetOptions, MODEL_SERVICE, PLAIN_SERVICE, any_port, fleet_client,
    fleet_secret, publish_directory, wait_until,
};
pub use load::{Burst, PlainLoad, PlainTeam, Scenario, SizeRange, TeamLoad, run_scenario};
pub use plain::{PlainService, Run};
pub use relay::{RelayMode, RelayModes, TcpRelay};
pub use running_server::RunningServer;
pub use weight_store::{StoreRate, WeightStore};
