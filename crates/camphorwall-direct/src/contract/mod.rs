//! What a team's contract and the fleet's retry budget allow.

pub(crate) mod charge;
pub(crate) mod homes;
pub(crate) mod quota;
pub(crate) mod retries;

#[cfg(test)]
mod homes_tests;
#[cfg(test)]
mod quota_histories_tests;
#[cfg(test)]
mod quota_tests;
#[cfg(test)]
mod retries_histories_tests;
#[cfg(test)]
mod retries_tests;
