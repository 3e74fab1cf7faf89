//! A caller of a pattern, from its coming to what it was told.

use mustardrill_core::direct::WorkSize;
use mustardrill_types::{InstanceId, Moment};

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    InTime,
    Late,
    Refused,
    Failed,
}

/// One caller's request.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) kind: usize,
    pub(crate) came: Moment,
    pub(crate) deadline: Moment,
    pub(crate) size: WorkSize,
    /// The entry that it asks now.
    pub(crate) entry: usize,
    /// How often it may come back yet.
    pub(crate) returns: u32,
    /// The attempt under way, from one, and the engine that has it.
    pub(crate) attempt: u32,
    pub(crate) engine: Option<(usize, InstanceId)>,
    /// Answer tokens that the caller has yet to get.
    pub(crate) answer_left: u32,
    /// When its last event came.
    pub(crate) last_event: Option<Moment>,
    /// Whether an event came later than it should.
    pub(crate) is_late: bool,
    pub(crate) end: Option<CallEnd>,
}
