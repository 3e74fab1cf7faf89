//! What an entry makes of requests under which upstreams end.

use log::{info, warn};
use mustardrill_types::{Moment, RequestDigest, ResultCode};

use crate::direct::crash_words::CrashWord;
use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::upstream::UpstreamStart;
use crate::quarantine::CrashedRun;

impl DirectReducer {
    /// Notes that an upstream ended while it had a request of this entry, and tells the others.
    pub(super) fn run_crashed(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: &UpstreamStart,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        // One that leaves ends as it said; what it had was too long for it.
        let listed = self.upstreams.get(&upstream.id);
        let is_awaited = listed.is_some_and(|it| it.start() == *upstream && !it.record.leaving);
        if !is_awaited {
            return Vec::new();
        }
        let run = CrashedRun {
            digest: state.digest,
            upstream: upstream.id.clone(),
            start: upstream.start,
            sent: state.sent,
            ended: now,
        };
        self.crash_words.push(now, CrashWord::Crashed(run.clone()));
        self.suspect(now, run)
    }

    /// Notes that a request was answered whole: it is none that upstreams end under.
    pub(super) fn run_succeeded(&mut self, now: Moment, digest: RequestDigest) {
        if self.quarantine.succeeded(digest) {
            info!("quarantine digest={digest} outcome=sound");
            self.crash_words.push(now, CrashWord::Sound(digest));
        }
    }

    /// Takes what another entry tells.
    pub(super) fn crash_heard(&mut self, now: Moment, word: CrashWord) -> Vec<DirectEffect> {
        match word {
            CrashWord::Crashed(run) => self.suspect(now, run),
            CrashWord::Sound(digest) => {
                if self.quarantine.succeeded(digest) {
                    info!("quarantine digest={digest} outcome=sound source=entry");
                }
                Vec::new()
            }
        }
    }

    /// What is to be told to the other entries at `now`.
    pub fn crash_words(&mut self, now: Moment) -> Vec<CrashWord> {
        self.crash_words.due(now)
    }

    fn suspect(&mut self, now: Moment, run: CrashedRun) -> Vec<DirectEffect> {
        let digest = run.digest;
        let (upstream, took) = (run.upstream.clone(), run.ended.since(run.sent));
        if !self.quarantine.crashed(now, run) {
            return Vec::new();
        }
        info!("quarantine digest={digest} instance={upstream} ran={took} outcome=suspected");
        if !self.quarantine.judge(now, digest) {
            return Vec::new();
        }
        warn!("quarantine digest={digest} outcome=begun");
        self.refuse_waiting(now, digest)
    }

    /// Refuses the requests that wait to be run once more; those at upstreams may yet be answered,
    /// and so prove that the request is sound.
    fn refuse_waiting(&mut self, now: Moment, digest: RequestDigest) -> Vec<DirectEffect> {
        let waits = |state: &RequestState| matches!(state.stage, RequestStage::Waiting(_));
        let same = self.requests.values().filter(|it| it.digest == digest && waits(it));
        let mut waiting: Vec<_> = same.map(|state| state.number).collect();
        waiting.sort_unstable();
        let retry_after = self.quarantine.remaining(now, digest).unwrap_or_default();
        let refuse = |number| self.refuse(now, number, ResultCode::Quarantined, retry_after);
        waiting.into_iter().flat_map(refuse).collect()
    }
}
