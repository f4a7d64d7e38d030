//! Quarantine of requests that crash engines: a suspect runs apart from other suspects, and a second crash quarantines
//! it.

mod broadcast;
mod methods;
mod suspects;

pub(crate) use broadcast::Quarantine;
pub(crate) use methods::add_quarantine_methods;
pub(crate) use suspects::SuspectKey;
