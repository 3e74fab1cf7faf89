//! Schedules the reports that entries broadcast about requests that were running when upstreams
//! crashed.
//!
//! A link may lose part of what is sent, or an entry may be cut off for a second. A lost report
//! costs an engine, and each broadcast costs a datagram per entry, so each report is sent a few
//! times with growing intervals.

use std::collections::VecDeque;

use mustardrill_types::{Millis, Moment, PartSet, RequestDigest};

use crate::quarantine::{CrashReport, QuarantineSubject};

/// When a report is sent, counted from the event.
const BROADCAST_DELAYS: [Millis; 5] =
    [Millis(0), Millis(60), Millis(250), Millis(1_000), Millis(3_000)];

/// Reports that wait to be sent again. Beyond this limit the one added first is dropped.
const PENDING_REPORTS_LIMIT: usize = 1_024;

/// Interval at which the quarantines in force are broadcast again, by the entries that also write
/// them to the store.
const REMINDER_INTERVAL: Millis = Millis(1_000);

/// The reports that still have to be broadcast.
#[derive(Debug, Default)]
pub(crate) struct CrashBroadcaster {
    pending: VecDeque<PendingReport>,
    reminded_at: Moment,
}

#[derive(Debug)]
struct PendingReport {
    report: CrashReport,
    since: Moment,
    round: usize,
    is_cleared: bool,
}

impl CrashBroadcaster {
    /// Adds a report to be broadcast from `now` on.
    pub(crate) fn push(&mut self, now: Moment, report: CrashReport) {
        if self.pending.len() >= PENDING_REPORTS_LIMIT {
            self.pending.pop_front();
        }
        let pending = PendingReport { report, since: now, round: 0, is_cleared: false };
        self.pending.push_back(pending);
    }

    /// Stops broadcasting the crashes that a complete answer to a request at `at` has cleared, after
    /// the first time, which tells that the upstream is down. An entry that starts between two
    /// rounds would receive the crashes without the answer.
    pub(crate) fn withdraw_crashes(&mut self, digest: RequestDigest, at: Moment) {
        for pending in &mut self.pending {
            pending.is_cleared |= pending.report.is_cleared_crash(digest, at);
        }
    }

    /// Stops broadcasting a quarantine that has been lifted.
    pub(crate) fn withdraw_quarantine(&mut self, subject: &QuarantineSubject) {
        self.pending.retain(
            |pending| !matches!(&pending.report, CrashReport::Quarantined(reported, _) if reported == subject),
        );
    }

    /// Whether this entry is still broadcasting a crash that it observed under a request.
    pub(crate) fn is_broadcasting_crash(&self, digest: RequestDigest) -> bool {
        let mut reports = self.pending.iter().map(|pending| &pending.report);
        reports.any(|report| matches!(report, CrashReport::Crashed(run) if run.digest == digest))
    }

    /// Whether this entry is still broadcasting a crash that it observed under requests with these
    /// parts.
    pub(crate) fn is_broadcasting_parts(&self, parts: &PartSet) -> bool {
        let mut reports = self.pending.iter().map(|pending| &pending.report);
        reports.any(
            |report| matches!(report, CrashReport::Crashed(run) if run.parts.contains_all(parts)),
        )
    }

    /// Whether the quarantines in force are to be broadcast again, for peers that were cut off or
    /// suspended.
    pub(crate) fn is_reminder_due(&mut self, now: Moment) -> bool {
        let is_due = now.since(self.reminded_at) >= REMINDER_INTERVAL;
        if is_due {
            self.reminded_at = now;
        }
        is_due
    }

    /// Takes the reports that are due at `now`.
    pub(crate) fn due(&mut self, now: Moment) -> Vec<CrashReport> {
        let mut due = Vec::new();
        self.pending.retain(|pending| pending.round == 0 || !pending.is_cleared);
        for pending in &mut self.pending {
            if pending.since + BROADCAST_DELAYS[pending.round] <= now {
                pending.round += 1;
                due.push(pending.report.after(now.since(pending.since)));
            }
        }
        self.pending.retain(|pending| pending.round < BROADCAST_DELAYS.len());
        due
    }
}
