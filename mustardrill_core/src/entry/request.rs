//! The table of requests in progress at an entry, with the attempts that they wait for.

use mustardrill_types::{
    AttemptId, CustomerName, FastMap, InstanceId, ManifestDigest, ModelName, Moment, PartId,
    PartSet, RequestDigest, RequestKey,
};

use crate::document::RequestClass;
use crate::entry::event::{IncomingRequest, RequestId};

/// One request in progress.
#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) customer: CustomerName,
    pub(crate) target: ModelName,
    pub(crate) class: RequestClass,
    pub(crate) key: Option<RequestKey>,
    pub(crate) digest: RequestDigest,
    pub(crate) deadline: Moment,
    /// When the last attempt was sent to an agent.
    pub(crate) sent_at: Moment,
    pub(crate) affinity: Option<Box<str>>,
    /// The common prefix, as the part of its prompt that other requests may share.
    pub(crate) parts: PartSet,
    pub(crate) stage: RequestStage,
    /// The number of attempts sent so far.
    pub(crate) attempts: u32,
    /// The instances that attempts were sent to, in order.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether an attempt was lost after it was sent, so that it may have run.
    pub(crate) may_have_run: bool,
    /// Whether an attempt went to an upstream again that had refused one for other weights.
    pub(crate) has_switched: bool,
    /// Whether an upstream crashed while it ran an attempt.
    pub(crate) has_crashed_upstream: bool,
    /// Whether attempts go on with an answer that an earlier one began.
    pub(crate) has_resumed: bool,
    /// Whether the retry budget was charged for the next attempt already.
    pub(crate) has_reserved_retry: bool,
    /// Whether it is tried although its prefix is quarantined.
    pub(crate) is_trial: bool,
    /// The number of answer bytes that the caller has received.
    pub(crate) delivered: u64,
    /// The weights of the last attempt. Once bytes were delivered, all later attempts must use the
    /// same weights.
    pub(crate) pinned: Option<ManifestDigest>,
    /// The attempt in whose name the key was claimed; it stays the same through retries.
    pub(crate) claimant: Option<AttemptId>,
}

/// The part that stands for a common prefix, which callers name as they like.
fn prefix_part(name: &str) -> PartId {
    PartId(RequestDigest::of(&[b"prefix", name.as_bytes()]).0)
}

/// What a request in progress waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// The outcome of its claim.
    Claiming,
    /// The result of this attempt at this instance.
    Sent(AttemptId, InstanceId),
    /// The verdict on whether the request crashes upstreams and is quarantined.
    AwaitingVerdict,
}

/// The requests in progress at one entry, with an index by attempt.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: FastMap<RequestId, RequestState>,
    attempts: FastMap<AttemptId, RequestId>,
}

impl RequestState {
    pub(crate) fn new(incoming: IncomingRequest, class: RequestClass) -> Self {
        Self {
            customer: incoming.customer,
            target: incoming.target,
            class,
            key: incoming.key,
            digest: incoming.digest,
            deadline: incoming.deadline,
            sent_at: Moment(0),
            parts: incoming.affinity.as_deref().map(prefix_part).into_iter().collect(),
            affinity: incoming.affinity,
            stage: RequestStage::Claiming,
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
            has_switched: false,
            has_crashed_upstream: false,
            has_resumed: false,
            has_reserved_retry: false,
            is_trial: false,
            delivered: 0,
            pinned: None,
            claimant: None,
        }
    }

    /// Whether the request may be run a second time.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.key.is_none()
    }
}

impl RequestTable {
    pub(crate) fn insert(&mut self, id: RequestId, state: RequestState) {
        self.requests.insert(id, state);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// The request that waits for this attempt; `None` where the attempt is late or unknown.
    pub(crate) fn request_of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.attempts.get(&attempt).copied()
    }

    /// Makes results of `attempt` count for the request.
    pub(crate) fn bind_attempt(&mut self, attempt: AttemptId, id: RequestId) {
        self.attempts.insert(attempt, id);
    }

    pub(crate) fn unbind_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let state = self.requests.remove(&id)?;
        // No attempt is bound but the claimant and the one in progress.
        if let RequestStage::Sent(attempt, _) = state.stage {
            self.attempts.remove(&attempt);
        }
        if let Some(attempt) = state.claimant {
            self.attempts.remove(&attempt);
        }
        Some(state)
    }

    pub(crate) fn past_deadline(&self, now: Moment) -> Vec<RequestId> {
        let expired = self.requests.iter().filter(|(_, state)| state.deadline <= now);
        let mut expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.sort_unstable();
        expired
    }

    /// The requests of whose answer the caller has received nothing.
    pub(crate) fn unanswered(&self) -> Vec<RequestId> {
        let unanswered = self.requests.iter().filter(|(_, state)| state.delivered == 0);
        let mut unanswered: Vec<_> = unanswered.map(|(id, _)| *id).collect();
        unanswered.sort_unstable();
        unanswered
    }

    /// The attempts of idempotent requests at an instance; another instance may run them again.
    pub(crate) fn idempotent_attempts_at(&self, instance: &InstanceId) -> Vec<AttemptId> {
        let idempotent = self.requests.values().filter(|state| state.is_idempotent());
        let attempts = idempotent.filter_map(|state| match &state.stage {
            RequestStage::Sent(attempt, at) if at == instance => Some(*attempt),
            _ => None,
        });
        let mut attempts: Vec<_> = attempts.collect();
        attempts.sort_unstable();
        attempts
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
