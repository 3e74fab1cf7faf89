//! What entries tell each other of upstreams' limits.
//!
//! Only entries that have had an answer from the upstream lately report it, which are few.

use mustardrill_types::{InstanceId, Millis, Moment, RequestRate, StartStamp};

use crate::direct::reducer::DirectReducer;

/// Interval at which limits are reported; a change is reported at once.
const REPORT_INTERVAL: Millis = Millis(500);

/// How long an entry reports what an answer has stated.
const REPORT_SPAN: Millis = Millis(5_000);

/// What one entry has learned of an upstream's limit from an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntakeReport {
    /// The upstream.
    pub upstream: InstanceId,
    /// The upstream's incarnation.
    pub start: StartStamp,
    /// The rate that it accepts from all entries together; `None` for any.
    pub rate: Option<RequestRate>,
    /// Number of changes of the rate, as the reporting entry knows it.
    pub revision: u64,
    /// How long ago an answer stated the rate.
    pub age: Millis,
}

/// When limits were last reported to the peers.
#[derive(Debug, Default)]
pub(crate) struct IntakeBroadcaster {
    reported_at: Moment,
    is_change_due: bool,
}

impl IntakeBroadcaster {
    /// Records that an answer changed a limit.
    pub(crate) fn record_change(&mut self) {
        self.is_change_due = true;
    }

    fn take_due(&mut self, now: Moment) -> bool {
        let is_due = self.is_change_due || now.since(self.reported_at) >= REPORT_INTERVAL;
        if is_due {
            self.reported_at = now;
            self.is_change_due = false;
        }
        is_due
    }
}

impl DirectReducer {
    /// The reports on limits that are to be sent to the peers now; they count as sent.
    pub fn due_intake_reports(&mut self, now: Moment) -> Vec<IntakeReport> {
        if !self.intake_reports.take_due(now) {
            return Vec::new();
        }
        let reports = self.upstreams.iter().filter_map(|upstream| {
            let limit = upstream.conditions.intake_limit.report(now, REPORT_SPAN)?;
            Some(IntakeReport {
                upstream: upstream.record.id.clone(),
                start: upstream.record.start,
                rate: limit.rate,
                revision: limit.revision,
                age: limit.age,
            })
        });
        reports.collect()
    }
}
