//! Numbers that other processes state and no fleet has: none may end the process that reads them.

use std::sync::Arc;

use common::{desk, desk_fleet, desk_request, direct_request, direct_settings, pool_engine};
use loads::{engine_record, load_record};
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, EngineProfile,
    FleetChange, FleetUpdate, IntakeReport, LoadReport, LoadState, LoadUpdate, PeerLoad,
    RepeatRule, RequestNumber, RouteDocument, RouteRule, ServiceProfile, StatedValue, UpstreamLoad,
    UpstreamStatement, WorkSize,
};
use mustardrill_core::manifest::ChunkBitmap;
use mustardrill_core::partner::PartnerTable;
use mustardrill_core::provisioning::{
    EngineView, LoadOrderOutcome, ProvisioningEffect, ProvisioningEvent,
};
use mustardrill_types::{
    ChunkIndex, FastMap, Generation, InstanceId, Millis, Moment, RequestRate, StartStamp,
    StoreRevision, WeightVersion,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

mod common;
#[path = "common/loads.rs"]
mod loads;

use common::StoredReducer;

const START: Moment = Moment(100_000);

/// What other processes and the operator state, at the ends of its range.
#[derive(Debug, Clone)]
struct StatedNumbers {
    upstream_slots: u32,
    profile_slots: u32,
    peer_requests: u32,
    peer_prefill: u64,
    peer_waiting: u32,
    tokens: u32,
    timeout: u64,
    objective: u64,
    priority: u8,
    answered_slots: u32,
}

fn any_u32() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), Just(u32::MAX - 1), any::<u32>()]
}

fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

fn any_numbers() -> impl Strategy<Value = StatedNumbers> {
    let counts = (any_u32(), any_u32(), any_u32(), any_u32(), any_u32(), any_u32());
    (counts, any_u64(), any_u64(), any_u64(), any::<u8>()).prop_map(
        |(counts, peer_prefill, timeout, objective, priority)| StatedNumbers {
            upstream_slots: counts.0,
            profile_slots: counts.1,
            peer_requests: counts.2,
            peer_waiting: counts.3,
            tokens: counts.4,
            answered_slots: counts.5,
            peer_prefill,
            timeout,
            objective,
            priority,
        },
    )
}

fn document(numbers: &StatedNumbers) -> Arc<RouteDocument> {
    let slots = numbers.profile_slots;
    let engine = EngineProfile { slots, ..common::engine_profile() };
    let route = |name: &str, prefix: &str, priority| RouteRule {
        priority,
        timeout: Millis(numbers.timeout),
        objective: Millis(numbers.objective),
        ..common::public_route(name, prefix, "pool", RepeatRule::StreamResumable)
    };
    let routes = vec![route("drafts", "/drafts/", numbers.priority), route("rest", "/", 1)];
    let mut services = FastMap::default();
    let pool = ServiceProfile { engine: Some(engine), ..ServiceProfile::default() };
    services.insert("pool".parse().unwrap(), pool);
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(Generation(1), routes, services, Vec::new(), limits))
}

fn store_answer(changes: Vec<FleetChange>) -> DirectEvent {
    let revision = StoreRevision(1);
    DirectEvent::StoreAnswered(FleetUpdate { changes, revision, ..FleetUpdate::default() }, START)
}

fn peer_load(from: &str, numbers: &StatedNumbers) -> DirectEvent {
    let load = UpstreamLoad {
        requests: numbers.peer_requests,
        pending_prefill: Millis(numbers.peer_prefill),
    };
    let rows = (1..=3).map(|index| (format!("u{index}").parse().unwrap(), load));
    let update = LoadUpdate {
        rows: rows.collect(),
        is_snapshot: true,
        waiting: [("pool".parse().unwrap(), numbers.peer_waiting)].into_iter().collect(),
        paces: Vec::new(),
    };
    DirectEvent::PeerLoadReceived(PeerLoad { from: from.parse().unwrap(), update })
}

/// Plays arrivals, answers and reports of peers with these numbers.
fn play(numbers: &StatedNumbers) {
    let mut reducer = DirectReducer::new(direct_settings(), 7);
    let mut changes = vec![FleetChange::Configured(document(numbers))];
    changes.extend((1..=3).map(|index| pool_engine(index, numbers.upstream_slots)));
    for peer in ["entry-2", "entry-3"] {
        changes.push(FleetChange::Peer(common::peer(&peer.parse().unwrap())));
    }
    reducer.reduce(START, store_answer(changes));
    let mut sent = Vec::new();
    for round in 0..6 {
        let now = START + Millis(round * 40);
        for number in round * 8..(round + 1) * 8 {
            let size =
                WorkSize { prompt_tokens: numbers.tokens, answer_tokens: numbers.tokens / 2 };
            let path = if number % 2 == 0 { "/drafts/x" } else { "/other/x" };
            let mut request = direct_request(number, path, size, now);
            request.timeout = Some(Millis(numbers.timeout));
            let effects = reducer.reduce(now, DirectEvent::RequestArrived(request));
            sent.extend(effects.into_iter().filter_map(|effect| match effect {
                DirectEffect::Send(number, _) => Some(number),
                _ => None,
            }));
        }
        ["entry-2", "entry-3"].iter().for_each(|from| {
            reducer.reduce(now, peer_load(from, numbers));
        });
        if let Some(number) = sent.pop() {
            let load = LoadReport {
                running: numbers.peer_requests,
                waiting: numbers.peer_waiting,
                slots: numbers.answered_slots,
                pace: None,
                age: Millis(0),
            };
            reducer.reduce(now, DirectEvent::AnswerStarted(number, Some(load), None));
            reducer.reduce(now, DirectEvent::AttemptEnded(number, AttemptOutcome::Whole));
            reducer.reduce(now, DirectEvent::CallerGone(number));
        }
        reducer.reduce(now, DirectEvent::TimerFired);
    }
}

