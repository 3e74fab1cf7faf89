//! Tracks since when the store has been available, to any of the entries.
//!
//! A store that is unavailable for longer than upstreams take to renew their registrations loses
//! the registrations of running upstreams. To a single entry that is cut off from the store this
//! looks the same. A registration that ended while the store answered any entry has really ended;
//! only one that ended while the store answered no entry may have been lost.

use mustardrill_types::{Millis, Moment};

/// A period in which the store answered at least one entry again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AvailabilitySpan {
    /// Time of the first answer.
    pub since: Moment,
    /// The last moment at which an answer shows the store to have been available.
    pub until: Moment,
}

/// A time in which calls of this entry to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreOutage {
    /// When the store answered last before.
    pub(crate) answered_before: Moment,
    /// When it answered first after.
    pub(crate) answered_again: Moment,
}

impl StoreOutage {
    /// How long it lasted at least, if the store has been available since `since`; zero if that is
    /// not the period which followed.
    pub(crate) fn length(self, since: Moment) -> Millis {
        let is_followed = since <= self.answered_again;
        if is_followed { since.since(self.answered_before) } else { Millis(0) }
    }
}

/// The latest period of availability, by the answers to this entry and the reports of its peers.
#[derive(Debug, Default)]
pub struct StoreAvailability {
    span: Option<AvailabilitySpan>,
    /// Time of the first answer to this entry. Everything that it lists was registered after any
    /// earlier outage.
    first_answer_at: Moment,
    /// The earliest moment at which the store may have been restored from an older copy.
    restored_at: Option<Moment>,
}

impl StoreAvailability {
    /// Records an answer that arrived at `now` and shows that the store was available at
    /// `confirmed`.
    ///
    /// The store loses nothing in a gap shorter than `expiry`, so such a gap does not end the
    /// period.
    pub fn record_answer(&mut self, now: Moment, confirmed: Moment, expiry: Millis) {
        if self.span.is_none() {
            self.first_answer_at = now;
        }
        // The store may have come back at any time before its first answer, so the later moment
        // counts.
        self.merge(AvailabilitySpan { since: now, until: confirmed }, expiry);
    }

    /// Records that the store was restored from an older copy, at `moment` at the earliest. It lost
    /// all registrations made since that copy, even if it answered some entries all the time.
    pub fn record_restore(&mut self, moment: Moment) {
        self.restored_at = Some(moment);
    }

    /// Merges the period reported by a peer entry. It is ignored before the first answer to this
    /// entry.
    pub fn merge_peer_span(&mut self, span: AvailabilitySpan, expiry: Millis) {
        if self.span.is_some() {
            self.merge(span, expiry);
        }
    }

    /// Returns the latest period, or `None` before the first answer.
    pub fn span(&self) -> Option<AvailabilitySpan> {
        self.span
    }

    /// Returns the moment until which a missing upstream may still register again, if upstreams
    /// need `grace` for that after the store is back. `None` if the store was neither unavailable
    /// nor restored since its first answer to this entry.
    pub fn reregistration_deadline(&self, grace: Millis) -> Option<Moment> {
        let since = self.span?.since;
        let gap_end = (since > self.first_answer_at).then_some(since);
        gap_end.max(self.restored_at).map(|moment| moment + grace)
    }

    fn merge(&mut self, other: AvailabilitySpan, expiry: Millis) {
        let Some(own) = self.span else {
            self.span = Some(other);
            return;
        };
        let (earlier, later) = if own.until <= other.until { (own, other) } else { (other, own) };
        let is_joined = later.since.min(later.until).since(earlier.until) < expiry;
        let since = if is_joined { earlier.since.min(later.since) } else { later.since };
        self.span = Some(AvailabilitySpan { since, until: later.until });
    }
}
