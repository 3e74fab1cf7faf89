//! Upstreams that restart under the same id, and registrations written by others.

use std::net::SocketAddr;
use std::sync::Arc;

use assert_matches::assert_matches;
use mustardrill_core::direct::{
    AttemptOutcome, CallerLimits, DirectEffect, DirectEvent, DirectReducer, EngineProfile,
    FleetChange, FleetUpdate, OriginProfile, RepeatRule, RequestNumber, RouteDocument,
    ServedWeights, ServiceProfile, UpstreamRecord, WarmupReport, WorkSize,
};
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::provisioning::{
    EngineView, LoadOrderOutcome, ManifestSource, ProvisioningEffect, ProvisioningEvent, VersionId,
};
use mustardrill_core::transfer::FetchOutcome;
use mustardrill_types::{
    ByteSize, FastMap, Generation, ManifestDigest, Millis, Moment, StartStamp, StoreRevision,
    WeightVersion,
};
use proptest::prelude::*;

mod common;

use common::StoredReducer;

const START: Moment = Moment(100_000);

fn document() -> Arc<RouteDocument> {
    let engine =
        EngineProfile { chunks: 2, chunk_size: ByteSize(1_000), ..common::engine_profile() };
    let route = common::public_route("drafts", "/drafts/", "pool", RepeatRule::StreamResumable);
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

fn record(id: &str, start: u64, version: u64) -> UpstreamRecord {
    let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
    UpstreamRecord {
        id: id.parse().unwrap(),
        start: StartStamp(start),
        service: "pool".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_001)),
        data_centre: "hall-a".parse().unwrap(),
        slots: 4,
        leaving: false,
        serving: if version > 0 { vec![served] } else { Vec::new() },
        warmup: WarmupReport::default(),
    }
}

fn fleet_update(changes: Vec<FleetChange>) -> FleetUpdate {
    FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: false,
        ..FleetUpdate::default()
    }
}

fn apply_change(
    reducer: &mut DirectReducer,
    now: Moment,
    change: FleetChange,
) -> Vec<DirectEffect> {
    reducer.reduce(now, DirectEvent::StoreAnswered(fleet_update(vec![change]), now))
}

/// An entry that has the configuration and one upstream.
fn entry(record: UpstreamRecord) -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let changes = vec![FleetChange::Configured(document()), FleetChange::Upstream(record)];
    reducer.reduce(START, DirectEvent::StoreAnswered(fleet_update(changes), START));
    reducer
}

fn arrive(reducer: &mut DirectReducer, now: Moment, number: u64) -> Vec<DirectEffect> {
    let request = common::direct_request(
        number,
        "/drafts/x",
        WorkSize { prompt_tokens: 300, answer_tokens: 120 },
        now,
    );
    reducer.reduce(now, DirectEvent::RequestArrived(request))
}

fn is_sent(effects: &[DirectEffect]) -> bool {
    effects.iter().any(|effect| matches!(effect, DirectEffect::Send(..)))
}

#[test]
fn an_upstream_restarted_under_its_id_is_not_sent_requests_for_its_former_weights() {
    let mut reducer = entry(record("u1", 10, 1));
    assert!(is_sent(&arrive(&mut reducer, START, 1)));
    apply_change(&mut reducer, START + Millis(10), FleetChange::Upstream(record("u1", 20, 0)));
    assert!(!is_sent(&arrive(&mut reducer, START + Millis(20), 2)), "it has no weights now");
}

#[test]
fn a_delayed_registration_of_an_earlier_incarnation_is_ignored() {
    let mut reducer = entry(record("u1", 20, 1));
    apply_change(&mut reducer, START + Millis(10), FleetChange::Upstream(record("u1", 10, 0)));
    assert!(is_sent(&arrive(&mut reducer, START + Millis(20), 1)));
}

/// The upstream that a request is sent to, if it is.
fn sent_to(effects: &[DirectEffect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan.upstream.to_string()),
        _ => None,
    })
}

