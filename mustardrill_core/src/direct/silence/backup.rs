//! Second attempts: when one is sent beside a silent attempt, and what follows when either ends.

use derive_more::Display;
use log::info;
use mustardrill_types::{InstanceId, Millis, Moment};

use crate::direct::admit::{check_access, splits_to};
use crate::direct::event::{AttemptOutcome, DirectEffect, RequestNumber, SendPlan, SilenceReport};
use crate::direct::fleet::upstream::UpstreamState;
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};

/// A silence after which an upstream that accepts connections is not expected to go on soon.
const LONG_SILENCE: Millis = Millis(3_000);

/// The time that must be left before the caller leaves.
const MIN_TIME_LEFT: Millis = Millis(300);

/// Why a second attempt is worth sending.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
enum BackupEvidence {
    /// The upstream accepts no connection.
    #[display("unreachable")]
    Unreachable,
    /// It has been silent for `LONG_SILENCE`.
    #[display("long")]
    LongSilence,
    /// The attempt is withdrawn if it does not start soon, as its weights are superseded.
    #[display("superseded")]
    Superseded,
    /// Silence alone, within the allowance.
    #[display("allowance")]
    Allowance,
}

/// A second attempt that is worth sending.
struct BackupChoice {
    /// The state under which it is sent.
    backup: RequestState,
    target: InstanceId,
    evidence: BackupEvidence,
}

/// Why a silent attempt gets no second one.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(in crate::direct) enum WaitReason {
    #[display("two-attempts")]
    TwoAttempts,
    #[display("runs-once")]
    RunsOnce,
    #[display("attempts-used")]
    AttemptsUsed,
    #[display("deadline")]
    Deadline,
    #[display("suspected")]
    Suspected,
    #[display("no-evidence")]
    NoEvidence,
    /// Its route, key or service is not in the configuration in force.
    #[display("not-admitted")]
    NotAdmitted,
    #[display("no-upstream")]
    NoUpstream,
    /// The retry budget does not pay for it.
    #[display("budget")]
    Unpaid,
}

impl DirectReducer {
    /// Handles a report that an attempt's upstream sends nothing: sends the request to another
    /// upstream as well where that is allowed and worth it. The attempt itself goes on.
    pub(in crate::direct) fn record_silence(
        &mut self,
        now: Moment,
        number: RequestNumber,
        report: SilenceReport,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        state.has_delivered |= report.delivered;
        if !report.is_upstream_heard
            && report.silent_for >= self.settings.silence_timeout
            && let Some(target) = self.upstreams.incarnation_mut(&upstream)
        {
            target.record_silence(now);
        }
        if let Some(withdrawal) = self.withdraw_too_late(now, number, report) {
            return vec![withdrawal];
        }
        let decision = self.choose_backup(now, number, report).and_then(|choice| {
            let evidence = choice.evidence;
            let plan = self.send_backup(now, choice);
            plan.map(|plan| (evidence, plan)).ok_or(WaitReason::Unpaid)
        });
        let evidence = decision.as_ref().map(|(evidence, _)| *evidence);
        self.log_decision(number, &upstream.id, report, evidence.map_err(|reason| *reason));
        match decision {
            Ok((_, plan)) => vec![DirectEffect::SendBackup(number.sibling(), plan)],
            Err(_) => Vec::new(),
        }
    }

    /// Withdraws an attempt that can no longer answer before its caller leaves, as the upstream would
    /// run it later for nobody. The caller is told as long as it still waits.
    fn withdraw_too_late(
        &self,
        now: Moment,
        number: RequestNumber,
        report: SilenceReport,
    ) -> Option<DirectEffect> {
        let state = self.requests.get(&number)?;
        let has_answer = state.has_started || state.has_delivered;
        if has_answer || report.is_upstream_heard || !state.is_too_late(now) {
            return None;
        }
        info!(
            "request={} instance={} silent_for={} decision=withdraw reason=too-late waited={}",
            state.attempt_id,
            state.tried_upstreams.last().map_or("none", InstanceId::as_str),
            report.silent_for,
            now.since(state.arrived_at),
        );
        Some(DirectEffect::Withdraw(number))
    }

