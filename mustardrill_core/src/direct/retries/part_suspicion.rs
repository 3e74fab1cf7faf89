//! How an entry handles requests whose prompts have parts that crash upstreams.

use log::info;
use mustardrill_types::{Millis, Moment, PartSet, ResultCode};

use crate::direct::event::{DirectEffect, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;
use crate::direct::retries::part_objections::objection;
use crate::quarantine::{CrashReport, PartBlock, StartedQuarantine, VerdictSource};
use crate::rendezvous;

/// Parts named in one crash report, so that it fits into a datagram.
const REPORTED_PARTS_LIMIT: usize = 64;

/// When a caller may retry while a request with the same parts is being tried.
const TRIAL_RETRY: Millis = Millis(5_000);

/// How long one entry may try a request before it is the next one's turn, as the entry may get no
/// such request.
const TRIAL_TURN: Millis = Millis(5_000);

impl DirectReducer {
    /// The parts of a request that may be the cause of a crash.
    pub(in crate::direct) fn reported_parts(&self, now: Moment, parts: &PartSet) -> PartSet {
        self.quarantine.unproven_parts(now, parts).iter().take(REPORTED_PARTS_LIMIT).collect()
    }

    /// Records a complete answer to a request of this entry as evidence for its parts.
    pub(in crate::direct) fn record_answered_parts(
        &mut self,
        now: Moment,
        parts: &PartSet,
    ) -> Vec<DirectEffect> {
        let cleared = self.quarantine.record_sound_parts(now, parts, now);
        if cleared.is_empty() {
            return Vec::new();
        }
        info!("quarantine parts={} outcome=sound", cleared.parts);
        let answered: Vec<_> = parts.iter().collect();
        for reported in answered.chunks(REPORTED_PARTS_LIMIT) {
            let reported = reported.iter().copied().collect();
            self.crash_reports.push(now, CrashReport::PartsSound(reported, now));
        }
        self.part_objections.record_shared(now, parts);
        self.apply_cleared_groups(now, cleared.groups, true)
    }

    /// Handles a peer's report that parts were answered at `at`.
    pub(in crate::direct) fn receive_sound_parts(
        &mut self,
        now: Moment,
        parts: &PartSet,
        at: Moment,
    ) -> Vec<DirectEffect> {
        self.part_objections.record_shared(now, parts);
        let cleared = self.quarantine.record_sound_parts(now, parts, at);
        if !cleared.is_empty() {
            info!("quarantine parts={} outcome=sound source=entry", cleared.parts);
        }
        self.apply_cleared_groups(now, cleared.groups, false)
    }

    /// Applies what remains of quarantined groups that have become smaller or empty. Their records
    /// are removed by the entry that saw the answer, `is_own`, and by those that write them, as that
    /// one may be cut off from the store.
    fn apply_cleared_groups(
        &mut self,
        now: Moment,
        groups: Vec<(PartSet, Option<PartSet>)>,
        is_own: bool,
    ) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        for (before, rest) in groups {
            let shown = rest.clone().unwrap_or_default();
            info!("quarantine parts={before} outcome=reduced rest={shown}");
            let subject = before.into();
            self.crash_reports.withdraw_quarantine(&subject);
            if is_own || self.writes_quarantine(&subject) {
                effects.push(DirectEffect::RemoveQuarantine(subject));
            }
            if let Some(rest) = rest {
                effects.extend(self.apply_part_verdict(now, &rest));
            }
        }
        effects.extend(self.store_unrecorded());
        effects
    }

    /// Objects where a crash report or a verdict names parts that this entry knows to be sound.
    /// Returns those that it does not know to be so.
    pub(in crate::direct) fn object_for_sound_parts(
        &mut self,
        now: Moment,
        parts: &PartSet,
    ) -> PartSet {
        let unproven = self.quarantine.unproven_parts(now, parts);
        for part in parts.iter().filter(|part| !unproven.contains(*part)) {
            let rank = self.rank_among_entries(&part.0.to_be_bytes());
            self.part_objections.schedule(now, part, rank);
        }
        unproven
    }

    /// Takes the objections that are to be sent to the peer entries at `now`.
    pub(in crate::direct) fn due_objections(&mut self, now: Moment) -> Vec<CrashReport> {
        let due = self.part_objections.take_due(now).into_iter();
        let answered = due.filter_map(|part| Some((part, self.quarantine.sound_since(now, part)?)));
        answered.map(|(part, at)| objection(part, at)).collect()
    }

    /// This entry's rank for a subject among the entries that are present.
    fn rank_among_entries(&self, subject: &[u8]) -> usize {
        let peers = self.live_peers.iter().map(|id| id.as_str());
        rendezvous::rank(subject, self.settings.own_id.as_str(), peers)
    }

    /// Starts the quarantines of groups of parts whose verdict is due.
    pub(in crate::direct) fn decide_suspected_parts(&mut self, now: Moment) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        for StartedQuarantine { parts, span } in self.quarantine.take_part_verdicts(now) {
            let subject = parts.clone().into();
            // Peers may have received fewer reports, or received them too late to order the runs.
            if self.crash_reports.is_broadcasting_parts(&parts) || self.writes_quarantine(&subject)
            {
                self.crash_reports.push(now, CrashReport::Quarantined(subject, span));
            }
            effects.extend(self.apply_part_verdict(now, &parts));
        }
        effects.extend(self.store_unrecorded());
        effects
    }

    /// Writes the quarantines of which the store has no record, or one of fewer crashes.
    fn store_unrecorded(&mut self) -> Vec<DirectEffect> {
        let unrecorded = self.quarantine.take_unrecorded_parts().into_iter();
        let unrecorded = unrecorded.map(|(parts, span)| (parts.into(), span));
        unrecorded
            .filter(|(subject, _)| self.writes_quarantine(subject))
            .map(|(subject, span)| DirectEffect::StoreQuarantine(subject, span))
            .collect()
    }

    /// Handles another process's verdict on a group of parts.
    pub(in crate::direct) fn receive_part_verdict(
        &mut self,
        now: Moment,
        parts: &PartSet,
        span: Millis,
        source: VerdictSource,
    ) -> Vec<DirectEffect> {
        let unproven = self.object_for_sound_parts(now, parts);
        if unproven.is_empty() || !self.quarantine.adopt_parts(now, unproven.clone(), span, source)
        {
            return Vec::new();
        }
        info!("quarantine parts={unproven} outcome=begun span={span} source={source}");
        let mut effects = self.apply_part_verdict(now, &unproven);
        effects.extend(self.store_unrecorded());
        effects
    }

    /// Refuses the waiting requests of a quarantined group, and takes back those whose answer has
    /// not started: the engine may not have begun to run them.
    fn apply_part_verdict(&mut self, now: Moment, parts: &PartSet) -> Vec<DirectEffect> {
        let mut effects = Vec::new();
        let matching = self.requests.values().filter(|state| state.parts.contains_all(parts));
        let mut matching: Vec<_> = matching.map(|state| state.number).collect();
        matching.sort_unstable();
        for number in matching {
            let Some(state) = self.requests.get(&number) else { continue };
            match &state.stage {
                RequestStage::Waiting(_) => {
                    effects.extend(self.refuse_quarantined(now, number).into_iter().flatten());
                }
                RequestStage::Sent(_) if !state.has_started && !state.is_trial => {
                    // What is not written yet costs no retry; the other command then has no effect.
                    effects.push(DirectEffect::WithdrawUnsent(number));
                    effects.push(DirectEffect::Withdraw(number));
                }
                RequestStage::Sent(_) | RequestStage::Between => {}
            }
        }
        effects
    }

    /// The refusal of a request that has a quarantined group of parts, as code and time to retry.
    /// `None` if it may run, as one of a group that is tried.
    pub(in crate::direct) fn check_quarantined_parts(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<(ResultCode, Millis)> {
        let state = self.requests.get(&number)?;
        let block = self.quarantine.part_block(now, &state.parts)?;
        if state.is_trial {
            return None;
        }
        if block.is_trial_due && self.is_trial_holder(now, &block) {
            self.start_trial(now, number, &block);
            return None;
        }
        let state = self.requests.get(&number)?;
        let retry_after = block.until.since(now).max(TRIAL_RETRY);
        info!(
            "request={} decision=quarantine parts={} left={retry_after}",
            state.attempt_id, block.parts
        );
        Some((PartBlock::refusal_code(state.has_crashed_upstream), retry_after))
    }

    fn start_trial(&mut self, now: Moment, number: RequestNumber, block: &PartBlock) {
        let Some(state) = self.requests.get_mut(&number) else { return };
        state.is_trial = true;
        info!("request={} decision=try parts={}", state.attempt_id, block.parts);
        self.quarantine.start_trial(now, &block.parts);
    }

    /// Whether it is this entry's turn to try a request of a group: one of all entries at a time.
    fn is_trial_holder(&self, now: Moment, block: &PartBlock) -> bool {
        let entries = self.live_peers.len() + 1;
        let turn = now.since(block.until).0 / TRIAL_TURN.0;
        let subject = block.parts.to_string();
        self.rank_among_entries(subject.as_bytes()) == turn as usize % entries
    }
}
