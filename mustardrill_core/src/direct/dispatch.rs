//! Dispatch: sending attempts to upstreams and processing their outcomes.

use log::info;
use mustardrill_types::{InstanceId, Millis, Moment, ResultCode, WeightVersion};

use crate::direct::event::{AttemptOutcome, DirectEffect, LoadReport, RequestNumber, SendPlan};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;
use crate::direct::waiting::wait_policy::MIN_FULL_RETRY;

impl DirectReducer {
    /// Sends an admitted request, queues it, or refuses it at once.
    pub(super) fn dispatch_or_queue(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let service = state.service.clone();
        if self.ranks_by_urgency(&service) {
            self.demote_all_late(now, &service);
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let rank = state.wait_rank(now >= self.in_time_until(state));
        let first = self.first_unbound(&service);
        if first.is_none_or(|first| rank < first)
            && let Some(upstream) = self.choose_upstream(now, state)
        {
            return self.send_attempt(now, number, upstream);
        }
        self.queue_request(now, number, rank)
    }

    pub(super) fn send_attempt(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: InstanceId,
    ) -> Vec<DirectEffect> {
        if let Err(code) = self.readmit(now, number) {
            return self.refuse(now, number, code, Millis(0));
        }
        if let Some(refusal) = self.refuse_quarantined(now, number) {
            return refusal;
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let Some(target) = self.upstreams.get(&upstream) else { return Vec::new() };
        // The configuration moved the request to another service or region while it waited.
        if target.record.service != state.service || !self.is_permitted(state, target) {
            return self.dispatch_or_queue(now, number);
        }
        if state.deadline <= now {
            return self.refuse(now, number, ResultCode::DeadlinePassed, Millis(0));
        }
        if !self.confirm_grant(now, number) {
            return self.refuse_full(now, number, MIN_FULL_RETRY);
        }
        self.record_room(now, number);
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let Some(target) = self.upstreams.get(&upstream) else { return Vec::new() };
        let address = target.record.address;
        let profile = self.document.as_ref().and_then(|it| it.service(&state.service));
        let entries = self.live_peers.len() as u32 + 1;
        let pinned_version = self.demanded_version(now, state, target);
        let believed = state.model.as_ref().and_then(|model| target.served_version(model));
        let weights = self.oldest_start_version(state, target, pinned_version);
        // A forecast is needed only for weights that are being superseded.
        let newest = state.model.as_ref().and_then(|model| self.versions.newest(model));
        let forecast =
            if weights < newest { self.start_forecast(state, target) } else { Millis(0) };
        let superseded_attempt =
            weights.and_then(|version| self.superseded_attempt(state, version, forecast));
        let paced_start = self.paced_start(now, state, target);
        let plan = SendPlan {
            upstream: upstream.clone(),
            start: target.record.start,
            address,
            connection_limit: profile.map_or(0, |profile| profile.connection_limit) / entries,
            customer: state.customer.clone(),
            pinned_version,
            deadline: state.deadline,
            start_by: superseded_attempt.map(|attempt| attempt.start_by()),
            silence_timeout: self.settings.silence_timeout,
            silence_limit: state.first_part_limit(),
            repeat_rule: state.repeat_rule,
            has_delivered: state.has_delivered,
            priority: state.urgency.priority,
            is_limited: target.conditions.intake_limit.rate().is_some(),
            paced_start,
        };
        let belief = target.belief(state.model.as_ref());
        info!(
            "request={} decision=send instance={upstream} waited={} attempt={} present={} pinned={} \
             evidence={} digest={} parts={} believed={} source={} known_for={} {} expected_start={paced_start}",
            state.attempt_id,
            now.since(state.arrived_at),
            state.tried_upstreams.len() + 1,
            self.upstreams.total_load(&upstream).requests,
            plan.pinned_version.map_or(0, |version| version.0),
            target.evidence(now, self.store_freshness.age(now).unwrap_or_default()),
            state.digest,
            state.parts,
            believed.map_or(0, |version| version.0),
            belief.source,
            now.since(belief.since),
            target.pace.view(now),
        );
        if let Some(superseded_attempt) = &superseded_attempt {
            info!(
                "request={} instance={upstream} weights={} forecast={} replaced_in={}",
                state.attempt_id,
                superseded_attempt.version,
                superseded_attempt.forecast,
                superseded_attempt.usable_until.since(now),
            );
        }
        let prefill_time = self.prefill_time(state);
        let start = target.start();
        let attempt_id = state.attempt_id.clone();
        self.upstreams.record_sent(&start, prefill_time);
        self.record_return(&attempt_id, &start);
        if let Some(target) = self.upstreams.incarnation_mut(&start) {
            target.record_trial(now, self.settings.base_ejection);
        }
        if plan.is_limited {
            self.record_limited_send(now, &attempt_id, &start);
        }
        if let Some(state) = self.requests.get_mut(&number) {
            state.pending_prefill = prefill_time;
            state.has_started = false;
            state.silence_verdict = None;
            state.has_stated_intake = false;
            state.sent_at = now;
            state.demanded_version = pinned_version;
            state.expected_version = weights;
            state.start_forecast = forecast;
            state.paced_start = paced_start;
            state.tried_upstreams.push(upstream);
            state.stage = RequestStage::Sent(start);
        }
        self.track_attempt(number, superseded_attempt);
        vec![DirectEffect::Send(number, plan)]
    }

    pub(super) fn record_answer_start(
        &mut self,
        now: Moment,
        number: RequestNumber,
        load: Option<LoadReport>,
        version: Option<WeightVersion>,
    ) -> Vec<DirectEffect> {
        self.record_attempt_start(now, number, version);
        self.record_missing_intake_statement(now, number);
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        let service = state.service.clone();
        self.upstreams.record_prefill_end(&upstream, std::mem::take(&mut state.pending_prefill));
        if state.pinned_version.is_none() && state.repeat_rule.is_stream() {
            state.pinned_version = version;
        }
        let model = state.model.as_ref();
        let sent_at = state.sent_at;
        let is_contradicted =
            self.upstreams.record_answer_start(now, sent_at, &upstream, load, model, version);
        self.contradicted_beliefs += u64::from(is_contradicted);
        if let Some(target) = self.upstreams.incarnation_mut(&upstream) {
            target.pace.record_start(now, state.paced_start, now.since(sent_at));
        }
        // One that accepts a request after a rest is sent one more at a time.
        let target = self.upstreams.get(&upstream.id);
        if target.is_some_and(|target| target.conditions.rest.is_returning(now)) {
            return self.dispatch_waiting(now, &service);
        }
        Vec::new()
    }

    pub(super) fn finish_attempt(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        self.untrack_attempt(number);
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        let was_misled = self.record_refused_version(now, number, &upstream, outcome);
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let is_run_from_start = state.is_run_from_start();
        state.has_crashed_upstream |= matches!(outcome, AttemptOutcome::Lost { crashed: true, .. });
        state.stage = RequestStage::Between;
        let service = state.service.clone();
        let (attempt, digest, parts) =
            (state.attempt_id.clone(), state.digest, state.parts.clone());
        let sent_at = state.sent_at;
        self.upstreams.record_prefill_end(&upstream, std::mem::take(&mut state.pending_prefill));
        self.upstreams.record_finished(&upstream, sent_at);
        if was_misled && let Some(target) = self.upstreams.incarnation_mut(&upstream) {
            // Only the belief was wrong; the upstream itself needs no cool-down.
            target.record_answer(now);
        } else {
            self.upstreams.record_outcome(now, &upstream, outcome, self.settings.base_ejection);
        }
        let mut effects = Vec::new();
        match outcome {
            AttemptOutcome::Whole if is_run_from_start => {
                effects.extend(self.record_run_success(now, digest, &parts))
            }
            AttemptOutcome::Lost { crashed: true, .. } => {
                self.record_run_crash(now, number, &upstream)
            }
            AttemptOutcome::Lost { crashed: false, .. } => {
                self.record_lost_run(now, number, &upstream);
            }
            _ => {}
        }
        if outcome != AttemptOutcome::Whole {
            info!(
                "request={attempt} instance={} outcome={outcome:?} digest={digest} parts={parts}",
                upstream.id
            );
        }
        effects.extend(self.continue_after_attempt(now, number, outcome));
        effects.extend(self.dispatch_waiting(now, &service));
        effects
    }
}
