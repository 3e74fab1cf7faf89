//! Discrete-event simulation of a load pattern: the entries' real reducers against modelled engines.
//!
//! Seeded, single-threaded and without processes, so that a run takes seconds. Entries broadcast their
//! load over links that delay and lose messages, engines prefill prompts between the decoding steps of
//! other requests, and callers retry after refusals and leave at their deadlines. Only the engines and
//! the callers are modelled.

mod call;
mod callers;
mod engine;
mod evaluation;
mod fleet;
mod pattern;
mod report;
mod silences;
mod simulation;

pub use engine::{EngineEvent, EngineModel, EngineRun, RunId};
pub use pattern::{CallerKind, DisturbanceKind, LoadPattern, PatternDisturbance, PatternSilences};
pub use report::{LimitCount, OutcomeCounts, SecondCount, SimulationReport};
pub use simulation::simulate;

/// Settings of an entry for simulations without a settings file; all other keys have their defaults.
///
/// Nothing listens at these addresses.
pub const DEFAULT_ENTRY_SETTINGS: &str = "\
[entry]
platform = prepared
instance = entry-0
data_centre = hall
listen = 127.0.0.1:0
ready_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
[platform]
store = 127.0.0.1:1
";
