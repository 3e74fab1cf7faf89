//! Provisions the engine beside an agent with the weights that the operator announced.
//!
//! Chunks are staged beside the engine, not in the agent's memory. [`ProvisioningReducer`] decides
//! which chunks are fetched from where, when the staged copy is verified, and when the engine is
//! ordered to load it. Nothing here does I/O or reads a clock.

mod engine;
mod entry_directory;
mod event;
mod fetching;
mod holdings;
mod load_ledger;
mod load_order;
mod load_proof;
mod pending_manifest;
mod reducer;
mod rollout;
mod sources;

pub use entry_directory::EntryDirectory;
pub use event::{
    EngineView, HoldingsReport, LayerRange, LoadOrderOutcome, ManifestSource, ProvisioningEffect,
    ProvisioningEvent, ProvisioningSettings, ProvisioningStatus, VersionId,
};
pub use reducer::ProvisioningReducer;
pub use rollout::{RolloutSettings, RolloutWindow};
