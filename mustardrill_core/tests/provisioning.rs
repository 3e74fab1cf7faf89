//! Tests of the reducer that provisions an agent's engine, event by event.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use assert_matches::assert_matches;
use mustardrill_core::direct::{
    CallerLimits, EngineNotice, EngineProfile, FleetChange, FleetUpdate, ModelProfile,
    OriginProfile, PeerRecord, RouteDocument, ServedWeights, ServiceProfile, UpstreamRecord,
    WarmupReport,
};
use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::provisioning::{
    EngineView, EntryDirectory, HoldingsReport, LoadOrderOutcome, ManifestSource,
    ProvisioningEffect, ProvisioningEvent, ProvisioningSettings, RolloutWindow, VersionId,
};
use mustardrill_core::transfer::{ChunkSource, FetchOutcome, TransferSettings};
use mustardrill_types::{
    ByteSize, ChunkIndex, FastMap, Generation, InstanceId, ManifestDigest, Millis, Moment,
    ServiceName, StartStamp, StoreRevision, WeightVersion,
};

mod common;

use common::StoredReducer;

const START: Moment = Moment(50_000);
const TOTAL: u32 = 8;
fn document() -> Arc<RouteDocument> {
    document_with(Generation(1), SocketAddr::from(([172, 20, 0, 3], 8006)))
}

/// A configuration whose weights come from `origin`.
fn document_with(generation: Generation, origin: SocketAddr) -> Arc<RouteDocument> {
    let engine = EngineProfile {
        models: vec![ModelProfile { name: "m".parse().unwrap(), load_time: Millis(300) }],
        chunks: TOTAL,
        chunk_size: ByteSize(1_000),
        ..EngineProfile::default()
    };
    let origin = OriginProfile {
        address: origin,
        data_centre: "hall-b".parse().unwrap(),
        link_mbps: 0.0,
        connection_limit: 0,
    };
    let mut services = FastMap::default();
    services.insert(
        "pool".parse().unwrap(),
        ServiceProfile { engine: Some(engine), ..ServiceProfile::default() },
    );
    services.insert(
        "records".parse().unwrap(),
        ServiceProfile { origin: Some(origin), ..ServiceProfile::default() },
    );
    let limits = CallerLimits::default();
    Arc::new(RouteDocument::new(generation, Vec::new(), services, Vec::new(), limits))
}

fn upstream(id: &str, host: u8) -> FleetChange {
    FleetChange::Upstream(UpstreamRecord {
        id: id.parse().unwrap(),
        start: StartStamp(1),
        service: "pool".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, host], 8001)),
        data_centre: "hall-a".parse().unwrap(),
        slots: 16,
        leaving: false,
        serving: Vec::new(),
        warmup: WarmupReport::default(),
    })
}

fn fleet(changes: Vec<FleetChange>, is_snapshot: bool) -> ProvisioningEvent {
    ProvisioningEvent::FleetUpdated(FleetUpdate {
        changes,
        revision: StoreRevision(1),
        is_snapshot,
        ..FleetUpdate::default()
    })
}

fn engine_state(version: u64, sequence: u64) -> ProvisioningEvent {
    let model = "m".parse().unwrap();
    let served = ServedWeights { model, version: WeightVersion(version) };
    let serving = if version > 0 { vec![served] } else { Vec::new() };
    ProvisioningEvent::EnginePolled(Some(EngineView {
        busy: false,
        sequence,
        serving,
        ..EngineView::default()
    }))
}

fn version(number: u64) -> VersionId {
    VersionId { model: "m".parse().unwrap(), version: WeightVersion(number) }
}

fn announced(number: u64) -> FleetChange {
    FleetChange::VersionAnnounced("m".parse().unwrap(), WeightVersion(number))
}

fn manifest_received(number: u64) -> ProvisioningEvent {
    let chunks = (0..TOTAL).map(|index| ManifestDigest([index as u8 + number as u8; 32]));
    let manifest = Manifest {
        model: "m".parse().unwrap(),
        version: number.to_string().parse().unwrap(),
        size: ByteSize(u64::from(TOTAL)),
        chunk_size: ByteSize(1),
        chunks: chunks.collect(),
    };
    ProvisioningEvent::ManifestFetched(version(number), Some(Arc::new(manifest)))
}

fn started_fetches(effects: &[ProvisioningEffect]) -> Vec<(ChunkIndex, ChunkSource)> {
    let fetches = effects.iter().filter_map(|effect| match effect {
        ProvisioningEffect::FetchChunk(_, fetch, _) => Some((fetch.index, fetch.source.clone())),
        _ => None,
    });
    fetches.collect()
}

/// The versions whose manifests are requested.
fn manifests_requested(effects: &[ProvisioningEffect]) -> Vec<VersionId> {
    let requests = effects.iter().filter_map(|effect| match effect {
        ProvisioningEffect::FetchManifest(wanted, _) => Some(wanted.clone()),
        _ => None,
    });
    requests.collect()
}

