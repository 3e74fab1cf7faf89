//! Since when the store has answered the entries, all of them taken together.
//!
//! Load pattern: a store that is away for longer than upstreams renew their registrations forgets
//! upstreams that live, and for the entry that was cut off alone everything looks the same. What
//! ended while the store answered anybody has ended for good; only what ended in a time in which it
//! answered nobody may have been forgotten.

use mustardrill_types::{Millis, Moment};

/// A time in which the store answered somebody again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSpan {
    /// The first answer.
    pub since: Moment,
    /// The last moment for which an answer is proved.
    pub until: Moment,
}

/// The latest such time, by this entry's answers and by what the others told of theirs.
#[derive(Debug, Default)]
pub struct StoreContact {
    span: Option<AnswerSpan>,
    /// This entry's first answer: what it lists was registered after everything before.
    first: Moment,
    /// Since when the store may have been back from an older copy.
    returned: Option<Moment>,
}

impl StoreContact {
    /// Notes an answer that came at `now` and proves that the store was there at `proved`.
    ///
    /// A gap shorter than `forgetting` makes the store forget nothing, so it ends no span.
    pub fn answered(&mut self, now: Moment, proved: Moment, forgetting: Millis) {
        if self.span.is_none() {
            self.first = now;
        }
        // The store may have come back any time before its first answer, so the later moment counts.
        self.merge(AnswerSpan { since: now, until: proved }, forgetting);
    }

    /// Notes that the store has come back from an older copy, at `moment` at the earliest: it has
    /// forgotten what was registered since that was made, whoever had answers meanwhile.
    pub fn returned(&mut self, moment: Moment) {
        self.returned = Some(moment);
    }

    /// Takes another entry's span; by its answers, this entry has one of its own.
    pub fn heard(&mut self, span: AnswerSpan, forgetting: Millis) {
        if self.span.is_some() {
            self.merge(span, forgetting);
        }
    }

    /// The latest span.
    pub fn span(&self) -> Option<AnswerSpan> {
        self.span
    }

    /// Until when what is missing may be back, where upstreams need `grace` to register again after
    /// the store's return; nothing where it was not away since this entry's first answer.
    pub fn return_limit(&self, grace: Millis) -> Option<Moment> {
        let since = self.span?.since;
        let gap_end = (since > self.first).then_some(since);
        gap_end.max(self.returned).map(|moment| moment + grace)
    }

    fn merge(&mut self, other: AnswerSpan, forgetting: Millis) {
        let Some(own) = self.span else {
            self.span = Some(other);
            return;
        };
        let (earlier, later) = if own.until <= other.until { (own, other) } else { (other, own) };
        let is_joined = later.since.min(later.until).since(earlier.until) < forgetting;
        let since = if is_joined { earlier.since.min(later.since) } else { later.since };
        self.span = Some(AnswerSpan { since, until: later.until });
    }
}
