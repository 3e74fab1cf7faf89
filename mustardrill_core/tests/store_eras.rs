//! Readers of a store that was restored from an older copy. Each test names what that copy must not
//! revert, or what an entry must not rely on after the restore.

use std::collections::BTreeSet;
use std::sync::Arc;

use mustardrill_core::direct::{
    AvailabilitySpan, CallerLimits, CursorVerdict, CustomerRecord, DirectEffect, DirectEvent,
    DirectReducer, DirectRequest, FleetChange, FleetUpdate, RepeatRule, RouteDocument, RouteRule,
    ServedWeights, ServiceProfile, StoreCursor, UpstreamRecord,
};
use mustardrill_core::quarantine::{QUARANTINE_SPAN, QuarantineSubject};
use mustardrill_types::{
    FastMap, Generation, InstanceId, Millis, Moment, PartId, PartSet, RequestDigest, StoreEra,
    StoreRevision, WeightVersion,
};

mod common;

use common::desk_id;

const START: Moment = Moment(100_000);
const UPSTREAMS: u16 = 6;
/// When the restored store answers for the first time.
const BACK: Moment = Moment(103_000);

fn fleet_update(era: u64, revision: u64, is_snapshot: bool) -> FleetUpdate {
    FleetUpdate {
        era: StoreEra(era),
        revision: StoreRevision(revision),
        is_snapshot,
        ..FleetUpdate::default()
    }
}

#[test]
fn a_revision_is_used_only_in_the_era_in_which_it_was_read() {
    let mut cursor = StoreCursor::default();
    assert_eq!(cursor.take(&fleet_update(3, 10, true)), CursorVerdict::Taken { returned: false });
    assert_eq!(cursor.take(&fleet_update(3, 12, false)), CursorVerdict::Taken { returned: false });
    // Revisions are assigned a second time in the new era.
    assert_eq!(cursor.take(&fleet_update(4, 13, false)), CursorVerdict::ReadAnew);
    assert_eq!(cursor.revision(), None);
    assert_eq!(cursor.take(&fleet_update(3, 14, false)), CursorVerdict::Outdated);
    assert_eq!(cursor.take(&fleet_update(4, 9, true)), CursorVerdict::Taken { returned: true });
    assert_eq!(cursor.revision(), Some(StoreRevision(9)));
    assert_eq!(cursor.take(&fleet_update(3, 20, true)), CursorVerdict::Outdated);
    assert_eq!(cursor.revision(), Some(StoreRevision(9)));
    assert_eq!(cursor.take(&fleet_update(4, 10, false)), CursorVerdict::Taken { returned: false });
}

fn desk_ids(numbers: impl IntoIterator<Item = u16>) -> BTreeSet<InstanceId> {
    numbers.into_iter().map(desk_id).collect()
}

/// Applies changes of the era `era`.
fn apply_changes(reducer: &mut DirectReducer, at: Moment, era: u64, changes: Vec<FleetChange>) {
    let update = FleetUpdate { changes, ..fleet_update(era, 1, false) };
    reducer.reduce(at, DirectEvent::StoreAnswered(update, at));
}

/// Applies the first snapshot of the restored store.
fn apply_older_copy(
    reducer: &mut DirectReducer,
    records: impl IntoIterator<Item = UpstreamRecord>,
) -> Vec<DirectEffect> {
    let changes = records.into_iter().map(FleetChange::Upstream).collect();
    let update = FleetUpdate { changes, ..fleet_update(1, 1, true) };
    reducer.reduce(BACK, DirectEvent::StoreAnswered(update, BACK))
}

fn entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    apply_changes(&mut reducer, START, 0, common::desk_fleet(UPSTREAMS));
    reducer
}

#[test]
fn an_older_copy_does_not_list_a_departed_upstream_again() {
    let mut reducer = entry();
    apply_changes(&mut reducer, START, 0, vec![FleetChange::UpstreamGone(desk_id(0))]);
    apply_older_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desk_ids(1..UPSTREAMS));
    // An upstream that registers again is running.
    apply_changes(&mut reducer, BACK, 1, vec![FleetChange::Upstream(common::desk(0))]);
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desk_ids(0..UPSTREAMS));
}

