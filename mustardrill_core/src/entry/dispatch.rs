//! How an entry sends attempts of a request, and what it makes of their ends.

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

/// When a caller may come back where no upstream serves what it asks for.
const NO_UPSTREAM_RETRY: Millis = Millis(1_000);

impl EntryReducer {
    /// Sends the next attempt of a request, or rejects it.
    pub(super) fn send(&mut self, now: Moment, id: RequestId) -> Vec<EntryEffect> {
        self.send_to(now, id, None)
    }

    /// Sends the next attempt to `switched` where it is a candidate, or to a chosen one.
    fn send_to(
        &mut self,
        now: Moment,
        id: RequestId,
        switched: Option<&InstanceId>,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        if state.deadline <= now {
            return self.reject(now, id, ResultCode::DeadlinePassed, Millis(0));
        }
        let candidates = self.candidates(now, state);
        let switched = switched.filter(|instance| candidates.contains(instance));
        let chosen = match switched {
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
            return self.reject(now, id, ResultCode::NoUpstream, NO_UPSTREAM_RETRY);
        };
        let pinned = self.pin(&state.target, &instance);
        let address = self.members.get(&instance).map(|record| record.agent.clone());
        let attempt = AttemptId(self.random.random());
        self.requests.bind(attempt, id);
        self.routing.record_sent(&instance);
        let state = self.requests.get_mut(id).expect("the request was looked up");
        state.attempts += 1;
        state.tried.push(instance.clone());
        state.sent = now;
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

    /// The upstreams that may answer the request; after a first byte only those with its weights.
    fn candidates(&self, now: Moment, state: &RequestState) -> Vec<InstanceId> {
        let Some(entry) = self.document.entries.get(&state.target) else { return Vec::new() };
        let Some(subset) = self.subsets.get(&entry.service) else { return Vec::new() };
        let is_listed = |id: &&InstanceId| {
            let record = self.members.get(id);
            record.is_some_and(|it| !it.leaving) && self.members.is_live(now, id)
        };
        let fits = |id: &&InstanceId| {
            let pin = self.pin(&state.target, id);
            match (&entry.weights, state.delivered) {
                (None, _) => true,
                (Some(_), 0) => pin.is_some(),
                (Some(_), _) => pin.is_some() && pin == state.pinned,
            }
        };
        subset.iter().filter(is_listed).filter(fits).cloned().collect()
    }

    /// The weights of the model that the instance serves: the version wanted, or an earlier one
    /// of the same model while a switch is under way.
    fn pin(&self, model: &ModelName, instance: &InstanceId) -> Option<ManifestDigest> {
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
        let Some(id) = self.requests.of_attempt(attempt) else {
            info!("attempt={attempt} decision=drop reason=not-awaited");
            return Vec::new();
        };
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let RequestStage::Sent(awaited, instance) = state.stage.clone() else { return Vec::new() };
        if awaited != attempt {
            return Vec::new();
        }
        self.requests.unbind(attempt);
        if let Some(state) = self.requests.get_mut(id) {
            state.delivered = delivered;
        }
        let is_healthy = matches!(end, AttemptEnd::Whole | AttemptEnd::Refused(..));
        self.routing.record_ended(now, &instance, is_healthy);
        match end {
            AttemptEnd::Whole => {
                if let Some(state) = self.finish(id) {
                    self.run_succeeded(now, state.digest);
                }
                Vec::new()
            }
            AttemptEnd::Refused(refusal) => self.refused(now, id, &instance, refusal),
            AttemptEnd::NotSent => {
                self.members.record_failure(now, &instance);
                self.retry(now, id, ResultCode::NoUpstream, NO_UPSTREAM_RETRY, None)
            }
            AttemptEnd::Lost => self.lost(now, id, ResultCode::Unknown),
            AttemptEnd::UpstreamEnded(start) => self.upstream_ended(now, id, &instance, *start),
            AttemptEnd::WrongWeights => self.lost(now, id, ResultCode::WrongWeights),
        }
    }

    /// Goes on after an attempt that was not run.
    fn refused(
        &mut self,
        now: Moment,
        id: RequestId,
        instance: &InstanceId,
        refusal: &AttemptRefusal,
    ) -> Vec<EntryEffect> {
        let AttemptRefusal { code, retry_after, serving } = refusal;
        if !code.is_retryable() {
            return self.reject(now, id, *code, *retry_after);
        }
        if serving.is_empty() {
            return self.retry(now, id, *code, *retry_after, None);
        }
        self.routing.update_serving(instance, serving);
        // Of all upstreams this one's weights are known best: the others may have switched too.
        let switched = Some(instance).filter(|instance| self.serves_otherwise(id, instance));
        self.retry(now, id, *code, *retry_after, switched)
    }

    /// Whether the instance serves other weights of the model than those that it refused.
    fn serves_otherwise(&self, id: RequestId, instance: &InstanceId) -> bool {
        let state = self.requests.get(id);
        state.is_some_and(|state| self.pin(&state.target, instance) != state.pinned)
    }

    /// Goes on after an attempt that may have run.
    pub(super) fn lost(
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
        self.retry(now, id, code, NO_UPSTREAM_RETRY, None)
    }

    fn retry(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
        retry_after: Millis,
        switched: Option<&InstanceId>,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.requests.get(id) else { return Vec::new() };
        let attempts = state.attempts;
        if state.deadline <= now || !self.budget.spend(attempts) {
            info!("retry request={id} attempts={attempts} decision=give-up code={code}");
            return self.reject(now, id, code, retry_after);
        }
        info!("retry request={id} attempts={attempts} decision=send code={code}");
        self.send_to(now, id, switched)
    }

    /// Ends a request without a whole answer, at once.
    pub(super) fn reject(
        &mut self,
        now: Moment,
        id: RequestId,
        code: ResultCode,
        retry_after: Millis,
    ) -> Vec<EntryEffect> {
        let Some(state) = self.finish(id) else { return Vec::new() };
        let mut effects = Vec::new();
        // A later attempt's refusal says nothing of an earlier one that was lost.
        let code = if state.may_have_run && code.is_not_run() { ResultCode::Unknown } else { code };
        // The claim goes back with the proof that nothing was run, so that the caller may come back.
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

    pub(super) fn finish(&mut self, id: RequestId) -> Option<RequestState> {
        let state = self.requests.remove(id)?;
        self.limits.release(&(state.customer.clone(), state.target.clone()));
        Some(state)
    }
}
