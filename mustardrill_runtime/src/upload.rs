//! How far a machine's link is taken by chunks that are handed on.
//!
//! Answers of engines go over the same links as chunks, and an event that waits behind them is
//! late. So only so much of a link is given to chunks, one after the other.

use std::sync::Mutex;

use mustardrill_types::{Millis, Moment};

/// Uploads that a link has not carried yet.
#[derive(Debug)]
pub struct UploadQueue {
    bytes_per_ms: f64,
    /// When the link will have carried what was accepted.
    free_at: Mutex<f64>,
}

impl UploadQueue {
    /// The queue before a link that carries `mbps` Mbit/s of chunks.
    pub fn new(mbps: f64) -> Self {
        const BYTES_PER_MS: f64 = 125.0;
        Self { bytes_per_ms: mbps * BYTES_PER_MS, free_at: Mutex::new(0.0) }
    }

    /// Takes an upload of so many bytes; how long until it may begin, or nothing where that is
    /// longer than `longest`, and it is not taken.
    pub fn accept(&self, now: Moment, bytes: usize, longest: Millis) -> Option<Millis> {
        let mut free_at = self.free_at.lock().expect("no holder panics");
        let begins = free_at.max(now.0 as f64);
        let wait = begins - now.0 as f64;
        if wait > longest.0 as f64 {
            return None;
        }
        *free_at = begins + bytes as f64 / self.bytes_per_ms;
        Some(Millis(wait as u64))
    }

    /// Uploads of so many bytes that the link has yet to carry.
    pub fn waiting(&self, now: Moment, bytes: usize) -> u32 {
        let free_at = *self.free_at.lock().expect("no holder panics");
        let left = (free_at - now.0 as f64).max(0.0);
        (left * self.bytes_per_ms / bytes.max(1) as f64) as u32
    }
}
