//! How long an entry lets a watch of the store wait, and when it takes the store for lost.
//!
//! Load pattern: a connection to the store falls silent, or the store is away for a moment. A watch
//! tells only at its end that nothing comes any more, and a leaving upstream that it would have told
//! of is sent requests until then; after the store's return one of the usual length tells as late
//! that it is away again.

use mustardrill_types::{Millis, Moment};

/// How long the store may say nothing beside what a watch waits, while it answers otherwise.
const CALM_PATIENCE: Millis = Millis(500);

/// How long it may say nothing after a call failed: it, or the link to it, may be slow. The store's
/// return is noticed so much later at most, and what it forgot is kept from then on.
const FAILED_PATIENCE: Millis = Millis(600);

/// How long a watch of an agent's may last beside its wait.
const PATIENCE: Millis = Millis(1_000);

/// How long a watch waits after the store's return, until upstreams that it may have forgotten are
/// back or are known to have left.
const RETURN_WAIT: Millis = Millis(500);

/// The time that a watch may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchSpan {
    /// How long the store is asked to wait for a change.
    pub wait: Millis,
    /// How long it may say nothing beside that.
    pub patience: Millis,
}

/// What the last calls to the store tell.
#[derive(Debug, Default)]
pub struct WatchPace {
    failed: bool,
    back: Option<Moment>,
}

impl WatchSpan {
    /// A watch of `wait` for a reader that others tell of what is urgent.
    pub fn patient(wait: Millis) -> Self {
        Self { wait, patience: PATIENCE }
    }

    /// After so long without an answer the call has failed.
    pub fn timeout(&self) -> Millis {
        Millis(self.wait.0 + self.patience.0)
    }
}

impl WatchPace {
    /// Notes that a call was not answered.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// Notes an answer that came at `now`; says whether it is the first after a failure.
    pub fn answered(&mut self, now: Moment) -> bool {
        let is_back = std::mem::take(&mut self.failed);
        if is_back {
            self.back = Some(now);
        }
        is_back
    }

    /// Notes that the store has come back from an older copy, at `moment` at the earliest.
    pub fn returned(&mut self, moment: Moment) {
        self.back = self.back.max(Some(moment));
    }

    /// The time of the next watch where one waits for `usual` in calm times, and what the store may
    /// have forgotten is kept for `grace` after its return. The store is read once more right then.
    pub fn span(&mut self, now: Moment, usual: Millis, grace: Millis) -> WatchSpan {
        if self.failed {
            return WatchSpan { wait: Millis(0), patience: FAILED_PATIENCE };
        }
        let Some(back) = self.back else {
            return WatchSpan { wait: usual, patience: CALM_PATIENCE };
        };
        let left = (back + grace).since(now);
        if left == Millis(0) {
            self.back = None;
        }
        let wait = usual.min(RETURN_WAIT).min(left);
        WatchSpan { wait, patience: FAILED_PATIENCE }
    }
}