/// An agent alone in its service, whose engine serves version 1.
fn agent() -> StoredReducer {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document()), upstream("i-1", 1)];
    reducer.reduce(START, fleet(changes, true));
    reducer.reduce(START, engine_state(1, 0));
    reducer
}

/// Completes every fetch that the reducer starts, at `now`, until it starts no more; returns the
/// effects of the last ones.
fn complete_fetches(
    reducer: &mut StoredReducer,
    now: Moment,
    number: u64,
    mut effects: Vec<ProvisioningEffect>,
) -> Vec<ProvisioningEffect> {
    for _ in 0..10 * TOTAL {
        let Some((index, source)) = started_fetches(&effects).first().cloned() else { break };
        let mut rest = started_fetches(&effects).split_off(1);
        effects.clear();
        rest.insert(0, (index, source));
        for (index, source) in rest {
            let ended = ProvisioningEvent::FetchEnded(
                version(number),
                index,
                source,
                FetchOutcome::Verified,
            );
            effects.extend(reducer.reduce(now, ended));
        }
    }
    effects
}

fn all_chunks() -> ChunkBitmap {
    ChunkBitmap::full(TOTAL)
}

#[test]
fn an_engine_that_serves_the_announced_version_gets_no_order() {
    let mut reducer = agent();
    assert!(!reducer.is_busy());
    assert!(reducer.holds(&version(1), ChunkIndex(0)), "the served version counts as staged");
    assert_eq!(reducer.reduce(START, ProvisioningEvent::Tick), Vec::new());
}

/// An agent starts beside a running engine, while its entry has been cut off from the store since
/// before the newest announcement, or while the store was restored from an older copy.
#[test]
fn an_agent_that_starts_with_outdated_announcements_keeps_newer_weights() {
    for announcements in [vec![announced(2)], Vec::new()] {
        let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
        let mut changes = vec![FleetChange::Configured(document()), upstream("i-1", 1)];
        changes.extend(announcements);
        reducer.reduce(START, fleet(changes, true));
        let effects = reducer.reduce(START, engine_state(3, 1));
        assert!(!reducer.is_busy(), "an older version is provisioned: {effects:?}");
        reducer.reduce(START + Millis(500), fleet(vec![announced(3)], false));
        assert!(!reducer.is_busy());
        // After a restart the engine holds nothing and must not get an older version than before.
        reducer.reduce(START + Millis(900), ProvisioningEvent::EnginePolled(None));
        let effects = reducer.reduce(START + Millis(1_000), engine_state(0, 0));
        assert_eq!(manifests_requested(&effects), [version(3)]);
        let effects = reducer.reduce(START + Millis(2_000), fleet(vec![announced(4)], false));
        assert!(effects.contains(&ProvisioningEffect::ReadPeers));
    }
}

/// As above, but the newer version is never announced here: the engine's own report is sufficient.
#[test]
fn a_restarted_engine_gets_no_older_version_than_it_served() {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document()), upstream("i-1", 1), announced(2)];
    reducer.reduce(START, fleet(changes, true));
    reducer.reduce(START, engine_state(3, 1));
    reducer.reduce(START + Millis(900), ProvisioningEvent::EnginePolled(None));
    let effects = reducer.reduce(START + Millis(1_000), engine_state(0, 0));
    assert_eq!(manifests_requested(&effects), [version(3)]);
}

#[test]
fn an_empty_engine_loads_without_waiting_for_a_slot() {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document()), upstream("i-1", 1)];
    reducer.reduce(START, fleet(changes, true));
    let effects = reducer.reduce(START, engine_state(0, 0));
    assert_matches!(effects[..], [ProvisioningEffect::FetchManifest(..)]);
    let effects = reducer.reduce(START, manifest_received(1));
    // After the agent's start, the copy staged by an earlier run is inspected first.
    assert_matches!(effects[..], [ProvisioningEffect::VerifyStaged(_), ..]);
    let mut found = ChunkBitmap::empty(TOTAL);
    found.insert(ChunkIndex(2));
    let effects = reducer.reduce(START, ProvisioningEvent::StagedVerified(version(1), found));
    assert!(started_fetches(&effects).iter().all(|(index, _)| *index != ChunkIndex(2)));
    let effects = complete_fetches(&mut reducer, START, 1, effects);
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(1))), "{effects:?}");
    let effects =
        reducer.reduce(START, ProvisioningEvent::StagedVerified(version(1), all_chunks()));
    assert!(effects.contains(&ProvisioningEffect::OrderLoad(version(1), None, 0)), "{effects:?}");
}

/// An agent reads the peers that need an announced version from an entry, which may have been cut
/// off from the store.
#[test]
fn an_older_configuration_from_an_entry_replaces_no_newer_one() {
    let mut reducer = agent();
    let origin = SocketAddr::from(([172, 20, 0, 9], 8006));
    let newer = FleetChange::Configured(document_with(Generation(2), origin));
    reducer.reduce(START, fleet(vec![newer], false));
    let reported = vec![FleetChange::Configured(document()), upstream("i-1", 1)];
    reducer.reduce(START, fleet(reported, true));
    let effects = reducer.reduce(START, fleet(vec![announced(2)], false));
    let sources = effects.iter().find_map(|effect| match effect {
        ProvisioningEffect::FetchManifest(_, sources) => Some(sources.clone()),
        _ => None,
    });
    assert_eq!(sources, Some(vec![ManifestSource::Origin(origin)]));
}

