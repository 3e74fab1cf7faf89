//! A rate-limited link that concurrent senders share evenly.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A link that transmits bytes at a limited rate, in the order of the calls.
#[derive(Debug)]
pub struct PacedLink {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl PacedLink {
    /// Creates a link with this rate; zero is unlimited.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second: bytes_per_second as f64, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until this number of bytes is transmitted. Senders of small pieces share the link evenly.
    pub async fn transmit(&self, bytes: usize) {
        if self.bytes_per_second == 0.0 {
            return;
        }
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let done_at = {
            let mut free_at = self.free_at.lock().expect("nobody panics under this lock");
            *free_at = (*free_at).max(Instant::now()) + span;
            *free_at
        };
        tokio::time::sleep_until(done_at.into()).await;
    }
}
