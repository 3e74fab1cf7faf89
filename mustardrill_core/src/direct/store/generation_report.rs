//! What peer entries report about the newest configuration to an entry that starts.
//!
//! If the store was restored from an older copy and an entry starts before the operator has written
//! the configuration again, the newest configuration it can read is an older one, with keys that
//! were removed since. Its peers know the newer generation.

use mustardrill_types::{Generation, Millis, Moment};

/// How long a starting entry waits for a report. Peers are asked again within this time, and a peer
/// that is registered may have stopped.
const REPORT_TIMEOUT: Millis = Millis(200);

/// How long peers are asked while none of them answers and the entry serves requests: as long as a
/// stopped entry may stay registered. Silence proves nothing, since the link or the peers may be
/// stalled.
const INQUIRY_LIMIT: Millis = Millis(10_000);

/// The newest generation that peers have reported, or the wait for a report.
#[derive(Debug, Default)]
pub(crate) struct GenerationReport {
    newest: Generation,
    wait_until: Option<Moment>,
    ask_until: Moment,
    /// Reports are ignored after this moment. From then on the age of the entry's own freshness
    /// check decides, which the store renews or lets run out: a newer configuration that a cut-off
    /// entry cannot read would make it refuse requests sooner than that.
    accept_until: Moment,
}

impl GenerationReport {
    /// Starts to wait for a report, at the entry's first read of the store.
    pub(crate) fn start_wait(&mut self, now: Moment) {
        self.wait_until = Some(now + REPORT_TIMEOUT);
        self.ask_until = now + INQUIRY_LIMIT;
        self.accept_until = now + INQUIRY_LIMIT;
    }

    /// Records the generation that a peer entry has in force, which ends the wait.
    pub(crate) fn record_report(&mut self, now: Moment, generation: Generation) {
        if now >= self.accept_until {
            return;
        }
        self.newest = self.newest.max(generation);
        self.wait_until = None;
        self.ask_until = Moment(0);
    }

    /// Ends the wait if it has timed out; returns whether this call ended it.
    pub(crate) fn end_wait(&mut self, now: Moment) -> bool {
        self.wait_until.take_if(|until| *until <= now).is_some()
    }

    /// Returns when the wait times out, if a report is awaited.
    pub(crate) fn wait_deadline(&self) -> Option<Moment> {
        self.wait_until
    }

    /// Whether requests must wait for a report.
    pub(crate) fn is_awaited(&self, now: Moment) -> bool {
        self.wait_until.is_some_and(|until| now < until)
    }

    /// Whether the peers are to be asked for a report.
    pub(crate) fn should_ask(&self, now: Moment) -> bool {
        now < self.ask_until
    }

    /// Whether a configuration may be used: no report is awaited and none named a newer generation.
    pub(crate) fn allows(&self, now: Moment, generation: Generation) -> bool {
        generation >= self.newest && !self.is_awaited(now)
    }
}
