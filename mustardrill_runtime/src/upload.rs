//! Rate limit for the chunks that a machine uploads to its peers.
//!
//! Engines' answers share the link with chunks, and an event that waits behind chunks is late. So
//! chunks get only a part of the link's bandwidth and are uploaded one after the other.

use std::sync::Mutex;

use mustardrill_types::{Millis, Moment};

/// Schedules uploads at the bandwidth that chunks may use of a link.
#[derive(Debug)]
pub struct UploadQueue {
    bytes_per_ms: f64,
    /// When all accepted uploads will have been sent, in milliseconds of the process's clock.
    free_at: Mutex<f64>,
}

impl UploadQueue {
    /// Creates a queue for a link on which chunks may use `mbps` Mbit/s.
    pub fn new(mbps: f64) -> Self {
        const BYTES_PER_MS_PER_MBPS: f64 = 125.0;
        Self { bytes_per_ms: mbps * BYTES_PER_MS_PER_MBPS, free_at: Mutex::new(0.0) }
    }

    /// Enqueues an upload of `bytes` bytes and returns the delay until it may start. Returns
    /// `None` without enqueuing it if the delay would exceed `max_wait`.
    pub fn accept(&self, now: Moment, bytes: usize, max_wait: Millis) -> Option<Millis> {
        let mut free_at = self.free_at.lock().expect("no lock holder panics");
        let starts_at = free_at.max(now.0 as f64);
        let wait = starts_at - now.0 as f64;
        if wait > max_wait.0 as f64 {
            return None;
        }
        *free_at = starts_at + bytes as f64 / self.bytes_per_ms;
        Some(Millis(wait as u64))
    }

    /// Returns how many uploads of `bytes` bytes each would take as long as the pending ones.
    pub fn waiting(&self, now: Moment, bytes: usize) -> u32 {
        let free_at = *self.free_at.lock().expect("no lock holder panics");
        let remaining_ms = (free_at - now.0 as f64).max(0.0);
        (remaining_ms * self.bytes_per_ms / bytes.max(1) as f64) as u32
    }
}
