//! Runs the stand-in for a model engine as a process.
//!
//! Options: `--listen IP:PORT`, `--capacity N`, `--pieces N`, `--piece-ms N`, `--load-ms N` and
//! `--checks-fencing true|false`.

use std::sync::Arc;
use std::time::Duration;

use mustardrill_standins::engine::{EngineHandler, EngineOptions, EngineState};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let defaults = EngineOptions::default();
    let engine = EngineOptions {
        capacity: options.get("capacity", defaults.capacity),
        pieces: options.get("pieces", defaults.pieces),
        piece_time: Duration::from_millis(options.get("piece-ms", 5)),
        load_time: Duration::from_millis(options.get("load-ms", 200)),
        checks_fencing: options.get("checks-fencing", true),
    };
    serve(&options, Box::new(EngineHandler { state: Arc::new(EngineState::new(engine)) }));
}
