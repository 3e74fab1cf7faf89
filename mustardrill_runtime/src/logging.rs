//! Logging to standard output: lines with time, level, process and `key=value` fields.
//!
//! A separate thread writes the lines from a bounded queue, so that a blocked standard output never
//! blocks the process. If the queue is full, lines are dropped, and their number is logged with the
//! next lines.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use log::LevelFilter;

/// Capacity of the queue in lines: several seconds of logging at full load while the fleet fails.
const QUEUE_LINES: usize = 4_096;

/// How long the writer collects lines before it writes them in one batch. Fewer wake-ups and writes
/// save CPU time, and a delay of 200 ms does not matter to a reader.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// The time after which a line is written, unless standard output is blocked.
pub(crate) const WRITE_SPAN: Duration = Duration::from_millis(500);

/// Stack size of the writer's thread in bytes; small, since lines are formatted elsewhere.
const WRITER_STACK: usize = 128 * 1024;

/// Packages that log by default; lines of other libraries are enabled by `RUST_LOG`.
const PACKAGES: [&str; 5] = [
    "mustardrill_core",
    "mustardrill_runtime",
    "mustardrill_platform",
    "mustardrill_agent",
    "mustardrill_entry",
];

/// Passes lines to the writer's thread; counts those that do not fit into the queue.
struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Starts logging to standard output as `process`. `RUST_LOG` overrides `level`. Later calls in the
/// same process have no effect.
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
    // Tests initialize logging several times in one process; the first logger is kept.
    let _ = builder.try_init();
}

/// Starts the thread that writes lines to `sink` and returns the queue in front of it.
fn spawn_writer(sink: Box<dyn Write + Send>) -> LogQueue {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_by_writer = dropped.clone();
    let writer = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK);
    let writer = writer.spawn(move || write_lines(&queue, sink, &dropped_by_writer));
    writer.expect("a thread can be started");
    LogQueue { lines, dropped }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut sink: Box<dyn Write + Send>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = queue.recv() {
        batch.extend_from_slice(&line);
        std::thread::sleep(BATCH_INTERVAL);
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let line =
                format!("level=warn log=dropped lines={dropped_lines} reason=\"queue full\"\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // There is nowhere to report that standard output can't be written.
        let _ = sink.write_all(&batch).and_then(|()| sink.flush());
        batch.clear();
        batch.shrink_to(QUEUE_LINES);
    }
}

impl Write for LogQueue {
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