/// An agent that has version 2 staged.
fn agent_with_staged_version() -> StoredReducer {
    let mut reducer = agent();
    let effects = reducer.reduce(START, fleet(vec![announced(2)], false));
    assert!(effects.contains(&ProvisioningEffect::ReadPeers));
    reducer.reduce(START, ProvisioningEvent::ManifestFetched(version(2), None));
    // An agent that has just started inspects the staged copy.
    reducer.reduce(START, manifest_received(2));
    let empty = ChunkBitmap::empty(TOTAL);
    let effects = reducer.reduce(START, ProvisioningEvent::StagedVerified(version(2), empty));
    complete_fetches(&mut reducer, START, 2, effects);
    reducer
}

/// An agent that has ordered the load of version 2 in its slot after verification, and the time of
/// that slot.
fn agent_with_load_order() -> (StoredReducer, Moment) {
    let mut reducer = agent_with_staged_version();
    let slot = START + common::ROLLOUT.first;
    reducer.reduce(slot, ProvisioningEvent::Tick);
    reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    (reducer, slot)
}

#[test]
fn newer_weights_load_in_their_slot_after_verification() {
    let mut reducer = agent_with_staged_version();
    let before = reducer.reduce(START + Millis(3_000), ProvisioningEvent::Tick);
    let is_report = |effect: &ProvisioningEffect| {
        matches!(
            effect,
            ProvisioningEffect::SendHoldings { .. }
                | ProvisioningEffect::NotifyEntries(_, Some(_), EngineNotice::LoadingIn(_))
        )
    };
    assert!(
        !before.is_empty() && before.iter().all(is_report),
        "only reports are sent: {before:?}"
    );
    let slot = START + common::ROLLOUT.first;
    let effects = reducer.reduce(slot, ProvisioningEvent::Tick);
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
    let pause = ProvisioningEffect::NotifyEntries(
        "m".parse().unwrap(),
        Some(StartStamp(0)),
        EngineNotice::Loading,
    );
    assert!(
        effects.contains(&pause),
        "entries are notified before the engine stops accepting requests"
    );
    assert!(
        !effects.iter().any(|it| matches!(it, ProvisioningEffect::OrderLoad(..))),
        "{effects:?}"
    );
    let effects = reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    assert!(
        effects.iter().any(|it| matches!(it, ProvisioningEffect::OrderLoad(..))),
        "{effects:?}"
    );
    let effects = reducer
        .reduce(slot, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Accepted));
    assert!(effects.contains(&ProvisioningEffect::VerifyLoaded(version(2))), "{effects:?}");
    let effects = reducer.reduce(slot + Millis(900), engine_state(2, 1));
    assert_eq!(effects, [], "entries were told of weights whose load is not proven");
    let read = ProvisioningEvent::StagedVerified(version(2), all_chunks());
    let effects = reducer.reduce(slot + Millis(910), read);
    let notice = EngineNotice::Proven(WeightVersion(2), 1);
    assert!(effects.contains(&ProvisioningEffect::NotifyEntries(
        "m".parse().unwrap(),
        Some(StartStamp(0)),
        notice
    )));
    assert!(!reducer.is_busy());
}

/// Entries that do not know of a load slot start long answers just before it, which the engine has
/// to complete while its other slots idle.
#[test]
fn entries_are_notified_of_a_load_slot_only_shortly_before_it() {
    let mut reducer = agent_with_staged_version();
    let slot = START + common::ROLLOUT.first;
    let notified_time = |effects: &[ProvisioningEffect]| {
        effects.iter().find_map(|effect| match effect {
            ProvisioningEffect::NotifyEntries(_, Some(_), EngineNotice::LoadingIn(after)) => {
                Some(*after)
            }
            _ => None,
        })
    };
    let early = reducer.reduce(slot - Millis(2_000), ProvisioningEvent::Tick);
    assert_eq!(notified_time(&early), None, "most answers complete by then");
    let before_slot = reducer.reduce(slot - Millis(1_000), ProvisioningEvent::Tick);
    assert_eq!(notified_time(&before_slot), Some(Millis(1_000)));
    assert_eq!(
        notified_time(&reducer.reduce(slot - Millis(900), ProvisioningEvent::Tick)),
        None,
        "notified once"
    );
}