#[test]
fn a_dead_upstream_in_an_older_copy_does_not_take_over_a_running_ones_address() {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes.remove(1);
    apply_changes(&mut reducer, START, 0, changes);
    let running = UpstreamRecord { id: "desk-new".parse().unwrap(), ..common::desk(0) };
    apply_changes(&mut reducer, START, 0, vec![FleetChange::Upstream(running.clone())]);
    apply_older_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    let reached = common::reached_desks(&mut reducer, UPSTREAMS, BACK);
    assert!(reached.contains(&running.id) && !reached.contains(&desk_id(0)), "{reached:?}");
}

#[test]
fn upstreams_registered_after_the_copy_stay_until_they_had_time_to_register_again() {
    let mut reducer = entry();
    apply_older_copy(&mut reducer, (1..UPSTREAMS).map(common::desk));
    // Peers got answers all the time, which proves nothing about registrations that the copy lacks.
    let span = AvailabilitySpan { since: Moment(0), until: BACK };
    reducer.reduce(BACK, DirectEvent::AvailabilityReceived(span));
    assert_eq!(
        common::reached_desks(&mut reducer, UPSTREAMS, BACK + Millis(100)),
        desk_ids(0..UPSTREAMS)
    );
    apply_changes(&mut reducer, BACK + Millis(2_000), 1, Vec::new());
    assert_eq!(
        common::reached_desks(&mut reducer, UPSTREAMS, BACK + Millis(2_000)),
        desk_ids(1..UPSTREAMS)
    );
}

#[test]
fn an_older_copy_does_not_make_a_draining_upstream_ready_again() {
    let mut reducer = entry();
    let leaving = UpstreamRecord { leaving: true, ..common::desk(0) };
    apply_changes(&mut reducer, START, 0, vec![FleetChange::Upstream(leaving)]);
    apply_older_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(common::reached_desks(&mut reducer, UPSTREAMS, BACK), desk_ids(1..UPSTREAMS));
}

#[test]
fn an_older_copy_does_not_revert_an_engines_served_version() {
    let serving = |version| {
        let served = ServedWeights { model: "m".parse().unwrap(), version: WeightVersion(version) };
        UpstreamRecord { serving: vec![served], ..common::desk(0) }
    };
    let mut reducer = entry();
    apply_changes(&mut reducer, START, 0, vec![FleetChange::Upstream(serving(2))]);
    apply_older_copy(&mut reducer, [serving(1)]);
    let known = reducer.fleet_snapshot().changes.into_iter().find_map(|change| match change {
        FleetChange::Upstream(record) if record.id == desk_id(0) => Some(record.serving),
        _ => None,
    });
    assert_eq!(known.unwrap()[0].version, WeightVersion(2));
}

#[test]
fn peers_registered_after_the_copy_stay_until_they_had_time_to_register_again() {
    let mut reducer = entry();
    let peer = "entry-2".parse().unwrap();
    apply_changes(&mut reducer, START, 0, vec![FleetChange::Peer(common::peer(&peer))]);
    apply_older_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    assert_eq!(reducer.peers().len(), 1);
    apply_changes(&mut reducer, BACK + Millis(2_000), 1, Vec::new());
    assert_eq!(reducer.peers().len(), 0, "it had the time to register again");
}

#[test]
fn an_older_copy_does_not_bring_back_an_older_configuration() {
    let mut reducer = entry();
    let (services, customers) = (FastMap::default(), Vec::new());
    let limits = CallerLimits::default();
    let newer = RouteDocument::new(Generation(2), Vec::new(), services, customers, limits);
    apply_changes(&mut reducer, START, 0, vec![FleetChange::Configured(Arc::new(newer))]);
    let copy = FleetUpdate { changes: common::desk_fleet(UPSTREAMS), ..fleet_update(1, 1, true) };
    reducer.reduce(BACK, DirectEvent::StoreAnswered(copy, BACK));
    assert_eq!(reducer.document().unwrap().generation, Generation(2));
}

