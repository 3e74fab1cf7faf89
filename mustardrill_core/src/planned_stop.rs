//! The course of a planned stop: which requests are still taken, and by when each has its answer.

use mustardrill_types::{Millis, Moment};

/// The end of a grace that is left for the exit of the process, so that it does not have to be killed.
const EXIT_TIME: Millis = Millis(300);

/// The time in which the last answers reach their callers before the process exits.
const ANSWER_TIME: Millis = Millis(200);

/// The part of the grace that new requests may take at most, as a divisor: those that come last need
/// time to run.
const INTAKE_DIVISOR: u64 = 2;

/// The last part of the grace, as a divisor: a request that first runs then is not likely to end in
/// time.
const LAST_PART_DIVISOR: u64 = 6;

/// The moments of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until then all requests are taken. Afterwards no connection is accepted, and none is kept
    /// longer than its current request.
    pub intake_end: Moment,
    /// From then on nothing runs for the first time: what has not run is refused.
    pub last_start: Moment,
    /// By then each request has a complete answer, or the beginning of one.
    pub answer_by: Moment,
    /// When the process exits.
    pub exit_at: Moment,
}

impl StopSchedule {
    /// The schedule of a stop that begins `now` and may take `grace`. New requests are taken for
    /// `linger`, if the grace is long enough.
    pub fn begin(now: Moment, linger: Millis, grace: Millis) -> Self {
        let exit_after = Millis(grace.0.saturating_sub(EXIT_TIME.0));
        let answer_after = Millis(exit_after.0.saturating_sub(ANSWER_TIME.0));
        let start_after = Millis(grace.0 - grace.0 / LAST_PART_DIVISOR).min(answer_after);
        let intake = linger.min(Millis(grace.0 / INTAKE_DIVISOR)).min(start_after);
        Self {
            intake_end: now + intake,
            last_start: now + start_after,
            answer_by: now + answer_after,
            exit_at: now + exit_after,
        }
    }

    /// Whether to take a request that is complete `now`. Its caller waits until `deadline`, as far as
    /// that is known.
    ///
    /// After the intake only those are taken that end in time in any case. An answer that has begun
    /// can't be replaced by a refusal any more, and a request that is not repeatable is lost to its
    /// caller once it may have run.
    pub fn admits(&self, now: Moment, deadline: Option<Moment>) -> bool {
        let ends_in_time = deadline.is_some_and(|deadline| deadline <= self.answer_by);
        now < self.intake_end || (now < self.last_start && ends_in_time)
    }
}
