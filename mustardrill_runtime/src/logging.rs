//! Log lines: time, level, process and `key=value` fields.

use std::io::Write;

use log::LevelFilter;

/// Starts logging to standard error. `RUST_LOG` overrides `level`.
///
/// Only mustardrill's own modules log by default; a library's lines come with `RUST_LOG`.
pub fn init(process: &str, level: LevelFilter) {
    let process: Box<str> = process.into();
    let mut builder = env_logger::Builder::new();
    for module in
        ["mustardrill_core", "mustardrill_runtime", "mustardrill_agent", "mustardrill_entry"]
    {
        builder.filter_module(module, level);
    }
    builder.parse_default_env();
    builder.format(move |buffer, record| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_lowercase();
        writeln!(buffer, "time={time} level={level} process={process} {}", record.args())
    });
    // A second start in one process (tests) keeps the first.
    let _ = builder.try_init();
}
