//! Clients, settings, logging and metrics shared by the two daemons.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod adapters;
pub mod agents;
pub mod backoff;
pub mod body_memory;
pub mod client_connections;
pub mod client_stream;
pub mod clock;
pub mod config;
pub mod confirmed_origin;
pub mod datagram;
pub mod exposition;
pub mod fleet_digest;
pub mod headers;
pub mod http;
pub mod http_server;
pub mod logging;
pub mod metrics;
pub mod origin;
pub mod peer_call;
pub mod platform;
pub mod settings;
pub mod signal;
pub mod supervision;
pub mod upload;
pub mod wire;
