//! The budget of repeats that all entries share, without a message for each repeat.
//!
//! Load pattern: an upstream crashes or fails part of its requests, and every entry repeats at
//! once. The bound holds over all entries in any window, so each one takes an equal share of the
//! allowance and a part of what its own requests earn. How many share is what each one sees: with
//! shares cut for a fixed number of entries, a larger fleet might spend several allowances.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// What one entry may spend.
#[derive(Debug, Clone)]
pub struct RetryShare {
    /// Repeats for each request that came, below the bound by a margin for uneven windows.
    pub ratio: f64,
    /// Repeats in a window beside those, by all entries together.
    pub allowance: f64,
    /// The window.
    pub window: Millis,
}

/// The requests and repeats of one service in the last window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryWindow {
    /// Notes a request.
    pub fn earn(&mut self, now: Moment, share: &RetryShare) {
        self.forget(now, share);
        self.requests.push_back(now);
    }

    /// Takes one repeat where `entries` share the allowance; says whether it may.
    pub fn spend(&mut self, now: Moment, share: &RetryShare, entries: usize) -> bool {
        self.forget(now, share);
        let allowance = share.allowance / entries.max(1) as f64;
        let earned = self.requests.len() as f64 * share.ratio + allowance;
        if self.repeats.len() as f64 + 1.0 > earned {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Moment, share: &RetryShare) {
        for moments in [&mut self.requests, &mut self.repeats] {
            while moments.front().is_some_and(|moment| now.since(*moment) >= share.window) {
                moments.pop_front();
            }
        }
    }
}
