//! What the platform's store says of the fleet, as changes.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_types::{
    DataCentre, InstanceId, ModelName, RequestDigest, ServiceName, StartStamp, StoreEra,
    StoreRevision, WeightVersion,
};

use crate::direct::route::RouteDocument;

/// An upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name. A restart may keep it.
    pub id: InstanceId,
    /// Which start of it this is.
    pub start: StartStamp,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it wants no further requests.
    pub leaving: bool,
    /// The weights that it holds whole; empty for a plain service.
    pub serving: Vec<ServedWeights>,
}

/// Weights that an engine holds with all layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedWeights {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: WeightVersion,
}

/// Another entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// Its instance.
    pub id: InstanceId,
    /// Where it takes datagrams, and calls for chunks.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What its link carries, in Mbit/s.
    pub link_mbps: u32,
}

/// Something that changed in the store.
#[derive(Debug, Clone)]
pub enum FleetChange {
    /// A configuration was written.
    Configured(Arc<RouteDocument>),
    /// An upstream registered or changed.
    Upstream(UpstreamRecord),
    /// An upstream's registration ended.
    UpstreamGone(InstanceId),
    /// What stands in an upstream's place is no registration: it names nobody to send to.
    UpstreamVoid(InstanceId),
    /// New weights were named.
    VersionNamed(ModelName, WeightVersion),
    /// An entry registered.
    Peer(PeerRecord),
    /// An entry's registration ended.
    PeerGone(InstanceId),
    /// A request is run no more for a while.
    Quarantined(RequestDigest),
}

/// Changes in the order of the store.
#[derive(Debug, Clone, Default)]
pub struct FleetPage {
    /// The changes.
    pub changes: Vec<FleetChange>,
    /// Up to which state of the store they go.
    pub at: StoreRevision,
    /// The era of the store in which that state was read.
    pub era: StoreEra,
    /// Whether they are all that there is, so that what is missing is gone.
    pub whole: bool,
}
