//! What follows an attempt without a complete answer: a retry, or the end of the request.
//!
//! Upstreams crash, fail or turn requests away. A request that may have run is retried only where
//! that is harmless, and all retries together stay within the budget.

use log::info;
use mustardrill_types::{Millis, Moment, ResultCode};

use crate::direct::event::{AttemptOutcome, DirectEffect, RefusalPlan, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::waiting::wait_policy::{MIN_FULL_RETRY, NO_UPSTREAM_RETRY};

/// Upstreams that could not be reached before a request is refused.
const UNREACHABLE_UPSTREAMS_LIMIT: usize = 4;

impl DirectReducer {
    pub(in crate::direct) fn continue_after_attempt(
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
                if state.is_repeatable() && self.try_spend_retry(now, number) {
                    return self.retry(now, number);
                }
                self.requests.remove(&number);
                vec![DirectEffect::ForwardFailure(number)]
            }
            AttemptOutcome::Full | AttemptOutcome::Misdirected => {
                if self.try_spend_retry(now, number) {
                    return self.retry(now, number);
                }
                let retry_after = self.jittered_retry(MIN_FULL_RETRY);
                self.refuse(now, number, ResultCode::Overloaded, retry_after)
            }
            AttemptOutcome::NotSent => {
                if state.tried_upstreams.len() < UNREACHABLE_UPSTREAMS_LIMIT {
                    return self.retry(now, number);
                }
                self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY)
            }
            // The engine drops the request when its connection closes, but it may have started just
            // before.
            AttemptOutcome::Withdrawn { sent: true } => {
                state.may_have_run = true;
                self.hold_suspect(now, number).unwrap_or_else(|| self.retry_lost(now, number))
            }
            AttemptOutcome::Withdrawn { sent: false } => self.retry(now, number),
            AttemptOutcome::Lost { delivered, .. } => {
                state.may_have_run = true;
                state.has_delivered |= delivered;
                self.hold_suspect(now, number).unwrap_or_else(|| self.retry_lost(now, number))
            }
        }
    }

    /// Retries a request whose last attempt was lost, or refuses it.
    pub(in crate::direct) fn retry_lost(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if state.is_repeatable() && self.try_spend_retry(now, number) {
            return self.retry(now, number);
        }
        self.refuse(now, number, ResultCode::Unknown, Millis(0))
    }

    /// Whether the request may be retried, considering its route's limit of attempts, its deadline
    /// and the retry budget of its service. Spends one retry from the budget if so.
    fn try_spend_retry(&mut self, now: Moment, number: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&number) else { return false };
        if state.attempts_reached >= state.attempt_limit || state.deadline <= now {
            return false;
        }
        let share = &self.settings.retry_share;
        let entries = self.entry_counter.count_live(now, share.window, &self.peers);
        let window = self.retry_windows.entry(state.service.clone()).or_default();
        let decision = window.try_spend(now, share, entries);
        info!(
            "request={} decision={} reason=budget service={} spent={} earned={:.1} allowance={:.1} \
             entries={entries} age={}",
            state.attempt_id,
            if decision.is_granted { "repeat" } else { "no-repeat" },
            state.service,
            decision.spent,
            decision.earned,
            decision.allowance,
            self.first_read_at.map_or("none".into(), |read_at| now.since(read_at).to_string()),
        );
        decision.is_granted
    }

    pub(in crate::direct) fn retry(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        if !state.has_delivered {
            // An answer's head binds the request to that head's weights only once the caller has
            // received some of the answer.
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

    /// Ends a request without a complete answer, at once.
    pub(in crate::direct) fn refuse(
        &mut self,
        now: Moment,
        number: RequestNumber,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.remove(&number) else { return Vec::new() };
        self.release_resources(&state);
        // The refusal of a later attempt says nothing about an earlier one that may have run.
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
