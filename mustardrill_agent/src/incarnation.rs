//! Numbers the incarnations of the local upstream by the crashes that requests see.

use mustardrill_types::{Millis, Moment, StartStamp};

/// Requests that break off within this time see the same crash: a new incarnation takes longer to
/// be ready.
const SAME_CRASH_WINDOW: Millis = Millis(1_000);

/// Counts the crashes of the upstream; each crash has the number of the incarnation that it ended.
#[derive(Debug)]
pub(crate) struct IncarnationCounter {
    /// The incarnation that crashed last, or the initial number where none has crashed.
    incarnation: StartStamp,
    last_crash: Option<Moment>,
}

impl IncarnationCounter {
    /// Counts from the agent's own start, in Unix milliseconds, so that an agent that is restarted
    /// does not reuse a number.
    pub(crate) fn new(started_ms: u64) -> Self {
        Self { incarnation: StartStamp(started_ms), last_crash: None }
    }

    /// Records that a request saw the upstream crash; returns the incarnation that crashed.
    pub(crate) fn record_crash(&mut self, now: Moment) -> StartStamp {
        if self.last_crash.is_none_or(|crash| now.since(crash) >= SAME_CRASH_WINDOW) {
            self.incarnation = StartStamp(self.incarnation.0 + 1);
            self.last_crash = Some(now);
        }
        self.incarnation
    }
}
