//! Commands, one in each file.

mod command;
mod configuration;
mod demo;
mod engine;
mod load;
mod plain;
mod serve;

pub(crate) use command::run;
