//! The retry budget that all entries share, without a message per retry.
//!
//! When an upstream crashes or fails part of its requests, every entry retries at once. The bound
//! holds over all entries in any window, so each entry takes an equal share of the allowance and a
//! part of what its own requests earn. The number of entries is the one that each entry observes:
//! with shares computed for a fixed number, a larger fleet might spend several allowances.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// What one entry may spend on retries.
#[derive(Debug, Clone)]
pub struct RetryShare {
    /// Retries earned by each request. Set below the promised bound by a margin for uneven windows.
    pub ratio: f64,
    /// Retries per window in addition to the earned ones, over all entries together.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

/// The requests and retries of one service in the last window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryWindow {
    /// Records a request, which earns a part of a retry.
    pub fn record_request(&mut self, now: Moment, share: &RetryShare) {
        self.drop_expired(now, share);
        self.requests.push_back(now);
    }

    /// Spends one retry if the budget permits; returns whether it did. The allowance is divided
    /// among `entries`.
    pub fn try_spend(&mut self, now: Moment, share: &RetryShare, entries: usize) -> bool {
        self.drop_expired(now, share);
        let allowance = share.allowance / entries.max(1) as f64;
        let earned = self.requests.len() as f64 * share.ratio + allowance;
        if self.retries.len() as f64 + 1.0 > earned {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Moment, share: &RetryShare) {
        for moments in [&mut self.requests, &mut self.retries] {
            while moments.front().is_some_and(|moment| now.since(*moment) >= share.window) {
                moments.pop_front();
            }
        }
    }
}
