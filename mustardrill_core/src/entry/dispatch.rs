//! Dispatch of a request's attempts to agents, and retries according to their results.

use log::info;
use mustardrill_types::{
    AttemptId, InstanceId, ManifestDigest, Millis, ModelName, Moment, ResultCode,
};
use rand::Rng;

use crate::entry::event::{AttemptEnd, EntryEffect, RequestId, SendOrder};
use crate::entry::reducer::EntryReducer;
use crate::entry::request::{RequestStage, RequestState};
use crate::refusal::AttemptRefusal;
use crate::routing::RoutingReason;

/// Retry-after for a caller whose request no upstream can serve.
const RETRY_AFTER_NO_UPSTREAM: Millis = Millis(1_000);

impl EntryReducer {
    /// Sends the next attempt of a request. The request is rejected where its deadline has passed
    /// or no upstream can serve it.
    pub(super) fn send_attempt(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        self.send_attempt_preferring(now, id, None)
    }

    /// Like [`Self::send_attempt`], but skips load balancing where `preferred` is a candidate.
    fn send_attempt_preferring(
        &mut self,
        now: Moment,
        id: RequestId,
        preferred: Option<&InstanceId>,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        if state.deadline <= now {
            return self.reject(now, id, ResultCode::DeadlinePassed, Millis(0));
        }
        let candidates = self.candidates(now, state);
        let preferred = preferred.filter(|instance| candidates.contains(instance));
        let chosen = match preferred {
            Some(instance) => Some((instance.clone(), RoutingReason::Switched)),
            None => {
                let (tried, affinity) = (&state.tried, state.affinity.as_deref());
                self.routing.choose(now, &candidates, tried, affinity, &mut self.random)
            }
        };
        let Some((instance, reason)) = chosen else {
            info!(
                "routing request={id} target={} candidates={} decision=none",
                state.target,
                candidates.len()
            );
            return self.reject(now, id, ResultCode::NoUpstream, RETRY_AFTER_NO_UPSTREAM);
        };
        let pinned = self.servable_weights(&state.target, &instance);
        let address = self.members.get(&instance).map(|record| record.agent.clone());
        let attempt = AttemptId(self.random.random());
        self.requests.bind_attempt(attempt, id);
        self.routing.record_sent(&instance);
        let state = self.requests.get_mut(id).expect("the request was looked up");
        state.attempts += 1;
        state.tried.push(instance.clone());
        state.sent_at = now;
        state.stage = RequestStage::Sent(attempt, instance.clone());
        state.pinned = pinned;
        info!(
            "routing request={id} attempt={attempt} target={} customer={} instance={instance} reason={reason} candidates={} manifest={}",
            state.target,
            state.customer,
            candidates.len(),
            pinned.map_or("none".into(), |digest| digest.short())
        );
        vec![EntryEffect::Send(SendOrder {
            id,
            attempt,
            instance,
            address: address.unwrap_or_default(),
            pinned,
            class: state.class,
            remaining: state.deadline.since(now),
            resume_from: state.delivered,
        })]
    }

    /// The live upstreams of this entry's subset that can serve the request. Once answer bytes were
    /// delivered, only those with the same weights, as the answer must come from one version.
    fn candidates(&self, now: Moment, state: &RequestState) -> Vec<InstanceId> {
        let Some(entry) = self.document.entries.get(&state.target) else { return Vec::new() };
        let Some(subset) = self.subsets.get(&entry.service) else { return Vec::new() };
        let is_available = |id: &&InstanceId| {
            let record = self.members.get(id);
            record.is_some_and(|it| !it.leaving) && self.members.is_live(now, id)
        };
        let has_weights = |id: &&InstanceId| {
            let weights = self.servable_weights(&state.target, id);
            match (&entry.weights, state.delivered) {
                (None, _) => true,
                (Some(_), 0) => weights.is_some(),
                (Some(_), _) => weights.is_some() && weights == state.pinned,
            }
        };
        subset.iter().filter(is_available).filter(has_weights).cloned().collect()
    }

