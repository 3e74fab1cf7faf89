//! The entry on a platform where it sends requests to upstreams itself.

mod actor;
mod answer;
mod attempt;
mod availability;
mod callers;
mod config;
mod connections;
mod event_splitter;
mod gated_stream;
mod gossip;
mod metrics;
mod quarantine_records;
mod relay;
mod watch;

pub use actor::{DirectBorders, DirectHandle, spawn};
pub use config::{DirectConfig, read};
pub use metrics::METRICS;
