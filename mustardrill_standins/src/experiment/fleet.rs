//! Fleet records of a pattern, in the form in which entries read them from the store.

use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, FleetChange, FleetUpdate, PeerRecord, RepeatRule, RouteDocument, RouteRule,
    ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport,
};
use mustardrill_types::{
    DataCentre, FastMap, Generation, InstanceId, ServiceName, StartStamp, StoreRevision,
    WeightVersion,
};

use crate::experiment::pattern::{LoadPattern, MODEL};

/// The host that all callers name.
pub(crate) const HOST: &str = "pattern";

const ATTEMPT_LIMIT: u32 = 2;

pub(crate) fn entry_id(index: usize) -> InstanceId {
    format!("entry-{index}").parse().expect("a valid name")
}

pub(crate) fn engine_id(index: usize) -> InstanceId {
    format!("engine-{index}").parse().expect("a valid name")
}

/// The path that requests of a caller kind have; each kind has a route of its own.
pub(crate) fn kind_path(kind: usize) -> Box<str> {
    format!("/{kind}/").into()
}

fn data_centre() -> DataCentre {
    "hall".parse().expect("a valid name")
}

fn service() -> ServiceName {
    "pool".parse().expect("a valid name")
}

/// The registration of an engine's incarnation.
pub(crate) fn engine_record(
    pattern: &LoadPattern,
    index: usize,
    incarnation: u64,
) -> UpstreamRecord {
    let model = MODEL.parse().expect("a valid name");
    let [high, low] = ((index % 60_000) as u16).to_be_bytes();
    UpstreamRecord {
        id: engine_id(index),
        start: StartStamp(incarnation),
        service: service(),
        address: ([10, 0, high, low], 8_000).into(),
        data_centre: data_centre(),
        slots: pattern.profile.slots,
        leaving: false,
        serving: vec![ServedWeights { model, version: WeightVersion(1) }],
        warmup: WarmupReport::default(),
    }
}

/// The first update that an entry reads: routes, engines and peer entries.
pub(crate) fn initial_update(pattern: &LoadPattern) -> FleetUpdate {
    let peers = (0..pattern.entries as usize).map(|index| {
        FleetChange::Peer(PeerRecord {
            id: entry_id(index),
            address: ([10, 1, 0, 1], 7_700).into(),
            data_centre: data_centre(),
            link_mbps: 1_000,
        })
    });
    let engines = (0..pattern.engines as usize)
        .map(|index| FleetChange::Upstream(engine_record(pattern, index, 1)));
    let document = FleetChange::Configured(Arc::new(route_document(pattern)));
    let changes = std::iter::once(document).chain(engines).chain(peers).collect();
    FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    }
}

fn route_document(pattern: &LoadPattern) -> RouteDocument {
    let route = |(index, kind): (usize, &crate::experiment::CallerKind)| RouteRule {
        name: kind.name.clone(),
        host: HOST.into(),
        prefix: kind_path(index),
        service_shares: vec![(service(), 1)],
        repeat_rule: RepeatRule::StreamResumable,
        timeout: kind.deadline,
        objective: kind.objective,
        event_gap: kind.gap,
        patience: None,
        priority: kind.priority,
        attempt_limit: ATTEMPT_LIMIT,
        is_public: true,
        allowed_regions: Box::default(),
    };
    let routes = pattern.kinds.iter().enumerate().map(route).collect();
    let mut services = FastMap::default();
    let engine = Some(pattern.profile.clone());
    services.insert(service(), ServiceProfile { engine, ..ServiceProfile::default() });
    RouteDocument::new(Generation(1), routes, services, Vec::new(), CallerLimits::default())
}
