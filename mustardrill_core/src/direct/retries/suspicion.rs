//! How an entry handles requests that were running when upstreams crashed.

use log::{info, warn};
use mustardrill_types::{Millis, Moment, PartSet, RequestDigest, ResultCode};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::retries::unattributed_runs::is_near;
use crate::quarantine::{
    CrashReport, CrashedRun, QUARANTINE_SPAN, QuarantineSubject, VerdictSource,
};
use crate::rendezvous;

/// Quarantines named in one reminder.
const REMINDERS_LIMIT: usize = 64;

impl DirectReducer {
    /// Records that an upstream crashed while it ran a request of this entry, and broadcasts that
    /// to the peers.
    pub(in crate::direct) fn record_run_crash(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: &UpstreamStart,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        let run = self.run_of(now, state, upstream);
        // An upstream that is draining stops as announced; the request merely took too long for it.
        // That is not a crash, unless the request has parts under which others crashed.
        let listed = self.upstreams.get(&upstream.id);
        let is_unplanned =
            listed.is_some_and(|listed| listed.start() == *upstream && !listed.record.leaving);
        if !is_unplanned && !self.quarantine.is_suspected(&run.parts) {
            return;
        }
        self.crash_reports.push(now, CrashReport::Crashed(run.clone()));
        self.record_crashed_run(now, run);
    }

    /// Remembers a run that ended without an answer, in case that its upstream crashed.
    pub(in crate::direct) fn record_unattributed_run(&mut self, now: Moment, run: CrashedRun) {
        match self.quarantine.crashed_at(&run) {
            Some(crashed_at) if is_near(now, crashed_at) => {
                self.crash_reports.push(now, CrashReport::Crashed(run.clone()));
                self.record_crashed_run(now, run);
            }
            _ => self.unattributed_runs.push(run),
        }
    }

    /// Remembers the current attempt of a request, which was lost.
    pub(in crate::direct) fn record_lost_run(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: &UpstreamStart,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        let run = self.run_of(now, state, upstream);
        self.record_unattributed_run(now, run);
    }

    /// The current attempt of a request, as a run that ends now.
    pub(in crate::direct) fn run_of(
        &self,
        now: Moment,
        state: &RequestState,
        upstream: &UpstreamStart,
    ) -> CrashedRun {
        CrashedRun {
            digest: state.digest,
            parts: self.reported_parts(now, &state.parts),
            upstream: upstream.id.clone(),
            start: upstream.start,
            sent: state.sent_at,
            ended: now,
        }
    }

    /// Records that a request was answered completely, which shows that it does not crash
    /// upstreams.
    pub(in crate::direct) fn record_run_success(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        parts: &PartSet,
    ) -> Vec<DirectEffect> {
        let was_quarantined = self.quarantine.remaining(now, digest).is_some();
        self.withdraw_reports(digest, now);
        if self.quarantine.record_success(now, digest, now) {
            info!("quarantine digest={digest} outcome=sound parts={parts}");
            self.crash_reports.push(now, CrashReport::Sound(digest, now));
        }
        let mut effects = self.record_answered_parts(now, parts);
        if was_quarantined {
            effects.push(DirectEffect::RemoveQuarantine(digest.into()));
        }
        effects
    }

    /// Stops broadcasting what a complete answer to a request at `at` has refuted.
    fn withdraw_reports(&mut self, digest: RequestDigest, at: Moment) {
        self.crash_reports.withdraw_quarantine(&digest.into());
        self.crash_reports.withdraw_crashes(digest, at);
    }

    /// Whether this entry writes the quarantine to the store. All entries reach the verdict; two
    /// write it, since one of them may be killed or cut off from the store.
    pub(in crate::direct) fn writes_quarantine(&self, subject: &QuarantineSubject) -> bool {
        const WRITERS: usize = 2;
        let peers = self.peers().iter().map(|peer| peer.id.as_str());
        let subject = match subject {
            QuarantineSubject::Content(digest) => digest.0.to_be_bytes().to_vec(),
            QuarantineSubject::Parts(parts) => parts.to_string().into_bytes(),
        };
        rendezvous::rank(&subject, self.settings.own_id.as_str(), peers) < WRITERS
    }

