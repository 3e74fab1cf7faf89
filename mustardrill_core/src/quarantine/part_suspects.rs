//! Decides which parts of prompts crash upstreams.
//!
//! At each crash other requests are present, too, with their own parts. A part that was answered
//! completely shortly before a crash, or since, did not cause it. Of the others, the one that was
//! present at most crashes explains them, and what it explains does not count against the rest.
//! Parts that were present at the same crashes cannot be told apart: requests that have all of them
//! are quarantined, until one of the parts is answered without the others.

use std::cmp::Reverse;

use mustardrill_types::{
    FastMap, FastSet, InstanceId, Millis, Moment, PartId, PartSet, RequestDigest, StartStamp,
};

use crate::quarantine::evidence::CrashEvidence;
use crate::quarantine::part_quarantines::PartQuarantines;
use crate::quarantine::report::CrashedRun;
use crate::quarantine::sound_parts::SoundParts;
use crate::quarantine::{MIN_CRASHES, MIN_SEQUENTIAL_CRASHES, SUSPICION_SPAN};

/// Contents under which these crashes must have happened; a single content is quarantined as such.
const MIN_CONTENTS: usize = 2;

/// Crashes under a part that make up for what else speaks against a verdict.
pub(super) const CONCLUSIVE_CRASHES: usize = 5;

/// The share of crashes at which a part was present that shows that it is no other part's fault:
/// after a loss of power, a frequent part was at many of the upstreams, but not at all.
const NEARLY_ALL_PERCENT: usize = 90;

/// The least share of crashes at which the cause was present, unless there are
/// `CONCLUSIVE_CRASHES` of them: other parts may crash upstreams at the same time.
const FREQUENT_PERCENT: usize = 50;

/// Answers to requests with a part that are expected and missing before it is taken to be the cause
/// of a part of the crashes.
const MISSED_ANSWERS: usize = 6;

/// Time between crashes that have different reasons: a loss of power is observed within less.
const MOMENT_GAP: Millis = Millis(50);

/// Interval at which expired records are dropped; a crash is reported many times.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// Maximum number of suspected parts. One crash adds a few that were not answered lately.
const SUSPECTS_LIMIT: usize = 1_024;

/// Runs remembered per part.
const RUNS_PER_SUSPECT_LIMIT: usize = 48;

/// Crashes remembered, to compare how many of them a part was present at.
const CRASHES_LIMIT: usize = 256;

/// One crash: an incarnation of an upstream.
pub(super) type CrashId = (InstanceId, StartStamp);

/// The crash records of parts that may be the cause.
#[derive(Debug)]
pub(super) struct PartSuspects {
    /// How long the reports of other entries on a crash take to arrive.
    settle: Millis,
    records: FastMap<PartId, Vec<PartRun>>,
    /// Recent crashes.
    crashes: FastMap<CrashId, CrashRecord>,
    /// When expired records were last dropped.
    expired_at: Moment,
}

/// One crash, and what was present at it.
#[derive(Debug)]
struct CrashRecord {
    ended: Moment,
    /// When the last of its runs ended, by the reports so far.
    last_ended: Moment,
    /// The requests that were running.
    contents: FastSet<RequestDigest>,
    /// Whether any of them has parts that may be the cause.
    has_parts: bool,
}

/// A run of a request with the part.
#[derive(Debug, Clone)]
struct PartRun {
    crash: CrashId,
    digest: RequestDigest,
    /// All suspected parts of the request.
    parts: PartSet,
    sent: Moment,
    ended: Moment,
}

/// A group of parts that is taken to be the cause of crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartVerdict {
    pub(super) parts: PartSet,
    pub(super) record: GroupRecord,
}

/// The crashes at which all parts of a group were present in one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GroupRecord {
    pub(super) evidence: CrashEvidence,
    pub(super) first_crash: Moment,
    pub(super) last_crash: Moment,
}

/// The crashes that count against a part, one run for each.
#[derive(Debug)]
struct Candidate {
    part: PartId,
    evidence: CrashEvidence,
    crashes: FastMap<CrashId, (Moment, Moment)>,
}

impl PartSuspects {
    pub(super) fn new(settle: Millis) -> Self {
        Self {
            settle,
            records: FastMap::default(),
            crashes: FastMap::default(),
            expired_at: Moment(0),
        }
    }