#[test]
fn quarantines_that_the_copy_lacks_are_written_again() {
    let mut reducer = entry();
    let digest = RequestDigest::of(&[b"one that ends upstreams"]);
    let parts: PartSet = [PartId(0xbad)].into_iter().collect();
    let subjects = [QuarantineSubject::Content(digest), QuarantineSubject::Parts(parts)];
    let stored = |subject| FleetChange::Quarantined(subject, QUARANTINE_SPAN);
    let changes = subjects.iter().cloned().map(stored).collect();
    apply_changes(&mut reducer, START, 0, changes);
    let effects = apply_older_copy(&mut reducer, (0..UPSTREAMS).map(common::desk));
    for subject in subjects {
        let is_kept = |effect: &DirectEffect| matches!(effect, DirectEffect::StoreQuarantine(it, _) if *it == subject);
        assert!(effects.iter().any(is_kept), "{subject}: {effects:?}");
    }
}

/// An entry that has just read a configuration with a key and knows of a peer.
fn started_entry() -> DirectReducer {
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes[0] = FleetChange::Configured(keyed_document(1));
    changes.push(FleetChange::Peer(common::peer(&"entry-2".parse().unwrap())));
    apply_changes(&mut reducer, START, 0, changes);
    reducer
}

fn keyed_document(generation: u64) -> Arc<RouteDocument> {
    let route = RouteRule {
        is_public: false,
        ..common::public_route("status", "/", "desk", RepeatRule::Once)
    };
    let customer = CustomerRecord {
        name: "comedor".parse().unwrap(),
        api_keys: vec!["key".into()],
        priority: None,
        allowed_regions: Box::default(),
    };
    let mut services = FastMap::default();
    services.insert("desk".parse().unwrap(), ServiceProfile::default());
    let limits = CallerLimits::default();
    let (routes, customers) = (vec![route], vec![customer]);
    Arc::new(RouteDocument::new(Generation(generation), routes, services, customers, limits))
}

fn keyed_call(reducer: &mut DirectReducer, now: Moment, number: u64) -> Vec<DirectEffect> {
    let request =
        DirectRequest { api_key: Some("key".into()), ..common::desk_request(number, now) };
    reducer.reduce(now, DirectEvent::RequestArrived(request))
}

fn count_sends(effects: &[DirectEffect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, DirectEffect::Send(..))).count()
}

#[test]
fn a_starting_entry_does_not_serve_by_a_configuration_older_than_its_peers() {
    let mut reducer = started_entry();
    let effects = keyed_call(&mut reducer, START + Millis(10), 1);
    assert_eq!(count_sends(&effects), 0, "the peers have not answered yet");
    assert!(!reducer.is_ready(START + Millis(10)));
    let reported = DirectEvent::GenerationReceived(Generation(2));
    assert_eq!(count_sends(&reducer.reduce(START + Millis(20), reported)), 0);
    assert_eq!(count_sends(&keyed_call(&mut reducer, START + Millis(900), 2)), 0);
    let newer = vec![FleetChange::Configured(keyed_document(2))];
    apply_changes(&mut reducer, START + Millis(1_000), 0, newer);
    assert_eq!(count_sends(&keyed_call(&mut reducer, START + Millis(1_000), 3)), 1);
}

#[test]
fn a_starting_entry_serves_soon_if_its_peers_do_not_answer() {
    let mut reducer = started_entry();
    assert_eq!(count_sends(&keyed_call(&mut reducer, START + Millis(10), 1)), 0);
    assert_eq!(count_sends(&reducer.reduce(START + Millis(200), DirectEvent::TimerFired)), 1);
    assert!(reducer.is_ready(START + Millis(200)));
}

