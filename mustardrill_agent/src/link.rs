//! The budget of one direction of the machine's link for weights; live requests don't pass here.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use mustardrill_types::{ByteRate, ByteSize};

/// Paces bytes at a rate, in the order in which they come.
#[derive(Debug)]
pub(crate) struct LinkPace {
    rate: ByteRate,
    free_at: Mutex<Instant>,
}

/// Bounds how many uploads wait for the link at once.
#[derive(Debug)]
pub(crate) struct UploadGate {
    pace: LinkPace,
    limit: u32,
    queued: AtomicU32,
}

/// A place in the queue of uploads, given back when dropped.
#[derive(Debug)]
pub(crate) struct UploadTicket<'a>(&'a UploadGate);

impl LinkPace {
    /// A pace of `rate`; zero is unlimited.
    pub(crate) fn new(rate: ByteRate) -> Self {
        Self { rate, free_at: Mutex::new(Instant::now()) }
    }

    /// Sends `size` bytes: they begin when the link is free, and this waits until they are through.
    pub(crate) async fn send(&self, size: ByteSize) {
        self.pass(size, |free_at, now, span| free_at.max(now) + span).await;
    }

    /// Takes `size` bytes that just came: they were on the link while they were sent, so this
    /// waits only for what came over the same link before them.
    pub(crate) async fn receive(&self, size: ByteSize) {
        self.pass(size, |free_at, now, span| (free_at + span).max(now)).await;
    }

    async fn pass(
        &self,
        size: ByteSize,
        through_at: impl Fn(Instant, Instant, Duration) -> Instant,
    ) {
        if self.rate.0 == 0 {
            return;
        }
        let span = Duration::from_secs_f64(size.0 as f64 / self.rate.0 as f64);
        let until = {
            let mut free_at = self.free_at.lock().expect("nobody panics under this lock");
            *free_at = through_at(*free_at, Instant::now(), span);
            *free_at
        };
        tokio::time::sleep_until(until.into()).await;
    }
}

impl UploadGate {
    /// A gate of `limit` uploads at a pace.
    pub(crate) fn new(rate: ByteRate, limit: u32) -> Self {
        Self { pace: LinkPace::new(rate), limit, queued: AtomicU32::new(0) }
    }

    /// Takes a place, or nothing where the budget is used up.
    pub(crate) fn enter(&self) -> Option<UploadTicket<'_>> {
        let before = self.queued.fetch_add(1, Ordering::AcqRel);
        let ticket = UploadTicket(self);
        // The ticket gives the place back when it is dropped here.
        (before < self.limit).then_some(ticket)
    }

    /// How many uploads wait or run.
    pub(crate) fn queued(&self) -> u32 {
        self.queued.load(Ordering::Acquire)
    }
}

impl UploadTicket<'_> {
    /// Waits until `size` bytes are through.
    pub(crate) async fn send(&self, size: ByteSize) {
        self.0.pace.send(size).await;
    }
}

impl Drop for UploadTicket<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::AcqRel);
    }
}
