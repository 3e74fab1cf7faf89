//! Runs the stand-in for the origin or the weight store as a process:
//! `--listen IP:PORT --rate BYTES_PER_SECOND`, where a rate of zero, the default, is unlimited.

use std::sync::Arc;

use mustardrill_standins::origin::{OriginHandler, OriginStore};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let store = Arc::new(OriginStore::new(options.get("rate", 0)));
    serve(&options, Box::new(OriginHandler { store }));
}
