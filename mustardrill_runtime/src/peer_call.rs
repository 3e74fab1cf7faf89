//! The calls between agents and entries, as paths.

use derive_more::Display;
use hyper::Uri;
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ChunkIndex, ServiceName, WeightVersion};

/// What is asked for.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// A version's list of chunks.
    #[display("/v1/lists/{}/{}", _0.model, _0.version)]
    List(VersionId),
    /// A chunk.
    #[display("/v1/chunks/{}/{}/{_1}", _0.model, _0.version)]
    Chunk(VersionId, ChunkIndex),
    /// A list, from the origin where it is not at hand: the last relay on the way asks nobody else.
    #[display("/v1/drawn-lists/{}/{}", _0.model, _0.version)]
    DrawnList(VersionId),
    /// A chunk, from the origin where it is not at hand.
    #[display("/v1/drawn-chunks/{}/{}/{_1}", _0.model, _0.version)]
    DrawnChunk(VersionId, ChunkIndex),
    /// What an agent of a service needs of the fleet.
    #[display("/v1/fleet/{_0}")]
    Fleet(ServiceName),
}

impl PeerCall {
    /// Reads a call from its path; nothing where it is none.
    pub fn read(uri: &Uri) -> Option<Self> {
        let mut words = uri.path().strip_prefix("/v1/")?.split('/');
        let kind = words.next()?;
        if kind == "fleet" {
            return Some(Self::Fleet(words.next()?.parse().ok()?));
        }
        let model = words.next()?.parse().ok()?;
        let version = words.next()?.parse::<WeightVersion>().ok()?;
        let version = VersionId { model, version };
        let mut index = || words.next()?.parse().ok();
        match kind {
            "lists" => Some(Self::List(version)),
            "chunks" => Some(Self::Chunk(version, index()?)),
            "drawn-lists" => Some(Self::DrawnList(version)),
            "drawn-chunks" => Some(Self::DrawnChunk(version, index()?)),
            _ => None,
        }
    }
}
