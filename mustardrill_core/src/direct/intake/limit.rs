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
use crate::direct::intake::share::{IntakeShare, SendPacing};
use crate::direct::warmup::limit::WarmupRate;

/// The span over which the requests sent to a limited upstream are counted for the log.
pub(crate) const SENT_SPAN: Millis = Millis(4_000);

/// A peer's report that loosens the limit counts only if the upstream stated it this recently: a
/// peer that was cut off may report a change that has been superseded since.
const MAX_LOOSENING_AGE: Millis = Millis(3_000);

/// The limit of one upstream, and this entry's use of it.
#[derive(Debug, Default)]
pub(crate) struct IntakeLimit {
    /// The rate that it has stated; `None` for any.
    rate: Option<RequestRate>,
    /// The rate that it takes while it is cold.
    warmup: Option<ColdLimit>,
    /// Whether it has become cold, and this entry has had no part of its rate since.
    is_newly_cold: bool,
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

/// The rate of an upstream that is cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdLimit {
    pub(crate) rate: WarmupRate,
    /// When it is warm.
    pub(crate) until: Moment,
}

impl IntakeLimit {
    /// The rate in force; `None` where the upstream accepts any.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        let cold_rate = self.warmup.map(|limit| limit.rate.rate);
        self.rate.into_iter().chain(cold_rate).min()
    }

    /// The rate in force and how it is used.
    pub(crate) fn paced_rate(&self) -> Option<(RequestRate, SendPacing)> {
        let rate = self.rate()?;
        let stated = self.rate.map(SendPacing::stated);
        let cold = self.warmup.map(|limit| limit.rate.pacing);
        Some((rate, stated.into_iter().chain(cold).reduce(SendPacing::stricter)?))
    }

    /// Whether the upstream is cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.warmup.is_some()
    }

    /// Sets what it takes while it is cold, or that it is warm. Returns whether it has become cold or
    /// warm.
    pub(crate) fn set_warmup(&mut self, now: Moment, warmup: Option<ColdLimit>) -> bool {
        let is_change = self.warmup.is_some() != warmup.is_some();
        if is_change && self.rate().is_none() {
            self.schedule.start(now);
        }
        self.is_newly_cold = warmup.is_some() && (is_change || self.is_newly_cold);
        self.warmup = warmup;
        if self.rate().is_none() {
            self.share = None;
            self.sent.clear();
        }
        is_change
    }

    /// This entry's part of the rate.
    pub(crate) fn share(&self) -> Option<&IntakeShare> {
        self.share.as_ref()
    }

    /// Sets this entry's part of the rate. The senders to an upstream that has become cold start one
    /// after the other.
    pub(crate) fn set_share(&mut self, now: Moment, share: Option<IntakeShare>) {
        if let Some(share) = share.as_ref().filter(|_| std::mem::take(&mut self.is_newly_cold)) {
            self.schedule.start_at(now, share.first_delay_ms(), share.interval_ms());
        }
        self.share = share;
    }

    /// How long ago an answer to any entry last stated the rate in force.
    pub(crate) fn age(&self, now: Moment) -> Millis {
        now.since(self.stated_at)
    }

    /// From when on this entry may send the next request; `None` if it may not send at all.
    pub(crate) fn opens_at(&self) -> Option<Moment> {
        if self.rate().is_none() {
            return Some(Moment(0));
        }
        let opens_at =
            self.share.as_ref().map(|share| share.opens_at(&self.schedule, self.stated_at));
        match &self.warmup {
            // Nobody has to ask a cold upstream when it is warm.
            Some(limit) if self.rate.is_none() => {
                let is_sender = self.share.as_ref().is_some_and(IntakeShare::is_sender);
                opens_at.filter(|at| is_sender && *at < limit.until).or(Some(limit.until))
            }
            _ => opens_at,
        }
    }

    /// Records that this entry sends a request. Returns how many it has sent within `SENT_SPAN`,
    /// this one included.
    pub(crate) fn record_sent(&mut self, now: Moment) -> usize {
        if let Some(share) = &self.share {
            share.record_sent(now, &mut self.schedule);
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
            self.change(now, rate, self.revision.saturating_add(1));
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
        if self.rate().is_none() {
            self.schedule.start(now);
        }
        self.rate = rate;
        self.revision = revision;
        self.learned_at = now;
        self.changed_at = now;
        self.share = None;
        if self.rate().is_none() {
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