    /// The weights of the model that the instance serves: the catalogue's current version, or the
    /// most recent earlier one while the instance has not switched to the current version yet.
    fn servable_weights(&self, model: &ModelName, instance: &InstanceId) -> Option<ManifestDigest> {
        let weights = self.document.entries.get(model)?.weights.as_ref()?;
        let serving = &self.routing.get(instance)?.report.serving;
        if serving.contains(&weights.manifest) {
            return Some(weights.manifest);
        }
        let changes = self.document.edits.iter().rev().flat_map(|record| &record.changes);
        changes
            .filter(|change| change.name == *model)
            .filter_map(|change| change.before.as_ref()?.weights.as_ref())
            .map(|weights| weights.manifest)
            .find(|digest| serving.contains(digest))
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        end: &AttemptEnd,
        delivered: u64,
    ) -> Vec<EntryEffect> {
        let Some(id) = self.requests.request_of_attempt(attempt) else {
            info!("attempt={attempt} decision=drop reason=not-awaited");
            return Vec::new();
        };
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let RequestStage::Sent(awaited, instance) = state.stage.clone() else { return Vec::new() };
        if awaited != attempt {
            return Vec::new();
        }
        self.requests.unbind_attempt(attempt);
        if let Some(state) = self.requests.get_mut(id) {
            state.delivered = delivered;
            state.has_resumed |= delivered > 0 && *end != AttemptEnd::Complete;
        }
        let is_healthy = matches!(end, AttemptEnd::Complete | AttemptEnd::Refused(..));
        self.routing.record_ended(now, &instance, is_healthy);
        match end {
            AttemptEnd::Complete => {
                if let Some(state) = self.remove_request(id) {
                    self.record_complete_answer(now, &state);
                }
                Vec::new()
            }
            AttemptEnd::Refused(refusal) => self.attempt_refused(now, id, &instance, refusal),
            AttemptEnd::NotSent => {
                self.members.record_failure(now, &instance);
                self.retry(now, id, ResultCode::NoUpstream, RETRY_AFTER_NO_UPSTREAM, None)
            }
            AttemptEnd::Lost => self.attempt_lost(now, id, ResultCode::Unknown),
            AttemptEnd::UpstreamCrashed(start) => self.upstream_crashed(now, id, &instance, *start),
            AttemptEnd::WrongWeights => self.attempt_lost(now, id, ResultCode::WrongWeights),
        }
    }

    /// Handles a refusal: the attempt was not run, so any request may be retried.
    fn attempt_refused(
        &mut self,
        now: Moment,
        id: RequestId,
        instance: &InstanceId,
        refusal: &AttemptRefusal,
    ) -> Vec<EntryEffect> {
        let AttemptRefusal { code, retry_after, serving } = refusal;
        if *code == ResultCode::Leaving {
            info!("membership instance={instance} leaving=true source=refusal request={id}");
            self.routing.record_leaving(instance);
        }
        if !code.is_retryable() {
            return self.reject(now, id, *code, *retry_after);
        }
        if serving.is_empty() {
            return self.retry(now, id, *code, *retry_after, None);
        }
        self.routing.update_serving(instance, serving);
        // This upstream has just reported which weights it serves. What is known of the others may
        // be outdated, as they may have switched versions too.
        let preferred = Some(instance).filter(|instance| self.serves_other_weights(id, instance));
        self.retry(now, id, *code, *retry_after, preferred)
    }

