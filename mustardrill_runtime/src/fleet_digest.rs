//! Extract of the fleet's state that an agent gets from a nearby entry when it starts.
//!
//! When all processes restart at once and each agent reads a full snapshot from the store, although
//! it needs only a few lines of the configuration, the links between regions are saturated for
//! seconds, and entries can't read the store either. An entry has the full state anyway.

use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, EngineProfile, FleetChange, FleetUpdate, ModelProfile, OriginProfile, PeerRecord,
    RouteDocument, ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport,
};
use mustardrill_types::{
    ByteSize, FastMap, Generation, Millis, ServiceName, StartStamp, StoreEra, StoreRevision,
    WeightVersion,
};
use prost::Message;

/// The part of the fleet's state that the agents of one service need.
#[derive(Clone, PartialEq, Message)]
pub struct FleetDigest {
    /// Revision of the store at which the state was read.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// Generation of the configuration.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Profile of the service's engines, if it has any.
    #[prost(message, optional, tag = "3")]
    pub engine: Option<EngineDigest>,
    /// Origin of the weights, if one is configured.
    #[prost(message, optional, tag = "4")]
    pub origin: Option<OriginDigest>,
    /// Newest announced version of each model.
    #[prost(message, repeated, tag = "5")]
    pub versions: Vec<ModelDigest>,
    /// Upstreams of the service.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<UpstreamDigest>,
    /// Entries of the fleet.
    #[prost(message, repeated, tag = "7")]
    pub entries: Vec<EntryDigest>,
    /// Era of the store in which the state was read.
    #[prost(uint64, tag = "8")]
    pub era: u64,
}

/// The part of an engine's profile that is needed for loading weights.
#[derive(Clone, PartialEq, Message)]
pub struct EngineDigest {
    /// Models that the engine may hold; `number` is the loading time in milliseconds.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelDigest>,
    /// Number of chunks of a version.
    #[prost(uint32, tag = "2")]
    pub chunks: u32,
    /// Size of a chunk in bytes.
    #[prost(uint64, tag = "3")]
    pub chunk_size: u64,
    /// Number of layers of the model; zero from entries of an earlier build.
    #[prost(uint32, tag = "4")]
    pub layers: u32,
}

/// A model with a number whose meaning depends on the field that contains it.
#[derive(Clone, PartialEq, Message)]
pub struct ModelDigest {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version, or loading time in milliseconds.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Profile of the origin.
#[derive(Clone, PartialEq, Message)]
pub struct OriginDigest {
    /// Address at which it listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Bandwidth of its link in Mbit/s.
    #[prost(double, tag = "3")]
    pub link_mbps: f64,
    /// Maximum number of connections that it accepts.
    #[prost(uint32, tag = "4")]
    pub connections: u32,
}

/// Registration of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamDigest {
    /// Its instance id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address at which it listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Whether it is draining and takes no further requests.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Weights that it holds completely; `number` is the version.
    #[prost(message, repeated, tag = "5")]
    pub serving: Vec<ModelDigest>,
    /// Identifies its incarnation: the time of its start in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    pub start: u64,
}

/// Registration of an entry.
#[derive(Clone, PartialEq, Message)]
pub struct EntryDigest {
    /// Its instance id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address at which it listens for agents and other entries.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Bandwidth of its link in Mbit/s.
    #[prost(uint32, tag = "4")]
    pub link_mbps: u32,
}

impl FleetDigest {
    /// Builds the digest of `update` for the agents of `service`. Returns `None` if `update`
    /// contains no configuration.
    pub fn of(update: &FleetUpdate, service: &ServiceName) -> Option<Self> {
        let mut digest = Self { at: update.revision.0, era: update.era.0, ..Self::default() };
        let mut configured = false;
        for change in &update.changes {
            match change {
                FleetChange::Configured(document) => {
                    configured = true;
                    digest.generation = document.generation.0;
                    let engine = document.service(service).and_then(|it| it.engine.as_ref());
                    digest.engine = engine.map(engine_digest);
                    digest.origin = document.origin().map(origin_digest);
                }
                FleetChange::VersionAnnounced(model, version) => {
                    digest
                        .versions
                        .push(ModelDigest { name: model.to_string(), number: version.0 });
                }
                FleetChange::Upstream(record) if record.service == *service => {
                    digest.upstreams.push(upstream_digest(record));
                }
                FleetChange::Peer(peer) => digest.entries.push(entry_digest(peer)),
                _ => {}
            }
        }
        configured.then_some(digest)
    }

