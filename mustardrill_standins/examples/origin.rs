//! The origin, or the weight store, as a process: `--listen IP:PORT --rate BYTES_A_SECOND`.

use std::sync::Arc;

use mustardrill_standins::origin::{OriginHandler, WeightShelf};
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    let options = ProgramOptions::read();
    let shelf = Arc::new(WeightShelf::new(options.get("rate", 0)));
    serve(&options, Box::new(OriginHandler { shelf }));
}
