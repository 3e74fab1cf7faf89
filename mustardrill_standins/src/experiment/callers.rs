//! Behaviour of simulated callers: arrivals, requests, received events, retries and deadlines.

use mustardrill_core::direct::{
    DirectEvent, DirectRequest, RefusalPlan, RequestNumber, StatedValue, WorkSize,
};
use mustardrill_types::{Millis, RequestDigest};
use rand::Rng;

use crate::experiment::call::{CallOutcome, CallState};
use crate::experiment::engine::RunId;
use crate::experiment::fleet::{HOST, kind_path};
use crate::experiment::pattern::MODEL;
use crate::experiment::simulation::{PatternSimulation, SimulationEvent};

/// Request numbers reserved for each call, so that its retries have numbers of their own.
const NUMBERS_PER_CALL: u64 = 16;

/// The index of the call that a request number, or its sibling, belongs to.
pub(super) fn call_index(number: RequestNumber) -> usize {
    (number.min(number.sibling()).0 / NUMBERS_PER_CALL) as usize
}

impl PatternSimulation<'_> {
    /// Schedules the next arrival of a kind; arrivals form a Poisson process at the current rate.
    pub(super) fn schedule_caller(&mut self, kind: usize) {
        let factor = self.pattern.rate_factor(Millis(self.now / 1_000));
        let rate = self.pattern.kinds[kind].rate * factor;
        if rate <= 0.0 {
            return;
        }
        let uniform: f64 = self.caller_rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = -uniform.ln() / rate * 1e6;
        if self.now + (pause as u64) < self.pattern.span.0 * 1_000 {
            self.schedule_us(pause as u64, SimulationEvent::CallerArrives { kind });
        }
    }

    pub(super) fn handle_arrival(&mut self, kind: usize) {
        let caller = &self.pattern.kinds[kind];
        let prompt_tokens = caller.prompt / 2 + self.caller_rng.random_range(0..=caller.prompt);
        let size = WorkSize { prompt_tokens, answer_tokens: caller.answer };
        let call = self.calls.len();
        self.calls.push(CallState {
            kind,
            arrived_at: self.moment(),
            deadline: self.moment() + caller.deadline,
            size,
            entry: self.caller_rng.random_range(0..self.entries.len()),
            retries_left: caller.retry_limit,
            attempt: 0,
            open: Vec::new(),
            answer_left: caller.answer,
            last_event: None,
            is_late: false,
            outcome: None,
        });
        self.schedule(caller.deadline, SimulationEvent::DeadlineReached { call });
        self.schedule(self.pattern.one_way_delay, SimulationEvent::RequestSent { call });
        self.schedule_caller(kind);
    }

    pub(super) fn send_request(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.outcome.is_some() {
            return;
        }
        let kind = &self.pattern.kinds[state.kind];
        // All requests of a kind that crashes engines have the same content, as one request that is
        // made again and again; the contents of all others differ.
        let content = if kind.crashes_engines { state.kind as u64 } else { !(call as u64) };
        let request = DirectRequest {
            number: self.number(call),
            attempt_id: call.to_string().into(),
            host: HOST.into(),
            path: kind_path(state.kind),
            content_digest: RequestDigest::of(&[&content.to_be_bytes()]),
            api_key: None,
            timeout: Some(state.deadline.since(self.moment())),
            arrived_at: self.moment(),
            model: MODEL.parse().ok(),
            size: state.size,
            is_resumed: false,
            shared_parts: StatedValue::default(),
        };
        self.reduce(state.entry, DirectEvent::RequestArrived(request));
    }

    /// The request number of the current try of a call.
    pub(super) fn number(&self, call: usize) -> RequestNumber {
        let state = &self.calls[call];
        let retry = self.pattern.kinds[state.kind].retry_limit - state.retries_left;
        RequestNumber(call as u64 * NUMBERS_PER_CALL + u64::from(retry) % NUMBERS_PER_CALL)
    }

    pub(super) fn abandon_call(&mut self, call: usize) {
        if self.calls[call].outcome.is_some() {
            return;
        }
        self.finish_call(call, CallOutcome::Failed);
        let number = self.number(call);
        for run in std::mem::take(&mut self.calls[call].open) {
            let id = RunId { call, attempt: run.attempt };
            self.engines[run.engine].model.cancel_run(id);
        }
        let entry = self.calls[call].entry;
        self.reduce(entry, DirectEvent::CallerGone(number));
    }

    pub(super) fn finish_call(&mut self, call: usize, outcome: CallOutcome) {
        self.calls[call].outcome = Some(outcome);
    }

    pub(super) fn receive_event(&mut self, call: usize) {
        let received_at = self.moment() + self.pattern.one_way_delay;
        let stride = self.pattern.profile.steps_per_pass;
        let state = &mut self.calls[call];
        let kind = &self.pattern.kinds[state.kind];
        let (since, limit) = match state.last_event {
            None => (state.arrived_at, kind.objective),
            Some(last) => (last, kind.gap),
        };
        state.is_late |= received_at.since(since) > limit;
        state.last_event = Some(received_at);
        state.answer_left = state.answer_left.saturating_sub(stride).max(1);
    }

    pub(super) fn handle_refusal(&mut self, number: RequestNumber, plan: RefusalPlan) {
        let call = call_index(number);
        let now = self.moment();
        let state = &mut self.calls[call];
        if state.outcome.is_some() {
            return;
        }
        state.open.clear();
        let time_left = state.deadline.since(now);
        if state.last_event.is_some() || state.retries_left == 0 || time_left == Millis(0) {
            let is_not_run = plan.code.is_not_run() && state.last_event.is_none();
            let outcome = if is_not_run { CallOutcome::Refused } else { CallOutcome::Failed };
            return self.finish_call(call, outcome);
        }
        state.retries_left -= 1;
        // Callers wait at most a third of the time left to their deadline.
        let pause =
            plan.retry_after.min(Millis(time_left.0 / 3)).0 + 2 * self.pattern.one_way_delay.0;
        state.entry = self.rng.random_range(0..self.entries.len());
        self.schedule(Millis(pause), SimulationEvent::RequestSent { call });
    }
}
