//! Limits the rate of weights in each direction of the machine's link; requests are not limited.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use mustardrill_types::{ByteRate, ByteSize};

/// Limits bytes to a rate, in the order of the calls.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: ByteRate,
    /// When the bytes accepted so far are through.
    free_at: Mutex<Instant>,
}

/// Limits the number of uploads that wait for the link or use it.
#[derive(Debug)]
pub(crate) struct UploadLimiter {
    rate_limiter: RateLimiter,
    limit: u32,
    queued: AtomicU32,
}

/// A slot of an upload, released when dropped.
#[derive(Debug)]
pub(crate) struct UploadSlot<'a>(&'a UploadLimiter);

impl RateLimiter {
    /// A rate of zero is unlimited.
    pub(crate) fn new(rate: ByteRate) -> Self {
        Self { rate, free_at: Mutex::new(Instant::now()) }
    }

    /// Accounts for `size` bytes to be sent: waits until the link is free and the bytes are
    /// through.
    pub(crate) async fn send(&self, size: ByteSize) {
        self.wait_through(size, |free_at, now, span| free_at.max(now) + span).await;
    }

    /// Accounts for `size` bytes just received. They were on the link while they were sent, so this
    /// waits only for bytes that were received before them.
    pub(crate) async fn receive(&self, size: ByteSize) {
        self.wait_through(size, |free_at, now, span| (free_at + span).max(now)).await;
    }

    async fn wait_through(
        &self,
        size: ByteSize,
        through_at: impl Fn(Instant, Instant, Duration) -> Instant,
    ) {
        if self.rate.0 == 0 {
            return;
        }
        let span = Duration::from_secs_f64(size.0 as f64 / self.rate.0 as f64);
        let until = {
            let mut free_at = self.free_at.lock().expect("no lock holder panics");
            *free_at = through_at(*free_at, Instant::now(), span);
            *free_at
        };
        tokio::time::sleep_until(until.into()).await;
    }
}

impl UploadLimiter {
    /// Allows `limit` uploads at once, all of them together at `rate`.
    pub(crate) fn new(rate: ByteRate, limit: u32) -> Self {
        Self { rate_limiter: RateLimiter::new(rate), limit, queued: AtomicU32::new(0) }
    }

    /// Takes a slot; `None` where all are taken.
    pub(crate) fn try_acquire(&self) -> Option<UploadSlot<'_>> {
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        let slot = UploadSlot(self);
        // A slot beyond the limit is dropped here and so released.
        (before < self.limit).then_some(slot)
    }

    /// The number of slots taken.
    pub(crate) fn queued(&self) -> u32 {
        self.queued.load(Ordering::Acquire)
    }
}

impl UploadSlot<'_> {
    /// Waits until `size` bytes are through.
    pub(crate) async fn send(&self, size: ByteSize) {
        self.0.rate_limiter.send(size).await;
    }
}

impl Drop for UploadSlot<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::AcqRel);
    }
}