#[test]
fn slots_of_other_writers_end_the_entry() {
    play(&StatedNumbers {
        upstream_slots: u32::MAX,
        profile_slots: 16,
        peer_requests: 1,
        peer_prefill: 1,
        peer_waiting: 1,
        tokens: 300,
        timeout: 6_000,
        objective: 400,
        priority: 1,
        answered_slots: u32::MAX,
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(256)))]
    #[test]
    fn any_stated_numbers_leave_the_entry_alive(numbers in any_numbers()) {
        play(&numbers);
    }
}

/// Each of thousands of odd registrations is possible alone, their sum is not.
#[test]
fn slots_of_many_registrations_end_the_entry() {
    let mut reducer = DirectReducer::new(direct_settings(), 7);
    let mut changes = desk_fleet(0);
    for number in 0..5_000 {
        let record = mustardrill_core::direct::UpstreamRecord { slots: 1 << 20, ..desk(number) };
        changes.push(FleetChange::Upstream(record));
    }
    reducer.reduce(START, store_answer(changes));
    let load = UpstreamLoad { requests: 1 << 21, pending_prefill: Millis(0) };
    let rows = (0..5_000).map(|number| (common::desk_id(number), load));
    let update = LoadUpdate { rows: rows.collect(), is_snapshot: true, ..LoadUpdate::default() };
    let peer_load = PeerLoad { from: "entry-2".parse().unwrap(), update };
    reducer.reduce(START, DirectEvent::PeerLoadReceived(peer_load));
    let effects = reducer.reduce(START, DirectEvent::RequestArrived(desk_request(1, START)));
    let is_sent = effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)));
    assert!(!is_sent, "the request waits for the sum of the slots: {effects:?}");
}

#[test]
fn the_last_revision_of_a_limit_ends_the_entry() {
    let mut reducer = DirectReducer::new(direct_settings(), 7);
    reducer.reduce(START, store_answer(desk_fleet(1)));
    let report = IntakeReport {
        upstream: common::desk_id(0),
        start: StartStamp(1),
        rate: Some(RequestRate(u64::MAX)),
        revision: u64::MAX,
        age: Millis(u64::MAX),
    };
    let from: InstanceId = "entry-2".parse().unwrap();
    reducer.reduce(START, DirectEvent::IntakeReportsReceived(from, vec![report]));
    let effects = reducer.reduce(START, DirectEvent::RequestArrived(desk_request(1, START)));
    common::plan_of(&effects);
    let limit = StatedValue { value: Some(RequestRate(2_000)), malformed: None };
    let statement = UpstreamStatement { limit, ..UpstreamStatement::default() };
    reducer.reduce(START, DirectEvent::UpstreamStated(RequestNumber(1), statement));
    reducer.reduce(START, DirectEvent::TimerFired);
}

#[test]
fn the_queue_of_a_partner_ends_the_agent() {
    let id: InstanceId = "agent-2".parse().unwrap();
    let mut table = PartnerTable::new(4);
    table.set_partners([(id.clone(), true)].into_iter().collect());
    table.record_holdings(START, &id, ChunkBitmap::full(4), u32::MAX);
    let mut random = SmallRng::seed_from_u64(1);
    assert_eq!(table.best_holder(START, ChunkIndex(1), true, &mut random), Some(id));
}

/// The record of another writer, and a report of the engine.
#[test]
fn the_last_number_of_a_load_ends_the_agent() {
    for state in [LoadState::Ordered, LoadState::Damaged, LoadState::Proven] {
        let stored = load_record(0, u64::MAX, 1, 1, state);
        let mut reducer = StoredReducer::with_record(common::provisioning_settings(), stored);
        let mut changes = vec![FleetChange::Configured(loads::document(16))];
        changes.push(FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2)));
        changes.push(FleetChange::Upstream(engine_record(0, 1)));
        let update = FleetUpdate { changes, revision: StoreRevision(1), ..FleetUpdate::default() };
        let mut pending = reducer.reduce(START, ProvisioningEvent::FleetUpdated(update));
        let engine =
            EngineView { sequence: u64::MAX, serving: loads::served(1), ..EngineView::default() };
        let mut is_ordered = false;
        for step in 0..200 {
            let now = START + Millis(step * 100);
            let polled = ProvisioningEvent::EnginePolled(Some(engine.clone()));
            pending.extend(reducer.reduce(now, polled));
            for effect in std::mem::take(&mut pending) {
                let event = match effect {
                    ProvisioningEffect::FetchManifest(version, _) => {
                        let manifest = Some(loads::manifest_of(&version));
                        ProvisioningEvent::ManifestFetched(version, manifest)
                    }
                    ProvisioningEffect::FetchChunk(version, fetch, _) => {
                        let outcome = mustardrill_core::transfer::FetchOutcome::Verified;
                        ProvisioningEvent::FetchEnded(version, fetch.index, fetch.source, outcome)
                    }
                    ProvisioningEffect::VerifyStaged(version)
                    | ProvisioningEffect::VerifyLoaded(version) => {
                        let intact = ChunkBitmap::full(loads::CHUNKS);
                        ProvisioningEvent::StagedVerified(version, intact)
                    }
                    ProvisioningEffect::OrderLoad(version, ..) => {
                        is_ordered = true;
                        ProvisioningEvent::LoadOrderEnded(version, LoadOrderOutcome::Accepted)
                    }
                    _ => continue,
                };
                pending.extend(reducer.reduce(now, event));
            }
        }
        assert!(is_ordered, "{state:?}");
    }
}