    /// Whether the instance serves other weights of the model than those of the refused attempt.
    fn serves_other_weights(&self, id: RequestId, instance: &InstanceId) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| self.servable_weights(&state.target, instance) != state.pinned)
    }

    /// Handles an attempt that may have run: the request is retried only if it is idempotent.
    pub(super) fn attempt_lost(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        state.may_have_run = true;
        if !state.is_idempotent() {
            return self.reject(now, id, ResultCode::Unknown, Millis(0));
        }
        self.retry(now, id, code, RETRY_AFTER_NO_UPSTREAM, None)
    }

    /// Abandons the attempts at a silent instance that another instance can repeat now. The others
    /// stay open: the instance may work and go on, so its silence alone ends no request.
    pub(super) fn abandon_attempts(
        &mut self,
        now: Moment,
        instance: &InstanceId,
    ) -> Vec<EntryEffect> {
        let attempts = self.requests.idempotent_attempts_at(instance);
        let (total, mut effects) = (attempts.len(), Vec::new());
        for attempt in attempts {
            if self.reserve_retry(now, attempt) {
                effects.push(EntryEffect::Abandon(attempt));
            }
        }
        if total > 0 {
            let abandoned = effects.len();
            info!("instance={instance} decision=abandon attempts={abandoned} of={total}");
        }
        effects
    }

    /// Charges the retry budget for another attempt of a request, if another instance can run it;
    /// returns whether that is so.
    fn reserve_retry(&mut self, now: Moment, attempt: AttemptId) -> bool {
        let Some(id) = self.requests.request_of_attempt(attempt) else { return false };
        let Some(state) = self.requests.get(id) else { return false };
        let attempts = state.attempts;
        if state.has_reserved_retry || state.deadline <= now || !self.has_alternative(now, state) {
            return false;
        }
        let is_reserved = self.budget.spend(attempts);
        if let Some(state) = self.requests.get_mut(id) {
            state.has_reserved_retry = is_reserved;
        }
        is_reserved
    }

    /// Whether an instance that can answer may run the request or the rest of it.
    fn has_alternative(&self, now: Moment, state: &RequestState) -> bool {
        self.candidates(now, state).iter().any(|id| self.routing.is_responsive(now, id))
    }

    /// Sends another attempt, or rejects the request with `code` where its deadline has passed or
    /// the retry budget is used up.
    ///
    /// The first attempt at an upstream that has switched weights, `preferred`, is not charged: a
    /// switch turns away all requests in flight at once, which the upstream then runs as any other.
    fn retry(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
        retry_after: Millis,
        preferred: Option<&InstanceId>,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get_mut(id) else { return Vec::new() };
        let (attempts, deadline) = (state.attempts, state.deadline);
        let is_free = preferred.is_some() && !state.has_switched && self.budget.allows(attempts);
        let is_reserved = std::mem::take(&mut state.has_reserved_retry);
        if deadline <= now || !(is_reserved || is_free || self.budget.spend(attempts)) {
            info!("retry request={id} attempts={attempts} decision=give-up code={code}");
            return self.reject(now, id, code, retry_after);
        }
        if let Some(state) = self.requests.get_mut(id) {
            state.has_switched |= preferred.is_some();
        }
        info!(
            "retry request={id} attempts={attempts} decision=send code={code} charged={}",
            !is_free
        );
        self.send_attempt_preferring(now, id, preferred)
    }

    /// Ends a request without a complete answer.
    pub(super) fn reject(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.remove_request(id) else { return Vec::new() };
        let mut effects = Vec::new();
        // A refusal of the last attempt does not tell whether an earlier, lost one was run.
        let code = if state.may_have_run && code.is_not_run() { ResultCode::Unknown } else { code };
        // Nothing was run, so the claim is released and the caller may send the key again.
        if code.is_not_run() {
            effects.extend(self.release_claim(now, &state));
        }
        let code = if state.delivered > 0 { ResultCode::AnswerCut } else { code };
        info!(
            "request={id} decision=reject code={code} attempts={} digest={}",
            state.attempts, state.digest
        );
        effects.push(EntryEffect::Reject { id, code, retry_after });
        effects
    }

    pub(super) fn release_claim(&self, now: Moment, state: &RequestState) -> Option<EntryEffect> {
        let (key, claimant) = (state.key?, state.claimant?);
        Some(EntryEffect::ReleaseClaim(self.claim_order(now, key, claimant)))
    }

    /// Removes a request from the table and from the customer's requests in flight.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<RequestState> {
        let state = self.requests.remove(id)?;
        self.limits.release(&(state.customer.clone(), state.target.clone()));
        Some(state)
    }
}
