//! What several tests of the core share.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::catalogue::{EntryDraft, read_drafts};
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, DirectRequest,
    DirectSettings, EngineProfile, FleetChange, ModelProfile, PeerRecord, RepeatRule,
    RequestNumber, RetryShare, RouteDocument, RouteRule, ServiceProfile, UpstreamRecord, WorkSize,
};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, FleetFacts, VersionFact, apply_edit};
use mustardrill_core::provisioning::{ProvisioningSettings, RolloutSettings};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_types::{
    ByteSize, EditId, FastMap, Generation, InstanceId, Millis, Moment, RequestDigest, StartStamp,
};

/// The digest of version v1.
pub const V1: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// The digest of version v2.
pub const V2: &str = "2222222222222222222222222222222222222222222222222222222222222222";

/// How many cases a property test runs; a longer run sets `PROPTEST_CASES`.
pub fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// The model `drafts` as an operator's file.
pub fn model_text() -> String {
    "[model drafts]\nservice = mustard-pool\nowner = ana\nclass = urgent\ncallers = comedor, inspector\n\
     requests_per_second = 50\nin_flight = 10\nversion = v1\nreplicas = 4\n"
        .into()
}

/// The drafts of a file that reads.
pub fn drafts(text: &str) -> Vec<EntryDraft> {
    read_drafts("edit.ini", text).expect("the file reads")
}

/// An edit of drafts.
pub fn request(id: u128, operator: &str, drafts: Vec<EntryDraft>) -> EditRequest {
    EditRequest { id: EditId(id), operator: operator.into(), change: EditChange::Drafts(drafts) }
}

/// The catalogue that one edit of a file makes.
pub fn document_with(text: &str) -> CatalogueDocument {
    let edit = request(1, "ana", drafts(text));
    apply_edit(&CatalogueDocument::default(), &edit, &facts()).expect("the edit is right")
}

/// A small fleet.
pub fn facts() -> FleetFacts {
    let mut versions = FastMap::default();
    for model in ["drafts", "summaries"] {
        for (version, digest, size) in [("v1", V1, 1_000), ("v2", V2, 1_000), ("huge", V2, 9_000)] {
            let fact = VersionFact { manifest: digest.parse().unwrap(), size: ByteSize(size) };
            versions.insert((model.parse().unwrap(), version.parse().unwrap()), fact);
        }
    }
    FleetFacts {
        customers: ["comedor", "inspector"].map(|name| name.parse().unwrap()).into_iter().collect(),
        operators: ["ana", "beto"].map(Into::into).into_iter().collect(),
        instances: [("mustard-pool", 4), ("records-desk", 1)]
            .map(|(name, count)| (name.parse().unwrap(), count))
            .into_iter()
            .collect(),
        versions,
        staging_limit: ByteSize(5_000),
        in_use: [("drafts".parse().unwrap(), 5)].into_iter().collect(),
    }
}

/// When the engines of these tests load.
pub const TURNS: RolloutSettings =
    RolloutSettings { first: Millis(3_600), last: Millis(6_500), load_duration: Millis(2_000) };

/// How the entry of these tests decides.
pub fn direct_settings() -> DirectSettings {
    DirectSettings {
        own: "entry-1".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        proof_limit: Millis(4_500),
        version_bound: Millis(7_000),
        retry: RetryShare { ratio: 0.1, allowance: 8.0, window: Millis(10_000) },
        ahead: 2,
        reading_limit: Millis(80),
        wait_percent: 50,
        late_percent: 75,
        late_wait: Millis(1_000),
        silence: Millis(1_200),
        forgetting: Millis(2_400),
        lapse_grace: Millis(2_000),
        peer_patience: Millis(1_500),
        ejection: Millis(500),
    }
}

