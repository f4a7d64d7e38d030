//! Keeps the configuration and the endpoints' registrations up to date. A few entries of each data centre read the
//! configuration store, and the others follow these.

mod call;
mod configuration;
mod era;
mod evacuations;
mod follow;
mod mirror;
mod news;
mod readers;
mod recent;
mod relay;
mod tracker;

#[cfg(test)]
mod call_tests;
#[cfg(test)]
mod evacuations_tests;
#[cfg(test)]
mod follow_tests;
#[cfg(test)]
mod mirror_tests;
#[cfg(test)]
mod news_tests;
#[cfg(test)]
mod readers_tests;
#[cfg(test)]
mod relay_tests;
#[cfg(test)]
mod tracker_tests;

pub(crate) use configuration::{ParsedRoutes, keep_configuration};
pub(crate) use evacuations::follow_evacuations;
pub(crate) use follow::follow;
pub(crate) use mirror::StoreMirror;
pub(crate) use news::{NewsAges, RevisionLag};
pub(crate) use readers::{CentreKey, Neighbour, centre_key};
pub(crate) use recent::RecentConfigurations;
pub(crate) use relay::answer_follower;
pub(crate) use tracker::ConfigurationTracker;
