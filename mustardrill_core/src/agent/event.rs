//! Events, effects and settings of an agent, as plain data.

use std::sync::Arc;

use mustardrill_types::{
    AttemptId, ByteSize, ChunkIndex, FencingNumber, InstanceId, ManifestDigest, Millis, ModelName,
    Moment, RegionName, RequestKey, ServiceName, VersionName,
};

use crate::admission::AdmissionSettings;
use crate::claim::{ClaimEffect, ClaimSettings, ShardIndex, ShardResponse};
use crate::demand::DemandRow;
use crate::document::{CatalogueDocument, RequestClass};
use crate::manifest::{ChunkBitmap, Manifest};
use crate::membership::{InstanceRecord, MemberSettings};
use crate::ownership::{OwnerAnswer, OwnerCall, OwnerSettings};
use crate::quarantine::CrashReport;
use crate::refusal::AttemptRefusal;
use crate::transfer::{ChunkFetch, ChunkSource, FetchOutcome, TransferPeer, TransferSettings};

/// An input of the agent's reducer.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// An entry or the platform's service sent a catalogue.
    CatalogueReceived(Arc<CatalogueDocument>),
    /// The platform's instance list was read.
    InstancesRead(Vec<InstanceRecord>),
    /// A manifest was fetched and has the pinned digest.
    ManifestLoaded(Arc<Manifest>, ManifestDigest),
    /// A manifest could not be fetched; the reason.
    ManifestFailed(ManifestDigest, Box<str>),
    /// A peer reported the chunks that it holds.
    HoldingsReceived {
        /// The version.
        digest: ManifestDigest,
        /// The peer.
        id: InstanceId,
        /// The chunks that it holds.
        bitmap: ChunkBitmap,
        /// Number of its queued uploads.
        queue: u32,
        /// Whether its upstream serves the version; unknown if the message was only a request.
        serving: Option<bool>,
    },
    /// A call to another agent failed.
    PeerFailed(InstanceId),
    /// A call to another agent was not answered within the given time.
    PeerSilent(InstanceId, Millis),
    /// A chunk fetch ended.
    FetchEnded {
        /// The version.
        digest: ManifestDigest,
        /// The chunk.
        index: ChunkIndex,
        /// Where it was fetched from.
        source: ChunkSource,
        /// The outcome of the fetch.
        outcome: FetchOutcome,
    },
    /// The upstream reported what it serves; `None` if it could not be reached.
    EnginePolled(Option<EngineReport>),
    /// The upstream responded to a load order; the reason if it refused.
    LoadAnswered(ManifestDigest, Result<(), Box<str>>),
    /// The platform's service responded to a call about the lease.
    OwnerAnswered(OwnerAnswer),
    /// An entry sent a request.
    RequestArrived {
        /// The attempt.
        attempt: AttemptId,
        /// The class of its catalogue entry.
        class: RequestClass,
        /// The weights that it is pinned to, if it is for a model.
        pinned: Option<ManifestDigest>,
        /// Time after which its answer is worthless.
        deadline: Moment,
    },
    /// The entry or caller gave up an attempt.
    RequestWithdrawn(AttemptId),
    /// The upstream completed a dispatched attempt, or its connection is closed.
    RequestFinished(AttemptId),
    /// An entry reported its recent customer demand.
    DemandReported(InstanceId, Vec<DemandRow>),
    /// An entry reported requests whose upstream crashed.
    CrashesReported(Vec<CrashReport>),
    /// An entry requests a claim. The wall clock, in seconds, is only used for the claim's
    /// retention.
    ClaimRequested(RequestKey, AttemptId, u64),
    /// An entry releases a claim, as the request was not run.
    ClaimReleased(RequestKey, AttemptId, u64),
    /// The platform's service responded to a read or write of a claim shard.
    ClaimAnswered(ShardIndex, ShardResponse),
    /// Timer tick.
    Tick,
    /// The time requested by `AgentEffect::Wake` was reached.
    Woke,
    /// A planned shutdown begins.
    Stop,
}

/// An output of the agent's reducer, to be carried out by the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentEffect {
    /// Fetch a manifest from the first source that has it.
    FetchManifest {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
        /// The digest that the manifest must have.
        digest: ManifestDigest,
        /// The sources to ask, in this order.
        sources: Vec<ChunkSource>,
    },
    /// Fetch a chunk.
    FetchChunk(ManifestDigest, ChunkFetch),
    /// Cancel a fetch whose result is no longer needed.
    CancelFetch(ManifestDigest, ChunkIndex, ChunkSource),
    /// Exchange holdings with a peer.
    Exchange(ManifestDigest, InstanceId),
    /// Order the upstream to load staged weights.
    OrderLoad(LoadOrder),
    /// Read from the upstream which weights it serves.
    ReadEngine,
    /// Delete the staged bytes of a version.
    DropWeights(ManifestDigest),
    /// Call the platform's service about the lease.
    CallOwner(OwnerCall),
    /// Read or write claims, or report the outcome of one.
    Claim(ClaimEffect),
    /// Send `AgentEvent::Woke` at this time.
    Wake(Moment),
    /// Send a request to the upstream.
    Dispatch(AttemptId),
    /// Refuse a request, which was not run.
    Refuse(AttemptId, AttemptRefusal),
}

/// An order to the upstream to load staged weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// The manifest of the staged weights.
    pub digest: ManifestDigest,
    /// The owner's fencing number.
    pub fence: FencingNumber,
}

/// State that an upstream reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The weights that it serves.
    pub serving: Vec<ManifestDigest>,
}

/// Progress of one version at one agent, shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsProgress {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub digest: ManifestDigest,
    /// Number of chunks held.
    pub held: u32,
    /// Number of chunks; zero until the manifest is available.
    pub total: u32,
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
    /// Bytes fetched from peers.
    pub peer_bytes: u64,
    /// Time until all chunks are held at the current rate, if that is known.
    pub remaining: Option<Millis>,
    /// Stage: manifest, fetching, staged, loading, serving or stuck.
    pub state: &'static str,
    /// What prevents progress; empty if nothing does.
    pub trouble: Box<str>,
}

/// Identity of an agent and parameters of its decisions.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The agent's own instance and data centre.
    pub own: TransferPeer,
    /// The service that its upstream belongs to.
    pub service: ServiceName,
    /// The region of its data centre.
    pub region: RegionName,
    /// How weights are fetched.
    pub transfer: TransferSettings,
    /// Whether each region fetches its own copy from the origin.
    pub copy_per_region: bool,
    /// Limits of the request queue.
    pub admission: AdmissionSettings,
    /// How claims are stored and batched.
    pub claim: ClaimSettings,
    /// How the lease on the upstream is acquired and renewed.
    pub owner: OwnerSettings,
    /// How failures seen by this agent correct the instance list.
    pub members: MemberSettings,
    /// Maximum number of bytes of weights that may be staged.
    pub staging_limit: ByteSize,
    /// Share of a service's instances that keep serving during a switch, in percent.
    pub floor_percent: u32,
    /// Interval after which a partner that has not reported its holdings is asked for them.
    pub exchange_every: Millis,
    /// Maximum time that a switch waits for the instance before it in the wave order.
    pub wave_timeout: Millis,
    /// Delay before a failed manifest fetch, load order or engine read is retried.
    pub retry_every: Millis,
    /// Whether the upstream is a model engine; a plain service receives no load orders.
    pub is_engine: bool,
}
