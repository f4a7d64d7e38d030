//! The other entries, and control of the process.

pub(crate) mod peers;
pub(crate) mod shares;
pub(crate) mod signals;

#[cfg(test)]
mod peers_tests;
#[cfg(test)]
mod shares_tests;
