//! Runs the stand-in for a plain service as a process: `--listen IP:PORT --work-ms N`.

use std::sync::Arc;
use std::time::Duration;

use mustardrill_standins::plain::{PlainHandler, PlainState};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let work_time = Duration::from_millis(options.get("work-ms", 5));
    serve(&options, Box::new(PlainHandler { state: Arc::new(PlainState::new(work_time)) }));
}
