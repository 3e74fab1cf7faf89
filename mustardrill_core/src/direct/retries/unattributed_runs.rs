//! Runs that ended without an answer and without evidence of a crash.
//!
//! A caller may leave while its request runs, or a connection may break on a link that is too lossy
//! to find out whether its upstream still listens. If it turns out that the upstream crashed at that
//! time, the request was present.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment};

use crate::quarantine::CrashedRun;

/// How long before or after the end of a run its upstream may have crashed.
const ATTRIBUTION_SPAN: Millis = Millis(500);

/// How long after a crash the reports on it may arrive.
const REPORT_SPAN: Millis = Millis(2_000);

/// Runs remembered; an entry rarely has more requests than this in the time.
const RUNS_LIMIT: usize = 256;

/// The runs that ended lately, in that order.
#[derive(Debug, Default)]
pub(crate) struct UnattributedRuns {
    runs: VecDeque<CrashedRun>,
}

impl UnattributedRuns {
    /// Remembers a run; its `ended` is when it ended for this entry.
    pub(crate) fn push(&mut self, run: CrashedRun) {
        self.drop_expired(run.ended);
        if self.runs.len() >= RUNS_LIMIT {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
    }

    /// Takes the runs that were present at the crash under `crashed`.
    pub(crate) fn take(&mut self, now: Moment, crashed: &CrashedRun) -> Vec<CrashedRun> {
        self.drop_expired(now);
        let is_present =
            |run: &CrashedRun| run.is_same_crash(crashed) && is_near(run.ended, crashed.ended);
        let (present, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(is_present);
        self.runs = rest.into();
        present
    }

    fn drop_expired(&mut self, now: Moment) {
        // A report on the crash arrives a few rounds after it.
        let is_expired = |run: &CrashedRun| now.since(run.ended) > REPORT_SPAN;
        while self.runs.front().is_some_and(is_expired) {
            self.runs.pop_front();
        }
    }
}

/// Whether a run that ended at `ended` was present at a crash at `crashed`.
pub(crate) fn is_near(ended: Moment, crashed: Moment) -> bool {
    ended.distance(crashed) <= ATTRIBUTION_SPAN
}
