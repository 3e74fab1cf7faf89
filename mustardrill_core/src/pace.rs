//! How fast a copy grows, and when it will be whole at that pace.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// How far back the pace looks.
const WINDOW: Millis = Millis(10_000);

/// The least time between two samples, so that a fast burst keeps few of them.
const SAMPLE_EVERY: Millis = Millis(250);

/// The last samples of how many chunks were held.
#[derive(Debug, Default)]
pub struct TransferPace {
    samples: VecDeque<(Moment, u32)>,
}

impl TransferPace {
    /// Notes how many chunks are held now.
    pub fn note(&mut self, now: Moment, held: u32) {
        let is_early =
            self.samples.back().is_some_and(|(taken, _)| now.since(*taken) < SAMPLE_EVERY);
        if is_early {
            return;
        }
        self.samples.push_back((now, held));
        // One sample beyond the window stays, or a slow copy would have no pace at all.
        while self.samples.len() > 2 && now.since(self.samples[1].0) >= WINDOW {
            self.samples.pop_front();
        }
    }

    /// How long until `total` chunks are held; nothing where no pace is known, or where the copy
    /// has not grown for as long as the pace looks back.
    pub fn remaining(&self, now: Moment, held: u32, total: u32) -> Option<Millis> {
        let missing = u64::from(total.saturating_sub(held));
        if total > 0 && missing == 0 {
            return Some(Millis(0));
        }
        let (newest, _) = self.samples.back()?;
        if now.since(*newest) >= WINDOW {
            return None;
        }
        let (since, before) = self.samples.front()?;
        let grown = u64::from(held.saturating_sub(*before));
        let passed = now.since(*since).0;
        (grown > 0 && passed > 0).then(|| Millis(missing * passed / grown))
    }
}