    /// Handles a report from a peer entry.
    pub(in crate::direct) fn receive_crash_report(
        &mut self,
        now: Moment,
        report: CrashReport,
    ) -> Vec<DirectEffect> {
        match report {
            CrashReport::Crashed(run) => {
                self.object_for_sound_parts(now, &run.parts);
                self.record_crashed_run(now, run);
            }
            CrashReport::PartsSound(parts, at) => return self.receive_sound_parts(now, &parts, at),
            CrashReport::Sound(digest, at) => return self.receive_answer(now, digest, at),
            CrashReport::Quarantined(QuarantineSubject::Parts(parts), remaining) => {
                return self.receive_part_verdict(now, &parts, remaining, VerdictSource::Peer);
            }
            CrashReport::Quarantined(QuarantineSubject::Content(digest), remaining) => {
                if self.quarantine.start(now, digest, remaining) {
                    info!("quarantine digest={digest} outcome=begun source=entry");
                    return self.apply_verdict(now, digest, remaining);
                }
            }
        }
        Vec::new()
    }

    /// Handles a peer's report that a request was answered at `at`. The record of a quarantine is
    /// removed by those that write it, as the peer may not have known of the quarantine.
    fn receive_answer(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        at: Moment,
    ) -> Vec<DirectEffect> {
        let was_quarantined = self.quarantine.remaining(now, digest).is_some();
        self.withdraw_reports(digest, at);
        if self.quarantine.record_success(now, digest, at) {
            info!("quarantine digest={digest} outcome=sound source=entry");
        }
        let subject = digest.into();
        if was_quarantined && self.writes_quarantine(&subject) {
            return vec![DirectEffect::RemoveQuarantine(subject)];
        }
        Vec::new()
    }

    /// Applies another entry's verdict that was read from the store.
    pub(in crate::direct) fn apply_stored_quarantine(
        &mut self,
        now: Moment,
        subject: QuarantineSubject,
        span: Millis,
    ) -> Vec<DirectEffect> {
        let digest = match subject {
            QuarantineSubject::Content(digest) => digest,
            QuarantineSubject::Parts(parts) => {
                return self.receive_part_verdict(now, &parts, span, VerdictSource::Store);
            }
        };
        if !self.quarantine.start(now, digest, span) {
            return Vec::new();
        }
        info!("quarantine digest={digest} outcome=begun source=store");
        self.refuse_waiting_requests(now, digest)
    }

    /// Writes the active quarantines to the store again, since it may have lost them.
    pub(in crate::direct) fn rewrite_quarantines(&self, now: Moment) -> Vec<DirectEffect> {
        let active = self.active_quarantines(now, self.quarantine.active_parts(now)).into_iter();
        let to_write = active.filter(|(subject, _)| self.writes_quarantine(subject));
        to_write
            .map(|(subject, remaining)| DirectEffect::StoreQuarantine(subject, remaining))
            .collect()
    }

    /// The quarantines of contents and of these groups of parts that are in force, with the
    /// remaining time of each.
    fn active_quarantines(
        &self,
        now: Moment,
        parts: Vec<(PartSet, Millis)>,
    ) -> Vec<(QuarantineSubject, Millis)> {
        let contents = self.quarantine.active(now).into_iter();
        let contents = contents.map(|(digest, remaining)| (digest.into(), remaining));
        let parts = parts.into_iter().map(|(parts, remaining)| (parts.into(), remaining));
        contents.chain(parts).filter(|(_, remaining)| *remaining > Millis(0)).collect()
    }

    fn apply_verdict(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        remaining: Millis,
    ) -> Vec<DirectEffect> {
        let mut effects = self.refuse_waiting_requests(now, digest);
        let subject = digest.into();
        if self.writes_quarantine(&subject) {
            effects.push(DirectEffect::StoreQuarantine(subject, remaining));
        }
        effects
    }