    /// Records a crash against the parts of a run that are not known to be sound.
    pub(super) fn record_crash(&mut self, now: Moment, run: &CrashedRun, sound: &SoundParts) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL || self.is_full() {
            self.expired_at = now;
            self.drop_expired(now);
        }
        let crash = (run.upstream.clone(), run.start);
        let record = self.crashes.entry(crash.clone()).or_insert_with(|| CrashRecord {
            ended: run.ended,
            last_ended: run.ended,
            contents: FastSet::default(),
            has_parts: false,
        });
        record.last_ended = record.last_ended.max(run.ended);
        record.contents.insert(run.digest);
        record.has_parts |= !run.parts.is_empty();
        let suspects = run.parts.iter().filter(|part| !sound.is_sound(*part, run.ended));
        let parts: PartSet = suspects.collect();
        for part in parts.iter() {
            let runs = self.records.entry(part).or_default();
            if runs.iter().any(|known| known.crash == crash && known.digest == run.digest) {
                continue;
            }
            runs.push(PartRun {
                crash: crash.clone(),
                digest: run.digest,
                parts: parts.clone(),
                sent: run.sent,
                ended: run.ended,
            });
            if runs.len() > RUNS_PER_SUSPECT_LIMIT {
                runs.remove(0);
            }
        }
    }

    /// Forgets the crashes of parts that have been answered; returns those that had any.
    pub(super) fn clear(&mut self, parts: &PartSet, sound: &SoundParts) -> PartSet {
        let is_cleared = |part: &PartId| {
            let Some(runs) = self.records.get_mut(part) else { return false };
            let count = runs.len();
            runs.retain(|run| !sound.is_sound(*part, run.ended));
            let is_cleared = runs.len() < count;
            if runs.is_empty() {
                self.records.remove(part);
            }
            is_cleared
        };
        parts.iter().filter(is_cleared).collect()
    }

    /// When the next crash will have been reported by all entries.
    pub(super) fn next_settled(&self, now: Moment) -> Option<Moment> {
        let settled = self.crashes.values().map(|crash| crash.last_ended + self.settle);
        settled.filter(|at| *at > now).min()
    }

    /// Whether a verdict on one of the parts may follow once all reports on the last crashes have
    /// arrived.
    pub(super) fn is_verdict_pending(
        &self,
        now: Moment,
        parts: &PartSet,
        quarantines: &PartQuarantines,
    ) -> bool {
        let is_pending = |part: PartId| {
            let Some(runs) = self.records.get(&part) else { return false };
            if runs.iter().all(|run| self.is_settled(now, run)) {
                return false;
            }
            let explained = self.explained_crashes(quarantines);
            let unexplained = runs.iter().filter(|run| !explained.contains(&run.crash));
            Candidate::of(part, unexplained).is_suspicious(runs)
        };
        parts.iter().any(is_pending)
    }

    /// Whether all reports on the crash of a run have arrived. A crash counts against all parts that
    /// were present or against none: its runs end some milliseconds apart for their entries.
    fn is_settled(&self, now: Moment, run: &PartRun) -> bool {
        let record = self.crashes.get(&run.crash);
        record.map_or(run.ended, |record| record.last_ended) + self.settle <= now
    }

    /// When an incarnation of an upstream crashed, if that is known.
    pub(super) fn crashed_at(&self, crash: &CrashId) -> Option<Moment> {
        self.crashes.get(crash).map(|record| record.ended)
    }

    /// Whether several upstreams crashed under one of the parts.
    pub(super) fn is_suspected(&self, parts: &PartSet) -> bool {
        let has_several = |part: PartId| {
            let runs = self.records.get(&part);
            runs.is_some_and(|runs| runs.iter().any(|run| run.crash != runs[0].crash))
        };
        parts.iter().any(has_several)
    }

    /// The number of suspected parts.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the groups of parts that caused crashes which no quarantine explains yet.
    pub(super) fn verdicts(
        &self,
        now: Moment,
        quarantines: &PartQuarantines,
        sound: &SoundParts,
    ) -> Vec<PartVerdict> {
        let explained = self.explained_crashes(quarantines);
        let is_counted =
            |run: &&PartRun| self.is_settled(now, run) && !explained.contains(&run.crash);
        let candidates = self
            .records
            .iter()
            .map(|(part, runs)| (Candidate::of(*part, runs.iter().filter(is_counted)), runs));
        let candidates = candidates.filter(|(candidate, runs)| candidate.is_suspicious(runs));
        let mut candidates: Vec<_> = candidates.map(|(candidate, _)| candidate).collect();
        candidates.sort_by_key(|candidate| (Reverse(candidate.strength()), candidate.part));
        let mut verdicts: Vec<PartVerdict> = Vec::new();
        for candidate in &candidates {
            if verdicts.iter().any(|verdict| verdict.parts.contains(candidate.part)) {
                continue;
            }
            if self.is_cause(candidate, &candidates, &explained, sound) {
                verdicts.extend(self.verdict(candidate, &candidates));
            }
        }
        verdicts
    }

    /// The crashes at which a quarantined group of parts was present.
    pub(super) fn explained_crashes(&self, quarantines: &PartQuarantines) -> FastSet<CrashId> {
        let mut explained = FastSet::default();
        for group in quarantines.groups() {
            let runs = group.iter().next().and_then(|part| self.records.get(&part));
            let present = runs.into_iter().flatten().filter(|run| run.parts.contains_all(group));
            explained.extend(present.map(|run| run.crash.clone()));
        }
        explained
    }

    /// Whether a suspected part that the content lacks was present at all of these crashes, under
    /// several contents, and so may be the cause as well.
    pub(super) fn may_explain(&self, digest: RequestDigest, crashes: &[CrashId]) -> bool {
        self.records.values().any(|runs| {
            let is_elsewhere = |run: &PartRun| run.digest != digest;
            let present: FastSet<_> =
                runs.iter().filter(|run| is_elsewhere(run)).map(|run| &run.crash).collect();
            crashes.iter().all(|crash| present.contains(crash))
        })
    }

    /// Whether the crashes that no part with as many crashes explains are enough for a verdict.
    fn is_cause(
        &self,
        candidate: &Candidate,
        candidates: &[Candidate],
        explained: &FastSet<CrashId>,
        sound: &SoundParts,
    ) -> bool {
        let rivals = candidates.iter().filter(|other| {
            other.strength() >= candidate.strength() && !other.is_companion_of(candidate)
        });
        let by_rivals: FastSet<_> = rivals.flat_map(|other| other.crashes.keys()).collect();
        let unexplained = candidate.crashes.iter().filter(|(crash, _)| !by_rivals.contains(crash));
        let spans: Vec<_> = unexplained.map(|(_, span)| *span).collect();
        let evidence = CrashEvidence::of(spans.iter().copied());
        if evidence.crashes < MIN_CRASHES {
            return false;
        }
        let first_crash = candidate.first_crash();
        let crashes_since: Vec<_> = self
            .crashes
            .iter()
            .filter(|(_, record)| record.has_parts && record.ended >= first_crash)
            .filter(|(crash, _)| !explained.contains(*crash))
            .collect();
        let percent = evidence.crashes * 100 / crashes_since.len().max(1);
        let is_over_time = evidence.sequential >= MIN_SEQUENTIAL_CRASHES
            || distinct_moments(&spans) >= CONCLUSIVE_CRASHES;
        let answers = sound.answers_since(first_crash);
        if percent < NEARLY_ALL_PERCENT {
            // A frequent part that is not the cause crashes with others at the same moment, or is
            // among the answers.
            let others =
                crashes_since.iter().filter(|(crash, _)| !candidate.crashes.contains_key(*crash));
            let others: Vec<_> = others.map(|(_, record)| record.ended).collect();
            let is_alone = |(_, ended): &&(Moment, Moment)| {
                others.iter().all(|other| other.distance(*ended) >= MOMENT_GAP)
            };
            let is_frequent = percent >= FREQUENT_PERCENT;
            let least = if is_frequent { MIN_CRASHES } else { CONCLUSIVE_CRASHES };
            let is_shown = spans.iter().filter(is_alone).count() >= least;
            let is_missed = is_frequent && self.is_missed(candidate, answers);
            return is_over_time && answers > 0 && (is_shown || is_missed);
        }
        // Without an answer since, the upstreams may crash for a reason of their own.
        let is_told_apart = answers > 0 || self.has_other_runs(candidate);
        is_over_time && (is_told_apart || evidence.sequential >= CONCLUSIVE_CRASHES)
    }

    /// Whether some of these answers would have been to requests with the part, if those were
    /// answered as often as the requests that were present at its crashes.
    fn is_missed(&self, candidate: &Candidate, answers: usize) -> bool {
        let (with_part, all) = self.run_counts(candidate);
        answers * with_part >= MISSED_ANSWERS * (all - with_part.min(all))
    }

    /// Whether a request without the part was present at one of its crashes.
    fn has_other_runs(&self, candidate: &Candidate) -> bool {
        let (with_part, all) = self.run_counts(candidate);
        with_part < all
    }

    /// How many requests with the part were present at its crashes, and how many in all.
    fn run_counts(&self, candidate: &Candidate) -> (usize, usize) {
        let runs = self.records.get(&candidate.part).into_iter().flatten();
        let with_part: FastSet<_> = runs
            .filter(|run| candidate.crashes.contains_key(&run.crash))
            .map(|run| (&run.crash, run.digest))
            .collect();
        let records = candidate.crashes.keys().filter_map(|crash| self.crashes.get(crash));
        (with_part.len(), records.map(|record| record.contents.len()).sum())
    }

    /// The verdict on a candidate and its companions; `None` if no request has them all, so that
    /// the next crash has to tell them apart.
    fn verdict(&self, candidate: &Candidate, candidates: &[Candidate]) -> Option<PartVerdict> {
        let companions = candidates.iter().filter(|other| other.is_companion_of(candidate));
        let parts: PartSet = companions.map(|other| other.part).collect();
        let record = self.record_of(&parts)?;
        Some(PartVerdict { parts, record })
    }

    /// The crashes of a group; `None` where no run had all its parts.
    pub(super) fn record_of(&self, group: &PartSet) -> Option<GroupRecord> {
        let part = group.iter().next()?;
        let runs = self.records.get(&part)?.iter().filter(|run| run.parts.contains_all(group));
        let candidate = Candidate::of(part, runs);
        let ended = || candidate.crashes.values().map(|(_, ended)| *ended);
        Some(GroupRecord {
            evidence: candidate.evidence,
            first_crash: ended().min()?,
            last_crash: ended().max()?,
        })
    }

    fn is_full(&self) -> bool {
        self.records.len() >= SUSPECTS_LIMIT || self.crashes.len() >= CRASHES_LIMIT
    }

    /// Drops expired records, and where there are too many the parts with the fewest crashes.
    fn drop_expired(&mut self, now: Moment) {
        let is_recent = |ended: Moment| now.since(ended) < SUSPICION_SPAN;
        self.records.retain(|_, runs| {
            runs.retain(|run| is_recent(run.ended));
            !runs.is_empty()
        });
        self.crashes.retain(|_, crash| is_recent(crash.ended));
        while self.records.len() >= SUSPECTS_LIMIT {
            let last_crash = |runs: &[PartRun]| runs.iter().map(|run| run.ended).max();
            let weakest =
                self.records.iter().min_by_key(|(_, runs)| (runs.len(), last_crash(runs)));
            let Some(weakest) = weakest.map(|(part, _)| *part) else { break };
            self.records.remove(&weakest);
        }
        while self.crashes.len() >= CRASHES_LIMIT {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.ended);
            let Some(oldest) = oldest.map(|(crash, _)| crash.clone()) else { break };
            self.crashes.remove(&oldest);
        }
    }
}

