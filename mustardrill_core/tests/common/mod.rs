//! Fixtures that several tests of the core crate share.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use mustardrill_core::budget::RetrySettings;
use mustardrill_core::catalogue::{EntryDraft, parse_drafts};
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, DirectRequest,
    DirectSettings, EngineProfile, FleetChange, FleetUpdate, LoadRecord, ModelProfile, PeerRecord,
    RefusalPlan, RegionMap, RepeatRule, RequestNumber, RetryShare, RouteDocument, RouteRule,
    SendPlan, ServedWeights, ServiceProfile, StatedValue, UpstreamRecord, WarmupBound,
    WarmupReport, WorkSize,
};
use mustardrill_core::document::CatalogueDocument;
use mustardrill_core::edit::{EditChange, EditRequest, FleetFacts, PublishedVersion, apply_edit};
use mustardrill_core::entry::{
    AgentSync, EntryEffect, EntryEvent, EntryReducer, EntrySettings, IncomingRequest, RequestId,
    SendOrder,
};
use mustardrill_core::membership::{InstanceRecord, MemberSettings};
use mustardrill_core::provisioning::{
    ProvisioningEffect, ProvisioningEvent, ProvisioningReducer, ProvisioningSettings,
    RolloutSettings,
};
use mustardrill_core::routing::{RoutingSettings, UpstreamReport};
use mustardrill_core::transfer::TransferSettings;
use mustardrill_types::{
    ByteSize, EditId, FastMap, Generation, InstanceId, ManifestDigest, Millis, Moment,
    RequestDigest, StartStamp, StoreEra, StoreRevision, WeightVersion,
};

/// The digest of version v1.
pub const V1: &str = "1111111111111111111111111111111111111111111111111111111111111111";

/// The digest of version v2.
pub const V2: &str = "2222222222222222222222222222222222222222222222222222222222222222";

/// The store answers an entry every second from `from` to `until`, without a change.
pub fn keep_in_contact(reducer: &mut DirectReducer, from: Moment, until: Moment) {
    for now in (from.0..=until.0).step_by(1_000).map(Moment) {
        let update = FleetUpdate { revision: StoreRevision(1), ..FleetUpdate::default() };
        reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
    }
}

/// Ends the current attempt of a request.
pub fn end_attempt(
    reducer: &mut DirectReducer,
    now: Moment,
    number: u64,
    outcome: AttemptOutcome,
) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::AttemptEnded(RequestNumber(number), outcome))
}

/// The store answers an entry with these changes.
pub fn answer_from_store(
    reducer: &mut DirectReducer,
    now: Moment,
    changes: Vec<FleetChange>,
    is_snapshot: bool,
    era: u64,
) {
    let (revision, era) = (StoreRevision(1), StoreEra(era));
    let update = FleetUpdate { changes, revision, era, is_snapshot, ..FleetUpdate::default() };
    reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
}

/// Sends a request to the service of `desk_fleet`; returns the effects, without timers.
pub fn send_to_desk(reducer: &mut DirectReducer, number: u64, now: Moment) -> Vec<DirectEffect> {
    let arrival = DirectEvent::RequestArrived(desk_request(number, now));
    let mut effects = reducer.reduce(now, arrival);
    effects.retain(|effect| !matches!(effect, DirectEffect::SetTimer(_)));
    effects
}

/// The plan of the one attempt that is sent.
pub fn plan_of(effects: &[DirectEffect]) -> &SendPlan {
    let [DirectEffect::Send(_, plan)] = effects else { panic!("not sent: {effects:?}") };
    plan
}

/// The one refusal.
pub fn refusal_of(effects: &[DirectEffect]) -> &RefusalPlan {
    let [DirectEffect::Refuse(_, plan)] = effects else { panic!("not refused: {effects:?}") };
    plan
}

/// Ends a request with a complete answer.
pub fn end_request(reducer: &mut DirectReducer, number: u64, now: Moment) {
    end_attempt(reducer, now, number, AttemptOutcome::Whole);
    reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
}

/// Settings of an entry of the own interface.
pub fn entry_settings(routing: RoutingSettings) -> EntrySettings {
    EntrySettings {
        own_id: "entry-0".parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        routing,
        retry: RetrySettings::default(),
        claim_shards: 1,
        members: MemberSettings::default(),
        subset: 8,
        sync_every: Millis(500),
    }
}

