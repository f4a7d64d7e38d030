//! Serves one caller's request from an endpoint, from its placement to the last byte.

pub(crate) mod completeness;
pub(crate) mod decode_timer;
pub(crate) mod events;
pub(crate) mod outcome;
pub(crate) mod plain;
pub(crate) mod prefill;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod run;
pub(crate) mod stream;

#[cfg(test)]
mod completeness_tests;
#[cfg(test)]
mod decode_timer_tests;
#[cfg(test)]
mod events_tests;