/// Another writer registers an id of its own at the address of an upstream that goes on registering.
#[test]
fn an_upstream_stays_displaced_by_a_foreign_registration_at_its_address() {
    for (foreign_id, start) in [("u0", 0), ("u0", (1 << 53) - 1), ("u2", 0), ("u2", 1 << 52)] {
        for is_snapshot in [false, true] {
            let mut reducer = entry(record("u1", 1_000, 1));
            let mut changes = vec![FleetChange::Upstream(record(foreign_id, start, 1))];
            if is_snapshot {
                changes.push(FleetChange::Upstream(record("u1", 1_000, 1)));
                changes.sort_by_key(|change| format!("{change:?}"));
            }
            let update = FleetUpdate { is_snapshot, ..fleet_update(changes) };
            let now = START + Millis(10);
            reducer.reduce(now, DirectEvent::StoreAnswered(update, now));
            let now = START + Millis(20);
            apply_change(&mut reducer, now, FleetChange::Upstream(record("u1", 1_000, 1)));
            let sent = sent_to(&arrive(&mut reducer, now, 1));
            assert_eq!(sent.as_deref(), Some("u1"), "{foreign_id} {start} {is_snapshot}");
        }
    }
}

/// Another writer writes a far later start under the id of an upstream that goes on registering.
#[test]
fn an_upstream_stays_displaced_by_a_later_start_under_its_id() {
    let mut reducer = entry(record("u1", 1_000, 1));
    let mut foreign = record("u1", (1 << 53) - 1, 1);
    foreign.address = SocketAddr::from(([10, 0, 0, 9], 9));
    apply_change(&mut reducer, START + Millis(10), FleetChange::Upstream(foreign));
    for sequence in [7, 8] {
        let warmup = WarmupReport { sequence, ..WarmupReport::default() };
        let sound = UpstreamRecord { warmup, ..record("u1", 1_000, 1) };
        let now = START + Millis(10 + sequence);
        apply_change(&mut reducer, now, FleetChange::Upstream(sound));
    }
    let effects = arrive(&mut reducer, START + Millis(30), 1);
    let address = effects.iter().find_map(|effect| match effect {
        DirectEffect::Send(_, plan) => Some(plan.address),
        _ => None,
    });
    assert_eq!(address, Some(SocketAddr::from(([10, 0, 0, 1], 8_001))));
}

#[test]
fn requests_of_an_earlier_incarnation_are_not_counted_for_the_later_one() {
    let mut reducer = entry(record("u1", 10, 1));
    for number in 0..4 {
        arrive(&mut reducer, START, number);
    }
    apply_change(&mut reducer, START + Millis(10), FleetChange::Upstream(record("u1", 20, 1)));
    assert!(reducer.outstanding_load().is_empty());
    assert!(is_sent(&arrive(&mut reducer, START + Millis(20), 9)));
    // The earlier requests fail now. They neither free capacity of the later incarnation nor count
    // as its failures.
    for number in 0..4 {
        let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
        reducer.reduce(START + Millis(30), DirectEvent::AttemptEnded(RequestNumber(number), lost));
        reducer.reduce(START + Millis(30), DirectEvent::CallerGone(RequestNumber(number)));
    }
    let (_, load) = reducer.outstanding_load()[0];
    assert_eq!(load.requests, 1);
    assert!(is_sent(&arrive(&mut reducer, START + Millis(40), 10)), "it was not ejected");
}

#[test]
fn an_invalid_registration_removes_the_upstream_until_it_registers_again() {
    let mut reducer = entry(record("u1", 10, 1));
    let invalid = FleetChange::UpstreamInvalid("u1".parse().unwrap());
    apply_change(&mut reducer, START, invalid);
    assert!(!is_sent(&arrive(&mut reducer, START, 1)));
    apply_change(&mut reducer, START, FleetChange::Upstream(record("u1", 10, 1)));
    assert!(is_sent(&arrive(&mut reducer, START, 2)), "its next registration lists it again");
}

#[test]
fn a_registration_for_an_unconfigured_service_does_not_take_over_an_address() {
    let mut reducer = entry(record("u1", 10, 1));
    let unconfigured = UpstreamRecord { service: "nobody".parse().unwrap(), ..record("x", 10, 1) };
    apply_change(&mut reducer, START, FleetChange::Upstream(unconfigured));
    assert!(is_sent(&arrive(&mut reducer, START, 1)));
}

