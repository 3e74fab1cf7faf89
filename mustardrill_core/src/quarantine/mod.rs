//! Quarantine of requests that crash upstreams.
//!
//! A request may crash each upstream that starts to run it, and arrive again from its caller and
//! through every entry. If it were sent on each time, it would take down the whole service, and
//! with each upstream the other requests there. Entries therefore report to each other which
//! requests an upstream was running when it crashed, and the request that was present at each crash
//! is not run for a while.
//!
//! Other requests are present at crashes, too. One that has been answered completely since is
//! cleared. A crash is attributed to the requests that were present at most crashes in sequence,
//! each starting after the previous crash: many that run at the same time see many upstreams go
//! down when a data hall loses power, whereas a culprit crashes one upstream after the other.
//!
//! Requests that differ in content may crash upstreams by a part of the prompt that they share.
//! Crashes therefore count against parts as well (`part_suspects`), and what a part explains does
//! not count against contents.

mod evidence;
mod part_quarantines;
mod part_suspects;
mod report;
mod sound_parts;

use std::cmp::Reverse;

use log::{info, warn};
use mustardrill_types::{FastMap, FastSet, Millis, Moment, PartId, PartSet, RequestDigest};

use crate::quarantine::evidence::CrashEvidence;
pub use crate::quarantine::part_quarantines::PartBlock;
use crate::quarantine::part_quarantines::PartQuarantines;
use crate::quarantine::part_suspects::{CrashId, PartSuspects, PartVerdict};
pub use crate::quarantine::report::{CrashReport, CrashedRun, QuarantineSubject, VerdictSource};
use crate::quarantine::sound_parts::SoundParts;

/// Crashes under a request before it is taken to be the cause.
const MIN_CRASHES: usize = 3;

/// How many of these runs must have started after the previous one had crashed.
const MIN_SEQUENTIAL_CRASHES: usize = 2;

/// Crashes in sequence after which a request is quarantined even though another one was present
/// each time: two requests that always run together cannot be told apart, and the upstreams are
/// worth more.
const CONCLUSIVE_SEQUENTIAL_CRASHES: usize = 5;

/// How long a request is quarantined. After that it is tried again, as the software or the weights
/// may have been fixed; the first crash under it then ends the trial.
pub const QUARANTINE_SPAN: Millis = Millis(600_000);

/// How long a crash counts against the requests that were present.
const SUSPICION_SPAN: Millis = Millis(600_000);

/// Maximum number of suspected requests. One crash adds those of one upstream, about 20.
const SUSPECTS_LIMIT: usize = 1_024;

/// Crashes remembered per request.
const RUNS_PER_SUSPECT_LIMIT: usize = 16;

/// Maximum number of quarantined requests.
const QUARANTINE_LIMIT: usize = 4_096;

/// The requests that were running when upstreams crashed, and those of them that are quarantined.
#[derive(Debug)]
pub struct QuarantineTable {
    /// How long a verdict waits for the reports of other entries on the same crash: a request of
    /// theirs may be the cause.
    settle: Millis,
    suspects: FastMap<RequestDigest, SuspectRecord>,
    /// When each quarantine ends. Kept for as long again afterwards, so that a crash during the
    /// trial is recognised.
    quarantined_until: FastMap<RequestDigest, Moment>,
    /// When the next verdicts are due.
    verdicts_due: Option<Moment>,
    part_suspects: PartSuspects,
    part_quarantines: PartQuarantines,
    sound_parts: SoundParts,
}

/// A group of parts whose quarantine starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedQuarantine {
    /// The group of parts.
    pub parts: PartSet,
    /// How long no request with these parts is tried.
    pub span: Millis,
}

/// What changes when a request with parts is answered completely.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClearedParts {
    /// The parts that crashes had counted against.
    pub parts: PartSet,
    /// The quarantined groups that had some of the parts, each with what remains of it.
    pub groups: Vec<(PartSet, Option<PartSet>)>,
}

impl ClearedParts {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.groups.is_empty()
    }
}

/// The crashes recorded against a request.
#[derive(Debug, Default)]
struct SuspectRecord {
    runs: Vec<CrashedRun>,
    /// When the request was last answered completely; crashes up to then do not count.
    cleared_at: Moment,
}

impl QuarantineTable {
    /// Creates an empty table. Reports of other entries take up to `settle` to arrive.
    pub fn new(settle: Millis) -> Self {
        Self {
            settle,
            suspects: FastMap::default(),
            quarantined_until: FastMap::default(),
            verdicts_due: None,
            part_suspects: PartSuspects::new(settle),
            part_quarantines: PartQuarantines::default(),
            sound_parts: SoundParts::default(),
        }
    }