#[test]
fn a_damaged_staged_chunk_is_fetched_again_before_any_order() {
    let mut reducer = agent_with_staged_version();
    let slot = START + common::ROLLOUT.first;
    reducer.reduce(slot, ProvisioningEvent::Tick);
    let mut with_damaged_chunk = all_chunks();
    with_damaged_chunk.remove(ChunkIndex(5));
    let mut effects =
        reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), with_damaged_chunk));
    assert!(!effects.iter().any(|effect| matches!(effect, ProvisioningEffect::OrderLoad(..))));
    let resumed = EngineNotice::Serving(WeightVersion(1));
    let resumed =
        ProvisioningEffect::NotifyEntries("m".parse().unwrap(), Some(StartStamp(0)), resumed);
    assert!(effects.contains(&resumed), "entries were notified of a pause that does not come");
    for step in 1..60 {
        effects.extend(reducer.reduce(slot + Millis(step * 100), ProvisioningEvent::Tick));
    }
    assert!(started_fetches(&effects).iter().all(|(index, _)| *index == ChunkIndex(5)));
    assert!(!started_fetches(&effects).is_empty(), "the damaged chunk is not fetched");
}

#[test]
fn a_rejected_load_order_is_repeated() {
    let (mut reducer, slot) = agent_with_load_order();
    reducer.reduce(slot, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Rejected));
    let mut effects = reducer.reduce(slot + Millis(50), engine_state(1, 3));
    effects.extend(reducer.reduce(slot + Millis(75), ProvisioningEvent::Tick));
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
    let effects = reducer
        .reduce(slot + Millis(80), ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    assert!(effects.contains(&ProvisioningEffect::OrderLoad(version(2), None, 3)), "{effects:?}");
}

#[test]
fn the_staged_copy_is_kept_until_its_load_is_proven() {
    let (mut reducer, slot) = agent_with_load_order();
    let mut effects = reducer.reduce(slot, fleet(vec![announced(3)], false));
    effects.extend(reducer.reduce(slot, manifest_received(3)));
    assert!(
        started_fetches(&effects).is_empty(),
        "a fetched chunk would overwrite a staged one: {effects:?}"
    );
    let mut effects = reducer
        .reduce(slot, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Accepted));
    effects.extend(reducer.reduce(slot, ProvisioningEvent::Tick));
    assert!(started_fetches(&effects).is_empty(), "the load can't be proven: {effects:?}");
    let mut effects =
        reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    effects.extend(reducer.reduce(slot, ProvisioningEvent::Tick));
    assert!(!started_fetches(&effects).is_empty(), "{effects:?}");
}

/// A suspended engine does not respond to an order and accepts it once it resumes, with the copy
/// staged by then.
#[test]
fn the_staged_copy_is_kept_while_an_unanswered_order_may_be_accepted() {
    let (mut reducer, slot) = agent_with_load_order();
    let mut effects = reducer.reduce(slot, fleet(vec![announced(3)], false));
    effects.extend(reducer.reduce(slot, manifest_received(3)));
    let late = slot + Millis(400);
    effects.extend(
        reducer
            .reduce(late, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Unknown)),
    );
    effects.extend(reducer.reduce(late + Millis(25), engine_state(1, 0)));
    effects.extend(reducer.reduce(late + Millis(50), ProvisioningEvent::Tick));
    assert!(
        started_fetches(&effects).is_empty(),
        "a fetched chunk would overwrite a staged one: {effects:?}"
    );
    // The engine's order count shows that it accepted the order, and with it the staged copy.
    let effects = reducer.reduce(late + Millis(100), engine_state(1, 1));
    assert!(effects.contains(&ProvisioningEffect::VerifyLoaded(version(2))), "{effects:?}");
    assert!(started_fetches(&effects).is_empty(), "{effects:?}");
    let read = ProvisioningEvent::StagedVerified(version(2), all_chunks());
    let mut effects = reducer.reduce(late + Millis(110), read);
    effects.extend(reducer.reduce(late + Millis(125), ProvisioningEvent::Tick));
    assert!(!started_fetches(&effects).is_empty(), "{effects:?}");
}

/// A load order that was lost on the network is sent again.
#[test]
fn a_lost_load_order_is_repeated_with_the_same_staged_copy() {
    let (mut reducer, slot) = agent_with_load_order();
    reducer.reduce(slot + Millis(20), fleet(vec![announced(3)], false));
    reducer.reduce(slot + Millis(60), manifest_received(3));
    reducer.reduce(
        slot + Millis(400),
        ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Unknown),
    );
    let mut effects = Vec::new();
    for step in 0..50 {
        effects.extend(reducer.reduce(slot + Millis(400 + step * 100), engine_state(1, 0)));
    }
    assert!(started_fetches(&effects).is_empty(), "{effects:?}");
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
    let now = slot + Millis(5_500);
    let effects = reducer.reduce(now, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    assert!(effects.contains(&ProvisioningEffect::OrderLoad(version(2), None, 0)), "{effects:?}");
}

/// Guards against a second load, for which the engine would take no requests once more. It first
/// completes its running requests, which may be silent for seconds, and reports that it is busy.
#[test]
fn an_engine_that_was_still_busy_with_an_order_got_it_again() {
    let (mut reducer, slot) = agent_with_load_order();
    reducer.reduce(slot, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Accepted));
    reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    let busy = |is_busy| {
        let mut event = engine_state(1, 1);
        if let ProvisioningEvent::EnginePolled(Some(view)) = &mut event {
            view.busy = is_busy;
        }
        event
    };
    let mut effects = Vec::new();
    for step in 0..80 {
        let is_silent = (10..40).contains(&step);
        let event = if is_silent { ProvisioningEvent::EnginePolled(None) } else { busy(true) };
        effects.extend(reducer.reduce(slot + Millis(step * 100), event));
    }
    assert!(!effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
    // An engine that is idle and does not serve the version has dropped the order.
    let idle_steps = 80..120;
    effects
        .extend(idle_steps.flat_map(|step| reducer.reduce(slot + Millis(step * 100), busy(false))));
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
}