#[test]
fn an_upstream_that_moved_to_another_service_gets_no_requests_for_the_former_one() {
    let mut reducer = entry(record("u1", 10, 1));
    let moved = UpstreamRecord { service: "other".parse().unwrap(), ..record("u1", 10, 1) };
    apply_change(&mut reducer, START, FleetChange::Upstream(moved));
    assert!(!is_sent(&arrive(&mut reducer, START, 1)));
}

/// An agent whose engine has accepted the order to load version 2.
fn agent_with_accepted_order() -> (StoredReducer, Moment) {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document())];
    let snapshot = FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: true,
        ..FleetUpdate::default()
    };
    reducer.reduce(START, ProvisioningEvent::FleetUpdated(snapshot));
    reducer.reduce(START, engine(5, 1, 0));
    let model: mustardrill_types::ModelName = "m".parse().unwrap();
    let named = FleetChange::VersionAnnounced(model.clone(), WeightVersion(2));
    reducer.reduce(START, ProvisioningEvent::FleetUpdated(fleet_update(vec![named])));
    let mut effects =
        reducer.reduce(START, ProvisioningEvent::ManifestFetched(version(), Some(manifest())));
    let mut now = START;
    for _ in 0..200 {
        now = now + Millis(100);
        let mut next = Vec::new();
        for effect in std::mem::take(&mut effects) {
            let event = match effect {
                ProvisioningEffect::FetchChunk(version, fetch, _) => ProvisioningEvent::FetchEnded(
                    version,
                    fetch.index,
                    fetch.source,
                    FetchOutcome::Verified,
                ),
                ProvisioningEffect::VerifyStaged(version) => {
                    ProvisioningEvent::StagedVerified(version, ChunkBitmap::full(2))
                }
                ProvisioningEffect::OrderLoad(version, _, _) => {
                    reducer.reduce(
                        now,
                        ProvisioningEvent::LoadOrderEnded(version, LoadOrderOutcome::Accepted),
                    );
                    return (reducer, now);
                }
                _ => continue,
            };
            next.extend(reducer.reduce(now, event));
        }
        next.extend(reducer.reduce(now, ProvisioningEvent::Tick));
        effects = next;
    }
    panic!("no order was sent within 20 s");
}

fn version() -> VersionId {
    VersionId { model: "m".parse().unwrap(), version: WeightVersion(2) }
}

fn manifest() -> Arc<Manifest> {
    Arc::new(Manifest {
        model: "m".parse().unwrap(),
        version: "2".parse().unwrap(),
        size: ByteSize(2),
        chunk_size: ByteSize(1),
        chunks: (0..2).map(|index| ManifestDigest([index; 32])).collect(),
    })
}

fn engine(start: u64, version: u64, sequence: u64) -> ProvisioningEvent {
    let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
    let serving = if version > 0 { vec![served] } else { Vec::new() };
    let start = StartStamp(start);
    ProvisioningEvent::EnginePolled(Some(EngineView { start, busy: false, sequence, serving }))
}

#[test]
fn an_engine_that_restarts_while_it_loads_gets_a_new_order_at_once() {
    let (mut reducer, now) = agent_with_accepted_order();
    reducer.reduce(now + Millis(50), ProvisioningEvent::EnginePolled(None));
    // Its sequence of orders is unchanged; only its start stamp shows that it has no order.
    let effects = reducer.reduce(now + Millis(100), engine(9, 0, 0));
    assert!(
        effects.iter().any(|effect| matches!(effect, ProvisioningEffect::VerifyStaged(_))),
        "the staged chunks are read back for a new order: {effects:?}"
    );
}

/// An agent that has just started and has fetched version 1, while its engine does not answer yet.
fn agent_without_engine() -> StoredReducer {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    reducer.reduce(START, ProvisioningEvent::EnginePolled(None));
    let changes = vec![FleetChange::Configured(document())];
    let snapshot = FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot: true,
        ..FleetUpdate::default()
    };
    reducer.reduce(START, ProvisioningEvent::FleetUpdated(snapshot));
    let first = VersionId { version: WeightVersion(1), ..version() };
    let mut effects =
        reducer.reduce(START, ProvisioningEvent::ManifestFetched(first, Some(manifest())));
    for step in 1..100 {
        let now = START + Millis(step * 10);
        for effect in std::mem::take(&mut effects) {
            let ProvisioningEffect::FetchChunk(version, fetch, _) = effect else { continue };
            let ended = ProvisioningEvent::FetchEnded(
                version,
                fetch.index,
                fetch.source,
                FetchOutcome::Verified,
            );
            effects.extend(reducer.reduce(now, ended));
        }
        let wake_effects = reducer.reduce(now, ProvisioningEvent::Tick);
        assert!(
            !wake_effects.iter().any(|it| matches!(it, ProvisioningEffect::VerifyStaged(_))),
            "{wake_effects:?}"
        );
        effects.extend(wake_effects);
    }
    assert_eq!(reducer.status().held, 2, "chunks are fetched before the engine answers");
    reducer
}

