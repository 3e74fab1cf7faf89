//! Records and changes of the fleet as read from the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_types::{
    DataCentre, Generation, InstanceId, Millis, ModelName, ServiceName, StartStamp, StoreEra,
    StoreRevision, WeightVersion,
};

use crate::direct::route::{CustomerRecord, RouteDocument};
use crate::direct::versions::load_record::LoadRecord;
use crate::direct::warmup::period::WarmupReport;
use crate::quarantine::QuarantineSubject;

/// The registration of an upstream, written by the upstream itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// The instance. An upstream may keep its id over a restart.
    pub id: InstanceId,
    /// Tells incarnations under the same id apart: a later start has a greater stamp.
    pub start: StartStamp,
    /// The service that it serves; the configuration may not name it.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no further requests.
    pub leaving: bool,
    /// The weights that it has loaded completely; empty for a plain service.
    pub serving: Vec<ServedWeights>,
    /// What it says of its cold start.
    pub warmup: WarmupReport,
}

/// Weights of which an engine holds all layers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedWeights {
    /// The model that the weights belong to.
    pub model: ModelName,
    /// The version of the model that is loaded.
    pub version: WeightVersion,
}

/// The registration of a peer entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRecord {
    /// The instance under which it is registered.
    pub id: InstanceId,
    /// Where it accepts datagrams and requests for chunks.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: u32,
}

/// A configuration that cannot be decoded as a whole, with the parts that can be.
#[derive(Debug, Clone, Default)]
pub struct UnreadableConfiguration {
    /// The generation; `None` if it is among what cannot be decoded.
    pub generation: Option<Generation>,
    /// The customers and their keys; `None` if the list cannot be decoded or is missing.
    pub customers: Option<Vec<CustomerRecord>>,
}

/// One change read from the store.
#[derive(Debug, Clone)]
pub enum FleetChange {
    /// The operator wrote a configuration.
    Configured(Arc<RouteDocument>),
    /// The operator wrote a configuration that cannot be decoded.
    ConfigurationUnreadable(UnreadableConfiguration),
    /// An upstream registered, or its registration changed.
    Upstream(UpstreamRecord),
    /// The registration of an upstream was removed or expired.
    UpstreamGone(InstanceId),
    /// The store holds something under the key of an upstream that is not a valid registration, so
    /// there is no address to send to.
    UpstreamInvalid(InstanceId),
    /// The operator announced a version of a model as current.
    VersionAnnounced(ModelName, WeightVersion),
    /// An entry registered, or its registration changed.
    Peer(PeerRecord),
    /// The registration of an entry was removed or expired.
    PeerGone(InstanceId),
    /// The operator requested that nothing more be sent to the upstreams of a data centre.
    EvacuationRequested(DataCentre),
    /// The operator took a data centre back.
    EvacuationEnded(DataCentre),
    /// An agent recorded a load of its engine, or the outcome of one.
    LoadRecorded(LoadRecord),
    /// Requests are refused for this time, as they crash upstreams.
    Quarantined(QuarantineSubject, Millis),
}

/// A batch of changes read from the store, in the order in which they were made there.
#[derive(Debug, Clone, Default)]
pub struct FleetUpdate {
    /// The changes since the revision that was read before, or everything in a snapshot.
    pub changes: Vec<FleetChange>,
    /// The revision of the store that the changes lead up to.
    pub revision: StoreRevision,
    /// The era of the store in which that revision was read.
    pub era: StoreEra,
    /// Whether this is a snapshot: what it does not contain does not exist.
    pub is_snapshot: bool,
    /// Whether the store may have held further changes when it made this update. The answer to a
    /// watch does not show whether it ends with the newest change.
    pub may_continue: bool,
}
