//! The entry for platforms on which it sends requests directly to upstreams, without agents in
//! between.

mod activity;
mod actor;
mod answer;
mod answer_buffer;
mod answer_sink;
mod attempt;
mod attempt_counts;
mod attempt_statements;
mod availability;
mod caller_policy;
mod callers;
mod config;
mod connections;
mod event_splitter;
mod gated_stream;
mod gossip;
mod metrics;
mod planned_stop;
mod quarantine_records;
mod reachability;
mod registration;
mod relay;
mod request_task;
mod stream_part;
mod watch;

pub use actor::{DirectHandle, PlatformAdapters, spawn};
pub use config::{DirectConfig, read};
pub use gated_stream::{GatedStream, SendGate};
pub use metrics::METRICS;
