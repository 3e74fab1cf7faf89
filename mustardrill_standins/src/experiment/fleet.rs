//! The fleet of a pattern, as its entries read it from a store.

use std::sync::Arc;

use mustardrill_core::direct::{
    CallerLimits, FleetChange, FleetUpdate, PeerRecord, RepeatRule, RouteDocument, RouteRule,
    ServedWeights, ServiceProfile, UpstreamRecord,
};
use mustardrill_types::{
    DataCentre, FastMap, Generation, InstanceId, ServiceName, StartStamp, StoreRevision,
    WeightVersion,
};

use crate::experiment::pattern::{LoadPattern, MODEL};

/// The host that all callers ask.
pub(crate) const HOST: &str = "pattern";

/// Attempts that a route allows.
const ATTEMPTS: u32 = 2;

pub(crate) fn entry_id(place: usize) -> InstanceId {
    format!("entry-{place}").parse().expect("a valid name")
}

pub(crate) fn engine_id(place: usize) -> InstanceId {
    format!("engine-{place}").parse().expect("a valid name")
}

/// The path of a kind's requests.
pub(crate) fn path_of(kind: usize) -> Box<str> {
    format!("/{kind}/").into()
}

fn data_centre() -> DataCentre {
    "hall".parse().expect("a valid name")
}

fn service() -> ServiceName {
    "pool".parse().expect("a valid name")
}

/// An engine's registration.
pub(crate) fn engine_record(pattern: &LoadPattern, place: usize, start: u64) -> UpstreamRecord {
    let model = MODEL.parse().expect("a valid name");
    let [high, low] = ((place % 60_000) as u16).to_be_bytes();
    UpstreamRecord {
        id: engine_id(place),
        start: StartStamp(start),
        service: service(),
        address: ([10, 0, high, low], 8_000).into(),
        data_centre: data_centre(),
        slots: pattern.profile.slots,
        leaving: false,
        serving: vec![ServedWeights { model, version: WeightVersion(1) }],
    }
}

/// Everything that an entry reads at its start.
pub(crate) fn first_page(pattern: &LoadPattern) -> FleetUpdate {
    let peers = (0..pattern.entries as usize).map(|place| {
        FleetChange::Peer(PeerRecord {
            id: entry_id(place),
            address: ([10, 1, 0, 1], 7_700).into(),
            data_centre: data_centre(),
            link_mbps: 1_000,
        })
    });
    let engines = (0..pattern.engines as usize)
        .map(|place| FleetChange::Upstream(engine_record(pattern, place, 1)));
    let document = FleetChange::Configured(Arc::new(document(pattern)));
    let changes = std::iter::once(document).chain(engines).chain(peers).collect();
    FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    }
}

fn document(pattern: &LoadPattern) -> RouteDocument {
    let route = |(place, kind): (usize, &crate::experiment::CallerKind)| RouteRule {
        name: kind.name.clone(),
        host: HOST.into(),
        prefix: path_of(place),
        traffic_split: vec![(service(), 1)],
        repeat_rule: RepeatRule::StreamResumable,
        timeout: kind.deadline,
        objective: kind.objective,
        event_gap: kind.gap,
        priority: kind.priority,
        attempt_limit: ATTEMPTS,
        is_public: true,
    };
    let routes = pattern.kinds.iter().enumerate().map(route).collect();
    let mut services = FastMap::default();
    let engine = Some(pattern.profile.clone());
    services.insert(service(), ServiceProfile { engine, ..ServiceProfile::default() });
    RouteDocument::new(Generation(1), routes, services, Vec::new(), CallerLimits::default())
}
