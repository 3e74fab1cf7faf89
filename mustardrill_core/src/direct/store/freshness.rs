//! Tracks when the configuration was last confirmed as current.
//!
//! A key that was removed from the configuration must be refused within a bounded time, also by
//! entries that the store does not answer. Such an entry does not learn of the removal, so it goes
//! by the age of its last confirmation. Moments must come from a clock that counts time in
//! suspension, so that an entry that was frozen sees an old confirmation.

use mustardrill_types::{Millis, Moment};

/// Time of the last confirmation by the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreshnessClock {
    confirmed_at: Option<Moment>,
}

impl FreshnessClock {
    /// Records a complete answer of the store to a call that was sent at `sent`.
    ///
    /// The store may have produced the answer at any time after that, so only `sent` is certain.
    pub fn confirm(&mut self, sent: Moment) {
        self.confirmed_at = Some(self.confirmed_at.map_or(sent, |confirmed| confirmed.max(sent)));
    }

    /// Returns the age of the last confirmation, or `None` if there was none.
    pub fn age(&self, now: Moment) -> Option<Millis> {
        self.confirmed_at.map(|confirmed| now.since(confirmed))
    }

    /// Returns the time of the last confirmation, or `None` if there was none.
    pub fn last_confirmed(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Whether the store was confirmed to be available at `moment` or later.
    pub fn is_confirmed_since(&self, moment: Moment) -> bool {
        self.confirmed_at.is_some_and(|confirmed| confirmed >= moment)
    }

    /// Whether the last confirmation is less than `limit` old.
    pub fn is_fresh(&self, now: Moment, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Returns the last moment for which the answer to a watch confirms that nothing newer existed, if
/// the watch was sent at `sent` for `wait` and answered at `answered`.
///
/// The store answers a watch on a change, or else once `wait` has passed. An unchanged answer after
/// `wait` means that it looked at the end of that time. Any other answer may have been produced
/// right after `sent`. When the store becomes unavailable, counting from the end of a watch lets
/// entries serve known customers for longer, by the length of that watch.
pub fn confirmation_time(sent: Moment, answered: Moment, wait: Millis, unchanged: bool) -> Moment {
    if unchanged && answered.since(sent) >= wait { sent + wait } else { sent }
}

/// Longest time after a restore of the store from an older copy until an entry that keeps reading
/// gets an answer of the restored store.
const RESTORE_DETECTION_LIMIT: Millis = Millis(800);

/// Returns the earliest moment at which the store can have been restored from an older copy, if the
/// restore was detected at `now` and the state before it was last confirmed at `last_confirmed`.
pub fn earliest_restore_time(now: Moment, last_confirmed: Option<Moment>) -> Moment {
    last_confirmed.unwrap_or(now).max(now - RESTORE_DETECTION_LIMIT)
}
