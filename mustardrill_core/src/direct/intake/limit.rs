//! What an entry knows of the request rate that one upstream accepts.
//!
//! An upstream states its limit in its answers, for as long as it needs one. Answers on different
//! connections may overtake each other, so an answer that loosens the limit counts only if its
//! request was sent after the limit in force was last learned or confirmed. One that tightens it
//! counts at once. Changes are numbered, so that entries can tell which of two reports is newer
//! without a common clock.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment, RequestRate};

use crate::direct::intake::report::IntakeReport;
use crate::direct::intake::schedule::SendSchedule;
use crate::direct::intake::share::IntakeShare;

/// The span over which the requests sent to a limited upstream are counted for the log.
pub(crate) const SENT_SPAN: Millis = Millis(4_000);

/// A peer's report that loosens the limit counts only if the upstream stated it this recently: a
/// peer that was cut off may report a change that has been superseded since.
const MAX_LOOSENING_AGE: Millis = Millis(3_000);

/// The limit of one upstream, and this entry's use of it.
#[derive(Debug, Default)]
pub(crate) struct IntakeLimit {
    rate: Option<RequestRate>,
    /// Number of changes of `rate` at this and other entries.
    revision: u64,
    /// When this entry learned `rate`, or an answer to it last stated it.
    learned_at: Moment,
    /// When an answer to any entry last stated `rate`, as far as this entry knows.
    stated_at: Moment,
    /// When an answer to this entry last stated `rate`.
    answered_at: Option<Moment>,
    /// When this entry last learned that `rate` changed.
    changed_at: Moment,
    /// This entry's part of the rate; `None` if it may send nothing.
    share: Option<IntakeShare>,
    schedule: SendSchedule,
    /// When this entry sent requests there within `SENT_SPAN`, counted while there is a limit.
    sent: VecDeque<Moment>,
}

impl IntakeLimit {
    /// The rate in force; `None` where the upstream accepts any.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// This entry's part of the rate.
    pub(crate) fn share(&self) -> Option<&IntakeShare> {
        self.share.as_ref()
    }

    /// Sets this entry's part of the rate.
    pub(crate) fn set_share(&mut self, share: Option<IntakeShare>) {
        self.share = share;
    }

    /// How long ago an answer to any entry last stated the rate in force.
    pub(crate) fn age(&self, now: Moment) -> Millis {
        now.since(self.stated_at)
    }

    /// From when on this entry may send the next request; `None` if it may not send at all.
    pub(crate) fn opens_at(&self) -> Option<Moment> {
        if self.rate.is_none() {
            return Some(Moment(0));
        }
        self.share.as_ref().map(|share| share.opens_at(&self.schedule, self.stated_at))
    }

    /// Records that this entry sends a request. Returns how many it has sent within `SENT_SPAN`,
    /// this one included.
    pub(crate) fn record_sent(&mut self, now: Moment) -> usize {
        if let Some(share) = &self.share {
            self.schedule.record_sent(now, share.interval_ms());
        }
        while self.sent.front().is_some_and(|sent| now.since(*sent) >= SENT_SPAN) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.sent.len()
    }

    /// Applies what an answer to a request sent at `sent_at` states; `None` for an answer without a
    /// limit. Returns whether the limit changed.
    pub(crate) fn apply_answer(
        &mut self,
        now: Moment,
        sent_at: Moment,
        rate: Option<RequestRate>,
    ) -> bool {
        let has_changed = rate != self.rate;
        if has_changed && sent_at < self.learned_at && !is_stricter(rate, self.rate) {
            return false;
        }
        if has_changed {
            self.change(now, rate, self.revision + 1);
        }
        self.learned_at = now;
        self.stated_at = now;
        self.answered_at = Some(now);
        has_changed
    }

    /// Applies a peer's report. Returns whether the limit changed.
    pub(crate) fn apply_report(&mut self, now: Moment, report: &IntakeReport) -> bool {
        let stated_at = now - report.age;
        if report.revision < self.revision {
            return false;
        }
        if report.rate == self.rate {
            self.revision = report.revision;
            self.stated_at = self.stated_at.max(stated_at);
            return false;
        }
        let is_newer = report.revision > self.revision && report.age <= MAX_LOOSENING_AGE;
        if !is_newer && !is_stricter(report.rate, self.rate) {
            return false;
        }
        self.change(now, report.rate, report.revision);
        self.stated_at = stated_at;
        self.answered_at = None;
        true
    }

    /// What this entry reports to its peers, if it has had an answer that recently stated the rate.
    pub(crate) fn report(&self, now: Moment, span: Millis) -> Option<LimitReport> {
        let answered_at = self.answered_at.filter(|at| now.since(*at) < span)?;
        // The end of a limit is reported for a while only.
        if self.rate.is_none() && (self.revision == 0 || now.since(self.changed_at) >= span) {
            return None;
        }
        let age = now.since(answered_at);
        Some(LimitReport { rate: self.rate, revision: self.revision, age })
    }

    fn change(&mut self, now: Moment, rate: Option<RequestRate>, revision: u64) {
        if self.rate.is_none() {
            self.schedule.start(now);
        }
        self.rate = rate;
        self.revision = revision;
        self.learned_at = now;
        self.changed_at = now;
        self.share = None;
        if rate.is_none() {
            self.sent.clear();
        }
    }
}

/// The part of an [`IntakeReport`] that does not identify the upstream.
#[derive(Debug)]
pub(crate) struct LimitReport {
    pub(crate) rate: Option<RequestRate>,
    pub(crate) revision: u64,
    pub(crate) age: Millis,
}

/// Whether `rate` allows fewer requests than `other`; `None` allows any.
fn is_stricter(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (rate, other) => rate.is_some() && other.is_none(),
    }
}
