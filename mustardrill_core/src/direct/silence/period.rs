//! When an upstream that sends nothing is tried again.

use mustardrill_types::{Millis, Moment};

/// The longest pause between two requests that are sent to a silent upstream.
const MAX_PAUSE: Millis = Millis(8_000);

/// The time since an upstream was reported as silent, until it is heard again.
#[derive(Debug, Clone, Copy)]
pub(in crate::direct) struct SilencePeriod {
    /// Requests sent to find out whether it answers again.
    trials: u32,
    next_trial_at: Moment,
}

impl SilencePeriod {
    /// Starts with the first report, at `now`.
    pub(in crate::direct) fn new(now: Moment) -> Self {
        Self { trials: 0, next_trial_at: now }
    }

    /// Records that a request is sent to find out whether the upstream answers again. The pause
    /// until the next one is `first_pause`, doubled with each trial.
    pub(in crate::direct) fn record_trial(&mut self, now: Moment, first_pause: Millis) {
        self.next_trial_at = now + Millis(first_pause.0 << self.trials.min(8)).min(MAX_PAUSE);
        self.trials += 1;
    }

    /// When the next request may be sent to the upstream.
    pub(in crate::direct) fn next_trial_at(&self) -> Moment {
        self.next_trial_at
    }
}
