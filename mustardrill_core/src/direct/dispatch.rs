//! How an entry sends requests to upstreams, and how each of them ends.

use log::info;
use mustardrill_types::{InstanceId, Millis, Moment, ResultCode, WeightVersion};

use crate::direct::event::{AttemptOutcome, DirectEffect, LoadReport, RequestNumber, SendPlan};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::RequestStage;

impl DirectReducer {
    /// Sends a request that came now, lets it wait, or refuses it at once.
    pub(super) fn start(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let service = state.service.clone();
        let rank = state.rank(now >= self.in_time_until(state));
        let first = self.queues.get(&service).and_then(|queue| queue.first());
        if first.is_none_or(|first| rank < first)
            && let Some(upstream) = self.choose(now, state)
        {
            return self.send(now, number, upstream);
        }
        self.wait(now, number, rank)
    }

    pub(super) fn send(
        &mut self,
        now: Moment,
        number: RequestNumber,
        upstream: InstanceId,
    ) -> Vec<DirectEffect> {
        if let Err(code) = self.readmit(now, number) {
            return self.refuse(now, number, code, Millis(0));
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        let Some(target) = self.upstreams.get(&upstream) else { return Vec::new() };
        // Its route has moved to another service while it waited.
        if target.record.service != state.service {
            return self.start(now, number);
        }
        if state.deadline <= now {
            return self.refuse(now, number, ResultCode::DeadlinePassed, Millis(0));
        }
        let address = target.record.address;
        let profile = self.document.as_ref().and_then(|it| it.service(&state.service));
        let entries = self.peers().len() as u32 + 1;
        // Once a version has replaced others the one believed is demanded, should the belief be wrong.
        let pinned = state.pinned.or_else(|| {
            let floor = self.floor(now, state, target)?;
            let believed = target.served_version(state.model.as_ref()?)?;
            (floor.0 > 1).then_some(believed)
        });
        let weights = self.believed_version(state, &upstream);
        // Where nothing replaces them there is nothing to be forecast.
        let newest = state.model.as_ref().and_then(|model| self.versions.newest(model));
        let forecast = if weights < newest { self.begin_time(state, target) } else { Millis(0) };
        let replaced =
            weights.and_then(|version| self.superseded_attempt(state, version, forecast));
        let plan = SendPlan {
            upstream: upstream.clone(),
            address,
            connections: profile.map_or(0, |profile| profile.connections) / entries,
            customer: state.customer.clone(),
            pinned,
            deadline: state.deadline,
            begin_by: replaced.map(|attempt| attempt.begin_by()),
            silence: self.settings.silence,
            repeat: state.repeat,
            priority: state.priority,
        };
        info!(
            "request={} decision=send instance={upstream} waited={} attempt={} present={} pinned={} \
             evidence={} digest={}",
            state.attempt,
            now.since(state.arrived),
            state.tried.len() + 1,
            self.upstreams.total_load(&upstream).requests,
            plan.pinned.map_or(0, |version| version.0),
            target.evidence(now, self.proof.age(now).unwrap_or_default()),
            state.digest,
        );
        if let Some(replaced) = &replaced {
            info!(
                "request={} instance={upstream} weights={} forecast={} replaced_in={}",
                state.attempt,
                replaced.version,
                replaced.forecast,
                replaced.usable_until.since(now),
            );
        }
        let reading = self.reading_time(state);
        let start = target.start();
        self.upstreams.record_sent(&start, reading);
        if let Some(state) = self.requests.get_mut(&number) {
            state.reading = reading;
            state.begun = false;
            state.sent = now;
            state.weights = weights;
            state.forecast = forecast;
            state.tried.push(upstream);
            state.stage = RequestStage::Sent(start);
        }
        self.track_attempt(number, replaced);
        vec![DirectEffect::Send(number, plan)]
    }

    pub(super) fn answering(
        &mut self,
        now: Moment,
        number: RequestNumber,
        load: Option<LoadReport>,
        version: Option<WeightVersion>,
    ) {
        self.record_attempt_start(now, number, version);
        let Some(state) = self.requests.get_mut(&number) else { return };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return };
        self.upstreams.record_prefill_end(&upstream, std::mem::take(&mut state.reading));
        if state.pinned.is_none() && state.repeat.is_stream() {
            state.pinned = version;
        }
        self.upstreams.record_answer_start(now, &upstream, load, state.model.as_ref(), version);
    }

    pub(super) fn ended(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        self.untrack_attempt(number);
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let RequestStage::Sent(upstream) = state.stage.clone() else { return Vec::new() };
        state.stage = RequestStage::Between;
        let service = state.service.clone();
        let (attempt, digest) = (state.attempt.clone(), state.digest);
        self.upstreams.record_prefill_end(&upstream, std::mem::take(&mut state.reading));
        self.upstreams.record_finished(&upstream);
        self.upstreams.record_outcome(now, &upstream, outcome, self.settings.ejection);
        let mut effects = Vec::new();
        match outcome {
            AttemptOutcome::Whole => effects.extend(self.record_run_success(now, digest)),
            AttemptOutcome::Lost { crashed: true, .. } => {
                self.record_run_crash(now, number, &upstream)
            }
            _ => {}
        }
        if outcome != AttemptOutcome::Whole {
            info!("request={attempt} instance={} outcome={outcome:?} digest={digest}", upstream.id);
        }
        effects.extend(self.continue_after_attempt(now, number, outcome));
        effects.extend(self.pump(now, &service));
        effects
    }
}
