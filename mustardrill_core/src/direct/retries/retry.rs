//! What follows an attempt without a complete answer: a retry, or the end of the request.
//!
//! Upstreams crash, fail or turn requests away. A request that may have run is retried only where
//! that is harmless, and all retries together stay within the budget.

use log::info;
use mustardrill_types::{FastMap, InstanceId, Millis, Moment, ResultCode, ServiceName};
use rand::Rng;

use crate::direct::event::{AttemptOutcome, DirectEffect, RefusalPlan, RequestNumber};
use crate::direct::reducer::DirectReducer;
use crate::direct::request::{RequestStage, RequestState};
use crate::direct::retries::retry_budget::{AllowancePart, RetryGrant, RetryWindow};
use crate::direct::waiting::wait_policy::{MIN_FULL_RETRY, NO_UPSTREAM_RETRY};
use crate::rendezvous;

/// Upstreams that could not be reached before a request is refused.
const UNREACHABLE_UPSTREAMS_LIMIT: usize = 4;

impl DirectReducer {
    pub(in crate::direct) fn continue_after_attempt(
        &mut self,
        now: Moment,
        number: RequestNumber,
        outcome: AttemptOutcome,
    ) -> Vec<DirectEffect> {
        if self.end_one_of_two(number, outcome) {
            return Vec::new();
        }
        let was_sent = outcome.has_reached();
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        if was_sent {
            settle_payment(&mut self.retry_windows, state);
        }
        state.attempts_reached += u32::from(was_sent);
        match outcome {
            AttemptOutcome::Whole | AttemptOutcome::Undelimited => {
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
                self.refuse_full(now, number, MIN_FULL_RETRY)
            }
            AttemptOutcome::NotSent => {
                if state.tried_upstreams.len() < UNREACHABLE_UPSTREAMS_LIMIT {
                    return self.retry_unsent(now, number);
                }
                self.refuse(now, number, ResultCode::NoUpstream, NO_UPSTREAM_RETRY)
            }
            // The engine drops the request when its connection closes, but it may have started just
            // before.
            AttemptOutcome::Withdrawn { sent: true } => {
                state.may_have_run = true;
                self.hold_suspect(now, number).unwrap_or_else(|| self.retry_lost(now, number))
            }
            AttemptOutcome::Withdrawn { sent: false } => self.retry_unsent(now, number),
            AttemptOutcome::Lost { delivered, .. } => {
                state.may_have_run = true;
                state.has_delivered |= delivered;
                self.hold_suspect(now, number).unwrap_or_else(|| self.retry_lost(now, number))
            }
        }
    }

    /// Retries a request whose last attempt was not sent. An attempt beside that one may have
    /// crashed its upstream, so that a verdict on the request is pending.
    fn retry_unsent(&mut self, now: Moment, number: RequestNumber) -> Vec<DirectEffect> {
        self.hold_suspect(now, number).unwrap_or_else(|| self.retry(now, number))
    }

    /// Retries a request whose last attempt was lost, or refuses it.
    pub(in crate::direct) fn retry_lost(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        // It has a grant if that paid for an attempt that was not sent.
        let is_paid = state.retry_grant.is_some();
        if state.is_repeatable() && (is_paid || self.try_spend_retry(now, number)) {
            return self.retry(now, number);
        }
        self.refuse(now, number, ResultCode::Unknown, Millis(0))
    }

    /// Records that a request to `service` has arrived, which earns a part of a retry.
    pub(in crate::direct) fn record_earning_request(&mut self, now: Moment, service: &ServiceName) {
        let share = self.settings.retry_share.clone();
        self.retry_window(service).record_request(now, &share);
    }