/// The `number`-th instance of the service `records-desk`.
pub fn desk_instance(number: u16) -> InstanceRecord {
    InstanceRecord {
        id: desk_id(number),
        service: "records-desk".parse().unwrap(),
        data_centre: "gc-hall-a".parse().unwrap(),
        region: "guate-central".parse().unwrap(),
        agent: format!("127.0.0.1:{}", number + 1).into(),
        leaving: false,
    }
}

/// How many cases a property test runs; a longer run sets `PROPTEST_CASES`.
pub fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// The model `drafts` as an operator's settings file.
pub fn model_text() -> String {
    "[model drafts]\nservice = mustard-pool\nowner = ana\nclass = urgent\ncallers = comedor, inspector\n\
     requests_per_second = 50\nin_flight = 10\nversion = v1\nreplicas = 4\n"
        .into()
}

/// Parses a valid settings file.
pub fn drafts(text: &str) -> Vec<EntryDraft> {
    parse_drafts("edit.ini", text).expect("the settings file is valid")
}

/// An edit that applies the drafts.
pub fn request(id: u128, operator: &str, drafts: Vec<EntryDraft>) -> EditRequest {
    EditRequest { id: EditId(id), operator: operator.into(), change: EditChange::Drafts(drafts) }
}

/// The catalogue after one edit that applies a settings file.
pub fn document_with(text: &str) -> CatalogueDocument {
    let edit = request(1, "ana", drafts(text));
    apply_edit(&CatalogueDocument::default(), &edit, &facts()).expect("the edit is accepted")
}

/// The facts of a small fleet, against which edits are checked.
pub fn facts() -> FleetFacts {
    let mut versions = FastMap::default();
    for model in ["drafts", "summaries"] {
        for (version, digest, size) in [("v1", V1, 1_000), ("v2", V2, 1_000), ("huge", V2, 9_000)] {
            let fact = PublishedVersion { manifest: digest.parse().unwrap(), size: ByteSize(size) };
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

/// The rollout schedule of the engines in these tests.
pub const ROLLOUT: RolloutSettings =
    RolloutSettings { first: Millis(3_600), last: Millis(6_500), load_duration: Millis(2_000) };

/// Settings of the entry in these tests. Each request earns a retry.
pub fn direct_settings() -> DirectSettings {
    DirectSettings {
        own_id: "entry-1".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        regions: RegionMap::default(),
        freshness_limit: Millis(4_500),
        version_bound: Millis(7_000),
        retry_share: RetryShare { ratio: 1.0, allowance: 0.0, window: Millis(10_000) },
        requests_ahead: 2,
        prefill_limit: Millis(80),
        in_time_percent: 50,
        late_slots_percent: 75,
        wait_limit: Millis(1_000),
        silence_timeout: Millis(1_200),
        registration_expiry: Millis(2_400),
        expiry_grace: Millis(2_000),
        peer_load_timeout: Millis(1_500),
        base_ejection: Millis(500),
        warmup_bound: WarmupBound::default(),
    }
}

/// Settings of the agent in these tests.
pub fn provisioning_settings() -> ProvisioningSettings {
    ProvisioningSettings {
        own_id: "10.0.0.1".parse().unwrap(),
        data_centre: "hall-a".parse().unwrap(),
        service: "pool".parse().unwrap(),
        engine: SocketAddr::from(([10, 0, 0, 1], 8001)),
        port: 7701,
        transfer: TransferSettings {
            uses_primary_holders: true,
            remote_fetchers: 1,
            ..TransferSettings::default()
        },
        rollout: ROLLOUT,
        holdings_interval: Millis(35),
    }
}

/// A request of the given size for the model `m`, on a public route.
pub fn direct_request(
    number: u64,
    path: &str,
    size: WorkSize,
    arrived_at: Moment,
) -> DirectRequest {
    DirectRequest {
        number: RequestNumber(number),
        attempt_id: format!("a{number}").into(),
        host: "drafts.example".into(),
        path: path.into(),
        content_digest: RequestDigest::of(&[path.as_bytes()]),
        api_key: None,
        timeout: Some(Millis(6_000)),
        arrived_at,
        model: Some("m".parse().unwrap()),
        size,
        is_resumed: false,
        shared_parts: StatedValue::default(),
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

/// A route that needs no API key.
pub fn public_route(name: &str, prefix: &str, service: &str, repeat_rule: RepeatRule) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "drafts.example".into(),
        prefix: prefix.into(),
        service_shares: vec![(service.parse().unwrap(), 1)],
        repeat_rule,
        timeout: Millis(6_000),
        objective: Millis(400),
        event_gap: Millis(300),
        patience: None,
        priority: 1,
        attempt_limit: 2,
        is_public: true,
        allowed_regions: Box::default(),
    }
}

/// The profile of an engine with four slots that serves the model `m`.
pub fn engine_profile() -> EngineProfile {
    EngineProfile {
        slots: 4,
        models: vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }],
        steps_per_pass: 6,
        step_ms: 7.0,
        prefill_tokens_per_ms: 30.0,
        mean_prompt: 960,
        mean_answer: 120,
        ..EngineProfile::default()
    }
}

/// A configuration with a plain service whose requests are idempotent, and its upstreams.
pub fn desk_fleet(upstreams: u16) -> Vec<FleetChange> {
    let mut changes = vec![FleetChange::Configured(desk_document(ServiceProfile::default()))];
    changes.extend((0..upstreams).map(|number| FleetChange::Upstream(desk(number))));
    changes
}

/// A configuration with a plain service whose requests are idempotent.
pub fn desk_document(profile: ServiceProfile) -> Arc<RouteDocument> {
    let route = RouteRule {
        objective: Millis(300),
        ..public_route("status", "/", "desk", RepeatRule::Idempotent)
    };
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), profile);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), vec![route], services, Vec::new(), limits))
}

