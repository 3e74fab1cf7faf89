//! The events that an entry's reducer takes and the effects that it returns.

use std::sync::Arc;

use mustardrill_types::{
    AttemptId, CustomerName, DataCentre, Generation, InstanceId, ManifestDigest, Millis, ModelName,
    Moment, RequestDigest, RequestKey, ResultCode, StartStamp,
};

use crate::agent::WeightsProgress;
use crate::budget::RetrySettings;
use crate::claim::ClaimOutcome;
use crate::coordinator::ClaimCoordinator;
use crate::demand::DemandRow;
use crate::document::{CatalogueDocument, RequestClass};
use crate::membership::{InstanceRecord, MemberSettings};
use crate::quarantine::CrashReport;
use crate::refusal::AttemptRefusal;
use crate::routing::{RoutingSettings, UpstreamReport};

/// Identifies a request within one entry process.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request as received from a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// Unique within this entry process.
    pub id: RequestId,
    /// The authenticated customer.
    pub customer: CustomerName,
    /// The name of the catalogue entry that is called.
    pub target: ModelName,
    /// Whether the path called a model; a plain service otherwise.
    pub is_model: bool,
    /// The key of a non-idempotent request. `None` where the request may be run more than once.
    pub key: Option<RequestKey>,
    /// After this time the answer is of no use to the caller, and the request is rejected.
    pub deadline: Moment,
    /// Shared by requests with a common prefix, so that they are routed to the same upstream.
    pub affinity: Option<Box<str>>,
    /// Equal each time the customer sends this request, whatever its key; quarantine uses it.
    pub digest: RequestDigest,
}

/// The result of one attempt at an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The agent refused the attempt without running it.
    Refused(AttemptRefusal),
    /// The agent could not be reached. Nothing was sent, so the attempt was not run.
    NotSent,
    /// The connection to the agent or its upstream failed after the attempt was sent, so it may
    /// have run.
    Lost,
    /// This incarnation of the upstream crashed while it ran the attempt.
    UpstreamCrashed(StartStamp),
    /// The answer was computed with other weights than the pinned ones.
    WrongWeights,
    /// The complete answer was received.
    Complete,
}

/// An input of the entry's reducer.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A caller sent a request; it is not admitted yet.
    RequestArrived(IncomingRequest),
    /// The caller disconnected before the request was answered.
    CallerDisconnected(RequestId),
    /// An attempt ended, with the number of answer bytes that the caller has received.
    AttemptEnded(AttemptId, AttemptEnd, u64),
    /// The outcome of a claim; `Unavailable` where no shard coordinator answered.
    ClaimSettled(AttemptId, ClaimOutcome),
    /// A catalogue was read from the store; it is ignored unless its generation is newer.
    CatalogueReceived(Arc<CatalogueDocument>),
    /// The platform's complete instance list was read.
    InstancesReceived(Vec<InstanceRecord>),
    /// An agent answered a heartbeat.
    Synced(AgentSync),
    /// An agent did not answer a heartbeat in time. [`EntryEvent::Delivered`] precedes it for each
    /// request in progress.
    SyncFailed(InstanceId),
    /// The number of answer bytes that a request's caller has received.
    Delivered(RequestId, u64),
    /// The number of live entries, this one included; limits are divided by it.
    EntriesCounted(usize),
    /// The ids of all live entries and the Unix time in milliseconds at which they were read.
    EntriesListed(Vec<InstanceId>, Millis),
    /// Sent periodically: deadlines, verdicts and heartbeats that are due are handled.
    Tick,
    /// A planned shutdown starts: new requests are refused, those in progress are completed.
    Stop,
    /// A planned shutdown leaves no more time for answers: requests of whose answer the caller has
    /// nothing are refused. [`EntryEvent::Delivered`] precedes it for each request in progress.
    StopEnding,
}

