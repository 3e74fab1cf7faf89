//! What an entry knows of the request rate that one upstream accepts.
//!
//! An upstream states its limit in its answers, for as long as it needs one. Answers on different
//! connections may overtake each other, so an answer that loosens the limit counts only if its
//! request was sent after the limit in force was last confirmed. One that tightens it counts at
//! once.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment, RequestRate};

/// The span over which the requests sent to a limited upstream are counted for the log.
pub(crate) const SENT_SPAN: Millis = Millis(4_000);

/// Which request rate an upstream's answer states that it accepts from all entries together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IntakeStatement {
    /// The stated rate; the lowest one where the answer states several.
    pub limit: Option<RequestRate>,
    /// The statement as received, if it is not exactly one valid rate.
    pub malformed: Option<Box<str>>,
}

/// The limit of one upstream.
#[derive(Debug, Default)]
pub(crate) struct IntakeLimit {
    rate: Option<RequestRate>,
    /// When an answer last stated `rate`.
    confirmed_at: Moment,
    /// When this entry sent requests there within `SENT_SPAN`, counted while there is a limit.
    sent: VecDeque<Moment>,
}

impl IntakeLimit {
    /// The rate in force; `None` where the upstream accepts any.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// How long ago an answer last confirmed the rate in force.
    pub(crate) fn age(&self, now: Moment) -> Millis {
        now.since(self.confirmed_at)
    }

    /// Records that this entry sends a request. Returns how many it has sent within `SENT_SPAN`,
    /// this one included.
    pub(crate) fn record_sent(&mut self, now: Moment) -> usize {
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
        let is_newer = sent_at >= self.confirmed_at;
        if has_changed && !is_newer && !is_stricter(rate, self.rate) {
            return false;
        }
        self.rate = rate;
        self.confirmed_at = now;
        has_changed
    }
}

/// Whether `rate` allows fewer requests than `other`; `None` allows any.
fn is_stricter(rate: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (rate, other) {
        (Some(rate), Some(other)) => rate < other,
        (rate, other) => rate.is_some() && other.is_none(),
    }
}