/// How many of the crashes happened at moments that are `MOMENT_GAP` apart.
fn distinct_moments(spans: &[(Moment, Moment)]) -> usize {
    let mut ended: Vec<_> = spans.iter().map(|(_, ended)| *ended).collect();
    ended.sort_unstable();
    let mut last: Option<Moment> = None;
    ended.retain(|at| {
        let is_distinct = last.is_none_or(|last| at.since(last) >= MOMENT_GAP);
        if is_distinct {
            last = Some(*at);
        }
        is_distinct
    });
    ended.len()
}

impl Candidate {
    fn of<'a>(part: PartId, runs: impl Iterator<Item = &'a PartRun>) -> Self {
        let mut crashes: FastMap<CrashId, (Moment, Moment)> = FastMap::default();
        for run in runs {
            let span = crashes.entry(run.crash.clone()).or_insert((run.sent, run.ended));
            // Of several runs at one crash, the one that was sent last is the more likely cause.
            *span = (span.0.max(run.sent), span.1.min(run.ended));
        }
        let evidence = CrashEvidence::of(crashes.values().copied());
        Self { part, evidence, crashes }
    }

    /// Whether enough upstreams crashed under the part and under several contents with it.
    fn is_suspicious(&self, runs: &[PartRun]) -> bool {
        if self.evidence.crashes < MIN_CRASHES {
            return false;
        }
        let present = runs.iter().filter(|run| self.crashes.contains_key(&run.crash));
        let mut crashes_by_content: FastMap<RequestDigest, usize> = FastMap::default();
        present.for_each(|run| *crashes_by_content.entry(run.digest).or_default() += 1);
        let most = crashes_by_content.values().max().copied().unwrap_or_default();
        // A content that was present each time is the narrower cause.
        crashes_by_content.len() >= MIN_CONTENTS && most < self.evidence.crashes
    }

    /// Whether both parts were present at the same crashes; true for the part itself.
    fn is_companion_of(&self, other: &Self) -> bool {
        self.crashes.len() == other.crashes.len()
            && self.crashes.keys().all(|crash| other.crashes.contains_key(crash))
    }

    /// The order of suspicion. The cause was present at all of its crashes, whereas another part's
    /// runs may happen to be more of a sequence.
    fn strength(&self) -> (usize, usize) {
        (self.evidence.crashes, self.evidence.sequential)
    }

    fn first_crash(&self) -> Moment {
        self.crashes.values().map(|(_, ended)| *ended).min().unwrap_or_default()
    }
}