    /// Takes the reports that are to be sent to the peer entries at `now`.
    pub fn due_crash_reports(&mut self, now: Moment) -> Vec<CrashReport> {
        let mut reports = self.crash_reports.due(now);
        for report in &mut reports {
            if let CrashReport::Crashed(run) = report {
                run.parts = self.reported_parts(now, &run.parts);
            }
        }
        reports.extend(self.due_objections(now));
        if self.crash_reports.is_reminder_due(now) {
            // What was only read from the store is read there by the peers as well.
            let confirmed = self.quarantine.confirmed_parts(now);
            let active = self.active_quarantines(now, confirmed).into_iter();
            let own = active.filter(|(subject, _)| self.writes_quarantine(subject));
            reports.extend(
                own.take(REMINDERS_LIMIT)
                    .map(|(subject, remaining)| CrashReport::Quarantined(subject, remaining)),
            );
        }
        reports
    }

    fn record_crashed_run(&mut self, now: Moment, run: CrashedRun) {
        let start = UpstreamStart { id: run.upstream.clone(), start: run.start };
        self.upstreams.record_crash(&start, run.ended);
        for present in self.unattributed_runs.take(now, &run) {
            self.crash_reports.push(now, CrashReport::Crashed(present.clone()));
            self.quarantine.record_crash(now, present);
        }
        self.quarantine.record_crash(now, run);
    }

    /// Decides on the suspects if that is due, and resumes the requests that waited for the
    /// verdict.
    pub(in crate::direct) fn decide_suspects(&mut self, now: Moment) -> Vec<DirectEffect> {
        if self.quarantine.next_verdict().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let mut effects = self.decide_suspected_parts(now);
        for digest in self.quarantine.take_verdicts(now) {
            warn!("quarantine digest={digest} outcome=begun");
            // Peers may have received fewer reports, or received them too late to order the runs.
            if self.crash_reports.is_broadcasting_crash(digest) {
                let report = CrashReport::Quarantined(digest.into(), QUARANTINE_SPAN);
                self.crash_reports.push(now, report);
            }
            effects.extend(self.apply_verdict(now, digest, QUARANTINE_SPAN));
        }
        for number in std::mem::take(&mut self.undecided_requests) {
            effects.extend(self.resume_held(now, number));
        }
        effects
    }

    /// Refuses the requests that wait for another run. Those at upstreams may still be answered,
    /// and so prove that the request is harmless.
    fn refuse_waiting_requests(&mut self, now: Moment, digest: RequestDigest) -> Vec<DirectEffect> {
        let is_waiting = |state: &RequestState| matches!(state.stage, RequestStage::Waiting(_));
        let matching =
            self.requests.values().filter(|state| state.digest == digest && is_waiting(state));
        let mut waiting: Vec<_> = matching.map(|state| state.number).collect();
        waiting.sort_unstable();
        let refuse = |number| self.refuse_quarantined(now, number);
        waiting.into_iter().filter_map(refuse).flatten().collect()
    }

    /// Refuses a quarantined request; returns `None` if it may run.
    pub(in crate::direct) fn refuse_quarantined(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<Vec<DirectEffect>> {
        let digest = self.requests.get(&number)?.digest;
        if let Some(retry_after) = self.quarantine.remaining(now, digest) {
            return Some(self.refuse(now, number, ResultCode::Quarantined, retry_after));
        }
        let (code, retry_after) = self.check_quarantined_parts(now, number)?;
        Some(self.refuse(now, number, code, retry_after))
    }

    /// Refuses a request, or holds it until the verdict on it. Returns `None` if it may run.
    pub(in crate::direct) fn hold_suspect(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<Vec<DirectEffect>> {
        if let Some(refusal) = self.refuse_quarantined(now, number) {
            return Some(refusal);
        }
        let state = self.requests.get(&number)?;
        if !self.quarantine.is_verdict_pending(now, state.digest, &state.parts) {
            return None;
        }
        info!("request={} decision=hold reason=verdict digest={}", state.attempt_id, state.digest);
        self.undecided_requests.push(number);
        Some(Vec::new())
    }

    /// Continues with a request that waited for the verdict on it.
    fn resume_held(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        if let Some(held) = self.hold_suspect(now, number) {
            return held;
        }
        match self.requests.get(&number) {
            Some(state) if state.may_have_run => self.retry_lost(now, number),
            Some(_) => self.dispatch_or_queue(now, number),
            None => Vec::new(),
        }
    }
}
