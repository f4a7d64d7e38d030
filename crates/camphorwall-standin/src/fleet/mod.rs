//! A small fleet on loopback in this process: the real daemons, and stand-ins for the platform and the endpoints.

mod address;
mod changes;
mod endpoint;
mod members;
mod options;
mod published;
mod waiting;

#[cfg(test)]
mod address_tests;

pub use address::{any_port, fleet_client, fleet_secret};
pub use endpoint::FleetEndpoint;
pub use members::Fleet;
pub use options::{FleetOptions, MODEL_SERVICE, PLAIN_SERVICE};
pub use published::publish_directory;
pub use waiting::wait_until;
