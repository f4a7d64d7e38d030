//! Deployment: orders the engine beside this daemon to run the setup that the published documents give it.
//!
//! Orders carry the published revision as fencing number. Some engines ignore it, so the daemon reads back what the
//! engine runs, gives it no work that is meant for other weights, and orders again when it differs.

mod controller;
mod decision;
mod desired;
mod engine;
mod gate;
mod load_budget;

pub(crate) use controller::{EngineController, EngineUse};
pub(crate) use desired::EngineId;
pub(crate) use gate::Gate;

#[cfg(test)]
#[path = "history_tests.rs"]
mod history_tests;