/// An added engine answers one second after its agent has started, which is half the time of a
/// copy.
#[test]
fn an_agent_fetches_chunks_while_its_engine_starts() {
    let mut reducer = agent_without_engine();
    let effects = reducer.reduce(START + Millis(1_000), engine(5, 0, 0));
    assert!(
        effects.iter().any(|it| matches!(it, ProvisioningEffect::VerifyStaged(_))),
        "the staged chunks are read back for the order: {effects:?}"
    );
}

#[test]
fn an_engine_that_was_running_before_its_agent_gets_no_order_for_weights_that_it_serves() {
    let mut reducer = agent_without_engine();
    let effects = reducer.reduce(START + Millis(1_000), engine(5, 1, 3));
    assert!(
        !effects.iter().any(|it| matches!(it, ProvisioningEffect::VerifyStaged(_))),
        "{effects:?}"
    );
    assert!(reducer.status().serving, "it already serves the fetched version");
}

#[test]
fn a_restarted_peer_stays_when_its_former_registration_ends() {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let peer = |id| UpstreamRecord {
        address: SocketAddr::from(([10, 0, 0, 7], 8_001)),
        ..record(id, 1, 1)
    };
    let changes = vec![
        FleetChange::Configured(document()),
        FleetChange::Upstream(peer("old")),
        FleetChange::Upstream(peer("new")),
        FleetChange::UpstreamGone("old".parse().unwrap()),
    ];
    reducer.reduce(START, ProvisioningEvent::FleetUpdated(fleet_update(changes)));
    reducer.reduce(START, engine(5, 1, 0));
    let named = FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(2));
    let effects = reducer.reduce(START, ProvisioningEvent::FleetUpdated(fleet_update(vec![named])));
    let sources = effects.iter().find_map(|effect| match effect {
        ProvisioningEffect::FetchManifest(_, sources) => Some(sources.clone()),
        _ => None,
    });
    let sources = sources.expect("a manifest is requested");
    assert!(sources.contains(&ManifestSource::Peer("10.0.0.7".parse().unwrap())), "{sources:?}");
}

/// Registrations of one upstream as start stamp, version and whether the registration is invalid.
fn history() -> impl Strategy<Value = Vec<(u64, u64, bool)>> {
    prop::collection::vec((1..6u64, 0..3u64, any::<bool>()), 1..30)
}

proptest! {
    #[test]
    fn the_latest_incarnation_wins_over_registrations_in_any_order(history in history()) {
        let mut reducer = entry(record("u1", 0, 1));
        let mut latest = (0, 1);
        for (start, version, is_invalid) in history {
            let change = if is_invalid {
                latest = (0, 0);
                FleetChange::UpstreamInvalid("u1".parse().unwrap())
            } else {
                if start >= latest.0 {
                    latest = (start, version);
                }
                FleetChange::Upstream(record("u1", start, version))
            };
            apply_change(&mut reducer, START, change);
        }
        let sent = is_sent(&arrive(&mut reducer, START, 1));
        prop_assert_eq!(sent, latest.1 > 0);
    }
}

#[test]
fn a_lost_answer_of_an_earlier_incarnation_still_ends_its_request() {
    let mut reducer = entry(record("u1", 10, 1));
    arrive(&mut reducer, START, 1);
    apply_change(&mut reducer, START + Millis(10), FleetChange::Upstream(record("u1", 20, 0)));
    let lost = AttemptOutcome::Lost { delivered: false, crashed: false };
    let ended = DirectEvent::AttemptEnded(RequestNumber(1), lost);
    let effects = reducer.reduce(START + Millis(20), ended);
    assert_matches!(effects.first(), Some(DirectEffect::Refuse(RequestNumber(1), _)));
}
