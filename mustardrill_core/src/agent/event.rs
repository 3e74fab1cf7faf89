//! What an agent sees and what it does about it, as data.

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
use crate::transfer::{ChunkDraw, ChunkSource, DrawOutcome, TransferPeer, TransferSettings};

/// Something that happened at or to an agent.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// A catalogue came from an entry or the platform's service.
    CatalogueSeen(Arc<CatalogueDocument>),
    /// The platform's instance list was read.
    InstancesSeen(Vec<InstanceRecord>),
    /// A manifest came and has the pinned digest.
    ManifestLoaded(Arc<Manifest>, ManifestDigest),
    /// A manifest could not be had.
    ManifestFailed(ManifestDigest, Box<str>),
    /// A peer told what it holds.
    HoldingSeen {
        /// The version.
        digest: ManifestDigest,
        /// The peer.
        id: InstanceId,
        /// What it holds.
        bitmap: ChunkBitmap,
        /// Its queued uploads.
        queue: u32,
        /// Whether its upstream serves the version; unknown where it only asked for something.
        serving: Option<bool>,
    },
    /// A peer did not answer.
    PeerFailed(InstanceId),
    /// A draw ended.
    DrawFinished {
        /// The version.
        digest: ManifestDigest,
        /// The chunk.
        index: ChunkIndex,
        /// Where it was drawn.
        source: ChunkSource,
        /// What came of it.
        outcome: DrawOutcome,
    },
    /// The upstream told what it serves, or could not be reached.
    EngineSeen(Option<EngineReport>),
    /// The upstream answered a load order; the reason where it refused.
    LoadAnswered(ManifestDigest, Result<(), Box<str>>),
    /// The platform's service answered a call about the lease.
    OwnerAnswered(OwnerAnswer),
    /// A request came from an entry.
    RequestArrived {
        /// The attempt.
        attempt: AttemptId,
        /// The class of its entry in the catalogue.
        class: RequestClass,
        /// The weights that it is pinned to, for a model.
        pinned: Option<ManifestDigest>,
        /// When its answer is worth nothing any more.
        deadline: Moment,
    },
    /// The entry or caller gave up an attempt.
    RequestWithdrawn(AttemptId),
    /// The upstream ended a dispatched attempt, or its connection is closed.
    RequestFinished(AttemptId),
    /// An entry told what customers asked of it lately.
    DemandSeen(InstanceId, Vec<DemandRow>),
    /// An entry told of requests under which upstreams ended.
    CrashesHeard(Vec<CrashReport>),
    /// An entry asks for a claim. The wall clock, in seconds, is for its retention alone.
    ClaimAsked(RequestKey, AttemptId, u64),
    /// An entry takes a claim back, as the request was not run.
    ClaimReleased(RequestKey, AttemptId, u64),
    /// The platform's service answered about claims.
    ClaimAnswered(ShardIndex, ShardResponse),
    /// Time passed.
    Tick,
    /// The moment came for which `AgentEffect::Wake` asked.
    Woke,
    /// A planned stop begins.
    Stop,
}

/// Something that an agent does.
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
        /// Where to ask, in this order.
        sources: Vec<ChunkSource>,
    },
    /// Draw a chunk.
    DrawChunk(ManifestDigest, ChunkDraw),
    /// Stop a draw that is not awaited any more.
    CancelDraw(ManifestDigest, ChunkIndex, ChunkSource),
    /// Exchange holdings with a peer.
    Exchange(ManifestDigest, InstanceId),
    /// Order the upstream to load staged weights.
    OrderLoad(LoadOrder),
    /// Ask the upstream what it serves.
    ReadEngine,
    /// Drop the staged bytes of a version.
    DropWeights(ManifestDigest),
    /// Call the platform's service about the lease.
    CallOwner(OwnerCall),
    /// Read or write claims, or tell what came of one.
    Claim(ClaimEffect),
    /// Send `AgentEvent::Woke` at that moment.
    Wake(Moment),
    /// Give a request to the upstream.
    Dispatch(AttemptId),
    /// Refuse a request, which was not run.
    Refuse(AttemptId, AttemptRefusal),
}

/// An order to the upstream.
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

/// What an upstream says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The weights that it serves.
    pub serving: Vec<ManifestDigest>,
}

/// How far one version is at one agent, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsProgress {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub digest: ManifestDigest,
    /// Chunks held.
    pub held: u32,
    /// Chunks in all; zero while the manifest is awaited.
    pub total: u32,
    /// Bytes drawn from the origin.
    pub origin_bytes: u64,
    /// Bytes drawn from peers.
    pub peer_bytes: u64,
    /// How long until all chunks are held at the present pace; nothing where none is known.
    pub remaining: Option<Millis>,
    /// Where it stands: manifest, fetching, staged, loading, serving or stuck.
    pub state: &'static str,
    /// What is in the way; empty where nothing is.
    pub trouble: Box<str>,
}

/// What an agent must know of itself and how it decides.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The agent's own instance and data centre.
    pub own: TransferPeer,
    /// Its service.
    pub service: ServiceName,
    /// Its region.
    pub region: RegionName,
    /// How weights are drawn.
    pub transfer: TransferSettings,
    /// Whether each region draws its own copy from the origin.
    pub copy_per_region: bool,
    /// How requests wait.
    pub admission: AdmissionSettings,
    /// How claims are kept.
    pub claim: ClaimSettings,
    /// How the upstream is owned.
    pub owner: OwnerSettings,
    /// How the instance list is corrected.
    pub members: MemberSettings,
    /// How many bytes of weights may be staged.
    pub staging_limit: ByteSize,
    /// The share of a service's instances that keep serving during a switch, in percent.
    pub floor_percent: u32,
    /// How often a partner that has not been heard of is asked.
    pub exchange_every: Millis,
    /// How long a switch waits for the instance before it in the wave order.
    pub wave_patience: Millis,
    /// How often a failed manifest, load order or read is tried again.
    pub retry_every: Millis,
    /// Whether the upstream is a model engine; a plain service gets no orders.
    pub is_engine: bool,
}
