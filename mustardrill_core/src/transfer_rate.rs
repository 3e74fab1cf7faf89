//! Estimates the remaining time of a transfer from the rate at which chunks arrived lately.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// Time over which the rate is measured.
const RATE_WINDOW: Millis = Millis(10_000);

/// Minimum time between two samples, which limits how many a burst of chunks leaves.
const SAMPLE_INTERVAL: Millis = Millis(250);

/// Recent samples of the number of chunks held, from which the rate of a transfer is computed.
#[derive(Debug, Default)]
pub struct TransferRate {
    samples: VecDeque<(Moment, u32)>,
}

impl TransferRate {
    /// Adds a sample of the chunks held; samples within 250 ms of the last one are dropped.
    pub fn add_sample(&mut self, now: Moment, held: u32) {
        let is_too_soon = self
            .samples
            .back()
            .is_some_and(|(sampled_at, _)| now.since(*sampled_at) < SAMPLE_INTERVAL);
        if is_too_soon {
            return;
        }
        self.samples.push_back((now, held));
        // One sample older than the window is kept, or a slow transfer would have no rate at all.
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= RATE_WINDOW {
            self.samples.pop_front();
        }
    }

    /// Estimates the time until `total` chunks are held. Returns nothing where no chunk arrived
    /// since the oldest sample, or where the last sample is 10 s old, as the transfer has then
    /// stalled.
    pub fn remaining(&self, now: Moment, held: u32, total: u32) -> Option<Millis> {
        let missing = u64::from(total.saturating_sub(held));
        if total > 0 && missing == 0 {
            return Some(Millis(0));
        }
        let (newest, _) = self.samples.back()?;
        if now.since(*newest) >= RATE_WINDOW {
            return None;
        }
        let (oldest, held_before) = self.samples.front()?;
        let received = u64::from(held.saturating_sub(*held_before));
        let elapsed = now.since(*oldest).0;
        (received > 0 && elapsed > 0).then(|| Millis(missing * elapsed / received))
    }
}
