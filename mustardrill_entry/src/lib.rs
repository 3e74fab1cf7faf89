//! The entry process: accepts callers' requests and operators' edits, and sends requests to agents,
//! or directly to upstreams on platforms without agents in between.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod actor;
mod agent_clocks;
mod attempt;
mod callers;
pub mod cli;
pub mod config;
mod context;
pub mod direct;
mod editor;
mod effects;
pub mod explain;
pub mod operator_client;
mod operators;
mod request_body;
mod status;
mod watch;

pub use actor::{EntryHandle, spawn};
pub use config::EntryConfig;
