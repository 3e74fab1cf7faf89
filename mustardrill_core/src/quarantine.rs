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

use std::cmp::Reverse;

use log::info;
use mustardrill_types::{FastMap, InstanceId, Millis, Moment, RequestDigest, StartStamp};

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

/// A run of a request during which its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// Identifies the request by its content.
    pub digest: RequestDigest,
    /// The upstream that crashed.
    pub upstream: InstanceId,
    /// The incarnation of the upstream.
    pub start: StartStamp,
    /// When the request was sent to the upstream.
    pub sent: Moment,
    /// When the upstream crashed.
    pub ended: Moment,
}

/// What processes report to each other about requests that were running when upstreams crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashReport {
    /// An upstream crashed while it ran the request.
    Crashed(CrashedRun),
    /// The request was answered completely at that moment, so no earlier crash counts against it.
    Sound(RequestDigest, Moment),
    /// The request is quarantined for the remaining time given.
    Quarantined(RequestDigest, Millis),
}

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
}

/// The crashes recorded against a request.
#[derive(Debug, Default)]
struct SuspectRecord {
    runs: Vec<CrashedRun>,
    /// When the request was last answered completely; crashes up to then do not count.
    cleared_at: Moment,
}

/// The evidence against a request: its crashes in sequence, then all its crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CrashEvidence {
    sequential: usize,
    crashes: usize,
}

impl QuarantineTable {
    /// Creates an empty table. Reports of other entries take up to `settle` to arrive.
    pub fn new(settle: Millis) -> Self {
        Self {
            settle,
            suspects: FastMap::default(),
            quarantined_until: FastMap::default(),
            verdicts_due: None,
        }
    }

    /// Records a run during which the upstream crashed; returns whether it was not known yet.
    pub fn record_crash(&mut self, now: Moment, run: CrashedRun) -> bool {
        if self.suspects.get(&run.digest).is_some_and(|record| record.contains(&run)) {
            return false;
        }
        self.drop_expired(now);
        info!(
            "quarantine digest={} instance={} ran={} outcome=suspected",
            run.digest,
            run.upstream,
            run.ended.since(run.sent)
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
    pub fn is_verdict_pending(&self, now: Moment, digest: RequestDigest) -> bool {
        let record = self.suspects.get(&digest);
        record.is_some_and(|record| self.settled_at(record) > now && record.is_suspicious())
    }

    /// Decides on the suspects if that is due, and returns the requests whose quarantine starts
    /// now.
    pub fn take_verdicts(&mut self, now: Moment) -> Vec<RequestDigest> {
        if self.verdicts_due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        let settle_times = self.suspects.values().map(|record| self.settled_at(record));
        self.verdicts_due = settle_times.filter(|settled_at| *settled_at > now).min();
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
        let remaining = CrashEvidence::of(unexplained);
        let is_sole_cause =
            remaining.crashes >= MIN_CRASHES && remaining.sequential >= MIN_SEQUENTIAL_CRASHES;
        is_sole_cause || evidence.sequential >= CONCLUSIVE_SEQUENTIAL_CRASHES
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

    /// Drops expired records, and the oldest suspects where there are too many.
    fn drop_expired(&mut self, now: Moment) {
        self.suspects.retain(|_, record| now.since(record.last_crash()) < SUSPICION_SPAN);
        self.quarantined_until.retain(|_, until| now.since(*until) < QUARANTINE_SPAN);
        while self.suspects.len() >= SUSPECTS_LIMIT {
            let oldest = self.suspects.iter().min_by_key(|(_, record)| record.last_crash());
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else { break };
            self.suspects.remove(&oldest);
        }
    }
}

impl CrashReport {
    /// Whether both report the same event. Times are ignored, as they differ a little with the path
    /// taken.
    pub fn is_same_event(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Crashed(one), Self::Crashed(other)) => {
                one.digest == other.digest && one.is_same_crash(other)
            }
            (Self::Sound(one, _), Self::Sound(other, _)) => one == other,
            (Self::Quarantined(one, _), Self::Quarantined(other, _)) => one == other,
            _ => false,
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
        CrashEvidence::of(self.runs_since_cleared())
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

impl CrashEvidence {
    fn of<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> Self {
        let mut spans: Vec<_> = runs.map(|run| (run.ended, run.sent)).collect();
        // Greedy selection by end time yields the largest set of runs that do not overlap, whatever
        // the order in which they were reported.
        spans.sort_unstable();
        let (mut sequential, mut free_from) = (0, Moment(0));
        for (ended, sent) in &spans {
            if *sent >= free_from {
                sequential += 1;
                free_from = *ended;
            }
        }
        Self { sequential, crashes: spans.len() }
    }
}

impl CrashedRun {
    /// Whether both runs ended with the same incarnation of the same upstream.
    fn is_same_crash(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.start == other.start
    }
}
