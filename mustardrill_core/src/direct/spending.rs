//! The budget of repeats that all entries share, without a message for each repeat.
//!
//! Load pattern: an upstream crashes or fails part of its requests, and every entry repeats at
//! once. The bound holds over all entries in any window, so each one takes a fixed share of the
//! allowance and a part of what its own requests earn; that needs no word from the others.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// What one entry may spend.
#[derive(Debug, Clone)]
pub struct RetryShare {
    /// Repeats for each request that came, below the bound by a margin for uneven windows.
    pub ratio: f64,
    /// Repeats in a window beside those.
    pub allowance: u32,
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

    /// Takes one repeat; says whether it may.
    pub fn spend(&mut self, now: Moment, share: &RetryShare) -> bool {
        self.forget(now, share);
        let earned = self.requests.len() as f64 * share.ratio + f64::from(share.allowance);
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
