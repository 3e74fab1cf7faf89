//! Counts the starts of the upstream beside the agent, as far as its ends are seen.

use mustardrill_types::{Millis, Moment, StartStamp};

/// Requests that break off within this see the same end; a new start takes longer to be ready.
const SAME_END: Millis = Millis(1_000);

/// Which start of the upstream runs.
#[derive(Debug)]
pub(crate) struct StartCounter {
    start: StartStamp,
    ended: Option<Moment>,
}

impl StartCounter {
    /// Counts from the agent's own start, in Unix milliseconds, as an agent that starts again must
    /// not name two starts alike.
    pub(crate) fn new(started_ms: u64) -> Self {
        Self { start: StartStamp(started_ms), ended: None }
    }

    /// Notes that a request saw the upstream end; names the start that ended.
    pub(crate) fn ended(&mut self, now: Moment) -> StartStamp {
        if self.ended.is_none_or(|ended| now.since(ended) >= SAME_END) {
            self.start = StartStamp(self.start.0 + 1);
            self.ended = Some(now);
        }
        self.start
    }
}
