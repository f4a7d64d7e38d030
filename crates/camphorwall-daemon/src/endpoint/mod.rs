//! Endpoint daemon: all requests to the endpoint beside it pass through this process.

mod attempts;
mod cache;
mod cache_view;
mod crashes;
mod daemon;
mod engine;
mod engine_monitor;
mod fair_queue;
mod forecast;
mod frame_buffer;
mod frames;
mod health;
mod link_pacer;
mod peer_api;
mod plain;
mod reservations;
mod slot_queue;
mod transfer;
mod work;
mod work_api;

pub(crate) use daemon::EndpointDaemon;
pub(crate) use frames::json_lines;
