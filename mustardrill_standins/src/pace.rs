//! A link of limited rate, shared fairly by whoever sends over it at the time.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A link that passes bytes at a rate.
#[derive(Debug)]
pub struct PacedLink {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl PacedLink {
    /// A link of this rate; zero is unlimited.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second as f64, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until `bytes` have passed. Senders of small pieces share the link evenly.
    pub async fn pass(&self, bytes: usize) {
        if self.bytes_per_second == 0.0 {
            return;
        }
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let until = {
            let mut free_at = self.free_at.lock().expect("nobody panics under this lock");
            *free_at = (*free_at).max(Instant::now()) + span;
            *free_at
        };
        tokio::time::sleep_until(until.into()).await;
    }
}
