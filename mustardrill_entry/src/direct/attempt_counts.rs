//! What an attempt counts of its start and of its connection's end.

use cadence::Counted;
use mustardrill_core::direct::AttemptOutcome;
use mustardrill_types::Millis;

use crate::direct::attempt::Attempt;
use crate::direct::gated_stream::SendGate;

impl Attempt<'_> {
    /// Counts how a start compares with its forecast, where the upstream states its pace.
    pub(super) fn count_start(&self, after: Millis) {
        if self.plan.paced_start == Millis(0) {
            return;
        }
        let forecast = self.plan.paced_start.0;
        let label = match after.0 {
            after if after > forecast * 2 => "later",
            after if after * 2 < forecast => "earlier",
            _ => "forecast",
        };
        let _ = self.task.context.metrics.count(&format!("paced_starts.{label}"), 1);
    }

    /// Logs and counts that the connection was closed for what its upstream sent, if it was.
    pub(super) fn report_cut(&self, gate: &SendGate) {
        let Some(cut) = gate.cut() else { return };
        log::warn!(
            "request={} instance={} outcome=cut reason={} bytes={} for={}",
            self.task.caller_request_id,
            self.plan.upstream,
            cut.reason,
            cut.stray_bytes,
            cut.stray_time
        );
        let _ = self.task.context.metrics.count(&format!("cuts.{}", cut.reason), 1);
    }
}

/// The value of the `outcome` label of the metric `attempts`.
pub(crate) fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Whole => "whole",
        AttemptOutcome::Undelimited => "undelimited",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Full => "full",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Withdrawn { .. } => "withdrawn",
        AttemptOutcome::Lost { crashed: true, .. } => "crashed",
        AttemptOutcome::Lost { .. } => "lost",
    }
}
