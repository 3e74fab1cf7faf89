//! Runs the stand-in for the platform's instance list as a process: `--listen IP:PORT --lag-ms N`.

use std::sync::Arc;
use std::time::Duration;

use mustardrill_standins::instances::{InstancesHandler, LaggingList};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let lag = Duration::from_millis(options.get("lag-ms", 200));
    serve(&options, Box::new(InstancesHandler { list: Arc::new(LaggingList::new(lag)) }));
}
