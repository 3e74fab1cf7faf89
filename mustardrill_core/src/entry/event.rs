//! What an entry sees and what it does about it, as data.

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

/// The number of a request within one entry.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request as it came from a caller.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The request.
    pub id: RequestId,
    /// Who calls.
    pub customer: CustomerName,
    /// The catalogue's entry that is called.
    pub target: ModelName,
    /// Whether a model or a plain service is called.
    pub is_model: bool,
    /// The key of a non-idempotent request; nothing where it may be repeated.
    pub key: Option<RequestKey>,
    /// When its answer is worth nothing any more.
    pub deadline: Moment,
    /// What requests with a common prefix share.
    pub affinity: Option<Box<str>>,
    /// The same for each sending of this request by its customer, whatever its key.
    pub digest: RequestDigest,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The agent refused it: it was not run.
    Refused(AttemptRefusal),
    /// The agent could not be reached, and nothing of the attempt was sent: it was not run.
    NotSent,
    /// The agent or its upstream was lost after the attempt was sent.
    Lost,
    /// This start of the upstream ended while it had the attempt.
    UpstreamEnded(StartStamp),
    /// The answer was made from other weights than those pinned.
    WrongWeights,
    /// The whole answer came.
    Whole,
}

/// Something that happened at or to an entry.
#[derive(Debug, Clone)]
pub enum EntryEvent {
    /// A caller sent a request.
    RequestArrived(IncomingRequest),
    /// The caller went away.
    CallerGone(RequestId),
    /// An attempt ended; the caller has this many bytes of the answer.
    AttemptEnded(AttemptId, AttemptEnd, u64),
    /// What came of a claim.
    ClaimSettled(AttemptId, ClaimOutcome),
    /// A catalogue was read.
    CatalogueSeen(Arc<CatalogueDocument>),
    /// The platform's instance list was read.
    InstancesSeen(Vec<InstanceRecord>),
    /// An agent answered a heartbeat.
    Synced(AgentSync),
    /// An agent did not answer a heartbeat.
    SyncFailed(InstanceId),
    /// How many entries there are, this one included.
    EntriesCounted(usize),
    /// Time passed.
    Tick,
    /// A planned stop begins.
    Stop,
}

/// What an agent's heartbeat says.
#[derive(Debug, Clone)]
pub struct AgentSync {
    /// The agent's instance.
    pub id: InstanceId,
    /// The generation in force there.
    pub generation: Generation,
    /// Load, capacity, weights and whether it is leaving.
    pub report: UpstreamReport,
    /// How far its wanted versions are.
    pub progress: Vec<WeightsProgress>,
    /// What customers asked of all entries that the agent heard lately.
    pub demand: Vec<DemandRow>,
    /// How many entries these are.
    pub entries: u32,
    /// What the agent heard of requests under which upstreams ended.
    pub crashes: Vec<CrashReport>,
}

/// Something that an entry does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEffect {
    /// Send an attempt to an agent.
    Send(SendOrder),
    /// Give up an attempt.
    Cancel(AttemptId),
    /// Give up an attempt whose agent is silent, and report it as lost.
    Abandon(AttemptId),
    /// Tell the caller that there is no answer, or cut the answer that is under way.
    Reject {
        /// The request.
        id: RequestId,
        /// Why.
        code: ResultCode,
        /// When it is worth coming back.
        retry_after: Millis,
    },
    /// Ask for a claim, one keeper after the other until one answers.
    AskClaim(ClaimOrder),
    /// Take a claim back, until a keeper has noted it.
    ReleaseClaim(ClaimOrder),
    /// Send a heartbeat, with the catalogue where the agent is behind.
    Sync {
        /// The agent's instance.
        id: InstanceId,
        /// Where it listens.
        address: Box<str>,
        /// Whether to send the catalogue along.
        with_catalogue: bool,
        /// Whether to tell what customers ask for, and to ask for the sum.
        with_demand: bool,
        /// What to tell of requests under which upstreams ended.
        crashes: Vec<CrashReport>,
    },
}

/// A claim to be asked for or taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOrder {
    /// The request's key.
    pub key: RequestKey,
    /// The attempt that claims it.
    pub attempt: AttemptId,
    /// Whom to ask, first choice first.
    pub keepers: Vec<ClaimCoordinator>,
}

/// An attempt to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The agent's instance.
    pub instance: InstanceId,
    /// Where the agent listens.
    pub address: Box<str>,
    /// The weights that the answer must be made from, for a model.
    pub pinned: Option<ManifestDigest>,
    /// The request's class.
    pub class: RequestClass,
    /// How much time is left.
    pub remaining: Millis,
    /// How many bytes of the answer the caller has.
    pub resume_from: u64,
}

/// What an entry must know of itself and how it decides.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The entry's own instance.
    pub own: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// How upstreams are chosen.
    pub routing: RoutingSettings,
    /// How attempts are repeated.
    pub retry: RetrySettings,
    /// Over how many documents claims are spread; the same at all agents.
    pub claim_shards: u32,
    /// How the instance list is corrected.
    pub members: MemberSettings,
    /// How many agents of each service this entry talks to.
    pub subset: usize,
    /// How often it sends a heartbeat to each of them.
    pub sync_every: Millis,
}