    /// Logs a decision on a silent attempt, unless it was the same at the last report.
    fn log_decision(
        &mut self,
        number: RequestNumber,
        upstream: &InstanceId,
        report: SilenceReport,
        decision: Result<BackupEvidence, WaitReason>,
    ) {
        let Some(state) = self.requests.get_mut(&number) else { return };
        let verdict = decision.err();
        if verdict.is_some() && state.silence_verdict == verdict {
            return;
        }
        state.silence_verdict = verdict;
        let SilenceReport { silent_for, delivered, is_reachable, is_upstream_heard } = report;
        let decided = match decision {
            Ok(evidence) => format!("backup evidence={evidence}"),
            Err(reason) => format!("wait reason={reason}"),
        };
        info!(
            "request={} instance={upstream} silent_for={silent_for} delivered={delivered} \
             reachable={is_reachable} heard={is_upstream_heard} decision={decided}",
            state.attempt_id,
        );
    }

    /// Records that the upstream of a silent attempt goes on.
    pub(in crate::direct) fn record_heard(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        state.silence_verdict = None;
        let service = state.service.clone();
        info!(
            "request={} instance={} outcome=heard after={}",
            state.attempt_id,
            upstream.id,
            now.since(state.sent_at)
        );
        if let Some(target) = self.upstreams.incarnation_mut(&upstream) {
            target.record_answer(now);
        }
        self.dispatch_waiting(now, &service)
    }

    /// The upstream for a second attempt and why it is sent, or why it is not.
    fn choose_backup(
        &self,
        now: Moment,
        number: RequestNumber,
        report: SilenceReport,
    ) -> Result<BackupChoice, WaitReason> {
        let Some(state) = self.requests.get(&number) else { return Err(WaitReason::Deadline) };
        if self.requests.contains_key(&number.sibling()) {
            return Err(WaitReason::TwoAttempts);
        }
        if !state.is_repeatable() {
            return Err(WaitReason::RunsOnce);
        }
        // The silent attempt counts as well.
        if state.attempts_reached + 1 >= state.attempt_limit {
            return Err(WaitReason::AttemptsUsed);
        }
        if state.is_too_late(now + MIN_TIME_LEFT) {
            return Err(WaitReason::Deadline);
        }
        if state.is_trial || self.is_suspect(now, state) {
            return Err(WaitReason::Suspected);
        }
        let evidence = self.backup_evidence(state, report).ok_or(WaitReason::NoEvidence)?;
        if !self.is_still_admitted(now, state) {
            return Err(WaitReason::NotAdmitted);
        }
        let backup = state.backup();
        // Both attempts would be withdrawn at the same time, with none left.
        let needs_newest = state.superseded_attempt.is_some();
        // One that is silent may be the least loaded one.
        let target = self.choose_among(now, &backup, |target| {
            let is_allowed = !needs_newest || !self.is_superseded_at(state, target);
            is_allowed && !target.is_silent() && !state.tried_upstreams.contains(&target.record.id)
        });
        let target = target.ok_or(WaitReason::NoUpstream)?;
        Ok(BackupChoice { backup, target, evidence })
    }

    /// Whether the request would run on superseded weights at an upstream.
    fn is_superseded_at(&self, state: &RequestState, target: &UpstreamState) -> bool {
        let newest = state.model.as_ref().and_then(|model| self.versions.newest(model));
        self.believed_version(state, &target.record.id) < newest
    }

    fn backup_evidence(
        &self,
        state: &RequestState,
        report: SilenceReport,
    ) -> Option<BackupEvidence> {
        if !report.is_reachable && !report.is_upstream_heard {
            return Some(BackupEvidence::Unreachable);
        }
        if report.silent_for >= LONG_SILENCE {
            return Some(BackupEvidence::LongSilence);
        }
        if state.superseded_attempt.is_some() {
            return Some(BackupEvidence::Superseded);
        }
        let allowance = self.silence_allowances.get(&state.service);
        allowance.is_some_and(|it| it.is_open()).then_some(BackupEvidence::Allowance)
    }

    /// Whether the request may have crashed upstreams.
    fn is_suspect(&self, now: Moment, state: &RequestState) -> bool {
        self.quarantine.remaining(now, state.digest).is_some()
            || self.quarantine.part_block(now, &state.parts).is_some()
            || self.quarantine.is_verdict_pending(now, state.digest, &state.parts)
    }

