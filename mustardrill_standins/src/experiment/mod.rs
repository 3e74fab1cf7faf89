//! Plays load patterns on the entries' real reducers against modelled engines, in seconds.
//!
//! Discrete events, seeded, one thread, no processes: entries tell each other their load over ways
//! that delay and lose words, engines read prompts between the tokens of others, callers come back
//! after refusals and leave at their deadlines. Only the engines and the callers are models.

mod call;
mod callers;
mod engine;
mod evaluation;
mod fleet;
mod pattern;
mod report;
mod simulation;

pub use engine::{EngineEvent, EngineModel, EngineRun, RunId};
pub use pattern::{CallerKind, DisturbanceKind, LoadPattern, PatternDisturbance};
pub use report::{KindCount, PlayReport, SecondCount};
pub use simulation::play;

/// The settings of a plain entry, for plays that bring none of their own.
pub const PLAIN_ENTRY: &str = "\
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
