//! The requests that an entry has in progress and their attempts.

use mustardrill_types::{
    AttemptId, CustomerName, FastMap, InstanceId, ManifestDigest, ModelName, Moment, RequestDigest,
    RequestKey,
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
    /// When it was sent to an agent last.
    pub(crate) sent: Moment,
    pub(crate) affinity: Option<Box<str>>,
    pub(crate) stage: RequestStage,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Upstreams that were tried.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether an attempt was lost that may have run.
    pub(crate) may_have_run: bool,
    /// Bytes of the answer that went to the caller.
    pub(crate) delivered: u64,
    /// The weights of the bytes that went to the caller.
    pub(crate) pinned: Option<ManifestDigest>,
    /// The attempt that claimed the key, kept through retries.
    pub(crate) claimant: Option<AttemptId>,
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Its claim is awaited.
    Claiming,
    /// An attempt is under way.
    Sent(AttemptId, InstanceId),
    /// A verdict is awaited on whether upstreams end under it.
    Judged,
}

/// The requests of one entry, by request and by attempt.
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
            sent: Moment(0),
            affinity: incoming.affinity,
            stage: RequestStage::Claiming,
            attempts: 0,
            tried: Vec::new(),
            may_have_run: false,
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

    /// The request that awaits this attempt; nothing for a late or foreign one.
    pub(crate) fn of_attempt(&self, attempt: AttemptId) -> Option<RequestId> {
        self.attempts.get(&attempt).copied()
    }

    /// Notes that `attempt` now stands for the request.
    pub(crate) fn bind(&mut self, attempt: AttemptId, id: RequestId) {
        self.attempts.insert(attempt, id);
    }

    pub(crate) fn unbind(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let state = self.requests.remove(&id)?;
        // Only its claim's attempt and the one under way can be bound.
        if let RequestStage::Sent(attempt, _) = state.stage {
            self.attempts.remove(&attempt);
        }
        if let Some(attempt) = state.claimant {
            self.attempts.remove(&attempt);
        }
        Some(state)
    }

    pub(crate) fn overdue(&self, now: Moment) -> Vec<RequestId> {
        let late = self.requests.iter().filter(|(_, state)| state.deadline <= now);
        let mut late: Vec<_> = late.map(|(id, _)| *id).collect();
        late.sort_unstable();
        late
    }

    /// The attempts at an instance of requests that another one may run as well.
    pub(crate) fn repeatable_at(&self, instance: &InstanceId) -> Vec<AttemptId> {
        let repeatable = self.requests.values().filter(|state| state.is_idempotent());
        let attempts = repeatable.filter_map(|state| match &state.stage {
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
