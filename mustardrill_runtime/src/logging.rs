//! Log lines: time, level, process and `key=value` fields, on standard output.
//!
//! A thread of its own writes them, fed by a bounded queue: a reader that stops reading must not
//! hold up a decision. Lines that find the queue full are dropped and counted, and the count is
//! written with the next lines.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use log::LevelFilter;

/// Lines that may wait to be written: some seconds of a failing fleet's lines at full load.
const QUEUE_LINES: usize = 4_096;

/// How long the writer gathers lines before it writes them all at once. Each wake-up and each
/// write costs processor time; a fifth of a second late is soon enough for a reader.
const GATHER: Duration = Duration::from_millis(200);

/// The stack of the writer's thread, in bytes; it formats nothing.
const WRITER_STACK: usize = 128 * 1024;

/// Packages whose lines are written; a library's lines come with `RUST_LOG`.
const PACKAGES: [&str; 5] = [
    "mustardrill_core",
    "mustardrill_runtime",
    "mustardrill_platform",
    "mustardrill_agent",
    "mustardrill_entry",
];

/// Feeds lines to the writer's thread.
struct QueueFeed {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Starts logging to standard output. `RUST_LOG` overrides `level`.
pub fn init(process: &str, level: LevelFilter) {
    let process: Box<str> = process.into();
    let mut builder = env_logger::Builder::new();
    for package in PACKAGES {
        builder.filter_module(package, level);
    }
    builder.parse_default_env();
    builder.format(move |buffer, record| {
        let time = buffer.timestamp_millis();
        let level = record.level().as_str().to_lowercase();
        writeln!(buffer, "time={time} level={level} process={process} {}", record.args())
    });
    builder.target(env_logger::Target::Pipe(Box::new(spawn_writer(Box::new(std::io::stdout())))));
    // A second start in one process (tests) keeps the first.
    let _ = builder.try_init();
}

/// Starts the thread that writes lines to `sink`; returns where they are fed in.
fn spawn_writer(sink: Box<dyn Write + Send>) -> QueueFeed {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = dropped.clone();
    let writer = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK);
    let writer = writer.spawn(move || write_lines(&queue, sink, &counted));
    writer.expect("a thread can be started");
    QueueFeed { lines, dropped }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut sink: Box<dyn Write + Send>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        batch.extend_from_slice(&line);
        std::thread::sleep(GATHER);
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = format!("level=warn log=dropped lines={missing} reason=\"queue full\"\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to be told that the log can't be written.
        let _ = sink.write_all(&batch).and_then(|()| sink.flush());
        batch.clear();
        batch.shrink_to(QUEUE_LINES);
    }
}

impl Write for QueueFeed {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.to_vec()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
