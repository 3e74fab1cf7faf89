//! The quarantined groups of parts, and when one request may be tried again.

use mustardrill_types::{Millis, Moment, PartSet, ResultCode};

use crate::quarantine::evidence::CrashEvidence;
use crate::quarantine::part_suspects::{CONCLUSIVE_CRASHES, GroupRecord, PartSuspects};
use crate::quarantine::sound_parts::SoundParts;
use crate::quarantine::{MIN_CRASHES, MIN_SEQUENTIAL_CRASHES, QUARANTINE_SPAN};

/// Time until a trial where few upstreams have crashed: another crash is worth finding out that the
/// verdict was wrong.
const PROVISIONAL_SPAN: Millis = Millis(10_000);

/// Time until the first trial where nothing shows that other requests are answered, or the crashes
/// happened at the same time. Doubled with each trial that ends with another crash.
const SUSPENSION_SPAN: Millis = Millis(1_000);

/// Doublings of `SUSPENSION_SPAN`, up to about `QUARANTINE_SPAN`.
const MAX_DOUBLINGS: u32 = 9;

/// How long a trial may take.
const TRIAL_SPAN: Millis = Millis(5_000);

/// Maximum number of quarantined groups; the one that was added first is dropped.
const QUARANTINES_LIMIT: usize = 256;

/// The quarantined groups of parts.
#[derive(Debug, Default)]
pub(super) struct PartQuarantines {
    rows: Vec<PartQuarantine>,
}

#[derive(Debug)]
struct PartQuarantine {
    parts: PartSet,
    evidence: CrashEvidence,
    first_crash: Moment,
    last_crash: Moment,
    /// The latest end of the quarantine as other processes reported it. A bound, since a report
    /// holds the time that was left when it was sent.
    reported_until: Moment,
    /// The end by the first report of a peer; zero where there is none. Peers are told this end, as
    /// they would take one that their own reports have moved for a later one.
    confirmed_until: Moment,
    /// The span in the store's record, as far as known; zero where there is none.
    recorded_span: Millis,
    /// Trials that ended with a crash.
    failed_trials: u32,
    /// The latest end of the trial in progress; zero where there is none.
    trial_until: Moment,
}

/// What a quarantine means for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartBlock {
    /// The group of parts that the request has.
    pub parts: PartSet,
    /// Until when no request with these parts is tried.
    pub until: Moment,
    /// Whether one request may be tried now.
    pub is_trial_due: bool,
}

impl PartBlock {
    /// The code with which a request is refused, which tells its caller whether upstreams crashed
    /// under this very request or only under others with the same parts.
    pub fn refusal_code(has_crashed_upstream: bool) -> ResultCode {
        if has_crashed_upstream { ResultCode::Quarantined } else { ResultCode::PartQuarantined }
    }
}

impl PartQuarantines {
    /// The quarantined groups.
    pub(super) fn groups(&self) -> impl Iterator<Item = &PartSet> {
        self.rows.iter().map(|row| &row.parts)
    }

    /// Each group with the end of its quarantine.
    pub(super) fn active(&self, sound: &SoundParts) -> impl Iterator<Item = (&PartSet, Moment)> {
        self.rows.iter().map(|row| (&row.parts, row.until(sound)))
    }

    /// Each group with the end of its quarantine to tell peers of.
    pub(super) fn confirmed(&self, sound: &SoundParts) -> impl Iterator<Item = (&PartSet, Moment)> {
        self.rows.iter().map(|row| {
            let until = row.confirmed_until.max(row.evident_until(sound));
            (&row.parts, until)
        })
    }

    /// Starts a quarantine by a verdict of this process; returns when it ends.
    pub(super) fn start(
        &mut self,
        now: Moment,
        parts: &PartSet,
        record: &GroupRecord,
        sound: &SoundParts,
    ) -> Moment {
        let row = self.row(now, parts.clone());
        row.apply(record);
        row.until(sound)
    }

    /// Starts a quarantine that a peer reported, or extends it where the peer knows of a later end;
    /// returns whether it is new.
    pub(super) fn adopt_report(&mut self, now: Moment, parts: PartSet, left: Millis) -> bool {
        let is_new = !self.contains(&parts);
        let row = self.row(now, parts);
        if row.confirmed_until == Moment(0) && row.last_crash == Moment(0) {
            row.confirmed_until = now + left;
            row.reported_until = now + left;
        }
        row.reported_until = row.reported_until.max(now + left);
        row.assume_evidence(left);
        is_new
    }

    /// Starts a quarantine that was read from the store, or extends it where the record shows more
    /// crashes than are known here; returns whether it is new.
    pub(super) fn adopt_record(&mut self, now: Moment, parts: PartSet, span: Millis) -> bool {
        let is_new = !self.contains(&parts);
        let row = self.row(now, parts);
        let is_stronger = span > PROVISIONAL_SPAN && !row.is_conclusive();
        if is_new || is_stronger {
            row.reported_until = row.reported_until.max(now + span);
        }
        row.recorded_span = row.recorded_span.max(span);
        row.assume_evidence(span);
        is_new
    }

    /// Takes the groups whose record in the store lacks or shows fewer crashes than are known here,
    /// each with the span for its record.
    pub(super) fn take_unrecorded(&mut self) -> Vec<(PartSet, Millis)> {
        let mut unrecorded = Vec::new();
        for row in &mut self.rows {
            let span = if row.is_conclusive() { QUARANTINE_SPAN } else { PROVISIONAL_SPAN };
            if span > row.recorded_span {
                row.recorded_span = span;
                unrecorded.push((row.parts.clone(), span));
            }
        }
        unrecorded
    }

