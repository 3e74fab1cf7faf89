//! A starting agent gets the same state from an entry as it would read from the store itself.

use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, EngineProfile, FleetChange, FleetUpdate, ModelProfile, OriginProfile, PeerRecord,
    RouteDocument, ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport,
};
use mustardrill_runtime::fleet_digest::FleetDigest;
use mustardrill_types::{
    ByteSize, FastMap, Generation, Millis, ServiceName, StartStamp, StoreRevision, WeightVersion,
};

fn document() -> Arc<RouteDocument> {
    let engine = EngineProfile {
        models: vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }],
        chunks: 96,
        chunk_size: ByteSize(24_576),
        slots: 16,
        ..EngineProfile::default()
    };
    let origin = OriginProfile {
        address: "10.2.0.1:8000".parse().unwrap(),
        data_centre: "hall-b".parse().unwrap(),
        link_mbps: 4.38,
        connection_limit: 48,
    };
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    let records = ServiceProfile { origin: Some(origin), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    services.insert("records".parse().unwrap(), records);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(9), Vec::new(), services, Vec::new(), limits))
}

fn upstream(id: &str, service: &str) -> UpstreamRecord {
    let serving = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(2) };
    UpstreamRecord {
        id: id.parse().unwrap(),
        start: StartStamp(1),
        service: service.parse().unwrap(),
        address: "10.1.0.5:8001".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 0,
        leaving: true,
        serving: vec![serving],
        warmup: WarmupReport::default(),
    }
}

#[test]
fn a_digest_round_trip_keeps_what_agents_need() {
    let service: ServiceName = "pool".parse().unwrap();
    let entry = PeerRecord {
        id: "edge-1".parse().unwrap(),
        address: "10.1.0.9:7700".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        link_mbps: 200,
    };
    let changes = vec![
        FleetChange::Configured(document()),
        FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(3)),
        FleetChange::Upstream(upstream("i-1", "pool")),
        FleetChange::Upstream(upstream("i-desk", "desk")),
        FleetChange::Peer(entry.clone()),
    ];
    let update = FleetUpdate {
        changes,
        revision: StoreRevision(77),
        is_snapshot: true,
        ..FleetUpdate::default()
    };
    let bytes = FleetDigest::of(&update, &service).unwrap().to_bytes();
    let update = FleetDigest::read(&bytes).unwrap().into_snapshot(&service).unwrap();
    assert!(update.is_snapshot);
    assert_eq!(update.revision, StoreRevision(77));
    let [configured, announced, listed, peer] = &update.changes[..] else { panic!("{update:?}") };
    let FleetChange::Configured(read) = configured else { panic!("{configured:?}") };
    assert_eq!(read.generation, Generation(9));
    let engine = read.service(&service).unwrap().engine.as_ref().unwrap();
    assert_eq!((engine.chunks, engine.chunk_size), (96, ByteSize(24_576)));
    assert_eq!(engine.models[0].load_time, Millis(300));
    let origin = read.origin().unwrap();
    assert_eq!((origin.connection_limit, origin.link_mbps), (48, 4.38));
    assert!(matches!(announced, FleetChange::VersionAnnounced(_, WeightVersion(3))));
    assert!(matches!(listed, FleetChange::Upstream(record) if *record == upstream("i-1", "pool")));
    assert!(matches!(peer, FleetChange::Peer(record) if *record == entry));
}

#[test]
fn without_a_configuration_there_is_no_digest() {
    let update = FleetUpdate::default();
    assert!(FleetDigest::of(&update, &"pool".parse().unwrap()).is_none());
    assert!(FleetDigest::read(b"\xff\xff\xff").is_none());
}
