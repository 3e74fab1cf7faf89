//! A model engine as a process: `--listen`, `--capacity`, `--load-ms`, `--checks-fencing`.

use std::sync::Arc;
use std::time::Duration;

use mustardrill_standins::engine::{EngineHandler, EngineOptions, EngineState};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let usual = EngineOptions::default();
    let engine = EngineOptions {
        capacity: options.get("capacity", usual.capacity),
        pieces: options.get("pieces", usual.pieces),
        piece_time: Duration::from_millis(options.get("piece-ms", 5)),
        load_time: Duration::from_millis(options.get("load-ms", 200)),
        checks_fencing: options.get("checks-fencing", true),
    };
    serve(&options, Box::new(EngineHandler { state: Arc::new(EngineState::new(engine)) }));
}
