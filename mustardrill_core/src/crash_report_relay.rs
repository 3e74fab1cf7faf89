//! Crash reports that entries and agents pass on in their heartbeats.
//!
//! Entries that serve the catalogue's own interface talk to agents only. Each heartbeat carries
//! what its sender has received recently, so a report reaches all entries through any agent that
//! they have in common, and a lost heartbeat or a restarted agent costs nothing but time.

use mustardrill_types::{FastMap, Millis, Moment};

use crate::quarantine::{CrashReport, QuarantineSubject};

/// How long a report is passed on: a few heartbeats.
const RELAY_SPAN: Millis = Millis(3_000);

/// Maximum number of reports kept. One crash causes as many as the upstream had requests.
const REPORTS_LIMIT: usize = 256;

/// Maximum number of quarantines passed on; those that end first are dropped.
const QUARANTINES_LIMIT: usize = 256;

/// The recently received reports, and the quarantines in force.
#[derive(Debug, Default)]
pub struct CrashReportRelay {
    reports: Vec<(Moment, CrashReport)>,
    quarantined_until: FastMap<QuarantineSubject, Moment>,
}

impl CrashReportRelay {
    /// Records a report that was received at `now`.
    pub fn record(&mut self, now: Moment, report: CrashReport) {
        self.reports.retain(|(received, _)| now.since(*received) < RELAY_SPAN);
        self.quarantined_until.retain(|_, until| *until > now);
        match &report {
            CrashReport::Quarantined(subject, remaining) => {
                return self.record_quarantine(now, subject.clone(), *remaining);
            }
            CrashReport::Sound(digest, _) => self.remove_quarantine(&(*digest).into()),
            CrashReport::PartsSound(parts, _) => {
                let is_sound = |subject: &QuarantineSubject| match subject {
                    QuarantineSubject::Content(_) => false,
                    QuarantineSubject::Parts(group) => group.iter().any(|it| parts.contains(it)),
                };
                self.quarantined_until.retain(|subject, _| !is_sound(subject));
            }
            CrashReport::Crashed(_) => {}
        }
        let is_known = self.reports.iter().any(|(_, known)| known.is_same_event(&report));
        if !is_known && self.reports.len() < REPORTS_LIMIT {
            self.reports.push((now, report));
        }
    }

    /// Stops passing on a quarantine.
    pub fn remove_quarantine(&mut self, subject: &QuarantineSubject) {
        self.quarantined_until.remove(subject);
    }

    /// The reports to pass on at `now`.
    pub fn active_reports(&self, now: Moment) -> Vec<CrashReport> {
        let fresh = self.reports.iter().filter(|(received, _)| now.since(*received) < RELAY_SPAN);
        let fresh = fresh.map(|(_, report)| report.clone());
        let quarantines = self.quarantined_until.iter().filter(|(_, until)| **until > now);
        let quarantines =
            quarantines.map(|(it, until)| CrashReport::Quarantined(it.clone(), until.since(now)));
        fresh.chain(quarantines).collect()
    }

    fn record_quarantine(&mut self, now: Moment, subject: QuarantineSubject, remaining: Millis) {
        // A report that was under way for longer gives a quarantine that ends earlier.
        let until = self.quarantined_until.entry(subject).or_insert(now + remaining);
        *until = (*until).max(now + remaining);
        if self.quarantined_until.len() > QUARANTINES_LIMIT {
            let shortest = self.quarantined_until.iter().min_by_key(|(_, until)| **until);
            if let Some(shortest) = shortest.map(|(subject, _)| subject.clone()) {
                self.quarantined_until.remove(&shortest);
            }
        }
    }
}
