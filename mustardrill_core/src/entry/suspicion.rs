//! Quarantine of requests that crash upstreams, as one entry applies it.

use log::{info, warn};
use mustardrill_types::{InstanceId, Millis, Moment, PartSet, ResultCode, StartStamp};

use crate::entry::event::{EntryEffect, RequestId};
use crate::entry::reducer::EntryReducer;
use crate::entry::request::{RequestStage, RequestState};
use crate::quarantine::{
    CrashReport, CrashedRun, PartBlock, QUARANTINE_SPAN, QuarantineSubject, StartedQuarantine,
    VerdictSource,
};

impl EntryReducer {
    /// Handles an attempt during which its upstream crashed: the crash is reported to the other
    /// entries, and the request is retried unless it is now suspected.
    pub(super) fn upstream_crashed(
        &mut self,
        now: Moment,
        id: RequestId,
        instance: &InstanceId,
        start: StartStamp,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        state.may_have_run = true;
        state.has_crashed_upstream = true;
        let run = CrashedRun {
            digest: state.digest,
            parts: self.quarantine.unproven_parts(now, &state.parts),
            upstream: instance.clone(),
            start,
            sent: state.sent_at,
            ended: now,
        };
        self.crashes.record(now, CrashReport::Crashed(run.clone()));
        self.quarantine.record_crash(now, run);
        self.hold_suspect(now, id)
            .unwrap_or_else(|| self.attempt_lost(now, id, ResultCode::Unknown))
    }

    /// Clears a request of suspicion, as it was answered completely without a crash.
    ///
    /// An answer of which the caller had a part from an earlier attempt shows nothing: only its rest
    /// was run.
    pub(super) fn record_complete_answer(&mut self, now: Moment, state: &RequestState) {
        if state.has_resumed {
            return;
        }
        let digest = state.digest;
        if self.quarantine.record_success(now, digest, now) {
            info!("quarantine digest={digest} outcome=sound");
            self.crashes.record(now, CrashReport::Sound(digest, now));
        }
        if !self.quarantine.record_sound_parts(now, &state.parts, now).is_empty() {
            info!("quarantine parts={} outcome=sound", state.parts);
            self.crashes.record(now, CrashReport::PartsSound(state.parts.clone(), now));
        }
    }

    /// Applies the crash reports of other entries, which an agent passed on.
    pub(super) fn record_crash_reports(&mut self, now: Moment, reports: Vec<CrashReport>) {
        for report in reports {
            match report {
                CrashReport::Crashed(run) => {
                    self.object_for_sound_parts(now, &run.parts);
                    self.quarantine.record_crash(now, run);
                }
                CrashReport::Sound(digest, at) => {
                    self.crashes.remove_quarantine(&digest.into());
                    if self.quarantine.record_success(now, digest, at) {
                        info!("quarantine digest={digest} outcome=sound source=agent");
                    }
                }
                CrashReport::Quarantined(QuarantineSubject::Content(digest), remaining) => {
                    if self.quarantine.start(now, digest, remaining) {
                        info!("quarantine digest={digest} outcome=begun source=agent");
                        self.crashes
                            .record(now, CrashReport::Quarantined(digest.into(), remaining));
                    }
                }
                CrashReport::PartsSound(parts, at) => {
                    if !self.quarantine.record_sound_parts(now, &parts, at).is_empty() {
                        info!("quarantine parts={parts} outcome=sound source=agent");
                        self.crashes.record(now, CrashReport::PartsSound(parts, at));
                    }
                }
                CrashReport::Quarantined(QuarantineSubject::Parts(parts), remaining) => {
                    self.object_for_sound_parts(now, &parts);
                    let unproven = self.quarantine.unproven_parts(now, &parts);
                    let source = VerdictSource::Peer;
                    if !unproven.is_empty()
                        && self.quarantine.adopt_parts(now, unproven.clone(), remaining, source)
                    {
                        info!("quarantine parts={unproven} outcome=begun source=agent");
                        let report = CrashReport::Quarantined(unproven.into(), remaining);
                        self.crashes.record(now, report);
                    }
                }
            }
        }
    }

