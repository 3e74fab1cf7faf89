//! What an agent that starts needs of the fleet, as an entry near it tells.
//!
//! Load pattern: all processes restart at once. Where each agent reads everything from the store, with
//! a configuration of which it needs some lines, they fill the links between regions for seconds, in
//! which entries can't read it either. An entry has read it all.

use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, EngineProfile, FleetChange, FleetUpdate, ModelProfile, OriginProfile, PeerRecord,
    RouteDocument, ServedWeights, ServiceProfile, UpstreamRecord,
};
use mustardrill_types::{
    ByteSize, FastMap, Generation, Millis, ServiceName, StartStamp, StoreEra, StoreRevision,
    WeightVersion,
};
use prost::Message;

/// The fleet as far as the agents of one service need it.
#[derive(Clone, PartialEq, Message)]
pub struct FleetDigest {
    /// The state of the store that it is of.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// The configuration's generation.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The service's engines.
    #[prost(message, optional, tag = "3")]
    pub engine: Option<EngineDigest>,
    /// Where weights come from.
    #[prost(message, optional, tag = "4")]
    pub origin: Option<OriginDigest>,
    /// The newest version named of each model.
    #[prost(message, repeated, tag = "5")]
    pub versions: Vec<ModelDigest>,
    /// The upstreams of the service.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<UpstreamDigest>,
    /// The entries.
    #[prost(message, repeated, tag = "7")]
    pub entries: Vec<EntryDigest>,
    /// The era of the store that it is of.
    #[prost(uint64, tag = "8")]
    pub era: u64,
}

/// What loading weights needs of an engine's profile.
#[derive(Clone, PartialEq, Message)]
pub struct EngineDigest {
    /// The models that it may hold, with the time that loading takes, in milliseconds.
    #[prost(message, repeated, tag = "1")]
    pub models: Vec<ModelDigest>,
    /// The chunks of a version.
    #[prost(uint32, tag = "2")]
    pub chunks: u32,
    /// The bytes of a chunk.
    #[prost(uint64, tag = "3")]
    pub chunk_size: u64,
}

/// A model and a number that belongs to it.
#[derive(Clone, PartialEq, Message)]
pub struct ModelDigest {
    /// The model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its version, or its loading time.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The origin of weights.
#[derive(Clone, PartialEq, Message)]
pub struct OriginDigest {
    /// Where it listens.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Where it stands.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// What its link carries, in Mbit/s.
    #[prost(double, tag = "3")]
    pub link_mbps: f64,
    /// The connections that it takes.
    #[prost(uint32, tag = "4")]
    pub connections: u32,
}

/// An upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamDigest {
    /// Its name.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it listens.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Where it stands.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Whether it wants no further requests.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The weights that it holds whole.
    #[prost(message, repeated, tag = "5")]
    pub serving: Vec<ModelDigest>,
    /// Which start of it this is, in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    pub start: u64,
}

/// An entry.
#[derive(Clone, PartialEq, Message)]
pub struct EntryDigest {
    /// Its instance.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Where it listens for agents and other entries.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Where it stands.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// What its link carries, in Mbit/s.
    #[prost(uint32, tag = "4")]
    pub link_mbps: u32,
}

impl FleetDigest {
    /// The digest of `page` for the agents of `service`; nothing where it has no configuration.
    pub fn of(page: &FleetUpdate, service: &ServiceName) -> Option<Self> {
        let mut digest = Self { at: page.revision.0, era: page.era.0, ..Self::default() };
        let mut configured = false;
        for change in &page.changes {
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

    /// The page that it stands for. Its configuration has neither routes nor customers, and of
    /// the engines only what loading weights needs.
    pub fn into_page(self, service: &ServiceName) -> Option<FleetUpdate> {
        let mut services = FastMap::default();
        if let Some(engine) = self.engine {
            let engine = Some(read_engine(&engine)?);
            services.insert(service.clone(), ServiceProfile { engine, ..Default::default() });
        }
        if let Some(origin) = self.origin {
            // The origin's own service has no name that an agent needs.
            let name = "origin".parse().ok()?;
            let origin = Some(read_origin(&origin)?);
            services.insert(name, ServiceProfile { origin, ..Default::default() });
        }
        let (routes, customers, limits) = (Vec::new(), Vec::new(), CallerLimits::default());
        let generation = Generation(self.generation);
        let document = RouteDocument::new(generation, routes, services, customers, limits);
        let mut changes = vec![FleetChange::Configured(Arc::new(document))];
        for version in &self.versions {
            let version = FleetChange::VersionAnnounced(
                version.name.parse().ok()?,
                WeightVersion(version.number),
            );
            changes.push(version);
        }
        for record in &self.upstreams {
            changes.push(FleetChange::Upstream(read_upstream(record, service)?));
        }
        for entry in &self.entries {
            changes.push(FleetChange::Peer(read_entry(entry)?));
        }
        let (revision, era) = (StoreRevision(self.at), StoreEra(self.era));
        Some(FleetUpdate { changes, revision, era, is_snapshot: true })
    }

    /// The bytes to be sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads a digest; nothing where it is malformed.
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
    }
}

fn read_engine(digest: &EngineDigest) -> Option<EngineProfile> {
    let mut models = Vec::new();
    for model in &digest.models {
        let name = model.name.parse().ok()?;
        models.push(ModelProfile { name, load_time: Millis(model.number) });
    }
    let chunk_size = ByteSize(digest.chunk_size);
    Some(EngineProfile { models, chunks: digest.chunks, chunk_size, ..EngineProfile::default() })
}

fn origin_digest(origin: &OriginProfile) -> OriginDigest {
    OriginDigest {
        address: origin.address.to_string(),
        data_centre: origin.data_centre.to_string(),
        link_mbps: origin.link_mbps,
        connections: origin.connection_limit,
    }
}

fn read_origin(digest: &OriginDigest) -> Option<OriginProfile> {
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

fn read_upstream(digest: &UpstreamDigest, service: &ServiceName) -> Option<UpstreamRecord> {
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
        // Agents send no requests.
        slots: 0,
        leaving: digest.leaving,
        serving,
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

fn read_entry(digest: &EntryDigest) -> Option<PeerRecord> {
    Some(PeerRecord {
        id: digest.id.parse().ok()?,
        address: digest.address.parse().ok()?,
        data_centre: digest.data_centre.parse().ok()?,
        link_mbps: digest.link_mbps,
    })
}
