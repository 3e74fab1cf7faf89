//! The agent on a platform where entries send requests to upstreams directly: it only provisions
//! its engine with weights.

mod actor;
mod config;
mod early_chunks;
mod effects;
mod fleet;
mod load_records;
mod metrics;
mod peers;
mod staging;
mod watch;

pub use actor::{PlatformAdapters, ProvisioningHandle, spawn};
pub use config::{ProvisioningConfig, read};
pub use metrics::METRICS;
