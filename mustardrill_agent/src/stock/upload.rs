//! How far the machine's link is taken by uploads to other agents.

use std::sync::Mutex;

use mustardrill_types::{Millis, Moment};

/// The time of uploads that may wait for the link. One chunk more is then accepted: enough to keep
/// the link busy, and little enough that an event of an answer, which goes over the same link, is
/// not held up behind them. With 120 ms of uploads waiting, two of five streams were late.
const LONGEST_QUEUE: Millis = Millis(45);

/// Uploads that the link has not carried yet.
#[derive(Debug)]
pub(crate) struct UploadQueue {
    bytes_per_ms: f64,
    /// When the link will have carried what was accepted.
    free_at: Mutex<f64>,
}

impl UploadQueue {
    /// The queue before a link that carries `mbps` Mbit/s.
    pub(crate) fn new(mbps: f64) -> Self {
        const BYTES_PER_MS: f64 = 125.0;
        Self { bytes_per_ms: mbps * BYTES_PER_MS, free_at: Mutex::new(0.0) }
    }

    /// Takes an upload of so many bytes; says whether it may begin.
    pub(crate) fn accept(&self, now: Moment, bytes: usize) -> bool {
        let mut free_at = self.free_at.lock().expect("no holder panics");
        let begins = free_at.max(now.0 as f64);
        if begins - now.0 as f64 > LONGEST_QUEUE.0 as f64 {
            return false;
        }
        *free_at = begins + bytes as f64 / self.bytes_per_ms;
        true
    }

    /// Uploads of so many bytes that the link has yet to carry.
    pub(crate) fn waiting(&self, now: Moment, bytes: usize) -> u32 {
        let free_at = *self.free_at.lock().expect("no holder panics");
        let left = (free_at - now.0 as f64).max(0.0);
        (left * self.bytes_per_ms / bytes.max(1) as f64) as u32
    }
}
