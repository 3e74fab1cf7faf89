//! One reader of the store: the position up to which it has read, what its answers confirm, and the
//! timing of its watches.

use mustardrill_types::{Millis, Moment, StoreRevision};

use crate::direct::fleet::page::FleetPage;
use crate::direct::store::cursor::{CursorVerdict, StoreCursor};
use crate::direct::store::freshness::{ProofClock, proved_at, returned_at};
use crate::direct::store::watch_pace::{WatchPace, WatchSpan};

/// The read state of an entry that watches the store.
#[derive(Debug, Default)]
pub struct StoreReader {
    cursor: StoreCursor,
    pace: WatchPace,
    proof: ProofClock,
}

/// What an answer that was applied shows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The last moment for which it is confirmed that nothing newer existed.
    pub proved: Moment,
    /// Whether this is the first answer after a failure or after a restore from an older copy.
    pub regained: bool,
}

impl StoreReader {
    /// Returns the revision after which to read changes, or `None` if a snapshot must be read.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.cursor.revision()
    }

    /// Returns the timing of the next watch. `usual` is the wait while the store is available, and
    /// `grace` the time for which lost registrations are kept after the store is back.
    pub fn span(&mut self, now: Moment, usual: Millis, grace: Millis) -> WatchSpan {
        self.pace.span(now, usual, grace)
    }

    /// Records the answer, received at `now`, to a call that was sent at `sent` with the timing
    /// `span`. Returns `None` if it belongs to another era of the store and must be dropped.
    pub fn answered(
        &mut self,
        now: Moment,
        sent: Moment,
        span: WatchSpan,
        update: &FleetPage,
    ) -> Option<ReadOutcome> {
        let unchanged = self.revision() == Some(update.at) && update.changes.is_empty();
        let CursorVerdict::Taken { returned } = self.cursor.take(update) else { return None };
        let regained = self.pace.answered(now) | returned;
        if returned {
            self.pace.returned(returned_at(now, self.proof.last()));
        }
        let proved = proved_at(sent, now, span.wait, unchanged);
        self.proof.prove(proved);
        Some(ReadOutcome { proved, regained })
    }

    /// Records that a call got no answer.
    pub fn failed(&mut self) {
        self.pace.failed();
    }

    /// Drops the position because the store no longer has the changes after it.
    pub fn reset(&mut self) {
        self.cursor.reset();
    }
}
