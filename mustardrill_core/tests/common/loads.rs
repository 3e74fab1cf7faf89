//! An engine whose model has few chunks, and records of its loads.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, EngineProfile, LoadRecord, LoadState, OriginProfile, RepeatRule, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport,
};
use mustardrill_core::manifest::Manifest;
use mustardrill_core::provisioning::VersionId;
use mustardrill_types::{ByteSize, FastMap, Generation, ManifestDigest, StartStamp, WeightVersion};

/// Number of chunks of a version.
pub const CHUNKS: u32 = 4;

pub fn engine_address() -> SocketAddr {
    crate::common::provisioning_settings().engine
}

/// A configuration with one service of engines whose model has this many layers.
pub fn document(layers: u32) -> Arc<RouteDocument> {
    let engine = EngineProfile {
        chunks: CHUNKS,
        layers,
        chunk_size: ByteSize(1_000),
        ..crate::common::engine_profile()
    };
    let route = crate::common::public_route("drafts", "/", "pool", RepeatRule::StreamResumable);
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let origin = OriginProfile {
        address: SocketAddr::from(([172, 20, 0, 3], 8006)),
        data_centre: "hall-b".parse().unwrap(),
        link_mbps: 0.0,
        connection_limit: 0,
    };
    let records = ServiceProfile { origin: Some(origin), ..ServiceProfile::default() };
    services.insert("records".parse().unwrap(), records);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits))
}

pub fn manifest_of(version: &VersionId) -> Arc<Manifest> {
    Arc::new(Manifest {
        model: version.model.clone(),
        version: version.version.to_string().parse().unwrap(),
        size: ByteSize(u64::from(CHUNKS)),
        chunk_size: ByteSize(1),
        chunks: (0..CHUNKS as u8).map(|index| ManifestDigest([index; 32])).collect(),
    })
}

/// What an engine serves that holds a version; zero for none.
pub fn served(version: u64) -> Vec<ServedWeights> {
    let weights = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
    (version > 0).then_some(weights).into_iter().collect()
}

/// A record of a load of `version`; `before` is the version proven before, zero for none.
pub fn load_record(
    start: u64,
    number: u64,
    version: u64,
    before: u64,
    state: LoadState,
) -> LoadRecord {
    LoadRecord {
        engine: engine_address(),
        start: StartStamp(start),
        number,
        model: "m".parse().unwrap(),
        version: WeightVersion(version),
        proven_before: (before > 0).then_some(WeightVersion(before)),
        state,
    }
}

/// The registration of the engine.
pub fn engine_record(start: u64, version: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: "u1".parse().unwrap(),
        start: StartStamp(start),
        service: "pool".parse().unwrap(),
        address: engine_address(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: served(version),
        warmup: WarmupReport::default(),
    }
}
