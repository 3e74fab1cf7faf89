//! The memory and the open descriptors of a process, measured from outside.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use mustardrill_standins::process::LabProcess;

/// How often the descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Bounds that a process keeps whatever its clients do.
#[derive(Debug, Clone, Copy)]
pub struct ProcessBounds {
    /// Resident memory, in megabytes.
    pub memory_mb: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Measures one process until it is dropped.
pub struct ProcessMeter {
    id: u32,
    most_descriptors: Arc<AtomicUsize>,
    has_ended: Arc<AtomicBool>,
}

impl ProcessMeter {
    pub fn open(process: &LabProcess) -> Self {
        let (id, most_descriptors) = (process.id(), Arc::<AtomicUsize>::default());
        let has_ended = Arc::<AtomicBool>::default();
        let (most, ended) = (most_descriptors.clone(), has_ended.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                most.fetch_max(open_descriptors(id), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { id, most_descriptors, has_ended }
    }

    /// Panics where the process went over a bound.
    pub fn check(&self, what: &str, bounds: ProcessBounds) {
        let (memory_mb, descriptors) =
            (peak_memory_mb(self.id), self.most_descriptors.load(Ordering::Relaxed));
        println!("{what}: {memory_mb} MB, {descriptors} descriptors");
        assert!(memory_mb <= bounds.memory_mb, "{what}: {memory_mb} MB, not within {bounds:?}");
        assert!(
            descriptors <= bounds.descriptors,
            "{what}: {descriptors} descriptors, not within {bounds:?}"
        );
    }
}

impl Drop for ProcessMeter {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

fn open_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// The most that the process has had resident, in megabytes.
fn peak_memory_mb(id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a live process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("a peak in kB") * 1_024 / 1_000_000
}
