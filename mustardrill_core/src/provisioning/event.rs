//! Events, effects and settings of provisioning, as plain data.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_types::{
    ChunkIndex, DataCentre, InstanceId, Millis, ModelName, ServiceName, StartStamp, WeightVersion,
};

use crate::direct::{EngineNotice, FleetUpdate, LoadRecord, PeerRecord, ServedWeights};
use crate::manifest::{ChunkBitmap, Manifest};
use crate::provisioning::rollout::RolloutSettings;
use crate::transfer::{ChunkFetch, ChunkSource, FetchOutcome, TransferSettings};

/// A model and one of its versions, written as `model:version`.
#[derive(Debug, derive_more::Display, Clone, PartialEq, Eq, Hash)]
#[display("{model}:{version}")]
pub struct VersionId {
    /// Name of the model, as in the configuration.
    pub model: ModelName,
    /// Version of its weights; later announcements have higher numbers.
    pub version: WeightVersion,
}

/// A range of a model's layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayerRange {
    /// The first layer.
    pub first: u32,
    /// The layer behind the last one.
    pub end: u32,
}

/// A place from which a version's manifest can be fetched.
#[derive(Debug, derive_more::Display, Clone, PartialEq, Eq)]
pub enum ManifestSource {
    /// The origin.
    #[display("origin")]
    Origin(SocketAddr),
    /// An entry.
    #[display("entry {_0}")]
    Relay(SocketAddr),
    /// Another agent.
    #[display("{_0}")]
    Peer(InstanceId),
}

/// What another agent reports about the chunks that it holds of a version.
#[derive(Debug, Clone)]
pub struct HoldingsReport {
    /// The agent.
    pub from: InstanceId,
    /// The version.
    pub version: VersionId,
    /// The chunks that it holds, one bit per chunk.
    pub bitmap: Box<[u8]>,
    /// Number of its uploads that are queued.
    pub queue: u32,
    /// Whether it expects the receiver's holdings in return.
    pub wants_reply: bool,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum ProvisioningEvent {
    /// Changes, or a snapshot, read from the store.
    FleetUpdated(FleetUpdate),
    /// An entry reported that a version was announced.
    VersionReported(ModelName, WeightVersion),
    /// The complete list of entries was read again.
    EntriesRead(Vec<PeerRecord>),
    /// The engine reported its state; `None` if it did not respond.
    EnginePolled(Option<EngineView>),
    /// A manifest was fetched; `None` if no source had it.
    ManifestFetched(VersionId, Option<Arc<Manifest>>),
    /// Another agent asked for a manifest that is not available here.
    ManifestRequested(VersionId),
    /// Another agent reported its holdings.
    HoldingsReceived(HoldingsReport),
    /// A chunk was received and verified, and is being staged.
    ChunkReceived(VersionId, ChunkIndex, ChunkSource),
    /// A chunk fetch ended; a verified chunk is staged already.
    FetchEnded(VersionId, ChunkIndex, ChunkSource, FetchOutcome),
    /// The staged chunks were read back and verified; these are intact.
    StagedVerified(VersionId, ChunkBitmap),
    /// The record of the engine's latest load was read from the store; `None` if there is none.
    LoadRecordRead(Option<LoadRecord>),
    /// The store holds this record.
    LoadRecordStored(LoadRecord),
    /// A load order ended, with a response or without one.
    LoadOrderEnded(VersionId, LoadOrderOutcome),
    /// Timer tick.
    Tick,
}

/// Outcome of a load order, as far as it is known from the engine.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum LoadOrderOutcome {
    /// The engine has accepted the order.
    #[display("taken")]
    Accepted,
    /// The engine has nothing to do for it: it holds the weights already.
    #[display("in-effect")]
    InEffect,
    /// The engine has rejected the order and will never run it.
    #[display("refused")]
    Rejected,
    /// No response: the engine may have accepted the order, or may still do so.
    #[display("unknown")]
    Unknown,
}

/// State that the engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineView {
    /// Identifies the engine's incarnation.
    pub start: StartStamp,
    /// Whether a load is in progress.
    pub busy: bool,
    /// Number of load orders accepted since its start.
    pub sequence: u64,
    /// The weights that are loaded completely.
    pub serving: Vec<ServedWeights>,
}

impl EngineView {
    /// Whether the engine has restarted since it reported `earlier`.
    pub fn is_restart_of(&self, earlier: &Self) -> bool {
        self.start != earlier.start || self.sequence < earlier.sequence
    }
}

/// An output of the reducer, to be carried out by the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProvisioningEffect {
    /// Read the registrations of upstreams and entries again.
    ReadPeers,
    /// Fetch a manifest from the first source that has it.
    FetchManifest(VersionId, Vec<ManifestSource>),
    /// Fetch a chunk from the address, verify it and stage it.
    FetchChunk(VersionId, ChunkFetch, SocketAddr),
    /// Cancel a fetch whose result is no longer needed.
    CancelFetch(ChunkIndex, ChunkSource),
    /// Send this agent's holdings to other agents.
    SendHoldings {
        /// The version.
        version: VersionId,
        /// The receivers.
        to: Vec<SocketAddr>,
        /// The chunks held here.
        bitmap: ChunkBitmap,
        /// Whether the receivers are asked for their holdings in return.
        wants_reply: bool,
    },
    /// Read all staged chunks back and verify them, so that none was read long ago.
    VerifyStaged(VersionId),
    /// Read all staged chunks back after the engine took them, and verify them.
    VerifyLoaded(VersionId),
    /// Order the engine to hold all layers of the staged version, or these, provided that it has
    /// accepted this many orders so far.
    OrderLoad(VersionId, Option<LayerRange>, u64),
    /// Read the record of the engine's latest load from the store.
    ReadLoadRecord,
    /// Write a record to the store, until it is stored or another one is to be written.
    WriteLoadRecord(LoadRecord),
    /// Send the entries a notice about the engine, with the incarnation whose report it rests on.
    NotifyEntries(ModelName, Option<StartStamp>, EngineNotice),
    /// Drop the manifest of a version that is no longer wanted.
    DropManifest(VersionId),
}

/// Identity of an agent and parameters of its decisions.
#[derive(Debug, Clone)]
pub struct ProvisioningSettings {
    /// This agent's id among its peers: the IP address of its machine.
    pub own_id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its engine's service.
    pub service: ServiceName,
    /// Address at which its engine listens.
    pub engine: SocketAddr,
    /// Port at which agents listen, the same on all machines.
    pub port: u16,
    /// How chunks are fetched.
    pub transfer: TransferSettings,
    /// The rollout schedule, which gives each engine its slot to load newer weights.
    pub rollout: RolloutSettings,
    /// Interval between reports of holdings while chunks are fetched; longer while no awaited chunk
    /// was added.
    pub holdings_interval: Millis,
}

/// Progress of provisioning, shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProvisioningStatus {
    /// The version being provisioned or served.
    pub wanted: Option<VersionId>,
    /// Number of its chunks held.
    pub held: u32,
    /// Its number of chunks; zero until the manifest is available.
    pub total: u32,
    /// Whether provisioning is finished and the engine serves the version.
    pub serving: bool,
}
