//! The planned stop of the entry, on which the tasks of its requests wait.

use std::sync::OnceLock;

use mustardrill_core::planned_stop::StopSchedule;
use mustardrill_types::Moment;
use tokio_util::sync::CancellationToken;

/// The planned stop of the process, which may not have begun.
#[derive(Debug, Default)]
pub(crate) struct PlannedStop {
    schedule: OnceLock<StopSchedule>,
    /// Cancelled when requests of which nothing was sent are refused.
    pub(crate) refuse_unsent: CancellationToken,
    /// Cancelled when all requests without an answer are refused.
    pub(crate) refuse_unanswered: CancellationToken,
}

impl PlannedStop {
    /// Begins the stop. Only the first call counts.
    pub(crate) fn begin(&self, schedule: StopSchedule) {
        self.schedule.get_or_init(|| schedule);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Whether to take a request that is complete `now`. Its caller waits until `deadline`, as far as
    /// that is known.
    pub(crate) fn admits(&self, now: Moment, deadline: Option<Moment>) -> bool {
        self.schedule.get().is_none_or(|schedule| schedule.admits(now, deadline))
    }

    /// Waits until a request without an answer is refused. `was_sent` tells whether it may run.
    pub(crate) async fn refusal_due(&self, was_sent: bool) {
        let due = if was_sent { &self.refuse_unanswered } else { &self.refuse_unsent };
        due.cancelled().await;
    }
}
