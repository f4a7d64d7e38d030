//! What an entry knows of the endpoints: registrations, failures, crashes and what they say of themselves.

pub(crate) mod cold;
pub(crate) mod cold_limit;
pub(crate) mod cold_times;
pub(crate) mod crash_evidence;
pub(crate) mod evacuation;
pub(crate) mod notices;
pub(crate) mod poison;
pub(crate) mod registry;
pub(crate) mod stall;
pub(crate) mod store_contact;
pub(crate) mod suspicion;
pub(crate) mod trials;

#[cfg(test)]
mod cold_history_tests;
#[cfg(test)]
mod cold_load_tests;
#[cfg(test)]
mod cold_tests;
#[cfg(test)]
mod evacuation_tests;
#[cfg(test)]
mod notices_tests;
#[cfg(test)]
mod poison_streams_tests;
#[cfg(test)]
mod poison_tests;
#[cfg(test)]
mod registry_tests;
#[cfg(test)]
mod stall_tests;
#[cfg(test)]
mod store_contact_tests;
#[cfg(test)]
mod suspicion_tests;
#[cfg(test)]
mod trials_tests;
