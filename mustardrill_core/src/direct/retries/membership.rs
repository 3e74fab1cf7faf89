//! Whether an entry may spend its part of the retry allowance.
//!
//! The parts sum to no more than the allowance if an entry spends only while it counts all others
//! that spend within the same window, and if no earlier process has spent the same part within it.

use mustardrill_types::{Millis, Moment};

/// Time from an entry's first contact until it and the others count each other: registrations that
/// the store has lost return within two seconds, others' watches report a new one at once.
const JOIN_SPAN: Millis = Millis(3_000);

/// After a window divided by this without contact an entry joins anew. The others count it for a
/// window after its last sign of life.
const ABSENCE_DIVISOR: u64 = 2;

/// An entry's contact with the store and with the other entries.
#[derive(Debug, Default)]
pub(crate) struct AllowanceMembership {
    /// When the present contact began.
    since: Option<Moment>,
    /// When the store answered for the first time after `JOIN_SPAN` of contact.
    joined_at: Option<Moment>,
    contacted_at: Moment,
}

impl AllowanceMembership {
    /// Records an answer of the store.
    pub(crate) fn record_answer(&mut self, now: Moment, window: Millis) {
        let since = match self.since {
            Some(since) if self.is_continuous(now, window) => since,
            _ => {
                self.joined_at = None;
                now
            }
        };
        self.since = Some(since);
        self.contacted_at = now;
        if now.since(since) >= JOIN_SPAN {
            self.joined_at.get_or_insert(now);
        }
    }

    /// Records that the entry is in contact with the store or with most entries.
    pub(crate) fn record_contact(&mut self, now: Moment, window: Millis) {
        if self.is_continuous(now, window) {
            self.contacted_at = now;
        }
    }

    /// Whether the entry has been a member for a whole window.
    pub(crate) fn is_member(&self, now: Moment, window: Millis) -> bool {
        self.joined_at.is_some_and(|joined_at| now.since(joined_at) >= window)
    }

    /// Whether the entry has been in contact for so long that the others count it.
    pub(crate) fn is_joined(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) >= JOIN_SPAN)
    }

    /// Whether a contact at `now` continues the present one.
    fn is_continuous(&self, now: Moment, window: Millis) -> bool {
        now.since(self.contacted_at) < Millis(window.0 / ABSENCE_DIVISOR)
    }

    /// How long the present contact has lasted; `None` before the first answer of the store.
    pub(crate) fn age(&self, now: Moment) -> Option<Millis> {
        self.since.map(|since| now.since(since))
    }
}