    /// Reports parts as sound that this entry knows to be so, where crashes count against them.
    fn object_for_sound_parts(&mut self, now: Moment, parts: &PartSet) {
        for part in parts.iter() {
            if let Some(at) = self.quarantine.sound_since(now, part) {
                let parts = [part].into_iter().collect();
                self.crashes.record(now, CrashReport::PartsSound(parts, at));
            }
        }
    }

    /// Rejects a quarantined request; `None` where the request is not quarantined.
    pub(super) fn reject_quarantined(
        &mut self,
        now: Moment,
        id: RequestId,
    ) -> Option<Vec<EntryEffect>> {
        let (code, remaining) = self.check_quarantine(now, id)?;
        let state = self.requests.get(id)?;
        // No attempt has run, so the key's claim is released.
        let released = if state.may_have_run { None } else { self.release_claim(now, state) };
        let mut effects: Vec<_> = released.into_iter().collect();
        effects.extend(self.reject(now, id, code, remaining));
        Some(effects)
    }

    /// The rejection of a quarantined request, as code and time to retry. `None` if it may run, as
    /// the one of its prefix that this entry tries.
    fn check_quarantine(&mut self, now: Moment, id: RequestId) -> Option<(ResultCode, Millis)> {
        let state = self.requests.get_mut(id)?;
        if let Some(remaining) = self.quarantine.remaining(now, state.digest) {
            return Some((ResultCode::Quarantined, remaining));
        }
        let block = self.quarantine.part_block(now, &state.parts)?;
        if block.is_trial_due && !state.is_trial {
            info!("request={id} decision=try parts={}", block.parts);
            state.is_trial = true;
            self.quarantine.start_trial(now, &block.parts);
        }
        if state.is_trial {
            return None;
        }
        let retry_after = block.until.since(now).max(Millis(1));
        info!("request={id} decision=quarantine parts={} left={retry_after}", block.parts);
        Some((PartBlock::refusal_code(state.has_crashed_upstream), retry_after))
    }

    /// Rejects a quarantined request, or holds a suspected one until the verdict on it. `None`
    /// where the request may be sent.
    pub(super) fn hold_suspect(&mut self, now: Moment, id: RequestId) -> Option<Vec<EntryEffect>> {
        if let Some(refusal) = self.reject_quarantined(now, id) {
            return Some(refusal);
        }
        let state = self.requests.get_mut(id)?;
        if !self.quarantine.is_verdict_pending(now, state.digest, &state.parts) {
            return None;
        }
        info!("request={id} decision=hold reason=verdict digest={}", state.digest);
        state.stage = RequestStage::AwaitingVerdict;
        self.awaiting_verdict.push(id);
        Some(Vec::new())
    }

    /// Takes the verdicts that are due, and resumes the requests held for them.
    pub(super) fn apply_verdicts(&mut self, now: Moment) -> Vec<EntryEffect> {
        if self.quarantine.next_verdict().is_none_or(|due| due > now) {
            return Vec::new();
        }
        for StartedQuarantine { parts, span } in self.quarantine.take_part_verdicts(now) {
            self.crashes.record(now, CrashReport::Quarantined(parts.into(), span));
        }
        for digest in self.quarantine.take_verdicts(now) {
            warn!("quarantine digest={digest} outcome=begun");
            self.crashes.record(now, CrashReport::Quarantined(digest.into(), QUARANTINE_SPAN));
        }
        let held = std::mem::take(&mut self.awaiting_verdict);
        held.into_iter().flat_map(|id| self.resume(now, id)).collect()
    }

    /// Continues with a request that was held for a verdict.
    fn resume(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        if let Some(effects) = self.hold_suspect(now, id) {
            return effects;
        }
        match self.requests.get(id) {
            Some(state) if state.may_have_run => self.attempt_lost(now, id, ResultCode::Unknown),
            Some(_) => self.start_request(now, id),
            None => Vec::new(),
        }
    }
}
