//! The agent's reducer: everything that the process beside an upstream decides.

mod event;
mod reducer;
mod switch;
mod version;
mod weights;

pub use event::{AgentEffect, AgentEvent, AgentSettings, EngineReport, LoadOrder, WeightsProgress};
pub use reducer::AgentReducer;
