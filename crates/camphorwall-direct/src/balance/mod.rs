//! Chooses endpoints for requests and holds requests that wait for capacity.

pub(crate) mod choice;
pub(crate) mod contention;
pub(crate) mod lengths;
pub(crate) mod loads;
pub(crate) mod placement;
pub(crate) mod plain_queue;
pub(crate) mod prefixes;
pub(crate) mod return_queue;
pub(crate) mod speeds;

#[cfg(test)]
mod choice_tests;
#[cfg(test)]
mod contention_tests;
#[cfg(test)]
mod expected_times_tests;
#[cfg(test)]
mod lengths_tests;
#[cfg(test)]
mod loads_tests;
#[cfg(test)]
mod placement_tests;
#[cfg(test)]
mod prefixes_tests;
#[cfg(test)]
mod return_queue_tests;
#[cfg(test)]
mod speeds_tests;
