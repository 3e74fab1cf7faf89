//! Runs the stand-in for the key-value service as a process: `--listen IP:PORT`.

use mustardrill_standins::key_value::KeyValueHandler;
use mustardrill_standins::program::{ProgramOptions, serve};

fn main() {
    serve(&ProgramOptions::read(), Box::new(KeyValueHandler::default()));
}
