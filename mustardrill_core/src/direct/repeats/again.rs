//! What follows an attempt that has no whole answer: another one, or the end of the request.
//!
//! Load pattern: upstreams crash, fail or turn requests away. What may have run is sent once more
//! only where that is harmless, and all repeats together stay within the budget.

use log::info;
use mustardrill_types::{Millis, Moment, ResultCode};

use crate::direct::event::{AttemptOutcome, DirectEffect, RefusalPlan, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::waiting::wait_policy::{MIN_FULL_RETRY, NO_UPSTREAM_RETRY};

/// Upstreams that can't be reached before a request is given up.
const UNREACHED_LIMIT: usize = 4;

impl DirectReducer {
    pub(in crate::direct) fn go_on(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        let was_sent =
            !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Withdrawn { sent: false });
        state.attempts_reached += u32::from(was_sent);
        match outcome {
            AttemptOutcome::Whole => {
                self.requests.remove(&number);
                Vec::new()
            }
            AttemptOutcome::Failed => {
                state.may_have_run = true;
                if state.is_repeatable() && self.may_repeat(now, number) {
                    return self.again(now, number);
                }
                self.requests.remove(&number);
                vec![DirectEffect::ForwardFailure(number)]
            }
            AttemptOutcome::Full | AttemptOutcome::Misdirected => {
                if self.may_repeat(now, number) {
                    return self.again(now, number);
                }
                let retry_after = self.jittered_retry(MIN_FULL_RETRY);
                self.refuse(now, number, ResultCode::Overloaded, retry_after)
            }
            AttemptOutcome::NotSent => {
                if state.tried_upstreams.len() < UNREACHED_LIMIT {
                    return self.again(now, number);
                }
                self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY)
            }
            // The engine drops it as its connection closes; it may have begun just before.
            AttemptOutcome::Withdrawn { sent: true } => {
                state.may_have_run = true;
                self.hold_suspect(now, number).unwrap_or_else(|| self.repeat_lost(now, number))
            }
            AttemptOutcome::Withdrawn { sent: false } => self.again(now, number),
            AttemptOutcome::Lost { delivered, .. } => {
                state.may_have_run = true;
                state.has_delivered |= delivered;
                self.hold_suspect(now, number).unwrap_or_else(|| self.repeat_lost(now, number))
            }
        }
    }

    /// Sends a request whose last attempt was lost once more, or gives it up.
    pub(in crate::direct) fn repeat_lost(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if state.is_repeatable() && self.may_repeat(now, number) {
            return self.again(now, number);
        }
        self.refuse(now, number, ResultCode::Unknown, Millis(0))
    }

    /// Whether the request may be sent once more: by its route's attempts, its deadline and the
    /// budget of its service.
    fn may_repeat(&mut self, now: Moment, number: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&number) else { return false };
        if state.attempts_reached >= state.attempt_limit || state.deadline <= now {
            return false;
        }
        let share = &self.settings.retry_share;
        let entries = self.entry_counter.count(now, share.window, &self.peers);
        let window = self.retry_windows.entry(state.service.clone()).or_default();
        let granted = window.spend(now, share, entries);
        if !granted {
            info!(
                "request={} decision=no-repeat reason=budget entries={entries}",
                state.attempt_id
            );
        }
        granted
    }

    pub(in crate::direct) fn again(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        if !state.has_delivered {
            // An answer's head binds nobody to its weights before the caller has any of it.
            state.pinned_version = None;
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if !self.may_be_served_soon(now, state) {
            let code = ResultCode::NoUpstream;
            return self.refuse(now, number, code, NO_UPSTREAM_RETRY);
        }
        let rank = state.wait_rank(now >= self.in_time_until(state));
        match self.choose_upstream(now, state) {
            Some(upstream) => self.send_attempt(now, number, upstream),
            None => self.queue_request(now, number, rank),
        }
    }

    /// Ends a request without a whole answer, at once.
    pub(in crate::direct) fn refuse(
        &mut self,
        now: Moment,
        number: RequestNumber,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.remove(&number) else { return Vec::new() };
        self.release_resources(&state);
        // A later attempt's refusal says nothing of an earlier one that may have run.
        let code = match code {
            _ if state.has_delivered => ResultCode::AnswerCut,
            code if state.may_have_run && code.is_not_run() => ResultCode::Unknown,
            code => code,
        };
        let usable = self.upstreams.usable(now, &state.service);
        info!(
            "request={} decision=refuse code={code} waited={} attempts={} queue={} usable={} fitting={} retry_after={retry_after} digest={}",
            state.attempt_id,
            now.since(state.arrived_at),
            state.tried_upstreams.len(),
            self.queues.get(&state.service).map_or(0, |queue| queue.len()),
            usable.len(),
            usable
                .iter()
                .filter(|upstream| self.serves_allowed_version(now, &state, upstream))
                .count(),
            state.digest,
        );
        vec![DirectEffect::Refuse(number, RefusalPlan { code, retry_after })]
    }
}
