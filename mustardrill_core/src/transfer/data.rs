//! Settings of a transfer, its fetches and their outcomes.

use derive_more::Display;
use mustardrill_types::{ChunkIndex, DataCentre, InstanceId, Millis};

/// How a version is fetched; `docs/SETTINGS.md` gives the section and defaults.
#[derive(Debug, Clone)]
pub struct TransferSettings {
    /// Copies of each chunk fetched from the origin. 1 transfers the fewest bytes; more let
    /// transfers start sooner.
    pub origin_copies: usize,
    /// Number of instances (seeders) that share the fetches from the origin; with primary holders,
    /// an upper limit.
    pub max_seeders: usize,
    /// Maximum number of concurrent fetches from peers.
    pub window: usize,
    /// Maximum number of concurrent fetches from the origin.
    pub origin_window: usize,
    /// Number of peers with which holdings are exchanged.
    pub partners: usize,
    /// If no partner reports a chunk that was unknown so far within this time, a successor fetches
    /// as a seeder, too.
    pub stall_after: Millis,
    /// Minimum timeout of a fetch before the chunk is fetched from another source.
    pub chunk_timeout: Millis,
    /// Number of corrupt chunks after which a peer is ejected.
    pub corrupt_limit: u32,
    /// Number of missing chunks that are compared for each fetch.
    pub sample: usize,
    /// Number of instances of a data centre that fetch a chunk from another data centre; the rest
    /// wait for these. Zero: all may. Traffic between data centres is billed, and its links are
    /// shared.
    pub remote_fetchers: usize,
    /// Whether each chunk has a primary holder in each data centre that the other instances there
    /// ask first, so that all uplinks are loaded evenly; otherwise the least loaded holder is
    /// asked.
    pub uses_primary_holders: bool,
    /// Time that the origin's link takes per chunk, in milliseconds. Seeders request each chunk
    /// when the link is due to send it, so that the first chunks arrive one after the other and not
    /// all at the end. Zero: they do not wait.
    pub origin_chunk_ms: f64,
    /// Maximum number of concurrent fetches from entries that relay chunks; zero: entries are not
    /// used.
    pub relay_window: usize,
    /// Whether entries are asked before peers. They are for a version that has just been announced,
    /// as all instances want the same chunks then; an instance that starts later finds them at its
    /// peers.
    pub prefers_relays: bool,
}

/// The source of a chunk.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash)]
pub enum ChunkSource {
    /// The origin, or the weight store where the origin is down.
    #[display("origin")]
    Origin,
    /// An entry that relays chunks.
    #[display("entry {_0}")]
    Relay(InstanceId),
    /// Another instance.
    #[display("{_0}")]
    Peer(InstanceId),
}

/// A request to fetch one chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkFetch {
    /// The chunk.
    pub index: ChunkIndex,
    /// Where to fetch it from.
    pub source: ChunkSource,
    /// Timeout for the complete chunk.
    pub timeout: Millis,
}

/// The outcome of a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The chunk was received and its digest matches.
    Verified,
    /// The chunk was received with a different digest.
    Corrupt,
    /// The source works but cannot send the chunk now: it has reached its upload limit and may list
    /// other holders of the chunk, or it still waits for the chunk itself.
    Busy(Vec<InstanceId>),
    /// The source does not hold the chunk.
    Missing,
    /// The source failed, timed out or could not be reached.
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

/// Bytes and corrupt chunks received by a transfer so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferCounts {
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
    /// Bytes fetched from entries.
    pub relay_bytes: u64,
    /// Bytes fetched from peers.
    pub peer_bytes: u64,
    /// Corrupt chunks received from any source.
    pub corrupt_chunks: u32,
    /// Of these, chunks that the origin sent.
    pub corrupt_from_origin: u32,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            origin_copies: 1,
            max_seeders: 4,
            window: 4,
            origin_window: 2,
            partners: 16,
            stall_after: Millis(1_500),
            chunk_timeout: Millis(1_000),
            corrupt_limit: 2,
            sample: 48,
            remote_fetchers: 0,
            uses_primary_holders: false,
            origin_chunk_ms: 0.0,
            relay_window: 0,
            prefers_relays: false,
        }
    }
}
