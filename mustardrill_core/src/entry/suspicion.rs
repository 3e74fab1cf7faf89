//! What an entry makes of requests under which upstreams end.

use log::{info, warn};
use mustardrill_types::{InstanceId, Moment, RequestDigest, ResultCode, StartStamp};

use crate::entry::event::{EntryEffect, RequestId};
use crate::entry::reducer::EntryReducer;
use crate::entry::request::RequestStage;
use crate::quarantine::{CrashReport, CrashedRun, QUARANTINE_SPAN};

impl EntryReducer {
    /// Goes on after an attempt whose upstream ended.
    pub(super) fn upstream_ended(
        &mut self,
        now: Moment,
        id: RequestId,
        instance: &InstanceId,
        start: StartStamp,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        state.may_have_run = true;
        let run = CrashedRun {
            digest: state.digest,
            upstream: instance.clone(),
            start,
            sent: state.sent,
            ended: now,
        };
        self.crashes.record(now, CrashReport::Crashed(run.clone()));
        self.quarantine.record_crash(now, run);
        self.hold_suspect(now, id).unwrap_or_else(|| self.lost(now, id, ResultCode::Unknown))
    }

    /// Notes that a request was answered whole: it is none that upstreams end under.
    pub(super) fn run_succeeded(&mut self, now: Moment, digest: RequestDigest) {
        if self.quarantine.record_success(now, digest, now) {
            info!("quarantine digest={digest} outcome=sound");
            self.crashes.record(now, CrashReport::Sound(digest, now));
        }
    }

    /// Takes what an agent passes on.
    pub(super) fn crashes_heard(&mut self, now: Moment, words: Vec<CrashReport>) {
        for word in words {
            match word {
                CrashReport::Crashed(run) => {
                    self.quarantine.record_crash(now, run);
                }
                CrashReport::Sound(digest, at) => {
                    self.crashes.remove_quarantine(digest);
                    if self.quarantine.record_success(now, digest, at) {
                        info!("quarantine digest={digest} outcome=sound source=agent");
                    }
                }
                CrashReport::Quarantined(digest, left) => {
                    if self.quarantine.start(now, digest, left) {
                        info!("quarantine digest={digest} outcome=begun source=agent");
                        self.crashes.record(now, CrashReport::Quarantined(digest, left));
                    }
                }
            }
        }
    }

    /// Rejects a request that is run no more; nothing where it may run.
    pub(super) fn reject_quarantined(
        &mut self,
        now: Moment,
        id: RequestId,
    ) -> Option<Vec<EntryEffect>> {
        let state = self.requests.get(id)?;
        let left = self.quarantine.remaining(now, state.digest)?;
        // A sending that was not run gives its key back.
        let released = if state.may_have_run { None } else { self.release_claim(now, state) };
        let mut effects: Vec<_> = released.into_iter().collect();
        effects.extend(self.reject(now, id, ResultCode::Quarantined, left));
        Some(effects)
    }

    /// Keeps a request from being run: it is rejected, or waits for the verdict on it. Nothing where
    /// it may run.
    pub(super) fn hold_suspect(&mut self, now: Moment, id: RequestId) -> Option<Vec<EntryEffect>> {
        if let Some(refusal) = self.reject_quarantined(now, id) {
            return Some(refusal);
        }
        let state = self.requests.get_mut(id)?;
        if !self.quarantine.is_verdict_pending(now, state.digest) {
            return None;
        }
        info!("request={id} decision=hold reason=verdict digest={}", state.digest);
        state.stage = RequestStage::Judged;
        self.undecided.push(id);
        Some(Vec::new())
    }

    /// Decides on the suspects, where that is due, and goes on with what waited for it.
    pub(super) fn decide_suspects(&mut self, now: Moment) -> Vec<EntryEffect> {
        if self.quarantine.next_verdict().is_none_or(|due| due > now) {
            return Vec::new();
        }
        for digest in self.quarantine.take_verdicts(now) {
            warn!("quarantine digest={digest} outcome=begun");
            self.crashes.record(now, CrashReport::Quarantined(digest, QUARANTINE_SPAN));
        }
        let undecided = std::mem::take(&mut self.undecided);
        undecided.into_iter().flat_map(|id| self.resume(now, id)).collect()
    }

    /// Goes on with a request that waited for the verdict on it.
    fn resume(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        if let Some(held) = self.hold_suspect(now, id) {
            return held;
        }
        match self.requests.get(id) {
            Some(state) if state.may_have_run => self.lost(now, id, ResultCode::Unknown),
            Some(_) => self.begin(now, id),
            None => Vec::new(),
        }
    }
}
