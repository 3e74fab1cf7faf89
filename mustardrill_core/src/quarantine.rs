//! Which requests are run no more for a while, as upstreams end under them.
//!
//! Load pattern: a request ends each upstream that begins to run it, and comes again, from its
//! caller and through every entry. Sent on each time it takes the whole service away, and with each
//! upstream the other requests there. Entries therefore tell each other which requests an upstream
//! had when it ended, and one that was there each time is run no more.

use mustardrill_types::{FastMap, InstanceId, Millis, Moment, RequestDigest, StartStamp};

/// Upstreams that ended under a request before it is held to be the cause.
const LEAST_CRASHES: usize = 3;

/// For how long a request is run no more. After that it is tried again, as the software or the
/// weights may have been mended; the first upstream that ends under it ends the trial.
pub const QUARANTINE_SPAN: Millis = Millis(600_000);

/// How long a crash is remembered against the requests that were there.
const SUSPICION_SPAN: Millis = Millis(600_000);

/// Requests that are suspected at most; a crash adds those of one upstream, 20 or so.
const SUSPECTS_LIMIT: usize = 1_024;

/// Crashes that are remembered of one request.
const RUNS_LIMIT: usize = 16;

/// Requests in quarantine at most.
const QUARANTINE_LIMIT: usize = 4_096;

/// A run of a request that ended with its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRun {
    /// The request.
    pub digest: RequestDigest,
    /// The upstream.
    pub upstream: InstanceId,
    /// Which start of it.
    pub start: StartStamp,
    /// When the request was sent to it.
    pub sent: Moment,
    /// When it ended.
    pub ended: Moment,
}

/// The requests under which upstreams ended, and those of them that are run no more.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    suspects: FastMap<RequestDigest, Vec<CrashedRun>>,
    /// Until when requests are run no more; kept for as long again, for a trial that fails.
    terms: FastMap<RequestDigest, Moment>,
}

impl QuarantineTable {
    /// Notes a run that ended with its upstream; says whether it was not known yet.
    pub fn crashed(&mut self, now: Moment, run: CrashedRun) -> bool {
        self.forget(now);
        let runs = self.suspects.entry(run.digest).or_default();
        if runs.iter().any(|known| known.upstream == run.upstream && known.start == run.start) {
            return false;
        }
        runs.push(run);
        if runs.len() > RUNS_LIMIT {
            runs.remove(0);
        }
        true
    }

    /// Notes that a request was answered whole; says whether anything was held against it.
    pub fn succeeded(&mut self, digest: RequestDigest) -> bool {
        let was_suspected = self.suspects.remove(&digest).is_some();
        self.terms.remove(&digest).is_some() || was_suspected
    }

    /// Decides on a request under which an upstream has ended; says whether its quarantine begins.
    pub fn judge(&mut self, now: Moment, digest: RequestDigest) -> bool {
        let is_guilty = self.suspects.get(&digest).is_some_and(|runs| runs.len() >= LEAST_CRASHES);
        is_guilty && self.begin(now, digest)
    }

    /// Begins a request's quarantine; says whether it was not in it.
    pub fn begin(&mut self, now: Moment, digest: RequestDigest) -> bool {
        if self.remaining(now, digest).is_some() {
            return false;
        }
        let soonest = self.terms.iter().min_by_key(|(_, until)| **until);
        if let (Some(soonest), true) =
            (soonest.map(|(digest, _)| *digest), self.terms.len() >= QUARANTINE_LIMIT)
        {
            self.terms.remove(&soonest);
        }
        self.terms.insert(digest, now + QUARANTINE_SPAN);
        true
    }

    /// How long a request is yet to be run no more; nothing where it may run.
    pub fn remaining(&self, now: Moment, digest: RequestDigest) -> Option<Millis> {
        let until = *self.terms.get(&digest)?;
        (until > now).then(|| until.since(now))
    }

    /// Forgets what is long ago, and the oldest suspects where there are too many.
    fn forget(&mut self, now: Moment) {
        let last = |runs: &[CrashedRun]| runs.iter().map(|run| run.ended).max();
        self.suspects
            .retain(|_, runs| last(runs).is_some_and(|last| now.since(last) < SUSPICION_SPAN));
        self.terms.retain(|_, until| now.since(*until) < QUARANTINE_SPAN);
        while self.suspects.len() >= SUSPECTS_LIMIT {
            let oldest = self.suspects.iter().min_by_key(|(_, runs)| last(runs));
            let Some(oldest) = oldest.map(|(digest, _)| *digest) else { break };
            self.suspects.remove(&oldest);
        }
    }
}