    /// Whether the configuration in force admits the request to the service that it is at.
    fn is_still_admitted(&self, now: Moment, state: &RequestState) -> bool {
        let Some(document) = &self.document else { return false };
        let standing = self.config_standing(now, document);
        let key = state.api_key.as_deref();
        let access = check_access(document, standing, &state.host, &state.path, key);
        access.is_ok_and(|(route, _)| splits_to(route, &state.service))
    }

    /// Prepares a second attempt and returns its plan, if the retry budget pays for it.
    fn send_backup(&mut self, now: Moment, choice: BackupChoice) -> Option<SendPlan> {
        let BackupChoice { backup, target, evidence } = choice;
        let (backup_number, service) = (backup.number, backup.service.clone());
        self.requests.insert(backup_number, backup);
        if !self.try_spend_retry(now, backup_number) {
            self.drop_attempt(now, backup_number);
            return None;
        }
        // It is sent: what could refuse or queue it was checked before.
        let mut effects = self.send_attempt(now, backup_number, target);
        let Some(DirectEffect::Send(_, plan)) = effects.pop() else {
            self.drop_attempt(now, backup_number);
            return None;
        };
        if evidence == BackupEvidence::Allowance {
            self.silence_allowances.entry(service).or_default().spend();
        }
        Some(plan)
    }

    /// Handles the end of an attempt beside which another one is open. Returns whether there was
    /// one, with which the request goes on.
    pub(in crate::direct) fn end_one_of_two(
        &mut self,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> bool {
        if outcome.is_complete() || !self.requests.contains_key(&number.sibling()) {
            return false;
        }
        let Some(mut ended) = self.requests.remove(&number) else { return false };
        if outcome.has_reached() {
            self.settle_grant(&mut ended);
        } else {
            self.release_grant(&mut ended);
        }
        let Some(other) = self.requests.get_mut(&number.sibling()) else { return false };
        other.is_backup = false;
        other.has_error_answer |= outcome == AttemptOutcome::Failed;
        other.has_crashed_upstream |= ended.has_crashed_upstream;
        if let AttemptOutcome::Lost { delivered: true, .. } = outcome
            && !other.has_delivered
        {
            other.has_delivered = true;
            other.pinned_version = ended.pinned_version;
        }
        if ended.is_backup {
            other.may_have_run |= outcome.may_have_run();
            other.attempts_reached += u32::from(outcome.has_reached());
            if outcome != (AttemptOutcome::Withdrawn { sent: false }) {
                other.tried_upstreams.extend(ended.tried_upstreams.pop());
            }
        } else {
            // The second attempt was sent on the assumption that the first one may run.
            other.may_have_run = ended.may_have_run || outcome.may_have_run();
            other.attempts_reached = ended.attempts_reached + u32::from(outcome.has_reached());
        }
        true
    }

    /// Ends the attempt beside the one that goes on.
    pub(in crate::direct) fn settle_race(
        &mut self,
        now: Moment,
        winner: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(loser) = self.drop_attempt(now, winner.sibling()) else { return Vec::new() };
        let Some(state) = self.requests.get_mut(&winner) else { return Vec::new() };
        info!(
            "request={} outcome=won by={} instead_of={}",
            state.attempt_id,
            if state.is_backup { "backup" } else { "first" },
            loser.tried_upstreams.last().map_or("none", InstanceId::as_str),
        );
        state.is_backup = false;
        if loser.is_backup {
            state.attempts_reached += 1;
            state.tried_upstreams.extend(loser.tried_upstreams.last().cloned());
        }
        self.dispatch_waiting(now, &loser.service)
    }

    /// Drops an attempt, and releases what it occupies.
    pub(in crate::direct) fn drop_attempt(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Option<RequestState> {
        self.untrack_attempt(number);
        let mut state = self.requests.remove(&number)?;
        if let RequestStage::Sent(upstream) = &state.stage {
            // Its upstream may have crashed.
            let run = self.run_of(now, &state, upstream);
            self.record_unattributed_run(now, run);
        }
        self.release_resources(&mut state);
        Some(state)
    }
}