/// A link that loses datagrams for a moment, or a stalled peer, does not prove that no peer knows
/// of a newer configuration.
#[test]
fn a_starting_entry_keeps_asking_peers_that_do_not_answer() {
    let mut reducer = started_entry();
    reducer.reduce(START + Millis(200), DirectEvent::TimerFired);
    assert!(
        reducer.peer_query_interval(START + Millis(1_000)).is_some(),
        "the peers are no longer asked"
    );
    assert_eq!(count_sends(&keyed_call(&mut reducer, START + Millis(1_000), 1)), 1);
    reducer.reduce(START + Millis(1_050), DirectEvent::GenerationReceived(Generation(2)));
    assert_eq!(count_sends(&keyed_call(&mut reducer, START + Millis(1_100), 2)), 0);
    assert_eq!(reducer.peer_query_interval(START + Millis(1_100)), None, "one report is enough");
    let silent = started_entry();
    assert_eq!(
        silent.peer_query_interval(START + Millis(20_000)),
        None,
        "peers that are gone are not asked for ever"
    );
}

/// The store may have lost a configuration that removes a key before any entry had read it. Entries
/// cannot know of it until the operator has written again.
#[test]
fn a_removed_key_is_refused_in_time_if_the_store_lost_its_removal_unread() {
    let limit = common::direct_settings().freshness_limit;
    let mut reducer = DirectReducer::new(common::direct_settings(), 7);
    let mut changes = common::desk_fleet(UPSTREAMS);
    changes[0] = FleetChange::Configured(keyed_document(1));
    apply_changes(&mut reducer, START, 0, changes);
    let confirmed_at = BACK - Millis(2_000);
    apply_changes(&mut reducer, confirmed_at, 0, Vec::new());
    // Two restores, so that what was written after the first one is lost again.
    for (era, restored_at) in [(1, BACK), (2, BACK + Millis(1_500))] {
        let mut copy = common::desk_fleet(UPSTREAMS);
        copy[0] = FleetChange::Configured(keyed_document(1));
        let update = FleetUpdate { changes: copy, ..fleet_update(era, 1, true) };
        reducer.reduce(restored_at, DirectEvent::StoreAnswered(update, restored_at));
        apply_changes(&mut reducer, restored_at + Millis(1_000), era, Vec::new());
    }
    let just_before = confirmed_at + Millis(limit.0 - 1);
    assert_eq!(
        count_sends(&keyed_call(&mut reducer, just_before, 1)),
        1,
        "confirmed before the first restore"
    );
    assert_eq!(count_sends(&keyed_call(&mut reducer, confirmed_at + limit, 2)), 0);
    let rewritten = BACK + Millis(3_500);
    let released =
        reducer.reduce(rewritten, DirectEvent::StoreAnswered(fleet_update(2, 1, false), rewritten));
    assert_eq!(count_sends(&released), 1, "held requests are served then");
    assert_eq!(count_sends(&keyed_call(&mut reducer, rewritten, 3)), 1);
}

/// An entry that is cut off from the store asks its peers for versions and learns of a
/// configuration that it cannot read. It keeps serving until its own freshness check has expired.
#[test]
fn a_cut_off_entry_keeps_serving_when_peers_report_a_newer_configuration() {
    let mut reducer = started_entry();
    reducer.reduce(START + Millis(10), DirectEvent::GenerationReceived(Generation(1)));
    let confirmed_at = START + Millis(20_000);
    reducer.reduce(confirmed_at, DirectEvent::StoreAnswered(FleetUpdate::default(), confirmed_at));
    reducer.reduce(confirmed_at + Millis(1_500), DirectEvent::StoreFailed);
    let now = confirmed_at + Millis(2_000);
    reducer.reduce(now, DirectEvent::GenerationReceived(Generation(9)));
    assert_eq!(count_sends(&keyed_call(&mut reducer, now, 1)), 1);
    let limit = confirmed_at + common::direct_settings().freshness_limit;
    assert_eq!(count_sends(&keyed_call(&mut reducer, limit, 2)), 0);
}
