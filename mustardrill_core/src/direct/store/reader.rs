//! One reader of the store: the position up to which it has read, what its answers confirm, and the
//! timing of its watches.

use mustardrill_types::{Millis, Moment, StoreEra, StoreRevision};

use crate::direct::fleet::update::FleetUpdate;
use crate::direct::store::cursor::{CursorVerdict, StoreCursor};
use crate::direct::store::freshness::{FreshnessClock, confirmation_time, earliest_restore_time};
use crate::direct::store::watch_timing::{WatchScheduler, WatchTiming};

/// The age of the last proof from which the store is asked for its revision: while it changes all
/// the time, no watch shows that it was read to its end.
const PROOF_INTERVAL: Millis = Millis(750);

/// The same just after the configuration of a restored store counts as complete, as earlier proofs
/// do not confirm it.
const RESTORED_PROOF_INTERVAL: Millis = Millis(100);

/// The read state of an entry that watches the store.
#[derive(Debug, Default)]
pub struct StoreReader {
    cursor: StoreCursor,
    watch_scheduler: WatchScheduler,
    freshness: FreshnessClock,
    /// The last moment at which the store held nothing beyond the position.
    proved: FreshnessClock,
    /// When the store's last restore from an older copy was detected.
    restored_at: Option<Moment>,
    goal: Option<ReadGoal>,
}

/// A revision that the store had reached and that this reader has not read up to yet.
#[derive(Debug, Clone, Copy)]
struct ReadGoal {
    revision: StoreRevision,
    /// When the store was asked for it.
    asked_at: Moment,
}

/// What an answer that was applied shows about the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The last moment for which it is confirmed that the store was available, and, unless the
    /// update may continue, that nothing newer existed.
    pub confirmed_at: Moment,
    /// The moment for which an update that may continue proves the same: everything that the store
    /// held then has been read.
    pub read_through: Option<Moment>,
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
        let CursorVerdict::Taken { returned } = self.cursor.take(update) else {
            self.goal = None;
            return None;
        };
        let is_recovered = self.watch_scheduler.record_answer(now, !unchanged) | returned;
        if returned {
            self.restored_at = Some(now);
            self.watch_scheduler
                .record_restore(earliest_restore_time(now, self.freshness.last_confirmed()));
        }
        let confirmed_at = confirmation_time(sent, now, timing.wait, unchanged);
        self.freshness.confirm(confirmed_at);
        let read_through = self.take_goal(update.revision);
        if !update.may_continue {
            self.goal = None;
        }
        let proved_at = if update.may_continue { read_through } else { Some(confirmed_at) };
        proved_at.inspect(|moment| self.proved.confirm(*moment));
        Some(ReadOutcome { confirmed_at, read_through, is_recovered })
    }

    /// Whether to ask the store for its revision, as no answer has shown its end for a while. A
    /// restored store may lack a configuration for `grace`.
    pub fn is_proof_due(&self, now: Moment, grace: Millis) -> bool {
        self.goal.is_none()
            && self.revision().is_some()
            && !self.proved.is_fresh(now, self.proof_interval(now, grace))
    }

    fn proof_interval(&self, now: Moment, grace: Millis) -> Millis {
        let complete_at = self.restored_at.map(|restored_at| restored_at + grace);
        let is_just_complete =
            complete_at.is_some_and(|at| now >= at && now.since(at) < PROOF_INTERVAL);
        if is_just_complete { RESTORED_PROOF_INTERVAL } else { PROOF_INTERVAL }
    }

    /// Records the store's revision in answer to a call that was sent at `asked_at`. Returns that
    /// moment if everything up to the revision has been read.
    pub fn record_revision(
        &mut self,
        asked_at: Moment,
        era: StoreEra,
        revision: StoreRevision,
    ) -> Option<Moment> {
        if !self.cursor.is_of(era) {
            return None;
        }
        self.goal = Some(ReadGoal { revision, asked_at });
        let proved_at = self.take_goal(self.revision()?);
        proved_at.inspect(|moment| self.proved.confirm(*moment))
    }

    /// Whether the store is known to hold changes that have not been read.
    pub fn is_behind(&self) -> bool {
        self.goal.is_some()
    }

    /// Ends the goal if `read` reaches it, and returns when the store was asked for it.
    fn take_goal(&mut self, read: StoreRevision) -> Option<Moment> {
        self.goal.take_if(|goal| goal.revision <= read).map(|goal| goal.asked_at)
    }

    /// Records that a call got no answer.
    pub fn record_failure(&mut self) {
        self.watch_scheduler.record_failure();
    }

    /// Drops the position because the store no longer has the changes after it.
    pub fn reset(&mut self) {
        self.cursor.reset();
        self.goal = None;
    }
}
