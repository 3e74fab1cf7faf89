//! What a transfer is told, and what it says: settings, draws and their outcomes.

use derive_more::Display;
use mustardrill_types::{ChunkIndex, DataCentre, InstanceId, Millis};

/// How a version is drawn; `docs/SETTINGS.md` gives the section and defaults.
#[derive(Debug, Clone)]
pub struct TransferSettings {
    /// Copies of each chunk drawn from the origin: 1 draws fewest bytes, more start sooner.
    pub origin_copies: usize,
    /// How many instances share the drawing; with homes, an upper limit.
    pub drawers: usize,
    /// Chunks in flight from peers at once.
    pub window: usize,
    /// Chunks in flight from the origin at once.
    pub origin_window: usize,
    /// Peers whose holdings are followed.
    pub partners: usize,
    /// Without a chunk new to the neighbourhood for this long, a successor draws too.
    pub stall_after: Millis,
    /// The least time a chunk is given before it is drawn from elsewhere.
    pub chunk_patience: Millis,
    /// Corrupt chunks after which a peer is avoided.
    pub corrupt_limit: u32,
    /// How many missing chunks are weighed for each draw.
    pub sample: usize,
    /// How many instances of a data centre draw a chunk from another one; the rest wait for
    /// theirs. Zero: all may. Bytes between data centres are billed, and their links are shared.
    pub far_drawers: usize,
    /// Whether each chunk has a home in each data centre that the others there ask first, so that
    /// all uplinks are taken alike; otherwise the least loaded holder is asked.
    pub homes: bool,
    /// How long the origin's link takes for a chunk, in milliseconds; zero: its drawers don't wait
    /// for their turns. With turns the first chunks come one after the other, not all at last.
    pub origin_pace: f64,
    /// Chunks in flight from entries that hand them on at once; zero: entries are not asked.
    pub relay_window: usize,
    /// Whether entries are asked before peers. They are where a version has just been named, as
    /// all want the same chunks then; one that comes later finds them at its peers.
    pub relays_first: bool,
}

/// Where a chunk comes from.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash)]
pub enum ChunkSource {
    /// The origin, or the weight store where the origin is down.
    #[display("origin")]
    Origin,
    /// An entry that hands chunks on.
    #[display("entry {_0}")]
    Relay(InstanceId),
    /// Another instance.
    #[display("{_0}")]
    Peer(InstanceId),
}

/// An order to draw one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkDraw {
    /// The chunk.
    pub index: ChunkIndex,
    /// Where to draw it.
    pub source: ChunkSource,
    /// Give up without the whole chunk after this.
    pub patience: Millis,
}

/// What came of a draw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrawOutcome {
    /// The chunk came and its digest is right.
    Verified,
    /// The chunk came with another digest.
    Corrupt,
    /// The source is well but can't give the chunk now: it is at its upload budget and may name
    /// others that hold the chunk, or it still waits for the chunk itself.
    Busy(Vec<InstanceId>),
    /// The source lacks the chunk.
    Missing,
    /// The source failed, stalled or could not be reached.
    Failed,
}

/// Another instance that wants or holds the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferPeer {
    /// The instance.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// What a transfer has cost so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// Bytes drawn from the origin.
    pub origin_bytes: u64,
    /// Bytes drawn from entries.
    pub relay_bytes: u64,
    /// Bytes drawn from peers.
    pub peer_bytes: u64,
    /// Corrupt chunks that came, from whomever.
    pub corrupt_chunks: u32,
    /// Of these, chunks that the origin sent.
    pub corrupt_from_origin: u32,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            origin_copies: 1,
            drawers: 4,
            window: 4,
            origin_window: 2,
            partners: 16,
            stall_after: Millis(1_500),
            chunk_patience: Millis(1_000),
            corrupt_limit: 2,
            sample: 48,
            far_drawers: 0,
            homes: false,
            origin_pace: 0.0,
            relay_window: 0,
            relays_first: false,
        }
    }
}
