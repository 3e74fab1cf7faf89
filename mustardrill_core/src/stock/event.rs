//! What the stocking of an engine sees and does, as data.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_types::{
    ChunkIndex, DataCentre, InstanceId, Millis, ModelName, ServiceName, StartStamp, WeightVersion,
};

use crate::direct::{EngineWord, FleetUpdate, PeerRecord, ServedWeights};
use crate::manifest::{ChunkBitmap, Manifest};
use crate::stock::rollout::TurnSettings;
use crate::transfer::{ChunkDraw, ChunkSource, DrawOutcome, TransferSettings};

/// A version of a model.
#[derive(Debug, derive_more::Display, Clone, PartialEq, Eq, Hash)]
#[display("{model}:{version}")]
pub struct VersionId {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
}

/// Where something of a version can be had.
#[derive(Debug, derive_more::Display, Clone, PartialEq, Eq)]
pub enum WeightSource {
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

/// What another agent tells of a version.
#[derive(Debug, Clone)]
pub struct HoldingNews {
    /// The agent.
    pub from: InstanceId,
    /// The version.
    pub version: VersionId,
    /// What it holds, a bit a chunk.
    pub bitmap: Box<[u8]>,
    /// Its uploads that wait.
    pub queue: u32,
    /// Whether it wants an answer.
    pub asks: bool,
}

/// Something that happened at or to an agent.
#[derive(Debug, Clone)]
pub enum StockEvent {
    /// The store answered.
    Fleet(FleetUpdate),
    /// An entry told that a version was named.
    VersionHeard(ModelName, WeightVersion),
    /// The entries were read anew; these are all that there are.
    RelaysSeen(Vec<PeerRecord>),
    /// The engine told its state, or did not answer.
    EngineSeen(Option<EngineView>),
    /// A list of chunks came; nothing where it could not be had.
    ListSeen(VersionId, Option<Arc<Manifest>>),
    /// Another agent asked for a list of chunks that is not here.
    ListWanted(VersionId),
    /// Another agent told what it holds.
    HoldingSeen(HoldingNews),
    /// A draw ended; a verified chunk is staged.
    DrawEnded(VersionId, ChunkIndex, ChunkSource, DrawOutcome),
    /// The staged chunks were read back; these are whole.
    ReadBack(VersionId, ChunkBitmap),
    /// The engine answered an order, or did not.
    Ordered(VersionId, OrderFate),
    /// Time passed.
    Woke,
}

/// What became of an order, as far as the engine told.
#[derive(Debug, derive_more::Display, Clone, Copy, PartialEq, Eq)]
pub enum OrderFate {
    /// The engine has taken it.
    #[display("taken")]
    Taken,
    /// The engine has not taken it and never will.
    #[display("refused")]
    Refused,
    /// No answer: the engine may have taken it, or may yet do so.
    #[display("unknown")]
    Unknown,
}

/// What the engine tells of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineView {
    /// Which start of it this is.
    pub start: StartStamp,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has taken since its start.
    pub sequence: u64,
    /// The weights that it holds whole.
    pub serving: Vec<ServedWeights>,
}

impl EngineView {
    /// Whether the engine has started anew since it told `earlier`.
    pub fn is_restart_of(&self, earlier: &Self) -> bool {
        self.start != earlier.start || self.sequence < earlier.sequence
    }
}

/// Something that an agent does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StockEffect {
    /// Read the registrations of upstreams and entries anew.
    ReadPeers,
    /// Fetch a list of chunks from the first source that has it.
    FetchList(VersionId, Vec<WeightSource>),
    /// Draw a chunk, verify and stage it.
    Draw(VersionId, ChunkDraw, SocketAddr),
    /// Stop a draw that is not awaited any more.
    CancelDraw(ChunkIndex, ChunkSource),
    /// Tell agents what is held.
    TellHolding {
        /// The version.
        version: VersionId,
        /// Who is told.
        to: Vec<SocketAddr>,
        /// What is held.
        bitmap: ChunkBitmap,
        /// Whether an answer is wanted.
        asks: bool,
    },
    /// Read all staged chunks back and verify them.
    ReadBack(VersionId),
    /// Order the engine to load what is staged, where it has taken so many orders.
    Order(VersionId, u64),
    /// Tell the entries of the engine.
    TellEntries(ModelName, EngineWord),
    /// Forget the list of a version that is not wanted any more.
    DropList(VersionId),
}

/// What an agent must know of itself and how it decides.
#[derive(Debug, Clone)]
pub struct StockSettings {
    /// The agent as its peers know it: the address of its machine.
    pub own: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its engine's service.
    pub service: ServiceName,
    /// Where its engine listens.
    pub engine: SocketAddr,
    /// The port at which agents listen, the same on all machines.
    pub port: u16,
    /// How chunks are drawn.
    pub transfer: TransferSettings,
    /// When engines load.
    pub turns: TurnSettings,
    /// How often holdings are told while chunks are drawn.
    pub tell_every: Millis,
}

/// Where the stocking stands, for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StockStatus {
    /// The version wanted.
    pub wanted: Option<VersionId>,
    /// Chunks held of it.
    pub held: u32,
    /// Chunks in all; zero while the list is awaited.
    pub total: u32,
    /// Whether the engine serves it.
    pub serving: bool,
}
