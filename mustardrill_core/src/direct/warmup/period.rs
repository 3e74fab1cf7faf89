//! Until when one upstream is cold, by the evidence that an entry has.
//!
//! A time left is counted from when it is heard. It is heard late, so that of several statements on
//! one period the one that ends first is the most accurate.

use derive_more::Display;
use mustardrill_types::{Millis, Moment};

/// How much later than the known end a stated end must be to mean that the upstream is cold again.
/// Statements on one period differ by their delays.
const NEW_PERIOD_MARGIN: Millis = Millis(500);

/// What a registration says of the upstream's cold start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmupReport {
    /// For how long it is still cold; zero if it is warm.
    pub remaining: Millis,
    /// Counts the upstream's registrations since its start.
    pub sequence: u64,
}

/// What a cold period rests on.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WarmupSource {
    /// The upstream's registration.
    #[display("registration")]
    Registration,
    /// An answer of the upstream.
    #[display("answer")]
    Answer,
    /// It was not heard of, and may have become cold meanwhile.
    #[display("return")]
    Return,
}

/// The cold period of one incarnation.
#[derive(Debug, Default)]
pub(crate) struct WarmupPeriod {
    until: Moment,
    source: Option<WarmupSource>,
    /// When this entry learned of the present period.
    learned_at: Moment,
    /// The sequence number of the newest registration read.
    sequence: Option<u64>,
    /// Whether it was not heard of lately.
    is_missed: bool,
}

impl WarmupPeriod {
    /// Until when it is cold; not after `now` if it is warm.
    pub(crate) fn until(&self) -> Moment {
        self.until
    }

    /// Until when it counts as cold; `None` if it is warm. One that is missed counts as cold for
    /// `duration` from now on.
    pub(crate) fn cold_until(&self, now: Moment, duration: Millis) -> Option<Moment> {
        let until = if self.is_missed { self.until.max(now + duration) } else { self.until };
        (until > now).then_some(until)
    }

    /// What the present period rests on, for the log.
    pub(crate) fn source(&self) -> WarmupSource {
        self.source.filter(|_| !self.is_missed).unwrap_or(WarmupSource::Return)
    }

    fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Applies a registration. One that is not newer than those read before says nothing.
    pub(crate) fn record_registration(&mut self, now: Moment, report: WarmupReport) {
        if self.sequence.is_some_and(|sequence| report.sequence <= sequence) {
            return;
        }
        self.sequence = Some(report.sequence);
        self.is_missed = false;
        if report.remaining == Millis(0) {
            self.until = now.min(self.until);
        } else {
            self.apply(now, report.remaining, WarmupSource::Registration, true);
        }
    }

    /// Applies what an answer to a request sent at `sent_at` states. It may have been overtaken by a
    /// registration, so that it only ends or shortens a period known when its request was sent.
    pub(crate) fn record_answer(&mut self, now: Moment, sent_at: Moment, remaining: Millis) {
        self.is_missed = false;
        let is_later = sent_at >= self.learned_at;
        if remaining > Millis(0) {
            self.apply(now, remaining, WarmupSource::Answer, is_later);
        } else if is_later {
            self.until = now.min(self.until);
        }
    }

    /// Records that it gets nothing for the moment and may have become cold.
    pub(crate) fn record_missed(&mut self) {
        self.is_missed = true;
    }

    /// Records a sign of life. If it was missed, it may have become cold for `duration` meanwhile.
    pub(crate) fn record_return(&mut self, now: Moment, duration: Millis) {
        if std::mem::take(&mut self.is_missed) && !self.is_cold(now) {
            self.set(now, now + duration, WarmupSource::Return);
        }
    }

    fn apply(&mut self, now: Moment, remaining: Millis, source: WarmupSource, may_shorten: bool) {
        let until = Moment(now.0.saturating_add(remaining.0));
        if !self.is_cold(now) || until > self.until + NEW_PERIOD_MARGIN {
            self.set(now, until, source);
        } else if may_shorten && until < self.until {
            self.until = until;
            self.source = Some(source);
        }
    }

    fn set(&mut self, now: Moment, until: Moment, source: WarmupSource) {
        self.until = until;
        self.source = Some(source);
        self.learned_at = now;
    }
}
