//! Chooses how long a watch of the store may wait, and when the store is considered unavailable.
//!
//! A connection to the store may go silent, or the store may be unavailable for a moment. A watch
//! detects that only at its end, and until then requests are sent to an upstream that is shutting
//! down and that the watch would have reported. After the store is back, a watch of the usual
//! length would be as slow to detect the next outage.
//!
//! A change reaches all entries at once, so that their next watches would be sent and end together.
//! The first watch after a change has a random length instead: with watches that end one after the
//! other, the entries know together to within a fraction of a watch when the next change was made.

use mustardrill_types::{Millis, Moment};

/// Answer timeout beyond the wait of a watch while the store answers.
const STEADY_ANSWER_TIMEOUT: Millis = Millis(500);

/// Answer timeout after a failed call, as the store or the link to it may be slow. The return of
/// the store is noticed later by at most this time, and lost registrations are kept from that
/// moment on.
const RECOVERY_ANSWER_TIMEOUT: Millis = Millis(600);

/// Answer timeout beyond the wait of a watch by an agent.
const AGENT_ANSWER_TIMEOUT: Millis = Millis(1_000);

/// Longest wait of a watch after the store is back, until upstreams whose registration it may have
/// lost have registered again or are known to have shut down.
const RECOVERY_WAIT: Millis = Millis(500);

/// The timing of one watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTiming {
    /// How long the store is asked to wait for a change.
    pub wait: Millis,
    /// How long the store may take for its answer beyond that.
    pub answer_timeout: Millis,
}

/// Chooses the timing of watches from the results of the last calls to the store.
#[derive(Debug, Default)]
pub struct WatchScheduler {
    has_failed: bool,
    /// Whether the last answer contained a change.
    has_changed: bool,
    back_since: Option<Moment>,
}

impl WatchTiming {
    /// Timing for a reader that learns of urgent changes from others, such as an agent.
    pub fn for_agent(wait: Millis) -> Self {
        Self { wait, answer_timeout: AGENT_ANSWER_TIMEOUT }
    }

    /// Returns the time after which a call without an answer has failed.
    pub fn timeout(&self) -> Millis {
        Millis(self.wait.0 + self.answer_timeout.0)
    }
}

impl WatchScheduler {
    /// Records that a call got no answer.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records an answer received at `now`, and whether it contained a change; returns whether it is
    /// the first one after a failure.
    pub fn record_answer(&mut self, now: Moment, has_changed: bool) -> bool {
        self.has_changed = has_changed;
        let is_back = std::mem::take(&mut self.has_failed);
        if is_back {
            self.back_since = Some(now);
        }
        is_back
    }

    /// Records that the store was restored from an older copy, at `moment` at the earliest.
    pub fn record_restore(&mut self, moment: Moment) {
        self.back_since = self.back_since.max(Some(moment));
    }

    /// Returns the timing of the next watch. `usual` is the wait while the store is available, and
    /// `grace` the time for which lost registrations are kept after the store is back. A watch ends
    /// exactly when that time is over, so that the store is read once more at that moment. The first
    /// watch after a change waits for `share` of the usual time, from 0 to 1.
    pub fn next_watch(
        &mut self,
        now: Moment,
        usual: Millis,
        grace: Millis,
        share: f64,
    ) -> WatchTiming {
        if self.has_failed {
            return WatchTiming { wait: Millis(0), answer_timeout: RECOVERY_ANSWER_TIMEOUT };
        }
        let Some(back) = self.back_since else {
            let share = if self.has_changed { share } else { 1.0 };
            let wait = Millis((usual.0 as f64 * share) as u64);
            return WatchTiming { wait, answer_timeout: STEADY_ANSWER_TIMEOUT };
        };
        let remaining = (back + grace).since(now);
        if remaining == Millis(0) {
            self.back_since = None;
        }
        let wait = usual.min(RECOVERY_WAIT).min(remaining);
        WatchTiming { wait, answer_timeout: RECOVERY_ANSWER_TIMEOUT }
    }
}
