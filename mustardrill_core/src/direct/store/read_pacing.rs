//! Spaces the calls to a store whose answers bring a reader nothing.

use mustardrill_types::{Millis, StoreRevision};

use crate::direct::fleet::update::FleetUpdate;
use crate::direct::store::watch_timing::WatchTiming;

/// The pause after the first answer that brings nothing, which is usual: a store that was restored
/// or has dropped its history is read anew.
const FIRST_PAUSE: Millis = Millis(20);

/// The longest pause. A reader must notice within this time that the store is sound again.
const MAX_PAUSE: Millis = Millis(640);

/// The pause after changes by other writers that mean nothing here, however often they are made. A
/// change that means something is read later by at most this time.
const FOREIGN_PAUSE: Millis = Millis(50);

/// Chooses the pause before the next call. It doubles with each answer that brings nothing, and
/// ends with the first that does.
#[derive(Debug, Default)]
pub struct ReadPacing {
    idle_answers: u32,
}

impl ReadPacing {
    /// Records an answer that took `elapsed`, and returns the pause before the next call. `read` is
    /// the revision up to which the store had been read; a snapshot changes nothing, as the watch
    /// after it may fail again.
    pub fn record_answer(
        &mut self,
        elapsed: Millis,
        timing: WatchTiming,
        read: Option<StoreRevision>,
        update: &FleetUpdate,
    ) -> Millis {
        let Some(read) = read.filter(|_| !update.is_snapshot) else { return Millis(0) };
        let is_early = elapsed.0 * 2 < timing.wait.0;
        let is_news = update.may_continue && update.revision > read;
        let pause = if !is_early {
            self.idle_answers = 0;
            Millis(0)
        } else if !is_news {
            self.record_idle_answer()
        } else {
            self.idle_answers = 0;
            if update.changes.is_empty() { FOREIGN_PAUSE } else { Millis(0) }
        };
        Millis(pause.0.saturating_sub(elapsed.0))
    }

    /// Records an answer that cannot be used, after which the store is read anew.
    pub fn record_idle_answer(&mut self) -> Millis {
        let doublings = self.idle_answers.min(MAX_PAUSE.0.ilog2());
        self.idle_answers = self.idle_answers.saturating_add(1);
        Millis(FIRST_PAUSE.0 << doublings).min(MAX_PAUSE)
    }
}