    /// Records another crash of a run with these parts.
    pub(super) fn record_crash(&mut self, parts: &PartSet, suspects: &PartSuspects) {
        for row in self.rows.iter_mut().filter(|row| parts.contains_all(&row.parts)) {
            if let Some(record) = suspects.record_of(&row.parts) {
                row.apply(&record);
                row.failed_trials += u32::from(row.trial_until > Moment(0));
                row.trial_until = Moment(0);
            }
        }
    }

    /// The quarantine that applies to a request with these parts.
    pub(super) fn block(
        &self,
        now: Moment,
        parts: &PartSet,
        sound: &SoundParts,
    ) -> Option<PartBlock> {
        let row = self.rows.iter().find(|row| parts.contains_all(&row.parts))?;
        let until = row.until(sound);
        Some(PartBlock {
            parts: row.parts.clone(),
            until: until.max(row.trial_until),
            is_trial_due: until <= now && row.trial_until <= now,
        })
    }

    /// Records that a request of the group is tried.
    pub(super) fn start_trial(&mut self, now: Moment, parts: &PartSet) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.parts == *parts) {
            row.trial_until = now + TRIAL_SPAN;
        }
    }

    /// Removes sound parts from all groups, since the cause is among the others. Returns the groups
    /// that changed, each with what remains of it, if anything.
    pub(super) fn clear(&mut self, sound_parts: &PartSet) -> Vec<(PartSet, Option<PartSet>)> {
        let mut changes = Vec::new();
        for row in &mut self.rows {
            let rest: PartSet =
                row.parts.iter().filter(|part| !sound_parts.contains(*part)).collect();
            if rest.len() < row.parts.len() {
                let before = std::mem::replace(&mut row.parts, rest.clone());
                row.recorded_span = Millis(0);
                changes.push((before, (!rest.is_empty()).then_some(rest)));
            }
        }
        self.rows.retain(|row| !row.parts.is_empty());
        changes
    }

    /// Drops quarantines whose trial has been due for long without a request.
    pub(super) fn drop_expired(&mut self, now: Moment, sound: &SoundParts) {
        self.rows.retain(|row| now.since(row.until(sound)) < QUARANTINE_SPAN);
    }

    /// Whether a group that a request with these parts belongs to is quarantined.
    fn contains(&self, parts: &PartSet) -> bool {
        self.rows.iter().any(|row| parts.contains_all(&row.parts))
    }

    /// The row of a group, which replaces those that the group is a part of.
    fn row(&mut self, now: Moment, parts: PartSet) -> &mut PartQuarantine {
        let place = self.rows.iter().position(|row| parts.contains_all(&row.parts));
        let place = place.unwrap_or_else(|| {
            self.rows.retain(|row| !row.parts.contains_all(&parts));
            if self.rows.len() >= QUARANTINES_LIMIT {
                self.rows.remove(0);
            }
            self.rows.push(PartQuarantine {
                parts,
                evidence: CrashEvidence::default(),
                first_crash: now,
                last_crash: Moment(0),
                reported_until: Moment(0),
                confirmed_until: Moment(0),
                recorded_span: Millis(0),
                failed_trials: 0,
                trial_until: Moment(0),
            });
            self.rows.len() - 1
        });
        &mut self.rows[place]
    }
}

impl PartQuarantine {
    /// Until when no request is tried.
    fn until(&self, sound: &SoundParts) -> Moment {
        self.reported_until.max(self.evident_until(sound))
    }

    /// Until when no request is tried, by the crashes that are known here.
    fn evident_until(&self, sound: &SoundParts) -> Moment {
        let is_strong = self.evidence.sequential >= MIN_SEQUENTIAL_CRASHES
            && sound.answers_since(self.first_crash) > 0;
        let span = match (is_strong, self.is_conclusive()) {
            (true, true) => QUARANTINE_SPAN,
            (true, false) => PROVISIONAL_SPAN,
            (false, _) => Millis(SUSPENSION_SPAN.0 << self.failed_trials.min(MAX_DOUBLINGS)),
        };
        self.last_crash + span
    }

    fn is_conclusive(&self) -> bool {
        self.evidence.crashes >= CONCLUSIVE_CRASHES
    }

    /// Records the evidence that a process had which reported a quarantine of this length.
    fn assume_evidence(&mut self, span: Millis) {
        let is_conclusive = span > PROVISIONAL_SPAN;
        let crashes = if is_conclusive { CONCLUSIVE_CRASHES } else { MIN_CRASHES };
        self.evidence.crashes = self.evidence.crashes.max(crashes);
        if span >= PROVISIONAL_SPAN {
            self.evidence.sequential = self.evidence.sequential.max(MIN_SEQUENTIAL_CRASHES);
        }
    }

    fn apply(&mut self, record: &GroupRecord) {
        self.evidence.crashes = self.evidence.crashes.max(record.evidence.crashes);
        self.evidence.sequential = self.evidence.sequential.max(record.evidence.sequential);
        self.first_crash = self.first_crash.min(record.first_crash);
        self.last_crash = self.last_crash.max(record.last_crash);
    }
}