    fn retry_window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        let random = &mut self.random;
        let window = self.retry_windows.entry(service.clone());
        window.or_insert_with(|| RetryWindow::new(random.random()))
    }

    /// Whether the request may be retried, considering its route's limit of attempts, its deadline
    /// and the retry budget of its service. Takes one retry from the budget if so.
    pub(in crate::direct) fn try_spend_retry(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> bool {
        let Some(state) = self.requests.get(&number) else { return false };
        if state.attempts_reached >= state.attempt_limit || state.is_too_late(now) {
            return false;
        }
        let service = state.service.clone();
        let part = self.allowance_part(now, &service);
        let share = self.settings.retry_share.clone();
        let decision = self.retry_window(&service).grant(now, &share, part);
        let Some(state) = self.requests.get_mut(&number) else { return false };
        info!(
            "request={} decision={} reason=budget service={service} paid={} credits={} spent={} \
             allowance={} entries={} member={} contact={}",
            state.attempt_id,
            if decision.payment.is_some() { "repeat" } else { "no-repeat" },
            decision.payment.map_or("none".into(), |payment| payment.to_string()),
            decision.credits,
            decision.spent,
            decision.allowance,
            part.entries,
            part.is_member,
            self.membership.age(now).map_or("none".into(), |age| age.to_string()),
        );
        state.retry_grant = decision.payment.map(|payment| RetryGrant { service, payment });
        decision.payment.is_some()
    }

    /// Whether the next attempt may be sent: the first one, or one that is paid for. A grant that
    /// has expired, or that another service's budget has paid for, is replaced.
    pub(in crate::direct) fn confirm_grant(&mut self, now: Moment, number: RequestNumber) -> bool {
        let Some(state) = self.requests.get_mut(&number) else { return false };
        if state.attempts_reached == 0 {
            return true;
        }
        let is_valid = state.retry_grant.as_ref().is_some_and(|grant| {
            grant.service == state.service
                && RetryWindow::is_valid(now, &self.settings.retry_share, grant.payment)
        });
        if is_valid {
            return true;
        }
        let replaced = state.retry_grant.take();
        self.withdraw_grant(replaced);
        self.try_spend_retry(now, number)
    }

    /// Ends the grant of a request that ends. An attempt that is under way counts as sent.
    pub(in crate::direct) fn release_grant(&mut self, state: &mut RequestState) {
        if matches!(state.stage, RequestStage::Sent(_)) {
            self.settle_grant(state);
        } else {
            let grant = state.retry_grant.take();
            self.withdraw_grant(grant);
        }
    }

    /// Records that the attempt that the request's grant paid for has reached an upstream.
    pub(in crate::direct) fn settle_grant(&mut self, state: &mut RequestState) {
        settle_payment(&mut self.retry_windows, state);
    }

    /// Returns a grant to the budget that paid for it, as its attempt was not sent.
    fn withdraw_grant(&mut self, grant: Option<RetryGrant>) {
        let Some(grant) = grant else { return };
        if let Some(window) = self.retry_windows.get_mut(&grant.service) {
            window.withdraw(grant.payment);
        }
    }

    /// This entry's part of the retry allowance of a service.
    fn allowance_part(&self, now: Moment, service: &ServiceName) -> AllowancePart {
        let window = self.settings.retry_share.window;
        let peers = self.live_peers.iter().map(InstanceId::as_str);
        AllowancePart {
            entries: self.live_peers.len() + 1,
            rank: rendezvous::rank(
                service.as_str().as_bytes(),
                self.settings.own_id.as_str(),
                peers,
            ),
            is_member: self.membership.is_member(now, window) && self.is_in_contact(now),
        }
    }

    pub(in crate::direct) fn retry(
        &mut self,
        now: Moment,
        number: RequestNumber,
    ) -> Vec<DirectEffect> {
        if let Some(refusal) = self.refuse_quarantined(now, number) {
            return refusal;
        }
        let Some(state) = self.requests.get_mut(&number) else { return Vec::new() };
        if !state.has_delivered {
            // An answer's head binds the request to that head's weights only once the caller has
            // received some of the answer.
            state.pinned_version = None;
        }
        let Some(state) = self.requests.get(&number) else { return Vec::new() };
        if !self.may_be_served_soon(now, state) {
            return self.refuse_unplaceable(now, number);
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
        let Some(mut state) = self.requests.remove(&number) else { return Vec::new() };
        self.release_resources(&mut state);
        if state.has_error_answer && !state.has_delivered {
            info!("request={} decision=forward-failure cause={code}", state.attempt_id);
            return vec![DirectEffect::ForwardFailure(number)];
        }
        // The refusal of a later attempt says nothing about an earlier one that may have run.
        let cause = code;
        let code = match code {
            _ if state.has_delivered => ResultCode::AnswerCut,
            code if state.may_have_run && code.is_not_run() => ResultCode::Unknown,
            code => code,
        };
        let usable = self.usable_upstreams(now, &state);
        info!(
            "request={} decision=refuse code={code} cause={cause} waited={} attempts={} queue={} usable={} \
             fitting={} leaving={} resting={} evacuated={} regions={} retry_after={retry_after} digest={} parts={}",
            state.attempt_id,
            now.since(state.arrived_at),
            state.tried_upstreams.len(),
            self.queues.get(&state.service).map_or(0, |queue| queue.len()),
            usable.len(),
            usable
                .iter()
                .filter(|upstream| self.serves_allowed_version(now, &state, upstream))
                .count(),
            self.upstreams.of_service(&state.service).filter(|it| it.is_leaving()).count(),
            self.upstreams.resting(now, &state.service).count(),
            self.upstreams
                .of_service(&state.service)
                .filter(|it| self.upstreams.is_evacuated(it))
                .count(),
            if state.region_limits.is_bound() { "bound" } else { "any" },
            state.digest,
            state.parts,
        );
        vec![DirectEffect::Refuse(number, RefusalPlan { code, retry_after })]
    }
}

/// Records that the attempt that a request's grant paid for has reached an upstream.
fn settle_payment(windows: &mut FastMap<ServiceName, RetryWindow>, state: &mut RequestState) {
    if let Some(grant) = state.retry_grant.take()
        && let Some(window) = windows.get_mut(&grant.service)
    {
        window.settle(state.sent_at, grant.payment);
    }
}
