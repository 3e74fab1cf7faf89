//! How often something happened lately.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

/// The counted span: long enough for a steady rate at an entry with few requests, short enough to
/// follow a burst of some seconds.
const SPAN: Millis = Millis(1_000);

/// The resolution of the counted span.
const STEP: Millis = Millis(50);

/// Events of the last `SPAN`, counted by `STEP`.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    counts: VecDeque<(Moment, u32)>,
}

impl RateWindow {
    /// Records an event at `now`.
    pub(crate) fn record(&mut self, now: Moment) {
        self.counts.retain(|(at, _)| now.since(*at) < SPAN);
        match self.counts.back_mut() {
            Some((at, count)) if now.since(*at) < STEP => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    /// The events per second over the last `SPAN`.
    pub(crate) fn per_second(&self, now: Moment) -> f64 {
        let recent = self.counts.iter().filter(|(at, _)| now.since(*at) < SPAN);
        let count: u32 = recent.map(|(_, count)| count).sum();
        f64::from(count) * 1_000.0 / SPAN.0 as f64
    }
}
