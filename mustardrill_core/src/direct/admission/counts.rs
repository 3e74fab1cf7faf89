//! Counts of what admission decided, for operators.

/// Decisions of admission since the entry started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests refused on arrival, as they could not start in time by forecast.
    pub refused: u64,
    /// Waiting requests refused since more urgent ones arrived.
    pub displaced: u64,
    /// Requests first sent when they could not meet their objective any more.
    pub sent_late: u64,
}
