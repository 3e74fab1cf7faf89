//! One reader of the store: up to where it has read, what that proves, and when it reads again.

use mustardrill_types::{Millis, Moment, StoreRevision};

use crate::direct::fleet::page::FleetPage;
use crate::direct::store::cursor::{CursorVerdict, StoreCursor};
use crate::direct::store::freshness::{ProofClock, proved_at, returned_at};
use crate::direct::store::watch_pace::{WatchPace, WatchSpan};

/// What an entry that follows the store knows of its own reading.
#[derive(Debug, Default)]
pub struct StoreReader {
    cursor: StoreCursor,
    pace: WatchPace,
    proof: ProofClock,
}

/// What an answer that was taken over tells of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The moment at which nothing newer was there.
    pub proved: Moment,
    /// Whether it is the first after a failure, or since the store came back from an older copy.
    pub regained: bool,
}

impl StoreReader {
    /// From which state on changes are to be read; nothing where all is.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.cursor.revision()
    }

    /// The time of the next watch where one waits for `usual` in calm times, and what the store may
    /// have forgotten is kept for `grace` after its return.
    pub fn span(&mut self, now: Moment, usual: Millis, grace: Millis) -> WatchSpan {
        self.pace.span(now, usual, grace)
    }

    /// Takes the answer to a call that was sent at `sent` for `span` and came at `now`; nothing where
    /// it belongs to another history and is void.
    pub fn answered(
        &mut self,
        now: Moment,
        sent: Moment,
        span: WatchSpan,
        page: &FleetPage,
    ) -> Option<ReadOutcome> {
        let unchanged = self.revision() == Some(page.at) && page.changes.is_empty();
        let CursorVerdict::Taken { returned } = self.cursor.take(page) else { return None };
        let regained = self.pace.answered(now) | returned;
        if returned {
            self.pace.returned(returned_at(now, self.proof.last()));
        }
        let proved = proved_at(sent, now, span.wait, unchanged);
        self.proof.prove(proved);
        Some(ReadOutcome { proved, regained })
    }

    /// Notes that a call was not answered.
    pub fn failed(&mut self) {
        self.pace.failed();
    }

    /// Notes that the changes since are no longer to be had.
    pub fn reset(&mut self) {
        self.cursor.reset();
    }
}
