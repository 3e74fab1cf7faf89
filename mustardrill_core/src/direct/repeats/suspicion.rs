//! What an entry makes of requests under which upstreams end.

use log::{info, warn};
use mustardrill_types::{Millis, Moment, RequestDigest, ResultCode};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::fleet::upstream::UpstreamStart;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::quarantine::{CrashWord, CrashedRun, QUARANTINE_SPAN};
use crate::rendezvous;

impl DirectReducer {
    /// Notes that an upstream ended while it had a request of this entry, and tells the others.
    pub(in crate::direct) fn run_crashed(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: &UpstreamStart,
    ) {
        let Some(state) = self.requests.get(&number) else { return };
        // One that leaves ends as it said; what it had was too long for it.
        let listed = self.upstreams.get(&upstream.id);
        let is_awaited = listed.is_some_and(|it| it.start() == *upstream && !it.record.leaving);
        if !is_awaited {
            return;
        }
        let run = CrashedRun {
            digest: state.digest,
            upstream: upstream.id.clone(),
            start: upstream.start,
            sent: state.sent_at,
            ended: now,
        };
        self.crash_reports.push(now, CrashWord::Crashed(run.clone()));
        self.suspect(now, run);
    }

    /// Notes that a request was answered whole: it is none that upstreams end under.
    pub(in crate::direct) fn run_succeeded(
        &mut self,
        now: Moment,
        digest: RequestDigest,
    ) -> Option<DirectEffect> {
        let was_quarantined = self.quarantine.remaining(now, digest).is_some();
        self.crash_reports.withdraw_verdict(digest);
        if self.quarantine.succeeded(now, digest, now) {
            info!("quarantine digest={digest} outcome=sound");
            self.crash_reports.push(now, CrashWord::Sound(digest, now));
        }
        was_quarantined.then_some(DirectEffect::RemoveQuarantine(digest))
    }

    /// Whether this entry writes a quarantine to the store. All come to the verdict; two write it,
    /// as one of them may be killed or cut off from the store.
    fn keeps_record(&self, digest: RequestDigest) -> bool {
        const KEEPERS: usize = 2;
        let others = self.peers().iter().map(|peer| &peer.id);
        let entries: Vec<_> = others.chain([&self.settings.own_id]).collect();
        let subject = digest.0.to_be_bytes();
        let ranked = rendezvous::ranked(&subject, &entries, |id| id.as_str());
        ranked.into_iter().take(KEEPERS).any(|id| **id == self.settings.own_id)
    }

    /// Takes what another entry tells.
    pub(in crate::direct) fn crash_heard(
        &mut self,
        now: Moment,
        word: CrashWord,
    ) -> Vec<DirectEffect> {
        match word {
            CrashWord::Crashed(run) => self.suspect(now, run),
            CrashWord::Sound(digest, at) => {
                self.crash_reports.withdraw_verdict(digest);
                if self.quarantine.succeeded(now, digest, at) {
                    info!("quarantine digest={digest} outcome=sound source=entry");
                }
            }
            CrashWord::Quarantined(digest, left) => {
                if self.quarantine.begin(now, digest, left) {
                    info!("quarantine digest={digest} outcome=begun source=entry");
                    return self.quarantine_begun(now, digest, left);
                }
            }
        }
        Vec::new()
    }

    /// Takes what the store keeps of another entry's verdict.
    pub(in crate::direct) fn quarantine_seen(
        &mut self,
        now: Moment,
        digest: RequestDigest,
    ) -> Vec<DirectEffect> {
        if !self.quarantine.begin(now, digest, QUARANTINE_SPAN) {
            return Vec::new();
        }
        info!("quarantine digest={digest} outcome=begun source=store");
        self.refuse_waiting(now, digest)
    }

    /// Writes to the store again what it may have forgotten.
    pub(in crate::direct) fn keep_quarantines_again(&self, now: Moment) -> Vec<DirectEffect> {
        let active = self.quarantine.active(now).into_iter();
        let kept = active.filter(|(digest, _)| self.keeps_record(*digest));
        kept.map(|(digest, left)| DirectEffect::StoreQuarantine(digest, left)).collect()
    }

    fn quarantine_begun(
        &mut self,
        now: Moment,
        digest: RequestDigest,
        left: Millis,
    ) -> Vec<DirectEffect> {
        let mut effects = self.refuse_waiting(now, digest);
        if self.keeps_record(digest) {
            effects.push(DirectEffect::StoreQuarantine(digest, left));
        }
        effects
    }

    /// What is to be told to the other entries at `now`.
    pub fn crash_words(&mut self, now: Moment) -> Vec<CrashWord> {
        self.crash_reports.due(now)
    }

    fn suspect(&mut self, now: Moment, run: CrashedRun) {
        let start = UpstreamStart { id: run.upstream.clone(), start: run.start };
        self.upstreams.ended(&start, run.ended);
        self.quarantine.crashed(now, run);
    }

    /// Decides on the suspects, where that is due, and goes on with what waited for it.
    pub(in crate::direct) fn decide_suspects(&mut self, now: Moment) -> Vec<DirectEffect> {
        if self.quarantine.next_verdict().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for digest in self.quarantine.verdicts(now) {
            warn!("quarantine digest={digest} outcome=begun");
            // Others may have heard less, or too late to tell which run came after which.
            if self.crash_reports.tells_crash_of(digest) {
                let word = CrashWord::Quarantined(digest, QUARANTINE_SPAN);
                self.crash_reports.push(now, word);
            }
            effects.extend(self.quarantine_begun(now, digest, QUARANTINE_SPAN));
        }
        for number in std::mem::take(&mut self.undecided_requests) {
            effects.extend(self.resume(now, number));
        }
        effects
    }

    /// Refuses the requests that wait to be run once more; those at upstreams may yet be answered,
    /// and so prove that the request is sound.
    fn refuse_waiting(&mut self, now: Moment, digest: RequestDigest) -> Vec<DirectEffect> {
        let waits = |state: &RequestState| matches!(state.stage, RequestStage::Waiting(_));
        let same = self.requests.values().filter(|it| it.digest == digest && waits(it));
        let mut waiting: Vec<_> = same.map(|state| state.number).collect();
        waiting.sort_unstable();
        let refuse = |number| self.refuse_quarantined(now, number);
        waiting.into_iter().filter_map(refuse).flatten().collect()
    }

    /// Refuses a request that is run no more; nothing where it may run.
    fn refuse_quarantined(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<Vec<DirectEffect>> {
        let digest = self.requests.get(&number)?.digest;
        let retry_after = self.quarantine.remaining(now, digest)?;
        Some(self.refuse(now, number, ResultCode::Quarantined, retry_after))
    }

    /// Keeps a request from being run: it is refused, or waits for the verdict on it. Nothing where
    /// it may run.
    pub(in crate::direct) fn hold_suspect(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<Vec<DirectEffect>> {
        if let Some(refusal) = self.refuse_quarantined(now, number) {
            return Some(refusal);
        }
        let state = self.requests.get(&number)?;
        if !self.quarantine.is_open(now, state.digest) {
            return None;
        }
        info!("request={} decision=hold reason=verdict digest={}", state.attempt_id, state.digest);
        self.undecided_requests.push(number);
        Some(Vec::new())
    }

    /// Goes on with a request that waited for the verdict on it.
    fn resume(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        if let Some(held) = self.hold_suspect(now, number) {
            return held;
        }
        match self.requests.get(&number) {
            Some(state) if state.may_have_run => self.repeat_lost(now, number),
            Some(_) => self.dispatch_or_queue(now, number),
            None => Vec::new(),
        }
    }
}
