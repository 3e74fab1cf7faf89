//! When an entry tells its peers that parts that crashes count against have been answered.
//!
//! An entry may have had no request with a part that others answer all the time. Those who know
//! object as soon as a crash report names the part, in an order by rank, so that the first objection
//! keeps the many that would follow it from being sent.

use mustardrill_types::{FastMap, Millis, Moment, PartId, PartSet};

use crate::quarantine::CrashReport;

/// Entries that object at once and those that object next, by their rank for the part, with the
/// delay for each.
const OBJECTION_DELAYS: [(usize, Millis); 2] = [(2, Millis(0)), (16, Millis(20))];

/// The delay of all others; it leaves time before a verdict.
const LAST_DELAY: Millis = Millis(40);

/// How long an objection is remembered by those who received it. Part of the time for which an
/// answer counts, so that a part that is answered all the time stays sound for all.
const OBJECTION_LIFETIME: Millis = Millis(10_000);

/// Maximum number of parts remembered.
const PARTS_LIMIT: usize = 1_024;

/// Objections that are due, and those that all peers know of.
#[derive(Debug, Default)]
pub(crate) struct PartObjections {
    pending: FastMap<PartId, Moment>,
    /// When an objection was last sent or received.
    shared_at: FastMap<PartId, Moment>,
}

impl PartObjections {
    /// Schedules an objection by this entry, which has the given rank for the part.
    pub(crate) fn schedule(&mut self, now: Moment, part: PartId, rank: usize) {
        self.shared_at.retain(|_, at| now.since(*at) < OBJECTION_LIFETIME);
        let is_known = self.shared_at.contains_key(&part);
        if is_known || self.pending.len() >= PARTS_LIMIT {
            return;
        }
        let delay = OBJECTION_DELAYS.iter().find(|(ranks, _)| rank < *ranks);
        let due = now + delay.map_or(LAST_DELAY, |(_, delay)| *delay);
        self.pending.entry(part).or_insert(due);
    }

    /// Records that all peers have been told that these parts are sound.
    pub(crate) fn record_shared(&mut self, now: Moment, parts: &PartSet) {
        for part in parts.iter() {
            self.pending.remove(&part);
            if self.shared_at.len() < PARTS_LIMIT || self.shared_at.contains_key(&part) {
                self.shared_at.insert(part, now);
            }
        }
    }

    /// Takes the parts to object for at `now`.
    pub(crate) fn take_due(&mut self, now: Moment) -> Vec<PartId> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let due: Vec<_> =
            self.pending.iter().filter(|(_, at)| **at <= now).map(|(part, _)| *part).collect();
        self.record_shared(now, &due.iter().copied().collect());
        due
    }
}

/// The report that objects to suspicion of a part.
pub(crate) fn objection(part: PartId, answered_at: Moment) -> CrashReport {
    CrashReport::PartsSound([part].into_iter().collect(), answered_at)
}
