//! State of one simulated call, from the caller's arrival to the outcome.

use mustardrill_core::direct::{RequestNumber, WorkSize};
use mustardrill_types::{Millis, Moment};

use crate::experiment::silences::PlannedSilence;

/// The outcome of a call, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    InTime,
    Late,
    Refused,
    Failed,
}

/// One caller's request, including its retries.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) kind: usize,
    pub(crate) arrived_at: Moment,
    pub(crate) deadline: Moment,
    pub(crate) size: WorkSize,
    /// Index of the entry that the request was last sent to.
    pub(crate) entry: usize,
    /// Retries that the caller has left.
    pub(crate) retries_left: u32,
    /// Number of the latest attempt, counted from one; zero before the first.
    pub(crate) attempt: u32,
    /// The attempts that have not ended, at most two.
    pub(crate) open: Vec<OpenRun>,
    /// Answer tokens that the caller has not received yet.
    pub(crate) answer_left: u32,
    /// When the caller received the latest event of the answer.
    pub(crate) last_event: Option<Moment>,
    /// Whether any event missed the kind's `objective` or `gap`.
    pub(crate) is_late: bool,
    pub(crate) outcome: Option<CallOutcome>,
}

/// An attempt that has not ended, as the task of its request sees it.
#[derive(Debug)]
pub(crate) struct OpenRun {
    pub(crate) attempt: u32,
    pub(crate) number: RequestNumber,
    /// Index of the engine that runs it.
    pub(crate) engine: usize,
    pub(crate) is_backup: bool,
    pub(crate) silence_timeout: Millis,
    /// When the engine sent something for it, or it was sent.
    pub(crate) heard_at: Moment,
    /// Whether its silence was reported.
    pub(crate) is_silent: bool,
    pub(crate) planned_silence: Option<PlannedSilence>,
    pub(crate) silent_until: Moment,
}
