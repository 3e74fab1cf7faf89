//! The agent's reducer: everything that the process beside an upstream decides.

mod event;
mod load_wave;
mod reducer;
mod version_state;
mod weights_table;

pub use event::{AgentEffect, AgentEvent, AgentSettings, EngineReport, LoadOrder, WeightsProgress};
pub use reducer::AgentReducer;
