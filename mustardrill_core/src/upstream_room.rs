//! Which requests of this entry a full upstream takes, and from when on.
//!
//! An upstream that refused a request as full rests for the wait that it named, for that class and
//! all lower ones; a higher class may still displace what waits there. After the rest, what waited in
//! the entry goes there one at a time, at twice the rate at which it answers this entry: its queue
//! fills again, but not at once.

use mustardrill_types::{Millis, Moment};

use crate::document::RequestClass;

/// A wait beyond this is not believed: an upstream names it to each request that it refuses.
const LONGEST_WAIT: Millis = Millis(10_000);

/// The spacing of returns to an upstream that has not named a longer wait.
const SHORTEST_SPACING: Millis = Millis(10);

/// The room for this entry's requests at one upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamRoom {
    /// By rank of class.
    rests: [ClassRest; RequestClass::ALL.len()],
    last_answer: Option<Moment>,
    /// Moving average of the time between answers to this entry while it has attempts there.
    answer_interval_ms: Option<f64>,
    /// Intervals that the average is made of, since the last rest began.
    intervals: u32,
}

/// The rest of one class at an upstream.
#[derive(Debug, Default)]
struct ClassRest {
    ends_at: Moment,
    wait: Millis,
    /// When the last one of the requests that waited in the entry was sent.
    last_return: Moment,
}

impl ClassRest {
    /// Records a refusal; returns whether a rest begins.
    fn record(&mut self, now: Moment, wait: Millis, return_delay: Millis) -> bool {
        let begins = now >= self.ends_at;
        self.ends_at = self.ends_at.max(now + wait + return_delay);
        self.wait = wait;
        begins
    }

    /// From when on the next request may be sent, where returns are spaced by `spacing`.
    fn opens_at(&self, spacing: Millis) -> Moment {
        self.ends_at.max(self.last_return + spacing.min(self.wait.max(SHORTEST_SPACING)))
    }
}

impl UpstreamRoom {
    /// Records that a request of the class was refused as full; returns whether a rest begins.
    pub(crate) fn record_full(
        &mut self,
        now: Moment,
        class: RequestClass,
        wait: Millis,
        return_delay: Millis,
    ) -> bool {
        let mut begins = false;
        for rest in self.rests.iter_mut().skip(class.rank()) {
            begins |= rest.record(now, wait.min(LONGEST_WAIT), return_delay);
        }
        // Before it was full, it answered as fast as requests came.
        if begins {
            self.intervals = 0;
        }
        begins
    }

    /// Records that a request of the class is sent which waited in the entry.
    pub(crate) fn record_return(&mut self, now: Moment, class: RequestClass) {
        self.rests[class.rank()].last_return = now;
    }

    /// Records a complete answer.
    pub(crate) fn record_answer(&mut self, now: Moment) {
        const AVERAGED_INTERVALS: u32 = 10;
        let Some(before) = self.last_answer.replace(now) else { return };
        let interval_ms = now.since(before).0 as f64;
        let average_ms = self.answer_interval_ms.get_or_insert(interval_ms);
        self.intervals = AVERAGED_INTERVALS.min(self.intervals + 1);
        *average_ms += (interval_ms - *average_ms) / f64::from(self.intervals);
    }

    /// Records that this entry has no attempts there: the time to the next answer tells nothing.
    pub(crate) fn record_idle(&mut self) {
        self.last_answer = None;
    }

    /// From when on a request of the class may be sent.
    pub(crate) fn opens_at(&self, class: RequestClass) -> Moment {
        let half_interval = |interval_ms: f64| Millis((interval_ms / 2.0) as u64);
        let spacing = self.answer_interval_ms.map_or(LONGEST_WAIT, half_interval);
        self.rests[class.rank()].opens_at(spacing)
    }

    /// Answers a millisecond to this entry, as far as it is known.
    pub(crate) fn answer_rate(&self) -> Option<f64> {
        self.answer_interval_ms.map(|interval_ms| 1.0 / interval_ms.max(0.1))
    }
}
