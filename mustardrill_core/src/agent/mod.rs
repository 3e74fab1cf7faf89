//! The reducer of the agent: all decisions of the process that runs beside an upstream.

mod event;
mod load_wave;
mod reducer;
mod version_state;
mod weights_table;

pub use event::{AgentEffect, AgentEvent, AgentSettings, EngineReport, LoadOrder, WeightsProgress};
pub use reducer::AgentReducer;