/// An agent's reply to a heartbeat.
#[derive(Debug, Clone)]
pub struct AgentSync {
    /// The instance that the agent runs on.
    pub id: InstanceId,
    /// The catalogue generation that the agent has applied.
    pub generation: Generation,
    /// Load, capacity, served weights and whether the agent is draining.
    pub report: UpstreamReport,
    /// The transfer progress of each version that the agent should hold.
    pub progress: Vec<WeightsProgress>,
    /// Demand by customer, summed over the entries whose heartbeats the agent received recently.
    pub demand: Vec<DemandRow>,
    /// The number of entries in the sum, this one included; 0 where the agent sent no sum.
    pub reporting_entries: u32,
    /// Reports from other entries about requests whose upstream crashed.
    pub crashes: Vec<CrashReport>,
}

/// An action that the reducer asks the entry's tasks to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEffect {
    /// Send an attempt to an agent.
    Send(SendOrder),
    /// Cancel an attempt; its result is not awaited any longer.
    Cancel(AttemptId),
    /// Cancel an attempt whose agent does not answer, and report it as [`AttemptEnd::Lost`].
    Abandon(AttemptId),
    /// Refuse the request, or cut off its answer where the caller has received a part of it.
    Reject {
        /// The request, which the reducer has already removed.
        id: RequestId,
        /// The reason sent to the caller.
        code: ResultCode,
        /// How long the caller should wait before it tries again.
        retry_after: Millis,
    },
    /// Ask for a claim, one shard coordinator after the other until one answers.
    AcquireClaim(ClaimOrder),
    /// Release a claim, retrying until a shard coordinator confirms it.
    ReleaseClaim(ClaimOrder),
    /// Send a heartbeat to an agent.
    Sync {
        /// The instance that the agent runs on.
        id: InstanceId,
        /// The agent's `host:port`.
        address: Box<str>,
        /// Whether to include the catalogue, because the agent has an older generation.
        with_catalogue: bool,
        /// Whether to include this entry's demand and ask for the sum over all entries.
        with_demand: bool,
        /// Reports to pass on about requests whose upstream crashed.
        crashes: Vec<CrashReport>,
    },
}

/// A claim to request or to release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOrder {
    /// The key of the non-idempotent request.
    pub key: RequestKey,
    /// The attempt in whose name the key is claimed.
    pub attempt: AttemptId,
    /// The shard's coordinators in the order in which to ask them.
    pub coordinators: Vec<ClaimCoordinator>,
}

/// An attempt to send to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// A new random id; the agent runs each id once.
    pub attempt: AttemptId,
    /// The instance whose agent runs the attempt.
    pub instance: InstanceId,
    /// The agent's `host:port`.
    pub address: Box<str>,
    /// The weights that must compute the answer; `None` for a plain service.
    pub pinned: Option<ManifestDigest>,
    /// The class from the catalogue, by which the agent's queue orders requests.
    pub class: RequestClass,
    /// The time until the request's deadline.
    pub remaining: Millis,
    /// The number of answer bytes that the caller has received; the answer resumes after them.
    pub resume_from: u64,
}

/// The settings of an entry's reducer.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// This entry's instance id; it also seeds the choice of agents.
    pub own_id: InstanceId,
    /// This entry's data centre; upstreams in it are preferred.
    pub data_centre: DataCentre,
    /// Settings of the choice of an upstream.
    pub routing: RoutingSettings,
    /// The retry budget.
    pub retry: RetrySettings,
    /// The number of shards, each a document in the store, that hold the claims. All entries and
    /// agents must use the same number.
    pub claim_shards: u32,
    /// When an instance of the list is considered dead after failed heartbeats.
    pub members: MemberSettings,
    /// The maximum number of agents per service that this entry sends heartbeats and requests to.
    pub subset: usize,
    /// The interval between heartbeats to one agent, in milliseconds; up to a quarter is added at
    /// random.
    pub sync_every: Millis,
}
