//! What a play of a pattern came to.

use mustardrill_types::FastMap;
use serde::Serialize;

/// What became of requests, by what their callers saw.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct KindCount {
    /// Callers that came.
    pub asked: u32,
    /// Whole answers in time.
    pub in_time: u32,
    /// Whole answers that were late.
    pub late: u32,
    /// Told that it was not run, for good.
    pub refused: u32,
    /// Everything else.
    pub failed: u32,
}

/// One second of a play.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct SecondCount {
    /// What became of those that came in it.
    pub count: KindCount,
    /// What all engines could answer in time, at most.
    pub bound: f64,
}

/// One play.
#[derive(Debug, Default, Clone, Serialize)]
pub struct PlayReport {
    /// By kind of caller.
    pub kinds: FastMap<Box<str>, KindCount>,
    /// By the second in which callers came.
    pub seconds: Vec<SecondCount>,
    /// Engines that ended under a request.
    pub engines_ended: u32,
    /// Requests that engines turned away.
    pub turned_away: u32,
    /// Attempts beyond the first of their request.
    pub repeats: u32,
}

impl PlayReport {
    /// What became of all.
    pub fn total(&self) -> KindCount {
        self.kinds.values().fold(KindCount::default(), |sum, count| KindCount {
            asked: sum.asked + count.asked,
            in_time: sum.in_time + count.in_time,
            late: sum.late + count.late,
            refused: sum.refused + count.refused,
            failed: sum.failed + count.failed,
        })
    }

    /// What could be answered in time, at most, of all that came.
    pub fn bound(&self) -> f64 {
        self.seconds.iter().map(|second| second.bound).sum()
    }

    /// The answers in time, as a part of what was possible.
    pub fn goodput(&self) -> f64 {
        f64::from(self.total().in_time) / self.bound().max(1.0)
    }

    /// The least share of a kind that was answered, against that of all.
    pub fn fairness(&self) -> f64 {
        let share = |count: &KindCount| {
            f64::from(count.in_time + count.late) / f64::from(count.asked.max(1))
        };
        let all = share(&self.total()).max(f64::MIN_POSITIVE);
        self.kinds.values().map(|count| share(count) / all).fold(1.0, f64::min)
    }
}