    /// Converts the digest to a snapshot; `None` if a name or address in it is malformed. The
    /// snapshot's configuration has no routes and no customers, and only those fields of the
    /// engine's profile that are needed for loading weights.
    pub fn into_snapshot(self, service: &ServiceName) -> Option<FleetUpdate> {
        let mut services = FastMap::default();
        if let Some(engine) = self.engine {
            let engine = Some(engine_profile(&engine)?);
            services.insert(service.clone(), ServiceProfile { engine, ..Default::default() });
        }
        if let Some(origin) = self.origin {
            // Agents do not use the name of the origin's service, so any name will do.
            let name = "origin".parse().ok()?;
            let origin = Some(origin_profile(&origin)?);
            services.insert(name, ServiceProfile { origin, ..Default::default() });
        }
        let (routes, customers, limits) = (Vec::new(), Vec::new(), CallerLimits::default());
        let generation = Generation(self.generation);
        let document = RouteDocument::new(generation, routes, services, customers, limits);
        let mut changes = vec![FleetChange::Configured(Arc::new(document))];
        for announced in &self.versions {
            let change = FleetChange::VersionAnnounced(
                announced.name.parse().ok()?,
                WeightVersion(announced.number),
            );
            changes.push(change);
        }
        for record in &self.upstreams {
            changes.push(FleetChange::Upstream(upstream_record(record, service)?));
        }
        for entry in &self.entries {
            changes.push(FleetChange::Peer(entry_record(entry)?));
        }
        let (revision, era) = (StoreRevision(self.at), StoreEra(self.era));
        Some(FleetUpdate { changes, revision, era, is_snapshot: true, may_continue: false })
    }

    /// Encodes the digest for sending.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes a digest; returns `None` and logs a warning if it is malformed.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        Self::decode(bytes)
            .inspect_err(|error| log::warn!("fleet outcome=dropped reason=\"{error}\""))
            .ok()
    }
}

fn engine_digest(engine: &EngineProfile) -> EngineDigest {
    let models = engine.models.iter();
    let models = models.map(|it| ModelDigest { name: it.name.to_string(), number: it.load_time.0 });
    EngineDigest {
        models: models.collect(),
        chunks: engine.chunks,
        chunk_size: engine.chunk_size.0,
        layers: engine.layers,
    }
}

fn engine_profile(digest: &EngineDigest) -> Option<EngineProfile> {
    let mut models = Vec::new();
    for model in &digest.models {
        let name = model.name.parse().ok()?;
        models.push(ModelProfile { name, load_time: Millis(model.number) });
    }
    let chunk_size = ByteSize(digest.chunk_size);
    let EngineDigest { chunks, layers, .. } = *digest;
    Some(EngineProfile { models, chunks, chunk_size, layers, ..EngineProfile::default() })
}

fn origin_digest(origin: &OriginProfile) -> OriginDigest {
    OriginDigest {
        address: origin.address.to_string(),
        data_centre: origin.data_centre.to_string(),
        link_mbps: origin.link_mbps,
        connections: origin.connection_limit,
    }
}

fn origin_profile(digest: &OriginDigest) -> Option<OriginProfile> {
    Some(OriginProfile {
        address: digest.address.parse().ok()?,
        data_centre: digest.data_centre.parse().ok()?,
        link_mbps: digest.link_mbps,
        connection_limit: digest.connections,
    })
}

fn upstream_digest(record: &UpstreamRecord) -> UpstreamDigest {
    let serving = record.serving.iter();
    let serving =
        serving.map(|it| ModelDigest { name: it.model.to_string(), number: it.version.0 });
    UpstreamDigest {
        id: record.id.to_string(),
        address: record.address.to_string(),
        data_centre: record.data_centre.to_string(),
        leaving: record.leaving,
        serving: serving.collect(),
        start: record.start.0,
    }
}

fn upstream_record(digest: &UpstreamDigest, service: &ServiceName) -> Option<UpstreamRecord> {
    let mut serving = Vec::new();
    for model in &digest.serving {
        let version = WeightVersion(model.number);
        serving.push(ServedWeights { model: model.name.parse().ok()?, version });
    }
    Some(UpstreamRecord {
        id: digest.id.parse().ok()?,
        start: StartStamp(digest.start),
        service: service.clone(),
        address: digest.address.parse().ok()?,
        data_centre: digest.data_centre.parse().ok()?,
        // Agents send no requests, so they need no slot count.
        slots: 0,
        leaving: digest.leaving,
        serving,
        warmup: WarmupReport::default(),
    })
}

fn entry_digest(entry: &PeerRecord) -> EntryDigest {
    EntryDigest {
        id: entry.id.to_string(),
        address: entry.address.to_string(),
        data_centre: entry.data_centre.to_string(),
        link_mbps: entry.link_mbps,
    }
}

fn entry_record(digest: &EntryDigest) -> Option<PeerRecord> {
    Some(PeerRecord {
        id: digest.id.parse().ok()?,
        address: digest.address.parse().ok()?,
        data_centre: digest.data_centre.parse().ok()?,
        link_mbps: digest.link_mbps,
    })
}
