//! Seeded histories of small groups of processes on a simulated network with injected clocks.

mod budgets;
mod cost;
mod faults;
mod group;
mod link;
mod measure;
mod ownership;
mod ownership_cases;

pub(crate) use faults::play_all;