/// How the agent of these tests decides.
pub fn stock_settings() -> ProvisioningSettings {
    ProvisioningSettings {
        own: "10.0.0.1".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        service: "pool".parse().unwrap(),
        engine: SocketAddr::from(([10, 0, 0, 1], 8001)),
        port: 7701,
        transfer: TransferSettings {
            uses_primary_holders: true,
            remote_fetchers: 1,
            ..TransferSettings::default()
        },
        rollout: TURNS,
        holdings_interval: Millis(35),
    }
}

/// A request of so much work for the model `m`, as it comes to a public route.
pub fn direct_request(number: u64, path: &str, size: WorkSize, arrived: Moment) -> DirectRequest {
    DirectRequest {
        number: RequestNumber(number),
        attempt: format!("a{number}").into(),
        host: "drafts.example".into(),
        path: path.into(),
        content: RequestDigest::of(&[path.as_bytes()]),
        key: None,
        patience: Some(Millis(6_000)),
        arrived,
        model: Some("m".parse().unwrap()),
        size,
        resumes: false,
    }
}

/// An entry's registration.
pub fn peer(id: &InstanceId) -> PeerRecord {
    PeerRecord {
        id: id.clone(),
        address: ([10, 0, 1, 1], 7_700).into(),
        data_centre: "hall-a".parse().unwrap(),
        link_mbps: 1_000,
    }
}

/// A route that anybody may call.
pub fn public_route(name: &str, prefix: &str, service: &str, repeat: RepeatRule) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "drafts.example".into(),
        prefix: prefix.into(),
        split: vec![(service.parse().unwrap(), 1)],
        repeat,
        timeout: Millis(6_000),
        objective: Millis(400),
        gap: Millis(300),
        priority: 1,
        attempts: 2,
        public: true,
    }
}

/// An engine of four slots that holds the model `m`.
pub fn engine_profile() -> EngineProfile {
    EngineProfile {
        slots: 4,
        models: vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }],
        stride: 6,
        step_ms: 7.0,
        read_per_ms: 30.0,
        usual_prompt: 960,
        usual_answer: 120,
        ..EngineProfile::default()
    }
}

/// A configuration with a plain service whose requests may be repeated, and its upstreams.
pub fn desk_fleet(upstreams: u16) -> Vec<FleetChange> {
    let route = RouteRule {
        objective: Millis(300),
        ..public_route("status", "/", "desk", RepeatRule::Idempotent)
    };
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let limits = CallerLimits::default();
    let document = RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits);
    let mut changes = vec![FleetChange::Configured(Arc::new(document))];
    changes.extend((0..upstreams).map(|place| FleetChange::Upstream(desk(place))));
    changes
}

/// The name of an upstream of `desk_fleet`.
pub fn desk_id(place: u16) -> InstanceId {
    format!("desk-{place}").parse().unwrap()
}

/// An upstream of `desk_fleet`.
pub fn desk(place: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: desk_id(place),
        start: StartStamp(1),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], 1_000 + place).into(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: Vec::new(),
    }
}

/// A request to the service of `desk_fleet`.
pub fn desk_request(number: u64, arrived: Moment) -> DirectRequest {
    let size = WorkSize { prompt: 0, answer: 0 };
    DirectRequest { model: None, ..direct_request(number, "/x", size, arrived) }
}

/// The upstreams of a `desk_fleet` to which requests go that come at `now`, as many as there are
/// upstreams.
pub fn reached_desks(
    reducer: &mut DirectReducer,
    upstreams: u16,
    now: Moment,
) -> BTreeSet<InstanceId> {
    let numbers = now.0 * 100..now.0 * 100 + u64::from(upstreams);
    let mut reached = BTreeSet::new();
    for number in numbers.clone() {
        for effect in reducer.reduce(now, DirectEvent::Arrived(desk_request(number, now))) {
            if let DirectEffect::Send(_, plan) = effect {
                reached.insert(plan.upstream);
            }
        }
    }
    for number in numbers {
        let ended = DirectEvent::Ended(RequestNumber(number), AttemptOutcome::Whole);
        reducer.reduce(now, ended);
        reducer.reduce(now, DirectEvent::Gone(RequestNumber(number)));
    }
    reached
}
