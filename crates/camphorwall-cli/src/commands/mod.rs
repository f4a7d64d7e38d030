//! The commands, one in each file, and what they share.

mod command;
mod config_check;
mod config_status;
mod drain;
mod explain;
mod explain_log;
mod histograms;
mod instance;
mod log_lines;
mod losses;
mod published_check;
mod quarantine_lift;
mod quarantine_list;
mod settings_check;
mod status;
mod table;
mod teams;

pub(crate) use command::run;