    /// Records a run during which the upstream crashed; returns whether it was not known yet.
    pub fn record_crash(&mut self, now: Moment, run: CrashedRun) -> bool {
        if self.suspects.get(&run.digest).is_some_and(|record| record.contains(&run)) {
            return false;
        }
        self.drop_expired(now);
        self.part_suspects.record_crash(now, &run, &self.sound_parts);
        self.part_quarantines.record_crash(&run.parts, &self.part_suspects);
        info!(
            "quarantine digest={} instance={} start={} ran={} outcome=suspected parts={}",
            run.digest,
            run.upstream,
            run.start,
            run.ended.since(run.sent),
            run.parts
        );
        let record = self.suspects.entry(run.digest).or_default();
        record.runs.push(run);
        if record.runs.len() > RUNS_PER_SUSPECT_LIMIT {
            record.runs.remove(0);
        }
        self.verdicts_due.get_or_insert(now + self.settle);
        true
    }

    /// Records that a request was answered completely at `at`; returns whether any crash or
    /// quarantine counted against it until now.
    pub fn record_success(&mut self, now: Moment, digest: RequestDigest, at: Moment) -> bool {
        let was_quarantined = self.quarantined_until.remove(&digest).is_some();
        let Some(record) = self.suspects.get_mut(&digest) else { return was_quarantined };
        let before = record.runs_since_cleared().count();
        record.cleared_at = record.cleared_at.max(at);
        let was_suspected = record.runs_since_cleared().count() < before;
        if was_suspected {
            // The crashes that it shared now count against the other requests alone.
            self.verdicts_due = Some(now);
        }
        was_suspected || was_quarantined
    }

    /// When verdicts are due.
    pub fn next_verdict(&self) -> Option<Moment> {
        self.verdicts_due
    }

    /// Whether a request may be quarantined once all reports on its last crash have arrived.
    pub fn is_verdict_pending(&self, now: Moment, digest: RequestDigest, parts: &PartSet) -> bool {
        let record = self.suspects.get(&digest);
        record.is_some_and(|record| self.settled_at(record) > now && record.is_suspicious())
            || self.part_suspects.is_verdict_pending(now, parts, &self.part_quarantines)
    }

    /// Records that a request with these parts was answered completely at `at`.
    pub fn record_sound_parts(&mut self, now: Moment, parts: &PartSet, at: Moment) -> ClearedParts {
        self.sound_parts.record(now, parts, at);
        let cleared = self.part_suspects.clear(parts, &self.sound_parts);
        let groups = self.part_quarantines.clear(parts);
        let cleared = ClearedParts { parts: cleared, groups };
        if !cleared.is_empty() {
            // The crashes that they shared now count against the other parts alone.
            self.verdicts_due = Some(now);
        }
        cleared
    }

    /// Those of the parts that were not answered lately.
    pub fn unproven_parts(&self, now: Moment, parts: &PartSet) -> PartSet {
        parts.iter().filter(|part| !self.sound_parts.is_sound(*part, now)).collect()
    }

    /// When a request with the part was last answered completely, if that is lately enough to show
    /// that the part does not crash upstreams.
    pub fn sound_since(&self, now: Moment, part: PartId) -> Option<Moment> {
        self.sound_parts.sound_since(part, now)
    }

    /// Decides on parts if that is due, and returns the groups whose quarantine starts now.
    pub fn take_part_verdicts(&mut self, now: Moment) -> Vec<StartedQuarantine> {
        if self.verdicts_due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.part_quarantines.drop_expired(now, &self.sound_parts);
        let verdicts = self.part_suspects.verdicts(now, &self.part_quarantines, &self.sound_parts);
        let mut started = Vec::new();
        for PartVerdict { parts, record } in verdicts {
            let until = self.part_quarantines.start(now, &parts, &record, &self.sound_parts);
            let CrashEvidence { sequential, crashes } = record.evidence;
            let span = until.since(now);
            warn!(
                "quarantine parts={parts} outcome=begun span={span} crashes={crashes} \
                 sequential={sequential}"
            );
            started.push(StartedQuarantine { parts, span });
        }
        started
    }

