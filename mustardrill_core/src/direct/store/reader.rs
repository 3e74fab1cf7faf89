//! One reader of the store: the position up to which it has read, what its answers confirm, and the
//! timing of its watches.

use mustardrill_types::{Millis, Moment, StoreRevision};

use crate::direct::fleet::update::FleetUpdate;
use crate::direct::store::cursor::{CursorVerdict, StoreCursor};
use crate::direct::store::freshness::{FreshnessClock, confirmation_time, earliest_restore_time};
use crate::direct::store::watch_timing::{WatchScheduler, WatchTiming};

/// The read state of an entry that watches the store.
#[derive(Debug, Default)]
pub struct StoreReader {
    cursor: StoreCursor,
    watch_scheduler: WatchScheduler,
    freshness: FreshnessClock,
}

/// What an answer that was applied shows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The last moment for which it is confirmed that nothing newer existed.
    pub confirmed_at: Moment,
    /// Whether this is the first answer after a failure or after a restore from an older copy.
    pub is_recovered: bool,
}

impl StoreReader {
    /// Returns the revision after which to read changes, or `None` if a snapshot must be read.
    pub fn revision(&self) -> Option<StoreRevision> {
        self.cursor.revision()
    }

    /// Returns the timing of the next watch. `usual` is the wait while the store is available, and
    /// `grace` the time for which lost registrations are kept after the store is back. `share` is
    /// uniformly random, from 0 to 1, for each call.
    pub fn next_watch(
        &mut self,
        now: Moment,
        usual: Millis,
        grace: Millis,
        share: f64,
    ) -> WatchTiming {
        self.watch_scheduler.next_watch(now, usual, grace, share)
    }

    /// Records the answer, received at `now`, to a call that was sent at `sent` with the timing
    /// `timing`. Returns `None` if it belongs to another era of the store and must be dropped.
    pub fn record_answer(
        &mut self,
        now: Moment,
        sent: Moment,
        timing: WatchTiming,
        update: &FleetUpdate,
    ) -> Option<ReadOutcome> {
        let unchanged = self.revision() == Some(update.revision) && update.changes.is_empty();
        let CursorVerdict::Taken { returned } = self.cursor.take(update) else { return None };
        let is_recovered = self.watch_scheduler.record_answer(now, !unchanged) | returned;
        if returned {
            self.watch_scheduler
                .record_restore(earliest_restore_time(now, self.freshness.last_confirmed()));
        }
        let confirmed_at = confirmation_time(sent, now, timing.wait, unchanged);
        self.freshness.confirm(confirmed_at);
        Some(ReadOutcome { confirmed_at, is_recovered })
    }

    /// Records that a call got no answer.
    pub fn record_failure(&mut self) {
        self.watch_scheduler.record_failure();
    }

    /// Drops the position because the store no longer has the changes after it.
    pub fn reset(&mut self) {
        self.cursor.reset();
    }
}
