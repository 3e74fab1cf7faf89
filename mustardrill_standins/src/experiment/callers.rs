//! What callers do in a play: come, ask, take events, come back after a refusal, leave.

use mustardrill_core::direct::{DirectEvent, DirectRequest, RefusalPlan, RequestNumber, WorkSize};
use mustardrill_types::{Millis, RequestDigest};
use rand::Rng;

use crate::experiment::call::{CallEnd, CallState};
use crate::experiment::engine::RunId;
use crate::experiment::fleet::{HOST, path_of};
use crate::experiment::pattern::MODEL;
use crate::experiment::simulation::{Happening, PatternPlay};

/// Sendings of one call that are told apart by their numbers.
const SENDINGS: u64 = 16;

/// The call that a sending is of.
pub(super) fn call_of(number: RequestNumber) -> usize {
    (number.0 / SENDINGS) as usize
}

impl PatternPlay<'_> {
    /// The next caller of a kind, after a pause as between independent callers.
    pub(super) fn schedule_caller(&mut self, kind: usize) {
        let factor = self.pattern.rate_factor(Millis(self.now / 1_000));
        let rate = self.pattern.kinds[kind].rate * factor;
        if rate <= 0.0 {
            return;
        }
        let lot: f64 = self.callers.random_range(f64::MIN_POSITIVE..1.0);
        let pause = -lot.ln() / rate * 1e6;
        if self.now + (pause as u64) < self.pattern.span.0 * 1_000 {
            self.schedule_us(pause as u64, Happening::Comes { kind });
        }
    }

    pub(super) fn comes(&mut self, kind: usize) {
        let caller = &self.pattern.kinds[kind];
        let prompt = caller.prompt / 2 + self.callers.random_range(0..=caller.prompt);
        let size = WorkSize { prompt_tokens: prompt, answer_tokens: caller.answer };
        let call = self.calls.len();
        self.calls.push(CallState {
            kind,
            came: self.moment(),
            deadline: self.moment() + caller.deadline,
            size,
            entry: self.callers.random_range(0..self.entries.len()),
            returns: caller.returns,
            attempt: 0,
            engine: None,
            answer_left: caller.answer,
            last_event: None,
            is_late: false,
            end: None,
        });
        self.schedule(caller.deadline, Happening::Leaves { call });
        self.schedule(self.pattern.way, Happening::Asks { call });
        self.schedule_caller(kind);
    }

    pub(super) fn asks(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.end.is_some() {
            return;
        }
        let kind = &self.pattern.kinds[state.kind];
        // A request that ends engines comes again and again; the others differ.
        let content = if kind.ends_engines { state.kind as u64 } else { !(call as u64) };
        let request = DirectRequest {
            number: self.number(call),
            attempt_id: call.to_string().into(),
            host: HOST.into(),
            path: path_of(state.kind),
            content_digest: RequestDigest::of(&[&content.to_be_bytes()]),
            api_key: None,
            timeout: Some(state.deadline.since(self.moment())),
            arrived_at: self.moment(),
            model: MODEL.parse().ok(),
            size: state.size,
            is_resumed: false,
        };
        self.reduce(state.entry, DirectEvent::RequestArrived(request));
    }

    /// The number of a call's sending.
    pub(super) fn number(&self, call: usize) -> RequestNumber {
        let state = &self.calls[call];
        let sending = self.pattern.kinds[state.kind].returns - state.returns;
        RequestNumber(call as u64 * SENDINGS + u64::from(sending) % SENDINGS)
    }

    pub(super) fn leaves(&mut self, call: usize) {
        if self.calls[call].end.is_some() {
            return;
        }
        self.finish(call, CallEnd::Failed);
        let number = self.number(call);
        let state = &self.calls[call];
        let id = RunId { call, attempt: state.attempt };
        if let Some((engine, _)) = &state.engine {
            self.engines[*engine].model.drop_run(id);
        }
        let entry = self.calls[call].entry;
        self.reduce(entry, DirectEvent::CallerGone(number));
    }

    pub(super) fn finish(&mut self, call: usize, end: CallEnd) {
        self.calls[call].end = Some(end);
    }

    pub(super) fn event_came(&mut self, call: usize) {
        let seen = self.moment() + self.pattern.way;
        let stride = self.pattern.profile.steps_per_pass;
        let state = &mut self.calls[call];
        let kind = &self.pattern.kinds[state.kind];
        let (since, limit) = match state.last_event {
            None => (state.came, kind.objective),
            Some(last) => (last, kind.gap),
        };
        state.is_late |= seen.since(since) > limit;
        state.last_event = Some(seen);
        state.answer_left = state.answer_left.saturating_sub(stride).max(1);
    }

    pub(super) fn refused(&mut self, number: RequestNumber, plan: RefusalPlan) {
        let call = call_of(number);
        let now = self.moment();
        let state = &mut self.calls[call];
        if state.end.is_some() {
            return;
        }
        state.engine = None;
        let left = state.deadline.since(now);
        if state.last_event.is_some() || state.returns == 0 || left == Millis(0) {
            let not_run = plan.code.is_not_run() && state.last_event.is_none();
            let end = if not_run { CallEnd::Refused } else { CallEnd::Failed };
            return self.finish(call, end);
        }
        state.returns -= 1;
        // Callers wait no longer than a third of the time that they have left.
        let pause = plan.retry_after.min(Millis(left.0 / 3)).0 + 2 * self.pattern.way.0;
        state.entry = self.random.random_range(0..self.entries.len());
        self.schedule(Millis(pause), Happening::Asks { call });
    }
}
