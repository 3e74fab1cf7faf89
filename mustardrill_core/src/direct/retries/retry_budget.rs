//! The retry budget that all entries share, without a message per retry.
//!
//! When an upstream crashes or fails part of its requests, every entry retries at once. The bound
//! holds over all entries in any window, so each entry takes an equal share of the allowance and a
//! part of what its own requests earn. The number of entries is the one that each entry observes:
//! with shares computed for a fixed number, a larger fleet might spend several allowances.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// The share of the retry ratio that one entry uses, because the windows of the entries don't start
/// together.
const RATIO_SHARE: f64 = 0.6;

/// The share of the retry allowance that all entries spend together. A restarted entry has
/// forgotten what it spent; the reserve allows a fifth of all entries to restart within a window.
const ALLOWANCE_SHARE: f64 = 0.8;

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

/// The promised bound on the retries of a service, over all entries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBound {
    /// Retries per request in a window.
    pub ratio: f64,
    /// Retries per window in addition to those.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

impl RetryShare {
    /// What an entry may spend so that all entries together stay within the bound.
    pub fn within(bound: &RetryBound) -> Self {
        Self {
            ratio: bound.ratio * RATIO_SHARE,
            allowance: bound.allowance * ALLOWANCE_SHARE,
            window: bound.window,
        }
    }
}

/// A decision on one retry, with the figures that it was made from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is allowed; it is then counted as spent.
    pub is_granted: bool,
    /// Retries that were spent within the window before this one.
    pub spent: usize,
    /// Retries that this entry's requests within the window have earned.
    pub earned: f64,
    /// This entry's part of the allowance.
    pub allowance: f64,
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

    /// Spends one retry if the budget permits. The allowance is divided among `entries`.
    pub fn try_spend(&mut self, now: Moment, share: &RetryShare, entries: usize) -> RetryDecision {
        self.drop_expired(now, share);
        let allowance = share.allowance / entries.max(1) as f64;
        let earned = self.requests.len() as f64 * share.ratio;
        let spent = self.retries.len();
        let is_granted = spent as f64 + 1.0 <= earned + allowance;
        if is_granted {
            self.retries.push_back(now);
        }
        RetryDecision { is_granted, spent, earned, allowance }
    }

    fn drop_expired(&mut self, now: Moment, share: &RetryShare) {
        for moments in [&mut self.requests, &mut self.retries] {
            while moments.front().is_some_and(|moment| now.since(*moment) >= share.window) {
                moments.pop_front();
            }
        }
    }
}
