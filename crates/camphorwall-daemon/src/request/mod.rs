//! Handles one caller's request from its arrival to the last byte of its answer.

mod active;
mod admission;
mod answer;
mod attempt;
mod caller;
mod completion;
mod frames;
mod leaving;
mod ledger_call;
mod model;
mod placement;
mod plain;
mod renewals;
mod retries;
mod timing;

pub(crate) use active::ActiveRequests;
pub(crate) use attempt::AttemptError;
pub(crate) use caller::answer_caller;
pub(crate) use frames::{AttemptId, FrameReader};
pub(crate) use leaving::LeavingEndpoints;
pub(crate) use renewals::{RENEWAL_POLL_PERIOD, Renewer};
pub(crate) use retries::RetryBudget;
