//! The agent, a process on the machine of each upstream: it fetches weights, orders the upstream to
//! load them, and passes requests on to it.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod actor;
pub mod cli;
pub mod config;
mod context;
mod effects;
mod execute;
mod incarnation;
mod link;
mod message_memory;
mod server;
mod status;
mod store;
mod upstream;
mod weights_http;

pub use actor::{AgentHandle, spawn};
pub mod provisioning;

pub use config::AgentConfig;