/// The instance ID of an upstream of `desk_fleet`.
pub fn desk_id(number: u16) -> InstanceId {
    format!("desk-{number}").parse().unwrap()
}

/// An upstream of `desk_fleet`.
pub fn desk(number: u16) -> UpstreamRecord {
    UpstreamRecord {
        id: desk_id(number),
        start: StartStamp(1),
        service: "desk".parse().unwrap(),
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: Vec::new(),
        warmup: WarmupReport::default(),
    }
}

/// A request to the service of `desk_fleet`.
pub fn desk_request(number: u64, arrived: Moment) -> DirectRequest {
    let size = WorkSize { prompt_tokens: 0, answer_tokens: 0 };
    DirectRequest { model: None, ..direct_request(number, "/x", size, arrived) }
}

/// Sends as many requests at `now` as there are upstreams, and returns the upstreams that were
/// reached.
pub fn reached_desks(
    reducer: &mut DirectReducer,
    upstreams: u16,
    now: Moment,
) -> BTreeSet<InstanceId> {
    let numbers = now.0 * 100..now.0 * 100 + u64::from(upstreams);
    let mut reached = BTreeSet::new();
    for number in numbers.clone() {
        for effect in reducer.reduce(now, DirectEvent::RequestArrived(desk_request(number, now))) {
            if let DirectEffect::Send(_, plan) = effect {
                reached.insert(plan.upstream);
            }
        }
    }
    for number in numbers {
        let ended = DirectEvent::AttemptEnded(RequestNumber(number), AttemptOutcome::Whole);
        reducer.reduce(now, ended);
        reducer.reduce(now, DirectEvent::CallerGone(RequestNumber(number)));
    }
    reached
}

/// An entry of the own interface with `agents` instances of the plain service `desk`.
pub fn plain_entry(now: Moment, agents: u16) -> EntryReducer {
    let mut reducer = EntryReducer::new(entry_settings(RoutingSettings::default()), 1);
    let text = "[plain desk]\nservice = records-desk\nowner = ana\nclass = standard\n\
                callers = all\nrequests_per_second = 1000\nin_flight = 1000\n";
    reducer.reduce(now, EntryEvent::CatalogueReceived(Arc::new(document_with(text))));
    reducer.reduce(now, EntryEvent::InstancesReceived((0..agents).map(desk_instance).collect()));
    reducer.reduce(now, EntryEvent::EntriesCounted(1));
    (0..agents).for_each(|number| receive_heartbeat(&mut reducer, now, number, Vec::new()));
    reducer
}

