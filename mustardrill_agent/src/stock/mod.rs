//! The agent on a platform where entries send to upstreams themselves: it stocks its engine.

mod actor;
mod config;
mod early_chunks;
mod effects;
mod fleet;
mod metrics;
mod peers;
mod watch;

pub use actor::{StockBorders, StockHandle, spawn};
pub use config::{StockConfig, read};
pub use metrics::METRICS;
