//! HTTP calls between agents and entries, encoded as paths.

use derive_more::Display;
use hyper::Uri;
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ChunkIndex, ServiceName, WeightVersion};

/// A call, displayed as its path.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Fetches a version's chunk list if the peer holds it.
    #[display("/v1/lists/{}/{}", _0.model, _0.version)]
    List(VersionId),
    /// Fetches a chunk if the peer holds it.
    #[display("/v1/chunks/{}/{}/{_1}", _0.model, _0.version)]
    Chunk(VersionId, ChunkIndex),
    /// Fetches a chunk list, which the peer fetches from the origin if it does not hold it. Sent to
    /// the last relay, which must not forward the call to another one.
    #[display("/v1/drawn-lists/{}/{}", _0.model, _0.version)]
    OriginList(VersionId),
    /// Fetches a chunk, which the peer fetches from the origin if it does not hold it.
    #[display("/v1/drawn-chunks/{}/{}/{_1}", _0.model, _0.version)]
    OriginChunk(VersionId, ChunkIndex),
    /// Fetches the part of the fleet's state that the agents of a service need.
    #[display("/v1/fleet/{_0}")]
    Fleet(ServiceName),
}

impl PeerCall {
    /// Parses the path of a call; `None` if it is not a call or is malformed.
    pub fn read(uri: &Uri) -> Option<Self> {
        let mut segments = uri.path().strip_prefix("/v1/")?.split('/');
        let kind = segments.next()?;
        if kind == "fleet" {
            return Some(Self::Fleet(segments.next()?.parse().ok()?));
        }
        let model = segments.next()?.parse().ok()?;
        let version = segments.next()?.parse::<WeightVersion>().ok()?;
        let version = VersionId { model, version };
        let mut index = || segments.next()?.parse().ok();
        match kind {
            "lists" => Some(Self::List(version)),
            "chunks" => Some(Self::Chunk(version, index()?)),
            "drawn-lists" => Some(Self::OriginList(version)),
            "drawn-chunks" => Some(Self::OriginChunk(version, index()?)),
            _ => None,
        }
    }
}