/// An agent answers a heartbeat of an entry; its upstream serves these weights.
pub fn receive_heartbeat(
    reducer: &mut EntryReducer,
    now: Moment,
    number: u16,
    serving: Vec<ManifestDigest>,
) {
    let report = UpstreamReport { outstanding: 0, capacity: 10, serving, leaving: false };
    receive_report(reducer, now, number, report);
}

/// An agent answers a heartbeat of an entry with this report.
pub fn receive_report(
    reducer: &mut EntryReducer,
    now: Moment,
    number: u16,
    report: UpstreamReport,
) {
    let sync = AgentSync {
        id: desk_id(number),
        generation: Generation(1),
        report,
        progress: Vec::new(),
        demand: Vec::new(),
        reporting_entries: 1,
        crashes: Vec::new(),
    };
    reducer.reduce(now, EntryEvent::Synced(sync));
}

/// Sends a request for the plain service `desk`, or for a model, to an entry; returns the attempt.
pub fn send_request(
    reducer: &mut EntryReducer,
    target: &str,
    number: u64,
    now: Moment,
) -> SendOrder {
    let incoming = IncomingRequest {
        id: RequestId(number),
        customer: "comedor".parse().unwrap(),
        target: target.parse().unwrap(),
        is_model: target != "desk",
        key: None,
        deadline: now + Millis(60_000),
        affinity: None,
        digest: RequestDigest(u128::from(number)),
    };
    order_in(reducer.reduce(now, EntryEvent::RequestArrived(incoming)))
}

/// The first attempt that is sent.
pub fn order_in(effects: Vec<EntryEffect>) -> SendOrder {
    let orders = effects.into_iter().find_map(|effect| match effect {
        EntryEffect::Send(order) => Some(order),
        _ => None,
    });
    orders.expect("an attempt is sent")
}

/// The n-th engine of the service `pool`.
pub fn pool_engine(index: u8, slots: u32) -> FleetChange {
    let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(1) };
    FleetChange::Upstream(UpstreamRecord {
        id: format!("u{index}").parse().unwrap(),
        start: StartStamp(1),
        service: "pool".parse().unwrap(),
        address: pool_address(index),
        data_centre: "hall-a".parse().unwrap(),
        slots,
        leaving: false,
        serving: vec![served],
        warmup: WarmupReport::default(),
    })
}

/// Where the n-th engine of the service `pool` listens.
pub fn pool_address(index: u8) -> SocketAddr {
    ([10, 0, 0, index], 8_000).into()
}

/// A provisioning reducer whose store answers at once.
#[derive(Debug)]
pub struct StoredReducer {
    reducer: ProvisioningReducer,
    /// The load record that the store holds.
    pub record: Option<LoadRecord>,
}

impl std::ops::Deref for StoredReducer {
    type Target = ProvisioningReducer;

    fn deref(&self) -> &Self::Target {
        &self.reducer
    }
}

impl StoredReducer {
    pub fn new(settings: ProvisioningSettings, seed: u64) -> Self {
        Self { reducer: ProvisioningReducer::new(settings, seed), record: None }
    }

    /// An agent that starts while the store holds a record of an earlier process.
    pub fn with_record(settings: ProvisioningSettings, record: LoadRecord) -> Self {
        Self { reducer: ProvisioningReducer::new(settings, 1), record: Some(record) }
    }

    /// Handles an event; reads and writes of load records are carried out.
    pub fn reduce(&mut self, now: Moment, event: ProvisioningEvent) -> Vec<ProvisioningEffect> {
        let mut effects = self.reducer.reduce(now, event);
        let mut next = 0;
        while let Some(effect) = effects.get(next).cloned() {
            next += 1;
            let answer = match effect {
                ProvisioningEffect::ReadLoadRecord => {
                    ProvisioningEvent::LoadRecordRead(self.record.clone())
                }
                ProvisioningEffect::WriteLoadRecord(record) => {
                    self.record = Some(record.clone());
                    ProvisioningEvent::LoadRecordStored(record)
                }
                _ => continue,
            };
            effects.extend(self.reducer.reduce(now, answer));
        }
        let is_record = |effect: &ProvisioningEffect| {
            matches!(
                effect,
                ProvisioningEffect::ReadLoadRecord | ProvisioningEffect::WriteLoadRecord(_)
            )
        };
        effects.retain(|effect| !is_record(effect));
        effects
    }
}