/// Saving a load is worth more than spreading loads over the window.
#[test]
fn a_staged_version_is_dropped_for_a_newer_one_with_a_manifest() {
    let mut reducer = agent_with_staged_version();
    reducer.reduce(START + Millis(2_000), fleet(vec![announced(3)], false));
    let effects = reducer.reduce(START + Millis(2_100), manifest_received(3));
    assert!(effects.contains(&ProvisioningEffect::DropManifest(version(2))), "{effects:?}");
}

/// A version announced after an engine's slot has to wait until the engine has accepted the order.
#[test]
fn a_version_whose_slot_has_come_is_loaded_although_a_newer_one_can_be_fetched() {
    let slot = START + common::ROLLOUT.first;
    let mut reducer = agent_with_staged_version();
    reducer.reduce(slot, ProvisioningEvent::Tick);
    reducer.reduce(slot + Millis(20), fleet(vec![announced(3)], false));
    reducer.reduce(slot + Millis(60), manifest_received(3));
    let effects = reducer
        .reduce(slot + Millis(90), ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    assert!(effects.contains(&ProvisioningEffect::OrderLoad(version(2), None, 0)), "{effects:?}");
}

/// Three of four engines skipped version 2, so they have less time to load version 3 than the one
/// that serves version 2. It loaded at the same time as they did.
#[test]
fn engines_with_the_newer_of_two_superseded_versions_load_last() {
    let (mut reducer, slot) = agent_with_load_order();
    reducer.reduce(slot, ProvisioningEvent::LoadOrderEnded(version(2), LoadOrderOutcome::Accepted));
    reducer.reduce(slot, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    reducer.reduce(slot + Millis(900), engine_state(2, 1));
    let second = START + Millis(4_000);
    reducer.reduce(slot + Millis(900), ProvisioningEvent::Tick);
    reducer.reduce(second.max(slot + Millis(901)), fleet(vec![announced(3)], false));
    let effects = reducer.reduce(slot + Millis(950), manifest_received(3));
    complete_fetches(&mut reducer, slot + Millis(1_000), 3, effects);
    let peers_done = START + common::ROLLOUT.last + common::ROLLOUT.load_duration;
    let early = reducer.reduce(peers_done - Millis(50), ProvisioningEvent::Tick);
    assert!(!early.contains(&ProvisioningEffect::VerifyStaged(version(3))), "{early:?}");
    let due = reducer.reduce(peers_done + Millis(50), ProvisioningEvent::Tick);
    assert!(due.contains(&ProvisioningEffect::VerifyStaged(version(3))), "{due:?}");
}

/// The origin became unavailable between two announcements: the newer manifest could not be fetched
/// for 5 s, and no engine loaded the older version that was already staged.
#[test]
fn a_version_is_loaded_in_its_slot_while_the_next_manifest_is_unavailable() {
    let mut reducer = agent_with_staged_version();
    let mut effects = reducer.reduce(START + Millis(3_000), fleet(vec![announced(3)], false));
    let requested = ProvisioningEffect::FetchManifest(version(3), Vec::new());
    let is_manifest_fetch = |effect: &ProvisioningEffect| {
        std::mem::discriminant(effect) == std::mem::discriminant(&requested)
    };
    assert!(effects.iter().any(is_manifest_fetch), "{effects:?}");
    for step in 0..40 {
        let now = START + Millis(3_000 + step * 25);
        effects.extend(reducer.reduce(now, ProvisioningEvent::Tick));
        effects.extend(reducer.reduce(now, ProvisioningEvent::ManifestFetched(version(3), None)));
    }
    assert!(effects.contains(&ProvisioningEffect::VerifyStaged(version(2))), "{effects:?}");
    assert!(!effects.contains(&ProvisioningEffect::DropManifest(version(2))));
    let requests = effects.iter().filter(|effect| is_manifest_fetch(effect)).count();
    assert!((2..=8).contains(&requests), "{requests} manifest requests in a second");
}

/// The fetches of the older version's chunks continue as well.
#[test]
fn a_transfer_is_cancelled_only_for_one_that_can_start() {
    let mut reducer = agent();
    reducer.reduce(START, fleet(vec![announced(2)], false));
    reducer.reduce(START, manifest_received(2));
    let empty = ChunkBitmap::empty(TOTAL);
    let mut effects = reducer.reduce(START, ProvisioningEvent::StagedVerified(version(2), empty));
    let later_effects = reducer.reduce(START + Millis(100), fleet(vec![announced(3)], false));
    assert!(
        !later_effects.iter().any(|effect| matches!(effect, ProvisioningEffect::CancelFetch(..)))
    );
    effects.extend(later_effects);
    complete_fetches(&mut reducer, START + Millis(200), 2, effects);
    assert_eq!(reducer.status().held, TOTAL);
}

#[test]
fn load_slots_are_spread_over_the_whole_window() {
    let ids: Vec<InstanceId> = (1..=20).map(|at| format!("10.0.0.{at}").parse().unwrap()).collect();
    let window = RolloutWindow { first: Moment(1_000), last: Moment(3_000) };
    let mut slots: Vec<_> = ids.iter().map(|own| window.slot(b"m", &ids, own)).collect();
    slots.sort_unstable();
    let expected: Vec<_> = (0..20).map(|rank| Moment(1_000 + rank * 100)).collect();
    assert_eq!(slots, expected);
}

#[test]
fn a_peer_that_asks_receives_the_staged_chunks_of_this_agent() {
    let mut reducer = agent();
    let report = HoldingsReport {
        from: "10.0.0.2".parse().unwrap(),
        version: version(1),
        bitmap: ChunkBitmap::empty(TOTAL).to_bytes().into(),
        queue: 0,
        wants_reply: true,
    };
    let effects = reducer.reduce(START, ProvisioningEvent::HoldingsReceived(report));
    let expected = ProvisioningEffect::SendHoldings {
        version: version(1),
        to: vec![SocketAddr::from(([10, 0, 0, 2], 7701))],
        bitmap: all_chunks(),
        wants_reply: false,
    };
    assert_eq!(effects, [expected]);
}

/// A dead seeder delays its chunks by one timeout in total, not by one timeout each.
#[test]
fn all_chunks_of_a_dead_seeder_are_fetched_by_the_next_one_at_once() {
    let mut reducer = StoredReducer::new(
        ProvisioningSettings {
            transfer: TransferSettings {
                uses_primary_holders: true,
                remote_fetchers: 1,
                origin_window: 8,
                stall_after: Millis(500),
                ..TransferSettings::default()
            },
            ..common::provisioning_settings()
        },
        3,
    );
    let mut services_with_rate = services();
    let origin = OriginProfile {
        address: SocketAddr::from(([172, 20, 0, 3], 8006)),
        data_centre: "hall-b".parse().unwrap(),
        link_mbps: 0.8,
        connection_limit: 0,
    };
    services_with_rate.insert(
        "records".parse().unwrap(),
        ServiceProfile { origin: Some(origin), ..ServiceProfile::default() },
    );
    let limits = CallerLimits::default();
    let document = Arc::new(RouteDocument::new(
        Generation(1),
        Vec::new(),
        services_with_rate,
        Vec::new(),
        limits,
    ));
    // The second agent never reports any chunk.
    let changes = vec![
        FleetChange::Configured(document),
        upstream("i-1", 1),
        upstream("i-2", 2),
        announced(2),
    ];
    reducer.reduce(START, fleet(changes, true));
    reducer.reduce(START, engine_state(1, 0));
    reducer.reduce(START, manifest_received(2));
    let empty = ChunkBitmap::empty(TOTAL);
    let effects = reducer.reduce(START, ProvisioningEvent::StagedVerified(version(2), empty));
    complete_fetches(&mut reducer, START, 2, effects);
    let mut all = FastMap::default();
    // The agent's own chunks arrive at their due times; those of the dead seeder are overdue after
    // twice the stall interval.
    for step in 0..=56 {
        let now = START + Millis(step * 25);
        let mut fetches = started_fetches(&reducer.reduce(now, ProvisioningEvent::Tick));
        // The end of a fetch may start another.
        while let Some((index, source)) = fetches.pop() {
            all.insert(index, now);
            let ended =
                ProvisioningEvent::FetchEnded(version(2), index, source, FetchOutcome::Verified);
            fetches.extend(started_fetches(&reducer.reduce(now, ended)));
        }
    }
    let held = reducer.status().held;
    assert_eq!(held, TOTAL, "not all chunks within 1.4 s; fetched at {all:?}");
}

/// The services of `document`, for a test to change.
fn services() -> FastMap<ServiceName, ServiceProfile> {
    let document = document();
    let services = document.services();
    services.map(|(name, profile)| (name.clone(), profile.clone())).collect()
}

/// An origin accepts a few dozen connections from the whole fleet.
#[test]
fn few_agents_ask_the_origin_when_a_fleet_starts_at_once() {
    const FLEET: u8 = 76;
    let members = (1..=FLEET).map(|host| upstream(&format!("i-{host}"), host));
    let mut changes = vec![FleetChange::Configured(document())];
    changes.extend(members);
    let mut asking = 0;
    for host in 1..=FLEET {
        let own_id = format!("10.0.0.{host}").parse().unwrap();
        let mut reducer = StoredReducer::new(
            ProvisioningSettings { own_id, ..common::provisioning_settings() },
            u64::from(host),
        );
        reducer.reduce(START, fleet(changes.clone(), true));
        let mut effects = reducer.reduce(START, engine_state(0, 0));
        for step in 1..=18 {
            effects.extend(reducer.reduce(START + Millis(step * 50), ProvisioningEvent::Tick));
        }
        let asks = |effect: &ProvisioningEffect| {
            let ProvisioningEffect::FetchManifest(_, sources) = effect else { return false };
            sources.iter().any(|source| matches!(source, ManifestSource::Origin(_)))
        };
        asking += usize::from(effects.iter().any(asks));
    }
    assert!((2..=12).contains(&asking), "{asking} of {FLEET} asked the origin within 0.9 s");
}

/// An agent that starts finds an announced version whose announcement time is unknown. Entries that
/// start as well send nothing to engines without that version, so waiting for a slot would only
/// delay it.
#[test]
fn a_version_announced_before_the_agent_started_is_loaded_without_a_slot() {
    let mut reducer = StoredReducer::new(common::provisioning_settings(), 3);
    let changes = vec![FleetChange::Configured(document()), upstream("i-1", 1), announced(2)];
    reducer.reduce(START, fleet(changes, true));
    reducer.reduce(START, engine_state(1, 0));
    reducer.reduce(START, manifest_received(2));
    let empty = ChunkBitmap::empty(TOTAL);
    let effects = reducer.reduce(START, ProvisioningEvent::StagedVerified(version(2), empty));
    complete_fetches(&mut reducer, START, 2, effects);
    let after_fetch = START + Millis(100);
    reducer.reduce(after_fetch, ProvisioningEvent::Tick);
    let effects =
        reducer.reduce(after_fetch, ProvisioningEvent::StagedVerified(version(2), all_chunks()));
    assert!(effects.contains(&ProvisioningEffect::OrderLoad(version(2), None, 0)), "{effects:?}");
}

/// Engines added long after an announcement request the manifest from agents that loaded the
/// version without one.
#[test]
fn the_manifest_of_the_served_version_is_fetched_once_for_peers() {
    let mut reducer = agent();
    let fetches = |effects: &[ProvisioningEffect]| {
        let is_fetch =
            |effect: &&ProvisioningEffect| matches!(effect, ProvisioningEffect::FetchManifest(..));
        effects.iter().filter(is_fetch).count()
    };
    let wanted = |number| ProvisioningEvent::ManifestRequested(version(number));
    assert_eq!(
        fetches(&reducer.reduce(START, wanted(2))),
        0,
        "the engine does not serve version 2"
    );
    let effects = reducer.reduce(START, wanted(1));
    assert_matches!(&effects[..], [ProvisioningEffect::FetchManifest(_, sources)]
        if matches!(sources[..], [ManifestSource::Origin(_)]));
    assert_eq!(
        fetches(&reducer.reduce(START + Millis(40), wanted(1))),
        0,
        "a fetch is in progress"
    );
    reducer.reduce(START + Millis(50), ProvisioningEvent::ManifestFetched(version(1), None));
    assert_eq!(
        fetches(&reducer.reduce(START + Millis(600), wanted(1))),
        1,
        "the first fetch failed"
    );
    assert!(!reducer.is_busy(), "the agent needs no manifest itself");
}

/// An origin that is slower than configured is behind with every chunk, and fetching chunks again
/// would make it slower still. All agents observe the same progress, so each chunk is fetched once.
#[test]
fn an_origin_slower_than_configured_sends_one_copy() {
    const MEMBERS: u8 = 4;
    let mut services_with_rate = services();
    let origin = services_with_rate.get_mut(&"records".parse::<ServiceName>().unwrap()).unwrap();
    // Configured: 400 ms per chunk. Actual: one chunk in 700 ms, as the origin has earlier calls to
    // answer.
    origin.origin.as_mut().unwrap().link_mbps = 0.02;
    const ACTUAL_CHUNK_MS: u64 = 700;
    let limits = CallerLimits::default();
    let document = Arc::new(RouteDocument::new(
        Generation(1),
        Vec::new(),
        services_with_rate,
        Vec::new(),
        limits,
    ));
    let mut changes = vec![FleetChange::Configured(document), announced(2)];
    changes.extend((1..=MEMBERS).map(|host| upstream(&format!("i-{host}"), host)));
    let mut fleet = SharedOrigin::new(MEMBERS, &changes);
    for step in 1..=400 {
        let now = START + Millis(step * 25);
        fleet.wake(now);
        if step * 25 % ACTUAL_CHUNK_MS == 0 {
            fleet.origin_sends_next(now);
        }
        fleet.exchange_holdings(now);
    }
    assert!(fleet.agents.iter().all(|(_, agent)| agent.status().held == TOTAL));
    assert_eq!(fleet.sent, TOTAL, "chunks that the origin sent");
}

/// Agents that fetch from one origin, which serves one request at a time, and from each other
/// without delay.
struct SharedOrigin {
    agents: Vec<(InstanceId, StoredReducer)>,
    requested: VecDeque<(usize, ChunkIndex)>,
    held: Vec<ChunkBitmap>,
    sent: u32,
}

impl SharedOrigin {
    fn new(members: u8, changes: &[FleetChange]) -> Self {
        let count = usize::from(members);
        let held = vec![ChunkBitmap::empty(TOTAL); count];
        let mut all = Self { agents: Vec::new(), requested: VecDeque::new(), held, sent: 0 };
        for host in 1..=members {
            let own_id: InstanceId = format!("10.0.0.{host}").parse().unwrap();
            let transfer = TransferSettings {
                stall_after: Millis(500),
                chunk_timeout: Millis(10_000),
                // As many as the chunks of which each agent is primary holder, so that all are
                // requested at their due times.
                origin_window: 2,
                ..common::provisioning_settings().transfer
            };
            let settings = ProvisioningSettings {
                own_id: own_id.clone(),
                transfer,
                ..common::provisioning_settings()
            };
            let mut reducer = StoredReducer::new(settings, u64::from(host));
            reducer.reduce(START, fleet(changes.to_vec(), true));
            reducer.reduce(START, engine_state(1, 0));
            reducer.reduce(START, manifest_received(2));
            let empty = ChunkBitmap::empty(TOTAL);
            let effects =
                reducer.reduce(START, ProvisioningEvent::StagedVerified(version(2), empty));
            all.agents.push((own_id, reducer));
            all.carry_out(START, all.agents.len() - 1, &effects);
        }
        all
    }

    fn carry_out(&mut self, now: Moment, agent: usize, effects: &[ProvisioningEffect]) {
        for (index, source) in started_fetches(effects) {
            match source {
                ChunkSource::Origin => self.requested.push_back((agent, index)),
                ChunkSource::Peer(_) | ChunkSource::Relay(_) => {
                    self.ended(now, agent, index, source)
                }
            }
        }
    }

    fn ended(&mut self, now: Moment, agent: usize, index: ChunkIndex, source: ChunkSource) {
        self.held[agent].insert(index);
        let ended =
            ProvisioningEvent::FetchEnded(version(2), index, source, FetchOutcome::Verified);
        let effects = self.agents[agent].1.reduce(now, ended);
        self.carry_out(now, agent, &effects);
    }

    fn wake(&mut self, now: Moment) {
        for agent in 0..self.agents.len() {
            let effects = self.agents[agent].1.reduce(now, ProvisioningEvent::Tick);
            self.carry_out(now, agent, &effects);
        }
    }

    fn origin_sends_next(&mut self, now: Moment) {
        let Some((agent, index)) = self.requested.pop_front() else { return };
        self.sent += 1;
        self.ended(now, agent, index, ChunkSource::Origin);
    }

    fn exchange_holdings(&mut self, now: Moment) {
        for sender in 0..self.agents.len() {
            let report = HoldingsReport {
                from: self.agents[sender].0.clone(),
                version: version(2),
                bitmap: self.held[sender].to_bytes().into(),
                queue: 0,
                wants_reply: false,
            };
            for agent in (0..self.agents.len()).filter(|agent| *agent != sender) {
                let event = ProvisioningEvent::HoldingsReceived(report.clone());
                let effects = self.agents[agent].1.reduce(now, event);
                self.carry_out(now, agent, &effects);
            }
        }
    }
}

/// An agent that the store rejects learns of a version from an entry; the store's own announcement
/// changes nothing when it arrives.
#[test]
fn a_version_reported_by_an_entry_is_provisioned_at_once() {
    let mut reducer = agent();
    let model: mustardrill_types::ModelName = "m".parse().unwrap();
    let announcement = ProvisioningEvent::VersionReported(model, WeightVersion(2));
    let effects = reducer.reduce(START, announcement.clone());
    assert!(effects.contains(&ProvisioningEffect::ReadPeers), "{effects:?}");
    assert!(effects.iter().any(|effect| matches!(effect, ProvisioningEffect::FetchManifest(..))));
    assert_eq!(reducer.reduce(START, announcement), Vec::new());
    let effects = reducer.reduce(START + Millis(900), fleet(vec![announced(2)], false));
    assert!(!effects.contains(&ProvisioningEffect::ReadPeers), "{effects:?}");
}

/// Entries that received no notice of a load continued to send requests to an engine that accepted
/// none.
#[test]
fn known_entries_are_kept_however_long_the_store_is_unavailable() {
    let mut directory = EntryDirectory::default();
    assert!(directory.is_refresh_due(START) && directory.entries().is_empty());
    let entry = PeerRecord {
        id: "edge-1".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 1, 1], 7700)),
        data_centre: "hall-a".parse().unwrap(),
        link_mbps: 1_000,
    };
    directory.update(START, vec![entry.clone()]);
    assert!(!directory.is_refresh_due(START + Millis(5_000)));
    let later = START + Millis(30_000);
    assert!(directory.is_refresh_due(later), "entries registered since then must be found");
    assert_eq!(
        directory.entries(),
        std::slice::from_ref(&entry),
        "old addresses are kept until newer ones are read"
    );
    directory.update(later, Vec::new());
    assert_eq!(
        directory.entries(),
        [entry],
        "an empty list is ignored, as after a restart of all processes"
    );
}