    /// Starts the quarantine of a group that another process reported, or extends it where that
    /// process knows more; returns whether it is new.
    pub fn adopt_parts(
        &mut self,
        now: Moment,
        parts: PartSet,
        span: Millis,
        source: VerdictSource,
    ) -> bool {
        match source {
            VerdictSource::Peer => self.part_quarantines.adopt_report(now, parts, span),
            VerdictSource::Store => self.part_quarantines.adopt_record(now, parts, span),
        }
    }

    /// Takes the quarantined groups that are to be written to the store, each with the span for
    /// its record.
    pub fn take_unrecorded_parts(&mut self) -> Vec<(PartSet, Millis)> {
        self.part_quarantines.take_unrecorded()
    }

    /// The quarantine that applies to a request with these parts.
    pub fn part_block(&self, now: Moment, parts: &PartSet) -> Option<PartBlock> {
        self.part_quarantines.block(now, parts, &self.sound_parts)
    }

    /// Records that one request of a quarantined group is tried.
    pub fn start_trial(&mut self, now: Moment, parts: &PartSet) {
        self.part_quarantines.start_trial(now, parts);
    }

    /// The quarantined groups, with the remaining time of each.
    pub fn active_parts(&self, now: Moment) -> Vec<(PartSet, Millis)> {
        let active = self.part_quarantines.active(&self.sound_parts);
        active.map(|(parts, until)| (parts.clone(), until.since(now))).collect()
    }

    /// The quarantined groups whose end is known from crashes or from peers, with the remaining
    /// time of each.
    pub fn confirmed_parts(&self, now: Moment) -> Vec<(PartSet, Millis)> {
        let confirmed = self.part_quarantines.confirmed(&self.sound_parts);
        confirmed.map(|(parts, until)| (parts.clone(), until.since(now))).collect()
    }

    /// When the upstream of a run crashed, if that is known.
    pub fn crashed_at(&self, run: &CrashedRun) -> Option<Moment> {
        self.part_suspects.crashed_at(&crash_id(run))
    }

    /// Whether several upstreams crashed under one of the parts.
    pub fn is_suspected(&self, parts: &PartSet) -> bool {
        self.part_suspects.is_suspected(parts)
    }

    /// The number of suspected parts.
    pub fn part_suspect_count(&self) -> usize {
        self.part_suspects.len()
    }

    /// Decides on the suspects if that is due, and returns the requests whose quarantine starts
    /// now.
    pub fn take_verdicts(&mut self, now: Moment) -> Vec<RequestDigest> {
        if self.verdicts_due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.drop_explained();
        let settle_times = self.suspects.values().map(|record| self.settled_at(record));
        let settle_times = settle_times.filter(|settled_at| *settled_at > now);
        self.verdicts_due = settle_times.chain(self.part_suspects.next_settled(now)).min();
        let settled = self.suspects.iter().filter(|(_, record)| self.settled_at(record) <= now);
        let mut settled: Vec<_> = settled.map(|(digest, _)| *digest).collect();
        // Those with the most evidence come first: crashes that they explain do not count against
        // others.
        settled.sort_by_cached_key(|digest| (Reverse(self.evidence(*digest)), *digest));
        let mut quarantined = Vec::new();
        for digest in settled {
            if self.is_cause(now, digest) && self.start(now, digest, QUARANTINE_SPAN) {
                quarantined.push(digest);
            }
        }
        quarantined
    }

    /// Starts a quarantine of length `span`; returns whether the request was not quarantined
    /// already.
    pub fn start(&mut self, now: Moment, digest: RequestDigest, span: Millis) -> bool {
        if self.remaining(now, digest).is_some() {
            return false;
        }
        if self.quarantined_until.len() >= QUARANTINE_LIMIT {
            let soonest = self.quarantined_until.iter().min_by_key(|(_, until)| **until);
            if let Some(soonest) = soonest.map(|(digest, _)| *digest) {
                self.quarantined_until.remove(&soonest);
            }
        }
        self.quarantined_until.insert(digest, now + span);
        true
    }

    /// How much longer a request is quarantined, or `None` if it may run.
    pub fn remaining(&self, now: Moment, digest: RequestDigest) -> Option<Millis> {
        let until = *self.quarantined_until.get(&digest)?;
        (until > now).then(|| until.since(now))
    }

    /// The number of quarantined requests.
    pub fn quarantined_count(&self, now: Moment) -> usize {
        self.quarantined_until.values().filter(|until| **until > now).count()
    }

