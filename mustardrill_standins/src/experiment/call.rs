//! State of one simulated call, from the caller's arrival to the outcome.

use mustardrill_core::direct::WorkSize;
use mustardrill_types::{InstanceId, Moment};

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
    /// Number of the current attempt, counted from one; zero before the first.
    pub(crate) attempt: u32,
    /// Index and name of the engine that runs the current attempt.
    pub(crate) engine: Option<(usize, InstanceId)>,
    /// Answer tokens that the caller has not received yet.
    pub(crate) answer_left: u32,
    /// When the caller received the latest event of the answer.
    pub(crate) last_event: Option<Moment>,
    /// Whether any event missed the kind's `objective` or `gap`.
    pub(crate) is_late: bool,
    pub(crate) outcome: Option<CallOutcome>,
}