    /// The quarantined requests, with the remaining time of each.
    pub fn active(&self, now: Moment) -> Vec<(RequestDigest, Millis)> {
        let active = self.quarantined_until.iter().filter(|(_, until)| **until > now);
        active.map(|(digest, until)| (*digest, until.since(now))).collect()
    }

    /// The number of suspected requests.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    fn is_cause(&self, now: Moment, digest: RequestDigest) -> bool {
        let Some(record) = self.suspects.get(&digest) else { return false };
        let trial_start = self.quarantined_until.get(&digest).filter(|until| **until <= now);
        if trial_start
            .is_some_and(|start| record.runs_since_cleared().any(|run| run.ended > *start))
        {
            return true;
        }
        if !record.is_suspicious() {
            return false;
        }
        let evidence = record.evidence();
        let unexplained =
            record.runs_since_cleared().filter(|run| !self.is_explained(now, run, evidence));
        let remaining = CrashEvidence::of(unexplained.map(run_span));
        let is_sole_cause =
            remaining.crashes >= MIN_CRASHES && remaining.sequential >= MIN_SEQUENTIAL_CRASHES;
        if evidence.sequential >= CONCLUSIVE_SEQUENTIAL_CRASHES {
            return true;
        }
        let crashes: Vec<_> = record.runs_since_cleared().map(crash_id).collect();
        is_sole_cause && !self.part_suspects.may_explain(digest, &crashes)
    }

    /// Drops the crashes at which a quarantined group of parts was present: they no longer count
    /// against the requests that were there.
    fn drop_explained(&mut self) {
        let explained: FastSet<CrashId> =
            self.part_suspects.explained_crashes(&self.part_quarantines);
        if explained.is_empty() {
            return;
        }
        self.suspects.retain(|_, record| {
            record.runs.retain(|run| !explained.contains(&crash_id(run)));
            !record.runs.is_empty()
        });
    }

    /// Whether another request that was present at the crash is at least as likely the cause.
    fn is_explained(&self, now: Moment, run: &CrashedRun, evidence: CrashEvidence) -> bool {
        self.suspects.iter().any(|(digest, other)| {
            let was_present =
                || other.runs_since_cleared().any(|other_run| other_run.is_same_crash(run));
            let is_as_likely =
                || other.evidence() >= evidence || self.remaining(now, *digest).is_some();
            *digest != run.digest && was_present() && is_as_likely()
        })
    }

    /// When all reports on a suspect's last crash have arrived.
    fn settled_at(&self, record: &SuspectRecord) -> Moment {
        record.last_crash() + self.settle
    }

    fn evidence(&self, digest: RequestDigest) -> Option<CrashEvidence> {
        self.suspects.get(&digest).map(SuspectRecord::evidence)
    }

    /// Drops expired records, and where there are too many the suspects with the fewest crashes.
    fn drop_expired(&mut self, now: Moment) {
        self.suspects.retain(|_, record| now.since(record.last_crash()) < SUSPICION_SPAN);
        self.quarantined_until.retain(|_, until| now.since(*until) < QUARANTINE_SPAN);
        while self.suspects.len() >= SUSPECTS_LIMIT {
            let weakest =
                self.suspects.iter().min_by_key(|(_, it)| (it.runs.len(), it.last_crash()));
            let Some(weakest) = weakest.map(|(digest, _)| *digest) else { break };
            self.suspects.remove(&weakest);
        }
    }
}

impl SuspectRecord {
    fn contains(&self, run: &CrashedRun) -> bool {
        self.runs.iter().any(|known| known.is_same_crash(run))
    }

    /// The crashes since the request was last answered completely.
    fn runs_since_cleared(&self) -> impl Iterator<Item = &CrashedRun> {
        self.runs.iter().filter(|run| run.ended > self.cleared_at)
    }

    fn evidence(&self) -> CrashEvidence {
        CrashEvidence::of(self.runs_since_cleared().map(run_span))
    }

    /// Whether enough upstreams crashed under the request, whichever other requests were present.
    fn is_suspicious(&self) -> bool {
        let evidence = self.evidence();
        evidence.crashes >= MIN_CRASHES && evidence.sequential >= MIN_SEQUENTIAL_CRASHES
    }

    fn last_crash(&self) -> Moment {
        self.runs.iter().map(|run| run.ended).max().unwrap_or_default()
    }
}

fn run_span(run: &CrashedRun) -> (Moment, Moment) {
    (run.sent, run.ended)
}

fn crash_id(run: &CrashedRun) -> CrashId {
    (run.upstream.clone(), run.start)
}
